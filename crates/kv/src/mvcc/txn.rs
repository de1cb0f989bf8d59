use std::{cmp::Ordering, sync::Arc};

use crate::{
    LeaseId,
    mvcc::{KeyRange, RangeReply, Record},
};

/// Writes one key.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Put {
    /// Key to write.
    pub key: Vec<u8>,
    /// New value.
    pub value: Arc<[u8]>,
    /// Lease that the key is attached to.
    pub lease: Option<LeaseId>,
}

impl Put {
    /// Creates a write without a lease.
    pub fn new(key: impl Into<Vec<u8>>, value: impl AsRef<[u8]>) -> Self {
        Self {
            key: key.into(),
            value: value.as_ref().into(),
            lease: None,
        }
    }

    /// Attaches the key to a lease.
    #[must_use]
    pub fn with_lease(mut self, lease: LeaseId) -> Self {
        self.lease = Some(lease);
        self
    }
}

/// A step of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Step {
    /// Writes one key.
    Put(Put),
    /// Deletes the selected keys.
    Delete(KeyRange),
    /// Reads the selected keys in order.
    Range {
        /// Keys to read.
        range: KeyRange,
        /// Maximum number of keys; 0 means no limit.
        limit: usize,
    },
}

impl Step {
    /// Reports whether the step may change a key.
    #[inline]
    pub fn is_write(&self) -> bool {
        !matches!(self, Step::Range { .. })
    }
}

/// Property that a condition compares, with the value to compare to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operand {
    /// Number of writes since the key was created.
    Version(u64),
    /// Revision at which the key was created.
    CreateRevision(u64),
    /// Revision of the last write.
    ModRevision(u64),
    /// The value.
    Value(Vec<u8>),
    /// Id of the lease; 0 means none.
    Lease(i64),
}

/// Relation of a condition.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Relation {
    /// The stored value equals the given one.
    #[default]
    Equal,
    /// The stored value is greater.
    Greater,
    /// The stored value is less.
    Less,
    /// The values differ.
    NotEqual,
}

impl Relation {
    fn holds(self, found: Ordering) -> bool {
        match self {
            Relation::Equal => found.is_eq(),
            Relation::Greater => found.is_gt(),
            Relation::Less => found.is_lt(),
            Relation::NotEqual => found.is_ne(),
        }
    }
}

/// A condition of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Condition {
    /// Key to compare.
    pub key: Vec<u8>,
    /// Relation that must hold.
    pub relation: Relation,
    /// Property and value to compare.
    pub operand: Operand,
}

impl Condition {
    /// Reports whether the condition holds for the record of the key.
    ///
    /// For a missing key all numbers are 0, and no condition on the value
    /// holds.
    pub fn holds(&self, found: Option<&Record>) -> bool {
        let number = |of: fn(&Record) -> u64| found.map_or(0, of);
        let order = match &self.operand {
            Operand::Version(n) => number(|r| r.version).cmp(n),
            Operand::CreateRevision(n) => number(|r| r.create_revision).cmp(n),
            Operand::ModRevision(n) => number(|r| r.mod_revision).cmp(n),
            Operand::Value(value) => match found {
                Some(record) => record.value.as_ref().cmp(value),
                None => return false,
            },
            Operand::Lease(id) => found
                .and_then(|record| record.lease)
                .map_or(0, |lease| lease.0)
                .cmp(id),
        };
        self.relation.holds(order)
    }
}

/// A transaction: runs `success` if all conditions hold, otherwise `failure`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Steps if all conditions hold.
    pub success: Vec<Step>,
    /// Steps otherwise.
    pub failure: Vec<Step>,
}

impl Transaction {
    /// Creates a transaction without conditions.
    pub fn of(steps: impl IntoIterator<Item = Step>) -> Self {
        Self {
            success: steps.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Reports whether either branch has a write step.
    pub fn is_write(&self) -> bool {
        self.success.iter().chain(&self.failure).any(Step::is_write)
    }
}

/// Result of a step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StepReply {
    /// The key was written.
    Put {
        /// Record before the write.
        previous: Option<Record>,
    },
    /// These records were deleted.
    Deleted(Vec<Record>),
    /// The keys that were read.
    Range(RangeReply),
}

/// Result of a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Whether the `success` branch ran.
    pub succeeded: bool,
    /// Whether the branch that ran has write steps.
    pub is_write: bool,
    /// Revision of the store after the transaction.
    pub revision: u64,
    /// One result for each step of the branch that ran.
    pub replies: Vec<StepReply>,
}
