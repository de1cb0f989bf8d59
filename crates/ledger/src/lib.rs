//! Fenced batch ledger as a state machine without I/O.
//!
//! [`Ledger`] decides which partitions this process owns, which item runs
//! where and when it is complete. It is told what happened
//! ([`Ledger::handle`], [`Ledger::pull`], [`Ledger::result`]) and returns
//! what to do ([`Action`]); time and random numbers are arguments. The
//! caller owns the key-value service, the blobs and the clock.
//!
//! What it relies on: each [`WriteAction`] is one transaction that compares
//! the owner's key and the revision of each record. A record holds the
//! whole completion state of its job, so whoever reads it knows which items
//! are settled, whatever became of the answers before.
//!
//! # Example
//!
//! ```
//! use base::{Millis, UnixMillis};
//! use pomeloslip_ledger::{Action, Event, Ledger, Moment, Options};
//!
//! let mut ledger = Ledger::new("entry-1", 7, Options::default());
//! let at = |ms| Moment {
//!     now: Millis::new(ms),
//!     unix: UnixMillis::new(ms),
//!     random: 1,
//! };
//! let actions = ledger.handle(at(0), Event::Tick);
//! assert!(matches!(actions[..], [Action::Look]));
//! let nobody = Event::Looked {
//!     revision: Some(1),
//!     members: vec![],
//!     owners: vec![],
//! };
//! let actions = ledger.handle(at(5), nobody);
//! assert!(matches!(actions[..], [Action::Join { ttl_s: 10 }]));
//! ```

mod commit;
mod grants;
mod job;
mod machine;
mod message;
mod options;
mod ownership;
mod ranges;
mod record;
mod risk;
mod spread;
mod tenure;

pub use crate::{
    machine::Ledger,
    message::{
        Action, CommitId, Event, Granted, ItemEnd, LedgerStatus, MarkSeen,
        Moment, NextRecord, OwnerSeen, Part, PullAnswer, PullRequest,
        RecordSeen, Taken, WriteAction, WriteOutcome,
    },
    options::{Options, PlantedFault},
    ranges::RangeSet,
    record::{
        CHUNKS_KEPT_MAX, Chunk, JobRecord, JobState, Page, Sink, partition_of,
    },
    spread::assign,
};
