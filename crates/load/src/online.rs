//! Sends online requests and measures their responses.

use std::{sync::Arc, time::Duration};

use futures::StreamExt;
use rand::{Rng, SeedableRng, rngs::StdRng};
use reqwest::{Client, Response};
use serde_json::Value;
use tokio::{task::JoinSet, time::Instant};

use crate::{
    Arrivals, Decoder, Event, Plan,
    check::verdict,
    prompt::{ExpectedRequest, RequestKey},
    tally::{Measured, OnlineTally, Outcome, Refusal},
};

/// Sends all online requests of a plan and waits until they have ended.
pub(crate) async fn send_all(
    plan: Arc<Plan>,
    client: Client,
    tally: Arc<OnlineTally>,
) {
    let sender = Sender {
        plan,
        client,
        tally,
    };
    match sender.plan.arrivals {
        Arrivals::None => {}
        Arrivals::PerSecond(rate) => sender.open_loop(rate).await,
        Arrivals::Streams(count) => sender.closed_loop(count).await,
    }
}

#[derive(Clone)]
pub(crate) struct Sender {
    pub(crate) plan: Arc<Plan>,
    pub(crate) client: Client,
    pub(crate) tally: Arc<OnlineTally>,
}

impl Sender {
    async fn open_loop(self, rate: f64) {
        let mut rng = StdRng::seed_from_u64(self.plan.seed);
        let start = Instant::now();
        let duration = Duration::from_millis(self.plan.duration_ms);
        let mut requests = JoinSet::new();
        let mut offset = Duration::ZERO;
        for number in 0.. {
            // Exponential gaps of a Poisson process; `1 - x` avoids `ln(0)`.
            let gap_s = -(1.0 - rng.random::<f64>()).ln() / rate;
            offset += Duration::from_secs_f64(gap_s);
            if offset >= duration {
                break;
            }
            tokio::time::sleep_until(start + offset).await;
            while requests.try_join_next().is_some() {}
            if requests.len() >= self.plan.max_in_flight {
                self.tally.count_not_sent();
                continue;
            }
            let sender = self.clone();
            let intended = start + offset;
            requests.spawn(async move {
                sender.send(number, intended).await;
            });
        }
        requests.join_all().await;
    }

    async fn closed_loop(self, streams: u32) {
        let end =
            Instant::now() + Duration::from_millis(self.plan.duration_ms);
        let mut loops = JoinSet::new();
        for stream in 0..streams {
            let sender = self.clone();
            loops.spawn(async move {
                let mut number = u64::from(stream);
                loop {
                    sender.send(number, Instant::now()).await;
                    number += u64::from(streams);
                    if Instant::now() >= end {
                        break;
                    }
                }
            });
        }
        loops.join_all().await;
    }

    async fn send(&self, number: u64, intended: Instant) {
        let spec =
            ExpectedRequest::new(&self.plan, RequestKey::Online { number });
        self.tally.count_sent();
        let measured = self.measure(&spec, intended).await;
        self.tally.add(measured);
    }

    /// Sends a request and reads its response within the request timeout.
    pub(crate) async fn measure(
        &self,
        spec: &ExpectedRequest,
        intended: Instant,
    ) -> Measured {
        let mut reader = ResponseReader {
            intended,
            send_delay: intended.elapsed(),
            text: String::new(),
            ended: false,
            tokens: 0,
            first: None,
            last: None,
            between: Vec::new(),
        };
        let time_limit = Duration::from_millis(self.plan.request_timeout_ms);
        let read = self.read(spec, &mut reader);
        let outcome =
            tokio::time::timeout_at(intended + time_limit, read).await;
        reader.into_measured(outcome.unwrap_or(Outcome::TimedOut))
    }

    async fn read(
        &self,
        spec: &ExpectedRequest,
        reader: &mut ResponseReader,
    ) -> Outcome {
        let url = format!("{}/v1/chat/completions", self.plan.target);
        let mut request = self.client.post(url).json(&spec.body(true));
        if let Some(key) = &self.plan.key {
            request = request.bearer_auth(key);
        }
        let Ok(response) = request.send().await else {
            return Outcome::Lost;
        };
        if !response.status().is_success() {
            return Outcome::Refused(refusal(response).await);
        }
        let mut decoder = Decoder::default();
        let mut pieces = response.bytes_stream();
        while let Some(piece) = pieces.next().await {
            let Ok(piece) = piece else {
                return Outcome::Lost;
            };
            for event in decoder.push(&piece) {
                match event {
                    Event::Text(text) => reader.add(&text),
                    Event::Done => reader.ended = true,
                    Event::Error(body) => {
                        return Outcome::Broken(Refusal::of(200, &body));
                    }
                }
            }
        }
        let expected = spec.expected();
        Outcome::Answered(verdict(&expected, &reader.text, reader.ended))
    }
}

/// Reads the reason of a refusal from its response.
pub(crate) async fn refusal(response: Response) -> Refusal {
    let status = response.status().as_u16();
    let text = response.text().await.unwrap_or_default();
    let body = serde_json::from_str(&text).unwrap_or(Value::String(text));
    Refusal::of(status, &body)
}

struct ResponseReader {
    intended: Instant,
    send_delay: Duration,
    text: String,
    ended: bool,
    tokens: u64,
    first: Option<Duration>,
    last: Option<Instant>,
    between: Vec<Duration>,
}

impl ResponseReader {
    fn add(&mut self, text: &str) {
        if text.is_empty() {
            return;
        }
        self.text.push_str(text);
        self.tokens += 1;
        let now = Instant::now();
        match self.last {
            None => self.first = Some(now - self.intended),
            Some(last) => self.between.push(now - last),
        }
        self.last = Some(now);
    }

    fn into_measured(self, outcome: Outcome) -> Measured {
        Measured {
            outcome,
            tokens: self.tokens,
            send_delay: self.send_delay,
            first_token: self.first,
            between: self.between,
            whole: self.intended.elapsed(),
        }
    }
}
