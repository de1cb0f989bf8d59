use std::{
    panic::{AssertUnwindSafe, catch_unwind},
    pin::Pin,
    task::{Context, Poll},
};

use http::Response;

use crate::{HandlerFuture, Refusal, ResponseBody};

/// Answers a request whose handler panics, which would otherwise end its
/// connection without a response.
pub(crate) struct PanicGuard(HandlerFuture);

impl PanicGuard {
    pub(crate) fn new(handling: HandlerFuture) -> Self {
        Self(handling)
    }
}

impl Future for PanicGuard {
    type Output = Response<ResponseBody>;

    fn poll(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Self::Output> {
        let handling = self.0.as_mut();
        let polled = catch_unwind(AssertUnwindSafe(|| handling.poll(cx)));
        polled.unwrap_or_else(|_| {
            log::error!("the handler of a request panicked");
            let refusal = Refusal::unknown("an internal error");
            Poll::Ready(refusal.into_response())
        })
    }
}
