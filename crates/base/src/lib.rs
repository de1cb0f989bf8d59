//! Domain types, time, timers and snapshots that every other crate uses.
//!
//! The crate does no I/O apart from reading the clocks. Code that decides
//! takes the time ([`Millis`]), randomness and identities as arguments, so
//! that a run can be replayed from a seed:
//!
//! ```
//! use pomeloslip_base::{Class, Millis, Customer};
//!
//! let customer: Customer = "taevakorv".parse()?;
//! let now = Millis::new(1_000);
//! assert_eq!(now.saturating_add_ms(500).as_ms(), 1_500);
//! assert_eq!(customer.as_str(), "taevakorv");
//! assert_eq!(Class::Online.as_str(), "online");
//! # Ok::<(), pomeloslip_base::IdError>(())
//! ```
//!
//! Names are validated once, when they are parsed, and are valid from then
//! on ([`Customer`], [`Model`], [`EndpointName`], [`VmId`],
//! [`FailureDomain`], [`JobId`], [`RequestId`]). Plain strings would need a
//! check at each use, and any of these checks could be forgotten.

mod class;
mod digest;
mod hash;
mod id;
mod retention;
pub mod snapshot;
pub mod time;
pub mod timer;
mod version;

pub use crate::{
    class::Class,
    digest::{
        KeyDigest, KeyDigestError, RequestContent, RequestDigest,
        RequestDigestError,
    },
    hash::{mix, stable_hash},
    id::{
        Customer, EndpointName, FailureDomain, FileId, IdError, Incarnation,
        JobId, Model, RequestId, Revision, Service, VmId,
    },
    retention::blob_day_prefix,
    snapshot::Snapshot,
    time::{Clock, Millis, SteppedClock, SystemClock, UnixMillis},
    version::VersionKey,
};
