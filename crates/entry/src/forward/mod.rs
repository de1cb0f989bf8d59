//! Sends a request to an endpoint and starts its answer.

mod attempt;
mod event;
mod prefix;
mod resume;
mod start;
mod tries;

use std::sync::Arc;

use obs::{Counter, Series};
use web::Problem;
use wire::message::Header;

pub(crate) use self::{
    attempt::{Answering, note_end},
    resume::{Again, Resume},
};
use self::{
    attempt::{Reply, Whole},
    tries::Tries,
};
use crate::{
    body::{AnswerBody, Ended, Framing, OnEnd},
    exchange::Exchange,
    shared::{Admitted, Shared},
};

/// The start of an answer.
pub(crate) struct Started {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: AnswerBody,
}

/// Serves a request from the pools of its plan.
///
/// # Errors
///
/// A problem document that says whether the request ran.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    admitted: Admitted,
) -> Result<Started, Problem> {
    let mut tries = Tries::new(exchange);
    let reply = tries.next(shared, exchange, 0).await?;
    note_first(shared, exchange);
    let on_end = on_end(shared, exchange);
    let (status, headers, mut body) = match reply {
        Reply::Whole(whole) => {
            let Whole {
                status,
                headers,
                body,
                flight,
            } = whole;
            (status, headers, AnswerBody::whole(body, on_end, flight))
        }
        Reply::Streaming(answer) => {
            let status = answer.status;
            let headers = answer.headers.clone();
            let body = body(shared, exchange, tries, answer, on_end);
            (status, headers, body)
        }
    };
    body.hold(admitted);
    Ok(Started {
        status,
        headers,
        body,
    })
}

fn body(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    tries: Tries,
    answer: Answering,
    on_end: OnEnd,
) -> AnswerBody {
    let metrics = exchange.metrics.clone();
    let class = exchange.class;
    let on_chunk = Arc::new(move |_| metrics.count(Counter::Tokens, class, 1));
    let resume = match (answer.status, answer.framing) {
        (200, Framing::Events) => Resume::of(shared, exchange, tries),
        _ => None,
    };
    AnswerBody::new(answer, on_chunk, on_end, resume)
}

fn note_first(shared: &Shared, exchange: &Exchange) {
    let now = shared.timer.now();
    let ms = now.saturating_ms_since(exchange.received);
    exchange
        .metrics
        .record(Series::FirstTokenMs, exchange.class, ms);
}

fn on_end(shared: &Shared, exchange: &Exchange) -> OnEnd {
    let metrics = exchange.metrics.clone();
    let class = exchange.class;
    let received = exchange.received;
    let timer = shared.timer.clone();
    let request_id = exchange.request_id.clone();
    Box::new(move |ended: &Ended| {
        let ms = timer.now().saturating_ms_since(received);
        metrics.record(Series::TotalMs, class, ms);
        let counter = match ended {
            Ended::Complete => Counter::Completed,
            Ended::Broken(_) => Counter::Failed,
            Ended::Left => Counter::Cancelled,
        };
        metrics.count(counter, class, 1);
        let detail = ended.detail();
        let id = request_id.as_str();
        log::debug!(request_id = id, total_ms = ms, detail; "answer ended");
    })
}
