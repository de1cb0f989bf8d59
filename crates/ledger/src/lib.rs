//! Batch job ledger with fencing, as a state machine without I/O.
//!
//! [`Ledger`] decides which partitions this process owns, which companion runs
//! which item and when an item is complete. The caller passes in events and
//! requests ([`Ledger::handle`], [`Ledger::pull`], [`Ledger::result`]) and
//! carries out the returned actions ([`Action`]). Time and random numbers are
//! arguments; the caller owns the key-value service, the blob store and the
//! clock.
//!
//! The ledger requires that each [`WriteAction`] runs as one transaction that
//! compares the owner key and the revision of each record. A record holds the
//! complete settlement state of its job, so any reader of the record knows
//! which items are settled, even if the responses to earlier writes were lost.
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
//! let empty = Event::MembershipRead {
//!     revision: Some(1),
//!     members: vec![],
//!     owners: vec![],
//! };
//! let actions = ledger.handle(at(5), empty);
//! assert!(matches!(actions[..], [Action::Join { ttl_s: 10 }]));
//! ```
//!
//! The path of an item, from the claim of its partition to the commit of its
//! result:
//!
//! ```
//! use base::{Millis, UnixMillis};
//! use pomeloslip_ledger::{
//!     Ack, Action, Event, JobRecord, Ledger, Moment, OpenJobMarker, Options,
//!     PartitionOwner, PullRequest, RunOutcome, VersionedRecord,
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
//! let options = Options::default().partitions(1);
//! let mut ledger = Ledger::new("entry-1", 7, options);
//! ledger.handle(at(0), Event::Joined {
//!     sent_at: Millis::new(0),
//!     lease: Some(9),
//! });
//! let owner = PartitionOwner {
//!     partition: 0,
//!     member: "entry-1".to_owned(),
//!     lease: 9,
//!     fence: 4,
//! };
//! ledger.handle(at(0), Event::MembershipRead {
//!     revision: Some(5),
//!     members: vec!["entry-1".to_owned()],
//!     owners: vec![owner],
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
//! let outcome = RunOutcome::Completed("the answer\n".into());
//! let ack = ledger.result(at(4), &job, item.index, item.grant, outcome);
//! assert_eq!(ack, Ack::Settled);
//! // Results are stored first, then the transaction that refers to them is
//! // written.
//! let actions = ledger.handle(at(1_000), Event::Tick);
//! let is_store = |action: &Action| matches!(action, Action::Store { .. });
//! assert!(actions.iter().any(is_store));
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
