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
    /// Lease that the key ends with.
    pub lease: Option<LeaseId>,
}

impl Put {
    /// Writes a key that no lease ends.
    pub fn new(key: impl Into<Vec<u8>>, value: impl AsRef<[u8]>) -> Self {
        Self {
            key: key.into(),
            value: value.as_ref().into(),
            lease: None,
        }
    }

    /// Ties the key to a lease.
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
        /// Most keys to return; 0 is no limit.
        limit: usize,
    },
}

impl Step {
    /// Tells whether the step may change a key.
    #[inline]
    pub fn is_write(&self) -> bool {
        !matches!(self, Step::Range { .. })
    }
}

/// What a condition compares, with the value to compare to.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Operand {
    /// Number of writes since the key came to be.
    Version(u64),
    /// Revision at which the key came to be.
    CreateRevision(u64),
    /// Revision of the last write.
    ModRevision(u64),
    /// The value.
    Value(Vec<u8>),
    /// Number of the lease, 0 for none.
    Lease(i64),
}

/// How a condition compares.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Relation {
    /// The found one equals the given one.
    #[default]
    Equal,
    /// The found one is greater.
    Greater,
    /// The found one is less.
    Less,
    /// They differ.
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
    /// Key to look at.
    pub key: Vec<u8>,
    /// How to compare.
    pub relation: Relation,
    /// What to compare.
    pub operand: Operand,
}

impl Condition {
    /// Tells whether the condition holds for the key's record.
    ///
    /// For a missing key every number is 0, and no condition on its value
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

/// All of `success` if every condition holds, else all of `failure`.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct Transaction {
    /// Conditions.
    pub conditions: Vec<Condition>,
    /// Steps if all hold.
    pub success: Vec<Step>,
    /// Steps otherwise.
    pub failure: Vec<Step>,
}

impl Transaction {
    /// Runs steps without a condition.
    pub fn of(steps: impl IntoIterator<Item = Step>) -> Self {
        Self {
            success: steps.into_iter().collect(),
            ..Self::default()
        }
    }

    /// Tells whether either branch has a writing step.
    pub fn is_write(&self) -> bool {
        self.success.iter().chain(&self.failure).any(Step::is_write)
    }
}

/// Answer to one step.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum StepReply {
    /// The key is written over this record.
    Put {
        /// Record before.
        previous: Option<Record>,
    },
    /// These records were deleted.
    Deleted(Vec<Record>),
    /// The keys that were read.
    Range(RangeReply),
}

/// Answer to a transaction.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Outcome {
    /// Tells which branch ran.
    pub succeeded: bool,
    /// Tells whether the branch has writing steps.
    pub is_write: bool,
    /// Revision of the store after it.
    pub revision: u64,
    /// One answer for each step of the branch.
    pub replies: Vec<StepReply>,
}
