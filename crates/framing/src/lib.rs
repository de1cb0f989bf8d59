//! Decides whether the body of an HTTP response is complete.
//!
//! A response with a length, or in chunks, marks its own end. A response with
//! neither ends with its connection, and so does a response whose sender
//! crashed: the operating system closes the connections of a process that
//! ends in the same way as the process itself does. Only the content can then
//! tell the two apart. A reader that takes the end of the connection for the
//! end of the response passes a partial response on as complete.
//!
//! - [`Framing`] is how the end of a body is marked.
//! - [`Content`] is a kind of body whose end shows in its bytes: server-sent
//!   events end after a blank line, a JSON value after its last bracket.
//! - [`BodyCheck`] combines the two. Every reader of a response pushes the
//!   bytes that it receives and calls [`BodyCheck::finish`] at the end of the
//!   body. Without its `Ok`, the response is incomplete.
//! - [`EventScanner`] finds the ends of the events for code that also splits
//!   a stream.
//!
//! The crate does no I/O. Losses that the connection itself reports, such as
//! a reset, a missing last chunk or a body that is shorter than its length,
//! are errors of the HTTP library and never reach it.
//!
//! # Example
//!
//! ```
//! use http::{HeaderMap, HeaderValue, Version, header};
//! use pomeloslip_framing::{BodyCheck, Content, Framing, Truncation};
//!
//! let mut headers = HeaderMap::new();
//! let events = HeaderValue::from_static("text/event-stream");
//! headers.insert(header::CONTENT_TYPE, events);
//! let framing = Framing::of(Version::HTTP_11, &headers, None);
//! assert_eq!(framing, Framing::UntilClose);
//!
//! let mut check = BodyCheck::new(framing, Content::of(&headers));
//! check.push(b"data: one\n\ndata: tw");
//! assert_eq!(check.finish(), Err(Truncation::InsideEvent));
//! check.push(b"o\n\n");
//! assert_eq!(check.finish(), Ok(()));
//! ```
//!
//! # Limits
//!
//! A body without length and chunks counts as complete if its content has no
//! structure, or if it was cut exactly between two events. Nothing in the
//! response shows the difference.
//!
//! # Rejected alternatives
//!
//! - Refusing responses with neither length nor chunks: they are valid.
//! - A check in each consumer of a body: the consumer of streams that can
//!   resume had one, the consumer of all other streams had none.

mod check;
mod events;
mod framing;
mod json;

pub use crate::{
    check::{BodyCheck, Content, MAX_EVENT_BYTES, Truncation},
    events::EventScanner,
    framing::Framing,
};
