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
//! whole completion state of its job, so whoever reads it has_seen_members which items
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
//! assert!(matches!(actions[..], [Action::ReadMembership]));
//! let nobody = Event::MembershipRead {
//!     revision: Some(1),
//!     members: vec![],
//!     owners: vec![],
//! };
//! let actions = ledger.handle(at(5), nobody);
//! assert!(matches!(actions[..], [Action::Join { ttl_s: 10 }]));
//! ```
//!
//! An item from the claim of its partition to its commit:
//!
//! ```
//! use base::{Millis, UnixMillis};
//! use pomeloslip_ledger::{
//!     Action, Event, RunOutcome, JobRecord, Ledger, OpenJobMarker, Moment, Options,
//!     PartitionOwner, PullRequest, VersionedRecord, Ack,
//! };
//! # use serde_json::json;
//! # let at = |ms| Moment {
//! #     now: Millis::new(ms),
//! #     unix: UnixMillis::new(ms),
//! #     random: 1,
//! # };
//! # let record: JobRecord = serde_json::from_value(json!({
//! #     "id": "batch_1", "tenant": "taevakorv", "content": "",
//! #     "input": "file-1", "path": "/v1/completions", "window": "1h",
//! #     "metadata": null, "created": 0, "due": 3600000, "ended": null,
//! #     "state": "in_progress", "items": 2, "done": [], "failed": [],
//! #     "output": [], "errors": [], "operation": 0,
//! # }))?;
//!
//! let mut ledger = Ledger::new("entry-1", 7, Options::default().partitions(1));
//! ledger.handle(at(0), Event::Joined {
//!     sent_at: Millis::new(0),
//!     lease: Some(9),
//! });
//! let own = PartitionOwner {
//!     partition: 0,
//!     member: "entry-1".to_owned(),
//!     lease: 9,
//!     fence: 4,
//! };
//! ledger.handle(at(0), Event::MembershipRead {
//!     revision: Some(5),
//!     members: vec!["entry-1".to_owned()],
//!     owners: vec![own],
//! });
//! let job = record.id.clone();
//! let marker = OpenJobMarker {
//!     job: job.clone(),
//!     revision: 1,
//! };
//! let actions = ledger.handle(at(1), Event::Listed {
//!     partition: 0,
//!     fence: 4,
//!     markers: Some(vec![marker]),
//! });
//! assert!(matches!(actions[..], [Action::Load { .. }]));
//! let found = VersionedRecord {
//!     record,
//!     revision: 1,
//! };
//! ledger.handle(at(2), Event::Loaded {
//!     partition: 0,
//!     fence: 4,
//!     job: job.clone(),
//!     marker: 1,
//!     found: Ok(Some(Box::new(found))),
//! });
//!
//! let vm = "vm-1".parse()?;
//! let request = PullRequest {
//!     vm: &vm,
//!     incarnation: 1,
//!     models: &[],
//!     capacity: 1,
//!     running: &[],
//! };
//! let item = ledger.pull(at(3), &request).items.remove(0);
//! let line = RunOutcome::Completed("the answer\n".into());
//! let taken = ledger.result(at(4), &job, item.index, item.grant, line);
//! assert_eq!(taken, Ack::Settled);
//! // The results are stored first, then their transaction is written.
//! let actions = ledger.handle(at(1_000), Event::Tick);
//! let stores = |action: &Action| matches!(action, Action::Store { .. });
//! assert!(actions.iter().any(stores));
//! # Ok::<(), Box<dyn std::error::Error>>(())
//! ```

mod assignment;
mod commit;
mod grants;
mod job;
mod lease;
mod machine;
mod message;
mod options;
mod ownership;
mod ranges;
mod record;
mod risk;

pub use crate::{
    assignment::assign,
    machine::Ledger,
    message::{
        Ack, Action, CommitId, Event, Granted, LedgerStatus, Moment,
        OpenJobMarker, Part, PartitionOwner, PullRequest, PullResponse,
        RecordUpdate, RunOutcome, VersionedRecord, WriteAction, WriteOutcome,
    },
    options::{InjectedFault, Options},
    ranges::RangeSet,
    record::{
        Chunk, JobRecord, JobState, MAX_INLINE_CHUNKS, Page, Sink,
        partition_of,
    },
};
