//! Altered encodings for tests of decoders.
//!
//! Bytes from other processes may be truncated, altered, or written by a
//! program that means other values than this one expects. A decoder either
//! returns a valid value or an error; it does not panic, and what it returns
//! can be used.
//!
//! - [`altered_bytes`] changes, removes, repeats and inserts bytes of a valid
//!   encoding.
//! - [`altered_json`] replaces values of a valid JSON text with extreme ones,
//!   or removes them, so that the result is still JSON and reaches the checks
//!   behind the parser.
//! - [`config`] runs the same cases each time.
//!
//! # Example
//!
//! ```
//! use pomeloslip_fuzz::{altered_json, config};
//! use proptest::test_runner::TestRunner;
//!
//! let mut runner = TestRunner::new(config(100));
//! let cases = altered_json(r#"{"slots": 8, "zone": "a"}"#);
//! runner
//!     .run(&cases, |bytes| {
//!         let decoded = serde_json::from_slice::<serde_json::Value>(&bytes);
//!         assert!(decoded.is_ok());
//!         Ok(())
//!     })
//!     .expect("no failing case");
//! ```
//!
//! # Rejected alternatives
//!
//! A coverage-guided fuzzer needs a nightly compiler and does not give the same
//! verdict in each run.

mod bytes;
mod json;

use proptest::test_runner::{Config, RngSeed};

pub use crate::{bytes::altered_bytes, json::altered_json};

/// Environment variable that multiplies the number of cases.
const FACTOR_VARIABLE: &str = "PROPERTY_FACTOR";

/// Returns a configuration with a fixed seed and a number of cases, which
/// `PROPERTY_FACTOR` multiplies.
///
/// # Example
///
/// ```
/// assert!(pomeloslip_fuzz::config(10).cases >= 10);
/// ```
pub fn config(cases: u32) -> Config {
    let factor = std::env::var(FACTOR_VARIABLE).ok();
    let factor = factor.and_then(|text| text.parse().ok()).unwrap_or(1);
    Config {
        cases: cases.saturating_mul(factor),
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..Config::default()
    }
}
