//! What goes into the ledger and comes out of it.

use base::{Customer, JobId, Millis, UnixMillis, VmId};
use bytes::Bytes;

use crate::{Chunk, JobRecord, Page, Sink};

/// The time and a random number, read by the caller for each event.
#[derive(Clone, Copy, Debug)]
pub struct Moment {
    /// Monotonic time.
    pub now: Millis,
    /// Calendar time.
    pub unix: UnixMillis,
    /// A fresh random number.
    pub random: u64,
}

/// Names one commit of this process.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct CommitId(pub(crate) u64);

/// An entry that shares the partitions, as seen in the service.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct PartitionOwner {
    /// Partition.
    pub partition: u32,
    /// Its owner.
    pub member: String,
    /// The owner's lease.
    pub lease: i64,
    /// Create revision of the key.
    pub fence: u64,
}

/// The marker of an open job.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct OpenJobMarker {
    /// The job.
    pub job: JobId,
    /// Revision of the marker; a cancel raises it.
    pub revision: u64,
}

/// A job's record with its revision.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct VersionedRecord {
    /// The record.
    pub record: JobRecord,
    /// Revision of its last write.
    pub revision: u64,
}

/// What became of a guarded write.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum WriteOutcome {
    /// It took effect at this revision.
    Done(u64),
    /// A compare did not grant.
    Refused,
    /// It certainly had no effect.
    NotDone,
    /// Its answer is lost.
    Unknown,
}

/// What the ledger is told. Each [`Action`] but [`Action::GiveUp`] is answered by
/// one event, also when the call failed.
#[derive(Clone, Debug)]
pub enum Event {
    /// Time has passed.
    Tick,
    /// Answers [`Action::Join`]; `None` if it failed.
    Joined {
        /// When the call was sent.
        sent_at: Millis,
        /// The lease.
        lease: Option<i64>,
    },
    /// Answers [`Action::Renew`].
    Renewed {
        /// When the call was sent.
        sent_at: Millis,
        /// The lease.
        lease: i64,
        /// `Some(true)` if renewed, `Some(false)` if the lease is gone,
        /// `None` if the call failed.
        alive: Option<bool>,
    },
    /// Answers [`Action::ReadMembership`].
    MembershipRead {
        /// Revision of the read; `None` if it failed.
        revision: Option<u64>,
        /// Members that live.
        members: Vec<String>,
        /// Owners of partitions.
        owners: Vec<PartitionOwner>,
    },
    /// Answers [`Action::Claim`].
    Claimed {
        /// The partition.
        partition: u32,
        /// The lease that it was claimed under.
        lease: i64,
        /// Fencing number if it is owned now; `None` if not or not known.
        fence: Option<u64>,
    },
    /// Answers [`Action::Release`], however it went.
    Released {
        /// The partition.
        partition: u32,
        /// Fencing number that was given up.
        fence: u64,
    },
    /// Answers [`Action::List`].
    Listed {
        /// The partition.
        partition: u32,
        /// Fencing number of the list's action.
        fence: u64,
        /// Marks of open jobs; `None` if the read failed.
        markers: Option<Vec<OpenJobMarker>>,
    },
    /// Answers [`Action::Load`].
    Loaded {
        /// The partition.
        partition: u32,
        /// Fencing number of the load's action.
        fence: u64,
        /// The job.
        job: JobId,
        /// Revision of the marker that asked for it.
        marker: u64,
        /// Its record; `Ok(None)` if there is none.
        found: Result<Option<Box<VersionedRecord>>, ()>,
    },
    /// Answers [`Action::Store`].
    Stored {
        /// The commit.
        commit: CommitId,
        /// A reference for each part, in order; `None` if one is not stored.
        chunks: Option<Vec<Chunk>>,
    },
    /// Answers [`Action::Write`].
    Written {
        /// The commit.
        commit: CommitId,
        /// What became of it.
        outcome: WriteOutcome,
    },
    /// Answers [`Action::ReadBack`].
    ReadBack {
        /// The commit.
        commit: CommitId,
        /// The records that are there now; `None` if the read failed.
        found: Option<Vec<VersionedRecord>>,
    },
}

/// Results of one job and file, to be stored before they are committed.
#[derive(Clone, Debug)]
pub struct Part {
    /// The job.
    pub job: JobId,
    /// File that the lines belong to.
    pub sink: Sink,
    /// Id that the blob must get.
    pub blob: String,
    /// Lines.
    pub items: u32,
    /// The lines themselves.
    pub bytes: Bytes,
}

/// The next record of one job within a commit.
#[derive(Clone, Debug)]
pub struct RecordUpdate {
    /// The record.
    pub record: JobRecord,
    /// Revision that the record must still have.
    pub revision: u64,
    /// Pages that it no longer holds.
    pub pages: Vec<Page>,
}

/// One transaction: all records, if every compare holds.
#[derive(Clone, Debug)]
pub struct WriteAction {
    /// The commit.
    pub commit: CommitId,
    /// The partition.
    pub partition: u32,
    /// Create revision that the owner's key must have; `None` only with a
    /// injected_fault fault.
    pub fence: Option<u64>,
    /// The records. The marker of one that is no longer open is deleted.
    pub records: Vec<RecordUpdate>,
}

/// What the ledger wants done.
#[derive(Clone, Debug)]
pub enum Action {
    /// Obtain a lease and write this member's key under it.
    Join {
        /// Life of the lease, in seconds.
        ttl_s: u32,
    },
    /// Renew the lease.
    Renew {
        /// The lease.
        lease: i64,
    },
    /// Read members and owners at one revision.
    ReadMembership,
    /// Create the owner's key, if it does not exist.
    Claim {
        /// The partition.
        partition: u32,
        /// The lease.
        lease: i64,
    },
    /// Delete the owner's key, if it still has this create revision.
    Release {
        /// The partition.
        partition: u32,
        /// Its create revision.
        fence: u64,
    },
    /// Read the markers of a partition's open jobs.
    List {
        /// The partition.
        partition: u32,
        /// Fencing number, returned in the answer.
        fence: u64,
    },
    /// Read a job's record.
    Load {
        /// The partition.
        partition: u32,
        /// Fencing number, returned in the answer.
        fence: u64,
        /// The job.
        job: JobId,
        /// Revision of its marker, returned in the answer.
        marker: u64,
    },
    /// Store parts on two data VMs.
    Store {
        /// The commit.
        commit: CommitId,
        /// What to store.
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
        /// Its jobs.
        jobs: Vec<JobId>,
    },
    /// Make the error line of an item whose loans all ended without a word
    /// and hand it to [`Ledger::give_up`](crate::Ledger::give_up).
    GiveUp {
        /// The job.
        job: JobId,
        /// Place in the job.
        index: u32,
        /// Attempts made.
        attempts: u32,
    },
}

/// A companion's request for items.
#[derive(Clone, Debug)]
pub struct PullRequest<'a> {
    /// Machine of the companion.
    pub vm: &'a VmId,
    /// Life of the companion.
    pub incarnation: u64,
    /// Models of its endpoint; empty if not known.
    pub models: &'a [String],
    /// Most items that it takes.
    pub capacity: u32,
    /// Grants that it still runs.
    pub running: &'a [u64],
}

/// An item on loan.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Granted {
    /// Names the loan.
    pub grant: u64,
    /// Partition of the job.
    pub partition: u32,
    /// Fencing number of the owner.
    pub fence: u64,
    /// The job.
    pub job: JobId,
    /// Place in the job.
    pub index: u32,
    /// Attempts before this one.
    pub attempt: u32,
    /// Customer.
    pub customer: Customer,
    /// When the job is due.
    pub due: UnixMillis,
}

/// The answer to a pull.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct PullResponse {
    /// New loans.
    pub items: Vec<Granted>,
    /// Loans to stop at once.
    pub revoked: Vec<u64>,
    /// Whether more items could be granted.
    pub more: bool,
}

/// How an item ended at an endpoint.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// A whole answer; its output line.
    Completed(Bytes),
    /// A refusal that every endpoint would repeat; its error line.
    Rejected(Bytes),
    /// Worth another attempt; the error line if it was the last.
    Failed(Bytes),
    /// Given back before it was tried.
    Returned,
    /// It may not be tried for now.
    Quarantined {
        /// When it may, in milliseconds from now.
        for_ms: u64,
    },
}

/// What the ledger did with a result.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Ack {
    /// The item is settled by it and waits for its commit.
    Settled,
    /// The item is open again.
    Reopened,
    /// The item is settled already or its job is not here.
    Ignored,
}

/// What a person needs to see of the ledger.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct LedgerStatus {
    /// Partitions that are owned.
    pub partitions: usize,
    /// Jobs of them that are open.
    pub open_jobs: usize,
    /// Jobs that are expected to be late.
    pub jobs_at_risk: usize,
    /// Items on loan.
    pub grants: usize,
    /// Results that wait for their commit.
    pub pending_results: usize,
}
