//! State machine of a key-value store with revisions, leases and a change log.
//!
//! Its semantics match those of etcd for the operations that the system uses:
//! every write transaction increments the revision, changes stay readable
//! until they are compacted, and the expiry of a lease deletes its keys in one
//! transaction. The state machine has no I/O and no clock. The in-memory fake
//! ([`Memory`](crate::Memory)) and the stand-in server share it, so that both
//! have the same semantics.
//!
//! # Example
//!
//! ```
//! use base::Millis;
//! use pomeloslip_kv::mvcc::{KeyRange, Put, Step, Store, Transaction};
//!
//! let mut store = Store::default();
//! let lease = store.grant(Millis::new(0), None, 5)?;
//! let put = Put::new("owner", "a").with_lease(lease);
//! store.commit(&Transaction::of([Step::Put(put)]))?;
//! assert_eq!(store.range(&KeyRange::prefix("own"), 0, 0)?.count, 1);
//!
//! store.expire(Millis::new(5_000));
//! assert_eq!(store.range(&KeyRange::prefix("own"), 0, 0)?.count, 0);
//! assert_eq!(store.changes(&KeyRange::prefix(""), 1)?.len(), 2);
//! # Ok::<(), pomeloslip_kv::mvcc::StoreError>(())
//! ```

mod convert;
mod lease;
mod range;
mod store;
mod txn;

use std::fmt;

pub use self::{
    range::KeyRange,
    store::{Change, Limits, RangeReply, Record, Store},
    txn::{
        Condition, Operand, Outcome, Put, Relation, Step, StepReply,
        Transaction,
    },
};

/// Reason why the store rejected a call. The call had no effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// A key is empty.
    EmptyKey,
    /// A value exceeds the size limit.
    TooLarge,
    /// A transaction has too many operations or conditions.
    TooManyOps,
    /// A transaction writes one key twice.
    DuplicateKey,
    /// The lease has expired or does not exist.
    LeaseNotFound,
    /// A lease with this id exists.
    LeaseExists,
    /// The time to live of a lease is out of range.
    InvalidLeaseTtl,
    /// The revision has been compacted.
    Compacted,
    /// The revision is in the future.
    FutureRevision,
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StoreError::EmptyKey => "key is not provided",
            StoreError::TooLarge => "request is too large",
            StoreError::TooManyOps => "too many operations in txn request",
            StoreError::DuplicateKey => "duplicate key given in txn request",
            StoreError::LeaseNotFound => "requested lease not found",
            StoreError::LeaseExists => "lease already exists",
            StoreError::InvalidLeaseTtl => "too large lease TTL",
            StoreError::Compacted => {
                "mvcc: required revision has been compacted"
            }
            StoreError::FutureRevision => {
                "mvcc: required revision is a future revision"
            }
        })
    }
}

impl std::error::Error for StoreError {}
