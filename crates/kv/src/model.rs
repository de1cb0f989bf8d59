use std::{fmt, future::Future, pin::Pin, sync::Arc};

use error_stack::Report;

/// Says what became of a call to the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum KvError {
    /// The call certainly had no effect: no connection could be made or the
    /// service refused it.
    NotDone,
    /// The answer was lost; a write may have taken effect.
    Unknown,
    /// The lease has ended or never was.
    LeaseGone,
    /// The watch cannot go on from its revision because the service has
    /// compacted it; read the range again.
    Compacted,
    /// The request breaks a limit of the service, for example its size.
    Invalid,
}

impl fmt::Display for KvError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            KvError::NotDone => "the key-value service did not do the call",
            KvError::Unknown => "the answer of the key-value service is lost",
            KvError::LeaseGone => "the lease has ended",
            KvError::Compacted => "the watched revision is compacted",
            KvError::Invalid => "the key-value service rejects the call",
        })
    }
}

impl std::error::Error for KvError {}

/// Names a lease of the service.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd, Hash)]
pub struct LeaseId(pub i64);

/// One key with its value and revisions.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyValue {
    /// The key.
    pub key: String,
    /// The value.
    pub value: Vec<u8>,
    /// Revision at which the key came to be; serves as a fencing number.
    pub create_revision: u64,
    /// Revision of the last write to the key.
    pub mod_revision: u64,
    /// Lease that the key ends with, if any.
    pub lease: Option<LeaseId>,
}

/// A condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Compare {
    /// Holds if the key's last write was at this revision; 0 means that the
    /// key does not exist.
    ModRevision {
        /// Key to look at.
        key: String,
        /// Expected revision.
        equals: u64,
    },
    /// Holds if the key was created at this revision; 0 means that it does
    /// not exist.
    CreateRevision {
        /// Key to look at.
        key: String,
        /// Expected revision.
        equals: u64,
    },
}

/// A step of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Op {
    /// Writes one key.
    Put {
        /// Key to write.
        key: String,
        /// New value.
        value: Vec<u8>,
        /// Lease that the key ends with.
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
    /// Reads keys with a prefix, in order.
    GetPrefix {
        /// Common start of the keys.
        prefix: String,
        /// Most keys to return; 0 is no limit.
        limit: u32,
    },
}

/// A transaction: all of `success` if every comparison holds, else all of
/// `failure`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Txn {
    /// Conditions.
    pub compares: Vec<Compare>,
    /// Steps if all hold.
    pub success: Vec<Op>,
    /// Steps otherwise.
    pub failure: Vec<Op>,
}

/// Answer to one step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum OpReply {
    /// The key is written.
    Put,
    /// This many keys were deleted.
    Deleted(u64),
    /// The keys that were read.
    Read(Vec<KeyValue>),
}

/// Answer to a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct TxnReply {
    /// Tells which branch ran.
    pub succeeded: bool,
    /// Revision of the service after it.
    pub revision: u64,
    /// One answer for each step of that branch.
    pub replies: Vec<OpReply>,
}

/// Answer to a read.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct GetReply {
    /// Revision of the service at the read; a watch goes on from the next.
    pub revision: u64,
    /// The keys, in order.
    pub kvs: Vec<KeyValue>,
}

/// A change seen by a watch.
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

/// Changes that a watch delivers at once.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct WatchBatch {
    /// Revision that the batch reaches.
    pub revision: u64,
    /// Changes in order.
    pub events: Vec<Event>,
}

/// What the calls of [`Kv`] return.
pub type KvFuture<'a, T> =
    Pin<Box<dyn Future<Output = Result<T, Report<KvError>>> + Send + 'a>>;

/// Delivers the changes of a watch.
pub trait Watcher: Send {
    /// Waits for the next changes.
    ///
    /// # Errors
    ///
    /// Any error ends the watch. The holder reads the range again and starts
    /// a new watch, so that a gap is never passed over in silence.
    fn next(&mut self) -> KvFuture<'_, WatchBatch>;
}

/// A key-value service with compare-and-swap, leases and watches.
pub trait Kv: Send + Sync + 'static {
    /// Reads one key.
    fn get(&self, key: &str) -> KvFuture<'_, GetReply>;

    /// Reads the keys with a prefix; a `limit` of 0 is no limit.
    fn get_prefix(&self, prefix: &str, limit: u32) -> KvFuture<'_, GetReply>;

    /// Reads the keys with a prefix as they were up to some seconds ago, for
    /// callers that can do with that: it costs the service far less. Where
    /// there is no such read it is a read of now.
    fn get_prefix_stale(&self, prefix: &str) -> KvFuture<'_, GetReply> {
        self.get_prefix(prefix, 0)
    }

    /// Runs a transaction.
    ///
    /// # Errors
    ///
    /// [`KvError::Unknown`] if it may have taken effect.
    fn txn(&self, txn: Txn) -> KvFuture<'_, TxnReply>;

    /// Runs a transaction that may wait so long for those of other writers,
    /// to share a call with them. Where nothing collects them it runs at
    /// once.
    ///
    /// # Errors
    ///
    /// As [`txn`](Self::txn).
    fn txn_batched(
        &self,
        txn: Txn,
        _max_wait_ms: u64,
    ) -> KvFuture<'_, TxnReply> {
        self.txn(txn)
    }

    /// Grants a lease that ends `ttl_s` seconds after its last renewal.
    fn lease_grant(&self, ttl_s: u32) -> KvFuture<'_, LeaseId>;

    /// Renews a lease.
    ///
    /// # Errors
    ///
    /// [`KvError::LeaseGone`] if it has ended.
    fn lease_keep_alive(&self, lease: LeaseId) -> KvFuture<'_, ()>;

    /// Ends a lease and deletes its keys.
    fn lease_revoke(&self, lease: LeaseId) -> KvFuture<'_, ()>;

    /// Watches the keys with a prefix from a revision on.
    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> KvFuture<'_, Box<dyn Watcher>>;
}

/// A service whose transactions may all wait for those of other writers.
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
    /// Lets the transactions of a service wait for `max_wait_ms` each.
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
