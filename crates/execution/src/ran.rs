use std::fmt;

use serde::{Deserialize, Serialize};

/// The peer did not receive a whole request in time.
const REQUEST_TIMEOUT: u16 = 408;

/// The peer is not the one that the request is for.
const MISDIRECTED_REQUEST: u16 = 421;

/// The caller has sent too many requests.
const TOO_MANY_REQUESTS: u16 = 429;

/// The peer has no room, or is not ready.
const SERVICE_UNAVAILABLE: u16 = 503;

/// The response of an endpoint is lost or says nothing about the request.
const BAD_GATEWAY: u16 = 502;

/// The deadline of the request has passed.
const GATEWAY_TIMEOUT: u16 = 504;

/// Reports whether a status promises that a request did not run and never
/// will.
///
/// # Example
///
/// ```
/// use pomeloslip_execution::promises_not_run;
///
/// assert!(promises_not_run(503));
/// assert!(!promises_not_run(502));
/// ```
#[inline]
pub const fn promises_not_run(status: u16) -> bool {
    matches!(
        status,
        REQUEST_TIMEOUT
            | MISDIRECTED_REQUEST
            | TOO_MANY_REQUESTS
            | SERVICE_UNAVAILABLE
    )
}

/// Whether a request ran, as far as a node knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Ran {
    /// The request did not run and never will.
    No,
    /// The request may have run.
    Unknown,
}

impl Ran {
    /// Returns the status that a caller may get in place of `status`.
    ///
    /// Statuses that promise nothing are returned as they are. If the request
    /// may have run, 408 becomes 504 and any other promise 502, which leave
    /// open whether it ran.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_execution::Ran;
    ///
    /// assert_eq!(Ran::No.status(429), 429);
    /// assert_eq!(Ran::Unknown.status(429), 502);
    /// assert_eq!(Ran::Unknown.status(408), 504);
    /// assert_eq!(Ran::Unknown.status(404), 404);
    /// ```
    #[must_use]
    pub const fn status(self, status: u16) -> u16 {
        match self {
            Ran::Unknown if status == REQUEST_TIMEOUT => GATEWAY_TIMEOUT,
            Ran::Unknown if promises_not_run(status) => BAD_GATEWAY,
            Ran::No | Ran::Unknown => status,
        }
    }

    /// Returns the name that problem documents and logs have for it.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_execution::Ran;
    ///
    /// assert_eq!(Ran::Unknown.as_str(), "unknown");
    /// ```
    #[inline]
    pub const fn as_str(self) -> &'static str {
        match self {
            Ran::No => "no",
            Ran::Unknown => "unknown",
        }
    }
}

impl fmt::Display for Ran {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}
