//! Validated YAML: errors that name the file, line, column, key and nearest
//! valid word.
//!
//! [`parse`] and [`read`] take any serde type and reject unknown, missing
//! and duplicate keys, wrong types, a second document, aliases and tags.
//! They report all problems at once (up to [`MAX_PROBLEMS`]), each on a line
//! `FILE:LINE:COLUMN: KEY: message; did you mean "x"?`:
//!
//! ```
//! use pomeloslip_conf::parse;
//! use serde::Deserialize;
//!
//! #[derive(Debug, Deserialize)]
//! struct Timeouts {
//!     connect_ms: u64,
//!     drain_ms: u64,
//! }
//!
//! let text = "conect_ms: 5\ndrain_ms: soon\nconnect_ms: 5\n";
//! let report = parse::<Timeouts>("a.yaml", text).unwrap_err();
//! let lines = report.current_context().to_string();
//! assert_eq!(
//!     lines,
//!     "a.yaml:1:1: conect_ms: unknown key; \
//!      did you mean \"connect_ms\"?\n\
//!      a.yaml:2:11: drain_ms: expected u64, found string \"soon\"",
//! );
//! ```
//!
//! [`parse_checked`] and [`read_checked`] also run the semantic checks of a
//! type ([`Check`]): ranges, names that must be defined, names that must be
//! unique. The problems that they report have locations as well.

mod address;
mod de;
mod document;
mod error;
mod fault;
mod findings;
mod load;
mod nearest;
mod node;
mod one_or_many;
pub mod settings;

/// Maximum number of problems reported for one document.
pub const MAX_PROBLEMS: usize = 20;

pub use crate::{
    address::{AddressError, HttpAddress, parse_socket},
    document::{MAX_DOCUMENT_BYTES, parse, parse_checked, read, read_checked},
    error::{ConfError, Location, Problem},
    findings::{Check, Findings, UniqueNames},
    nearest::nearest,
    one_or_many::OneOrMany,
};
