//! Inputs and outputs of the ledger: events, requests, actions and responses.

use base::{Customer, JobId, Millis, UnixMillis, VmId};
use bytes::Bytes;

use crate::{Chunk, JobRecord, Page, Sink};

/// Time and a random number, supplied by the caller with each input.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Monotonic time.
    pub now: Millis,
    /// Wall-clock time.
    pub unix: UnixMillis,
    /// A new random number.
    pub random: u64,
}

/// Identifies a commit of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct CommitId(pub(crate) u64);

/// The owner of a partition, as read from the key-value service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartitionOwner {
    /// The partition.
    pub partition: u32,
    /// Member that owns the partition.
    pub member: String,
    /// Lease of the owner.
    pub lease: i64,
    /// Fencing token: the create revision of the owner key.
    pub fence: u64,
}

/// The marker key of an open job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenJobMarker {
    /// The job.
    pub job: JobId,
    /// Revision of the marker; a cancel increases it.
    pub revision: u64,
}

/// A job record with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedRecord {
    /// The record.
    pub record: JobRecord,
    /// Revision of the last write to the record.
    pub revision: u64,
}

/// Outcome of a conditional write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// The write took effect at this revision.
    Applied(u64),
    /// A compare failed.
    Conflict,
    /// The write certainly had no effect.
    NotApplied,
    /// The response was lost; the write may have taken effect.
    Unknown,
}

/// An event for [`Ledger::handle`](crate::Ledger::handle). Each [`Action`]
/// except [`Action::GiveUp`] is followed by exactly one event, even if the
/// call failed.
#[derive(Clone, Debug)]
pub enum Event {
    /// Periodic timer.
    Tick,
    /// Result of [`Action::Join`].
    Joined {
        /// Time at which the request was sent.
        sent_at: Millis,
        /// The lease.
        lease: Option<i64>,
    },
    /// Result of [`Action::Renew`].
    Renewed {
        /// Time at which the request was sent.
        sent_at: Millis,
        /// The lease.
        lease: i64,
        /// `Some(true)` if the lease was renewed, `Some(false)` if it no
        /// longer exists, `None` if the call failed.
        alive: Option<bool>,
    },
    /// Result of [`Action::ReadMembership`].
    MembershipRead {
        /// Revision of the read; `None` if the read failed.
        revision: Option<u64>,
        /// Members whose lease is alive.
        members: Vec<String>,
        /// Owners of partitions.
        owners: Vec<PartitionOwner>,
    },
    /// Result of [`Action::Claim`].
    Claimed {
        /// The partition.
        partition: u32,
        /// Lease under which the partition was claimed.
        lease: i64,
        /// Fencing token if the partition is owned now; `None` if it is not
        /// owned or the outcome is unknown.
        fence: Option<u64>,
    },
    /// Result of [`Action::Release`], successful or not.
    Released {
        /// The partition.
        partition: u32,
        /// Fencing token that was released.
        fence: u64,
    },
    /// Result of [`Action::List`].
    Listed {
        /// The partition.
        partition: u32,
        /// Fencing token of the action.
        fence: u64,
        /// Markers of open jobs; `None` if the read failed.
        markers: Option<Vec<OpenJobMarker>>,
    },
    /// Result of [`Action::Load`].
    Loaded {
        /// The partition.
        partition: u32,
        /// Fencing token of the action.
        fence: u64,
        /// The job.
        job: JobId,
        /// Revision of the marker that caused the read.
        marker: u64,
        /// The job record; `Ok(None)` if it does not exist.
        found: Result<Option<Box<VersionedRecord>>, ()>,
    },
    /// Result of [`Action::Store`].
    Stored {
        /// The commit.
        commit: CommitId,
        /// A chunk reference for each part, in order; `None` if any part was
        /// not stored.
        chunks: Option<Vec<Chunk>>,
    },
    /// Result of [`Action::Write`].
    Written {
        /// The commit.
        commit: CommitId,
        /// Outcome of the write.
        outcome: WriteOutcome,
    },
    /// Result of [`Action::ReadBack`].
    ReadBack {
        /// The commit.
        commit: CommitId,
        /// Records as stored now; `None` if the read failed.
        found: Option<Vec<VersionedRecord>>,
    },
}

/// Result lines for one file of a job, to be stored before they are committed.
#[derive(Clone, Debug)]
pub struct Part {
    /// The job.
    pub job: JobId,
    /// File that the lines belong to.
    pub sink: Sink,
    /// ID to store the blob under.
    pub blob: String,
    /// Number of lines.
    pub items: u32,
    /// The lines.
    pub bytes: Bytes,
}

/// The updated record of one job in a commit.
#[derive(Clone, Debug)]
pub struct RecordUpdate {
    /// The record.
    pub record: JobRecord,
    /// Revision that the stored record must still have.
    pub revision: u64,
    /// Pages moved out of the record.
    pub pages: Vec<Page>,
}

/// A transaction that writes all records if every compare holds.
#[derive(Clone, Debug)]
pub struct WriteAction {
    /// The commit.
    pub commit: CommitId,
    /// The partition.
    pub partition: u32,
    /// Fencing token: the create revision that the owner key must have. `None`
    /// only with an injected fault.
    pub fence: Option<u64>,
    /// Records to write. The marker of a record that is no longer open is
    /// deleted.
    pub records: Vec<RecordUpdate>,
}

/// An action for the caller to carry out.
#[derive(Clone, Debug)]
pub enum Action {
    /// Obtain a lease and write the key of this member under it.
    Join {
        /// Time to live of the lease, in seconds.
        ttl_s: u32,
    },
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: i64,
    },
    /// Read members and owners at one revision.
    ReadMembership,
    /// Create the owner key if it does not exist.
    Claim {
        /// The partition.
        partition: u32,
        /// The lease.
        lease: i64,
    },
    /// Delete the owner key if it still has this create revision.
    Release {
        /// The partition.
        partition: u32,
        /// Fencing token: the create revision of the owner key.
        fence: u64,
    },
    /// Read the markers of a partition's open jobs.
    List {
        /// The partition.
        partition: u32,
        /// Fencing token, returned in the event.
        fence: u64,
    },
    /// Read a job record.
    Load {
        /// The partition.
        partition: u32,
        /// Fencing token, returned in the event.
        fence: u64,
        /// The job.
        job: JobId,
        /// Revision of the marker, returned in the event.
        marker: u64,
    },
    /// Store parts on two data VMs.
    Store {
        /// The commit.
        commit: CommitId,
        /// Parts to store.
        parts: Vec<Part>,
    },
    /// Run a transaction.
    Write(WriteAction),
    /// Read the records of a commit whose outcome is unknown.
    ReadBack {
        /// The commit.
        commit: CommitId,
        /// The partition.
        partition: u32,
        /// Jobs of the commit.
        jobs: Vec<JobId>,
    },
    /// Create the error line of an item whose grants all expired without a
    /// result, and pass it to [`Ledger::give_up`](crate::Ledger::give_up).
    GiveUp {
        /// The job.
        job: JobId,
        /// Index of the item in the job.
        index: u32,
        /// Number of failed attempts.
        attempts: u32,
    },
}

/// A request of a companion for items.
#[derive(Clone, Debug)]
pub struct PullRequest<'a> {
    /// VM of the companion.
    pub vm: &'a VmId,
    /// Incarnation of the companion.
    pub incarnation: u64,
    /// Models of its endpoint; empty if unknown.
    pub models: &'a [String],
    /// Maximum number of items to grant.
    pub capacity: u32,
    /// Grants that the companion still runs.
    pub running: &'a [u64],
}

/// An item that is granted to a companion.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Granted {
    /// Identifies the grant.
    pub grant: u64,
    /// Partition of the job.
    pub partition: u32,
    /// Fencing token of the owner.
    pub fence: u64,
    /// The job.
    pub job: JobId,
    /// Index of the item in the job.
    pub index: u32,
    /// Number of failed attempts before this one.
    pub attempt: u32,
    /// Customer that owns the job.
    pub customer: Customer,
    /// Due time of the job.
    pub due: UnixMillis,
}

/// The response to a pull.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PullResponse {
    /// New grants.
    pub items: Vec<Granted>,
    /// Grants whose runs the companion must stop immediately.
    pub revoked: Vec<u64>,
    /// Whether more items could be granted.
    pub more: bool,
}

/// Outcome of running an item at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// A complete response; carries the output line.
    Completed(Bytes),
    /// A rejection that every endpoint would repeat; carries the error line.
    Rejected(Bytes),
    /// A retryable failure; carries the error line to use if attempts are
    /// exhausted.
    Failed(Bytes),
    /// Returned by the companion without an attempt.
    Returned,
    /// Held by the quarantine; the item must not run yet.
    Quarantined {
        /// Delay until the item may run, in milliseconds.
        for_ms: u64,
    },
}

/// Acknowledges a result: what the ledger did with it.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ack {
    /// The result settled the item and awaits its commit.
    Settled,
    /// The item is open again.
    Reopened,
    /// The item was already settled, or its job is not owned here.
    Ignored,
}

/// Summary of the ledger for operators.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerStatus {
    /// Number of owned partitions.
    pub partitions: usize,
    /// Number of open jobs in owned partitions.
    pub open_jobs: usize,
    /// Number of jobs expected to miss their due time.
    pub jobs_at_risk: usize,
    /// Number of granted items.
    pub grants: usize,
    /// Number of results that await a commit.
    pub pending_results: usize,
}
