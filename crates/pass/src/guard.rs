use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    pin::Pin,
    task::{Context, Poll},
};

use http::{HeaderValue, Response};

use crate::{HandlerFuture, Refusal, ResponseBody};

/// Answers a request whose handler panics, which would otherwise end its
/// connection without a response.
pub(crate) struct PanicGuard {
    handling: HandlerFuture,
    /// Id of the request, for the log.
    id: Option<HeaderValue>,
}

impl PanicGuard {
    pub(crate) fn new(
        handling: HandlerFuture,
        id: Option<HeaderValue>,
    ) -> Self {
        Self { handling, id }
    }
}

impl Future for PanicGuard {
    type Output = Response<ResponseBody>;

    fn poll(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Self::Output> {
        let handling = self.handling.as_mut();
        let polled = catch_unwind(AssertUnwindSafe(|| handling.poll(cx)));
        polled.unwrap_or_else(|_| {
            let refusal = Refusal::unknown("an internal error");
            let id = self.id.as_ref().and_then(|id| id.to_str().ok());
            log::error!(
                request_id = id.unwrap_or_default(),
                status = refusal.status().as_u16();
                "the handler of a request panicked"
            );
            Poll::Ready(refusal.into_response())
        })
    }
}
