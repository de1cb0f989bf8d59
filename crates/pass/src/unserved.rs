use execution::{PossibleRuns, Ran};
use http::StatusCode;

use crate::Refusal;

/// Why no response of an endpoint answers a request.
///
/// It does not tell whether the request ran: only [`Unserved::refuse`] decides
/// that, by the copies that were sent. So nothing that looks for an endpoint
/// can promise that a request did not run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Unserved {
    reason: &'static str,
    /// Status if the request did not run.
    status: StatusCode,
    /// Status if it may have run.
    lost_status: StatusCode,
    retry_after_ms: Option<u64>,
    /// Whether it may have run in any case.
    is_lost: bool,
}

impl Unserved {
    /// No endpoint takes the request.
    pub(crate) const fn refused(reason: &'static str) -> Self {
        Self::rejected(StatusCode::SERVICE_UNAVAILABLE, reason)
    }

    /// The request is not allowed.
    pub(crate) const fn rejected(
        status: StatusCode,
        reason: &'static str,
    ) -> Self {
        Self {
            reason,
            status,
            lost_status: StatusCode::BAD_GATEWAY,
            retry_after_ms: None,
            is_lost: false,
        }
    }

    /// The time of the request is up.
    pub(crate) const fn out_of_time(reason: &'static str) -> Self {
        Self {
            lost_status: StatusCode::GATEWAY_TIMEOUT,
            ..Self::refused(reason)
        }
    }

    /// A copy of the request may have run, and its response cannot be used;
    /// `status` is the one of the response, if there is one.
    pub(crate) fn lost(
        reason: &'static str,
        status: Option<StatusCode>,
    ) -> Self {
        let is_timeout = status == Some(StatusCode::REQUEST_TIMEOUT);
        let unserved = match is_timeout {
            true => Self::out_of_time(reason),
            false => Self::refused(reason),
        };
        Self {
            is_lost: true,
            ..unserved
        }
    }

    /// Sets the time after which the client should retry, if the request did
    /// not run.
    #[must_use]
    pub(crate) const fn with_retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Returns the time after which the client should retry, if it is known.
    pub(crate) const fn retry_after_ms(&self) -> Option<u64> {
        self.retry_after_ms
    }

    /// Returns the reason, for the log.
    pub(crate) const fn reason(&self) -> &'static str {
        self.reason
    }

    /// Refuses the request, of which `runs` counts the copies.
    pub(crate) fn refuse(self, runs: &PossibleRuns) -> Refusal {
        let ran = match self.is_lost {
            true => Ran::Unknown,
            false => runs.ran(),
        };
        match ran {
            Ran::Unknown => Refusal::ended(self.lost_status, self.reason),
            Ran::No => {
                let refusal = Refusal::rejected(self.status, self.reason);
                match self.retry_after_ms {
                    Some(ms) => refusal.with_retry_after_ms(ms),
                    None => refusal,
                }
            }
        }
    }
}
