//! Forwards a request to an endpoint and starts its response.

mod attempt;
mod attempts;
mod event;
pub(crate) mod prefix;
mod resume;
mod standby;
mod start;

use std::sync::Arc;

use obs::{Counter, Series};
use web::Problem;
use wire::message::Header;

use self::{
    attempt::{BufferedReply, Reply},
    attempts::Attempts,
};
pub(crate) use self::{
    attempt::{StreamingReply, record_incomplete},
    resume::{Resume, ResumedStream},
    standby::{Prepared, Standby},
};
use crate::{
    body::{BodyEnd, Framing, OnEnd, ResponseBody},
    exchange::Exchange,
    shared::{Admitted, Shared},
};

/// A response that has started.
pub(crate) struct Started {
    pub(crate) status: u16,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: ResponseBody,
}

/// Serves a request from the pools of its plan.
///
/// # Errors
///
/// A problem document that states whether the request ran.
pub(crate) async fn forward(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    admitted: Admitted,
) -> Result<Started, Problem> {
    let mut attempts = Attempts::new(exchange);
    let reply = attempts.next(shared, exchange, 0).await?;
    record_first_token(shared, exchange);
    let on_end = on_end(shared, exchange);
    let (status, headers, mut body) = match reply {
        Reply::Buffered(buffered) => {
            let BufferedReply {
                status,
                headers,
                body,
                flight,
            } = buffered;
            (status, headers, ResponseBody::full(body, on_end, flight))
        }
        Reply::Streaming(answer) => {
            let status = answer.status;
            let headers = answer.headers.clone();
            let body = body(shared, exchange, attempts, answer, on_end);
            (status, headers, body)
        }
    };
    body.hold_admission(admitted);
    Ok(Started {
        status,
        headers,
        body,
    })
}

fn body(
    shared: &Arc<Shared>,
    exchange: &Exchange,
    attempts: Attempts,
    answer: StreamingReply,
    on_end: OnEnd,
) -> ResponseBody {
    let metrics = exchange.metrics.clone();
    let class = exchange.class;
    let on_chunk = Arc::new(move |_| metrics.count(Counter::Tokens, class, 1));
    let resume = match (answer.status, answer.framing) {
        (200, Framing::Events) => Resume::try_new(shared, exchange, attempts),
        _ => None,
    };
    let (timer, ended) = (shared.timer.clone(), exchange.clone());
    let deadline = async move { ended.until_deadline(&timer).await };
    ResponseBody::new(answer, on_chunk, on_end, resume).with_deadline(deadline)
}

fn record_first_token(shared: &Shared, exchange: &Exchange) {
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
    let deadline_ms = exchange.plan.deadline_ms;
    Box::new(move |ended: &BodyEnd| {
        let ms = timer.now().saturating_ms_since(received);
        metrics.record(Series::TotalMs, class, ms);
        let counter = match ended {
            BodyEnd::Complete => Counter::Completed,
            BodyEnd::Interrupted(_) => Counter::Failed,
            BodyEnd::CallerLeft => Counter::Cancelled,
        };
        metrics.count(counter, class, 1);
        let detail = ended.detail();
        let id = request_id.as_str();
        let BodyEnd::Interrupted(outcome) = ended else {
            log::debug!(request_id = id, total_ms = ms, detail; "response ended");
            return;
        };
        let kind = outcome.as_ref().map(|outcome| outcome.kind);
        log::info!(
            request_id = id, total_ms = ms, deadline_ms, kind:?, detail;
            "response ended early"
        );
    })
}
