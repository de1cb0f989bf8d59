//! Which service and software version began a stream.
//!
//! A client whose connection breaks resumes its stream at any node, also when
//! the node that began it is gone. What two software versions generate does not
//! fit together, so the node has to know the version before it sends the
//! request. A node that began a stream therefore sends an [`Origin`] to a few
//! other nodes, its holders, when the first event is forwarded. A node that
//! resumes the stream asks the same holders. A client names the attempt that
//! received the first event; the streams of clients that do not are found by
//! the content of their requests.
//!
//! This crate does no I/O: [`HolderRing`] determines the holders of a
//! stream, [`OriginTable`] stores origins for a limited time, and [`Lookup`]
//! decides what the answers of the holders mean.
//!
//! ```
//! use base::Millis;
//! use pomeloslip_origins::{
//!     Answer, Lookup, Origin, OriginTable, StreamId, StreamKey, Verdict,
//! };
//!
//! let stream = StreamKey::of_attempt("", "9c41d07be2a35f68");
//! let origin = Origin::began_at("engines", "v1".parse()?);
//! let mut table = OriginTable::default();
//! let now = Millis::new(0);
//! table.record(stream, origin.clone(), 5_000, now);
//! assert_eq!(table.find(stream, now), Some(&origin));
//!
//! let mut lookup = Lookup::new(StreamId::Attempt(stream), 2);
//! assert_eq!(lookup.receive(0, Answer::Unknown), None);
//! let verdict = lookup.receive(1, Answer::Known(origin));
//! assert!(matches!(verdict, Some(Verdict::Known(_))));
//! # Ok::<(), fleet::VersionError>(())
//! ```

mod key;
mod lookup;
mod origin;
mod ring;
mod table;

pub use crate::{
    key::{StreamId, StreamKey, StreamKeys},
    lookup::{Answer, Lookup, Verdict},
    origin::{Beginning, Origin},
    ring::{HOLDERS, HolderNode, HolderRing},
    table::{MAX_LIFETIME_MS, MAX_ORIGINS, OriginTable},
};
