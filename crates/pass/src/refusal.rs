use bytes::Bytes;
use execution::Ran;
use http::{HeaderValue, Response, StatusCode, header};

use crate::ResponseBody;

/// A response of the node itself in place of one of an endpoint.
///
/// # Example
///
/// ```
/// use http::StatusCode;
/// use pomeloslip_pass::{Ran, Refusal};
///
/// let refusal = Refusal::not_run("all endpoints are full")
///     .with_retry_after_ms(250);
/// assert_eq!(refusal.status(), StatusCode::SERVICE_UNAVAILABLE);
/// assert_eq!(refusal.ran(), Ran::No);
/// let response = refusal.into_response();
/// assert_eq!(response.headers()["retry-after"], "0.25");
/// ```
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Refusal {
    status: StatusCode,
    reason: &'static str,
    ran: Ran,
    retry_after_ms: Option<u64>,
    /// Whether the connection is closed after the response.
    closes: bool,
}

impl Refusal {
    /// Refuses a request that was never offered to an endpoint, so that it
    /// did not and will not run.
    pub fn not_run(reason: &'static str) -> Self {
        Self::new(StatusCode::SERVICE_UNAVAILABLE, reason, Ran::No)
    }

    /// Ends a request that may have run and has no response.
    pub fn unknown(reason: &'static str) -> Self {
        Self::ended(StatusCode::BAD_GATEWAY, reason)
    }

    /// Ends a request that may have run when its deadline passes.
    pub fn timed_out(reason: &'static str) -> Self {
        Self::ended(StatusCode::GATEWAY_TIMEOUT, reason)
    }

    /// Ends a request that may have run with a status that promises nothing.
    pub(crate) const fn ended(
        status: StatusCode,
        reason: &'static str,
    ) -> Self {
        Self::new(status, reason, Ran::Unknown)
    }

    /// Rejects a request that no route allows or that exceeds a limit.
    pub fn rejected(status: StatusCode, reason: &'static str) -> Self {
        Self::new(status, reason, Ran::No)
    }

    pub(crate) const fn body_too_large() -> Self {
        Self::new(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the body of the request is too large",
            Ran::No,
        )
        .closing()
    }

    const fn new(status: StatusCode, reason: &'static str, ran: Ran) -> Self {
        Self {
            status,
            reason,
            ran,
            retry_after_ms: None,
            closes: false,
        }
    }

    /// Closes the connection after the response, since the rest of the request
    /// is not read.
    #[must_use]
    pub(crate) const fn closing(mut self) -> Self {
        self.closes = true;
        self
    }

    /// Sets the time after which the client should retry.
    #[must_use]
    pub fn with_retry_after_ms(mut self, retry_after_ms: u64) -> Self {
        self.retry_after_ms = Some(retry_after_ms);
        self
    }

    /// Returns the status.
    #[inline]
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns whether the request ran.
    #[inline]
    pub fn ran(&self) -> Ran {
        self.ran
    }

    /// Returns the time after which the client should retry, if it is known.
    #[inline]
    pub fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Returns the reason, for the log.
    #[inline]
    pub fn reason(&self) -> &'static str {
        self.reason
    }

    /// Builds the response.
    pub fn into_response(self) -> Response<ResponseBody> {
        let text = format!(
            "{{\"title\":\"{}\",\"status\":{},\"ran\":\"{}\"}}",
            self.reason,
            self.status.as_u16(),
            self.ran,
        );
        let mut response =
            Response::new(ResponseBody::from_bytes(Bytes::from(text)));
        *response.status_mut() = self.status;
        let headers = response.headers_mut();
        headers.insert(
            header::CONTENT_TYPE,
            HeaderValue::from_static("application/problem+json"),
        );
        if self.closes {
            let close = HeaderValue::from_static("close");
            headers.insert(header::CONNECTION, close);
        }
        if let Some(ms) = self.retry_after_ms {
            let seconds = format!("{}", ms as f64 / 1_000.0);
            if let Ok(value) = HeaderValue::from_str(&seconds) {
                headers.insert(header::RETRY_AFTER, value);
            }
        }
        response
    }
}
