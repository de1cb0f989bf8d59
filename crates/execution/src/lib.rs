//! Decides whether a request may have run, and which status its caller may get.
//!
//! The statuses 408, 421, 429 and 503 promise the caller that its request did
//! not run and never will. Callers repeat a request after such a promise, also
//! one that may run only once. An endpoint gives these statuses for reasons of
//! its own, so that a status alone is no promise of the system.
//!
//! - [`Evidence`] is what is known of one copy of a request that was offered to
//!   an endpoint.
//! - [`PossibleRuns`] counts the copies of one request that ran, may have run
//!   or may still run. Each offer begins with [`PossibleRuns::begin`], and the
//!   count falls only with evidence that the copy did not run.
//! - [`Ran`] is the result: [`Ran::status`] returns the status that a caller
//!   may get in place of one that would promise too much.
//!
//! Every role that answers callers uses these types: a second decision
//! elsewhere would have to know of each way on which a request is sent.
//!
//! # Example
//!
//! ```
//! use pomeloslip_execution::{Evidence, PossibleRuns, Ran};
//!
//! let runs = PossibleRuns::default();
//! let first = runs.begin();
//! first.mark_sent();
//! first.settle(Evidence::of_response(503, true));
//! assert_eq!(runs.ran(), Ran::No);
//! assert_eq!(runs.ran().status(503), 503);
//!
//! let second = runs.begin();
//! second.mark_sent();
//! second.settle(Evidence::of_response(503, false));
//! assert_eq!(runs.ran(), Ran::Unknown);
//! assert_eq!(runs.ran().status(503), 502);
//! ```

mod evidence;
mod ran;
mod runs;

pub use crate::{
    evidence::Evidence,
    ran::{Ran, promises_not_run},
    runs::{OfferedRun, PossibleRuns},
};
