//! Streams at endpoints that pause, fail and refuse at random.

mod common;

use std::{
    env,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::mix;
use common::{chunk, fixture, header, request, route, stream_head, until};
use fleet::RouteKind;
use http_body_util::BodyExt;
use pomeloslip_pass::Forwarder;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

const ENDPOINTS: u64 = 5;
const STREAMS: u64 = 100;
const EVENTS: u64 = 12;
const MAX_ATTEMPTS: u32 = 3;

const NOT_RUN: &str = "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-not-run: 1\r\n\
                       content-length: 0\r\n\r\n";

/// Numbers from a seed.
struct Dice(u64);

impl Dice {
    fn roll(&mut self, sides: u64) -> u64 {
        self.0 = self.0.wrapping_add(1);
        mix(self.0) % sides
    }
}

/// Ids of the requests that endpoints ran, once for each run.
type Runs = Arc<Mutex<Vec<String>>>;

/// An endpoint's connection.
struct Connection {
    stream: TcpStream,
    dice: Dice,
    runs: Runs,
}

impl Connection {
    /// Serves requests until the client leaves or the dice end it.
    async fn serve(mut self) -> Option<()> {
        loop {
            let request = self.read_request().await?;
            let id = header(&request, "x-id").unwrap_or_default();
            if self.dice.roll(6) == 0 {
                self.write(&NOT_RUN.replace("ID", &id)).await?;
                continue;
            }
            self.runs.lock().expect("lock").push(id.clone());
            if self.dice.roll(4) == 0 {
                let pause_ms = 300 + self.dice.roll(1_500);
                self.pause(pause_ms).await?;
            }
            self.write(&stream_head().replace("ID", &id)).await?;
            let after = header(&request, "x-resume").unwrap_or_default();
            for n in after.parse().unwrap_or(0) + 1..=EVENTS {
                self.send_event(&event(&id, n)).await?;
            }
            self.write("0\r\n\r\n").await?;
        }
    }

    /// Sends an event in two parts, with a pause or a failure between them.
    async fn send_event(&mut self, event: &str) -> Option<()> {
        let cut = 1 + self.dice.roll(event.len() as u64 - 1) as usize;
        self.write(&chunk(&event[..cut])).await?;
        match self.dice.roll(60) {
            0..5 => {
                let pause_ms = 500 + self.dice.roll(1_200);
                self.pause(pause_ms).await?;
            }
            5 => return None,
            6 => self.write("no chunk\r\n").await?,
            _ => self.pause(1).await?,
        }
        self.write(&chunk(&event[cut..])).await
    }

    async fn read_request(&mut self) -> Option<String> {
        let mut bytes = Vec::new();
        while !bytes.ends_with(b"\r\n\r\nthe body") {
            bytes.push(self.stream.read_u8().await.ok()?);
        }
        Some(String::from_utf8_lossy(&bytes).into_owned())
    }

    async fn write(&mut self, text: &str) -> Option<()> {
        self.stream.write_all(text.as_bytes()).await.ok()
    }

    /// Pauses; returns `None` if the client leaves meanwhile.
    async fn pause(&mut self, ms: u64) -> Option<()> {
        let left = self.stream.read_u8();
        match timeout(Duration::from_millis(ms), left).await {
            Ok(_) => None,
            Err(_) => Some(()),
        }
    }
}

fn event(id: &str, n: u64) -> String {
    format!("id: {n}\ndata: event {n} of {id}\n\n")
}

async fn start_endpoint(seed: u64, runs: Runs) -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    let address = listener.local_addr().expect("address");
    tokio::spawn(async move {
        let mut seed = seed;
        while let Ok((stream, _)) = listener.accept().await {
            seed = mix(seed);
            let connection = Connection {
                stream,
                dice: Dice(seed),
                runs: runs.clone(),
            };
            tokio::spawn(connection.serve());
        }
    });
    address
}

/// What a client received.
struct Received {
    status: u16,
    text: String,
    is_complete: bool,
}

async fn call(forwarder: Arc<Forwarder>, id: String) -> Received {
    let route = route(RouteKind::ResumableStream)
        .with_times(5_000, 200)
        .with_max_attempts(MAX_ATTEMPTS);
    let response = forwarder.forward(request(&id, route), 1).await;
    let status = response.status().as_u16();
    let mut body = response.into_body();
    let mut received = Received {
        status,
        text: String::new(),
        is_complete: true,
    };
    while let Some(frame) = body.frame().await {
        match frame.map(|frame| frame.into_data().expect("data")) {
            Ok(data) => {
                received.text.push_str(&String::from_utf8_lossy(&data));
            }
            Err(_) => received.is_complete = false,
        }
    }
    received
}

/// Guards against events that are lost, doubled or joined, runs beyond the
/// attempts of the route, and offers that never end, whatever endpoints do.
#[tokio::test(flavor = "multi_thread", worker_threads = 2)]
async fn streams_are_whole_or_end_as_incomplete() {
    let seed = env::var("SILENCE_SEED").ok();
    let seed = seed.map_or(1, |seed| seed.parse().expect("a number"));
    let runs = Runs::default();
    let mut addresses = Vec::new();
    for n in 0..ENDPOINTS {
        addresses.push(start_endpoint(mix(seed ^ n), runs.clone()).await);
    }
    let setup = fixture(&addresses);
    let mut calls = Vec::new();
    for n in 0..STREAMS {
        let id = format!("r{n}");
        let call = call(setup.forwarder.clone(), id.clone());
        calls.push((id, tokio::spawn(call)));
        sleep(Duration::from_millis(30)).await;
    }
    let mut whole = 0;
    for (id, call) in calls {
        let received = call.await.expect("no panic");
        if received.status != 200 {
            continue;
        }
        let all: String = (1..=EVENTS).map(|n| event(&id, n)).collect();
        let text = received.text;
        assert!(all.starts_with(&text), "{id} of seed {seed}: {text}");
        let is_right = !received.is_complete || text == all;
        assert!(is_right, "{id} of seed {seed} ends as complete: {text}");
        whole += u64::from(received.is_complete);
    }
    assert!(whole > STREAMS / 2, "{whole} with seed {seed}");
    until(|| setup.endpoints.iter().all(|e| e.in_flight() == 0)).await;
    let runs = runs.lock().expect("lock").clone();
    for n in 0..STREAMS {
        let id = format!("r{n}");
        let count = runs.iter().filter(|run| **run == id).count();
        assert!(count <= MAX_ATTEMPTS as usize, "{id}, seed {seed}: {count}");
    }
}
