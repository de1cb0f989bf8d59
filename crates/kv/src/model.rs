use std::{fmt, future::Future, pin::Pin, sync::Arc};

use error_stack::Report;

/// Outcome of a failed call to the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KvError {
    /// The call had no effect: no connection could be made, or the service
    /// refused the call.
    NotDone,
    /// The response was lost; a write may have taken effect.
    Unknown,
    /// The lease has expired or does not exist.
    LeaseGone,
    /// The watch cannot resume from its revision because that revision is
    /// compacted. Read the range again.
    Compacted,
    /// The request violates a limit of the service, for example the size
    /// limit.
    Invalid,
}

impl fmt::Display for KvError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            KvError::NotDone => {
                "the key-value service did not execute the call"
            }
            KvError::Unknown => {
                "the response of the key-value service was lost"
            }
            KvError::LeaseGone => "the lease has expired",
            KvError::Compacted => "the watched revision has been compacted",
            KvError::Invalid => "the key-value service rejected the call",
        })
    }
}

impl std::error::Error for KvError {}

/// Id of a lease.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct LeaseId(pub i64);

/// One key with its value and revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision at which the key was created; serves as a fencing token.
    pub create_revision: u64,
    /// Revision of the last write to the key.
    pub mod_revision: u64,
    /// Lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// Holds if the last write to the key has this revision; 0 means that the
    /// key does not exist.
    ModRevision {
        /// Key to compare.
        key: String,
        /// Expected revision.
        equals: u64,
    },
    /// Holds if the key was created at this revision; 0 means that the key
    /// does not exist.
    CreateRevision {
        /// Key to compare.
        key: String,
        /// Expected revision.
        equals: u64,
    },
}

/// An operation of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Writes one key.
    Put {
        /// Key to write.
        key: String,
        /// New value.
        value: Vec<u8>,
        /// Lease that the key is attached to.
        lease: Option<LeaseId>,
    },
    /// Deletes one key.
    Delete {
        /// Key to delete.
        key: String,
    },
    /// Reads one key.
    Get {
        /// Key to read.
        key: String,
    },
    /// Reads the keys with a prefix, in order.
    GetPrefix {
        /// Prefix of the keys.
        prefix: String,
        /// Maximum number of keys; 0 means no limit.
        limit: u32,
    },
}

/// A transaction: runs `success` if all comparisons hold, otherwise `failure`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Comparisons.
    pub compares: Vec<Compare>,
    /// Operations if all comparisons hold.
    pub success: Vec<Op>,
    /// Operations otherwise.
    pub failure: Vec<Op>,
}

/// Result of an operation.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OpReply {
    /// The key was written.
    Put,
    /// This many keys were deleted.
    Deleted(u64),
    /// The keys that were read.
    Read(Vec<KeyValue>),
}

/// Response to a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TxnReply {
    /// Whether the `success` branch ran.
    pub succeeded: bool,
    /// Revision of the store after the transaction.
    pub revision: u64,
    /// One result for each operation of the branch that ran.
    pub replies: Vec<OpReply>,
}

/// Response to a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GetReply {
    /// Revision of the store at the time of the read; a watch resumes from the
    /// next one.
    pub revision: u64,
    /// The keys, in order.
    pub kvs: Vec<KeyValue>,
}

/// A change that a watch delivers.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Event {
    /// A key was written.
    Put(KeyValue),
    /// A key was deleted.
    Delete {
        /// The key.
        key: String,
        /// Revision of the deletion.
        mod_revision: u64,
    },
}

/// Changes that a watch delivers together.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// Revision up to which the changes are complete.
    pub revision: u64,
    /// Changes in order of their revisions.
    pub events: Vec<Event>,
}

/// Future that the methods of [`Kv`] return.
pub type KvFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, Report<KvError>>> + Send + 'a>>;

/// Delivers the changes of a watch.
pub trait Watcher: Send {
    /// Waits for the next changes.
    ///
    /// # Errors
    ///
    /// Any error ends the watch. The caller reads the range again and starts a
    /// new watch, so that no gap goes unnoticed.
    fn next(&mut self) -> KvFuture<'_, WatchBatch>;
}

/// A key-value service with compare-and-swap, leases and watches.
pub trait Kv: Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> KvFuture<'_, GetReply>;

    /// Reads the keys with a prefix; a `limit` of 0 means no limit.
    fn get_prefix(&self, prefix: &str, limit: u32) -> KvFuture<'_, GetReply>;

    /// Reads the keys with a prefix from a copy that may be some seconds
    /// stale, at a much lower cost to the key-value service. The default
    /// implementation makes a current read.
    fn get_prefix_stale(&self, prefix: &str) -> KvFuture<'_, GetReply> {
        self.get_prefix(prefix, 0)
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// [`KvError::Unknown`] if it may have taken effect.
    fn txn(&self, txn: Txn) -> KvFuture<'_, TxnReply>;

    /// Runs a transaction that may be delayed by up to `max_wait_ms` to share
    /// a call with those of other writers. The default implementation runs it
    /// immediately.
    ///
    /// # Errors
    ///
    /// As for [`txn`](Self::txn).
    fn txn_batched(
        &self,
        txn: Txn,
        _max_wait_ms: u64,
    ) -> KvFuture<'_, TxnReply> {
        self.txn(txn)
    }

    /// Grants a lease that expires `ttl_s` seconds after its last renewal.
    fn lease_grant(&self, ttl_s: u32) -> KvFuture<'_, LeaseId>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`KvError::LeaseGone`] if the lease has expired.
    fn lease_keep_alive(&self, lease: LeaseId) -> KvFuture<'_, ()>;

    /// Revokes a lease and deletes its keys.
    fn lease_revoke(&self, lease: LeaseId) -> KvFuture<'_, ()>;

    /// Watches the keys with a prefix, starting at a revision.
    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> KvFuture<'_, Box<dyn Watcher>>;
}

/// Adapter that lets all transactions share calls with those of other writers.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use pomeloslip_kv::{Kv, Memory, BatchingKv, Txn};
///
/// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
/// let kv = BatchingKv::new(Arc::new(Memory::default()), 250);
/// assert!(kv.txn(Txn::default()).await.is_ok());
/// # });
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Clone)]
pub struct BatchingKv {
    kv: Arc<dyn Kv>,
    max_wait_ms: u64,
}

impl BatchingKv {
    /// Creates an adapter whose transactions may each be delayed by up to
    /// `max_wait_ms`.
    pub fn new(kv: Arc<dyn Kv>, max_wait_ms: u64) -> Self {
        Self { kv, max_wait_ms }
    }
}

impl Kv for BatchingKv {
    fn get(&self, key: &str) -> KvFuture<'_, GetReply> {
        self.kv.get(key)
    }

    fn get_prefix(&self, prefix: &str, limit: u32) -> KvFuture<'_, GetReply> {
        self.kv.get_prefix(prefix, limit)
    }

    fn get_prefix_stale(&self, prefix: &str) -> KvFuture<'_, GetReply> {
        self.kv.get_prefix_stale(prefix)
    }

    fn txn(&self, txn: Txn) -> KvFuture<'_, TxnReply> {
        self.kv.txn_batched(txn, self.max_wait_ms)
    }

    fn lease_grant(&self, ttl_s: u32) -> KvFuture<'_, LeaseId> {
        self.kv.lease_grant(ttl_s)
    }

    fn lease_keep_alive(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        self.kv.lease_keep_alive(lease)
    }

    fn lease_revoke(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        self.kv.lease_revoke(lease)
    }

    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> KvFuture<'_, Box<dyn Watcher>> {
        self.kv.watch(prefix, from_revision)
    }
}
