//! Group commit: transactions of several writers in one call.
//!
//! Most writes of a fleet are small and not urgent, for example checkpoints
//! and lists of results. If each writer makes its own calls, the number of
//! calls grows with the number of writers, however little each of them writes.
//! A [`GroupCommit`] collects transactions until one of them has waited as
//! long as its writer allows or the batch is full, and sends them as one
//! transaction.
//!
//! The transactions remain independent: if a comparison of one of them fails,
//! or the key-value service rejects the call because of one of them, none of
//! them is applied, and each is sent again on its own. Sending them again costs
//! as many calls as without the batch.

use std::{
    sync::Arc,
    time::{Duration, Instant},
};

use error_stack::Report;
use indexmap::IndexSet;
use tokio::{
    sync::{mpsc, oneshot},
    time,
};

use crate::{Compare, Kv, KvError, Op, Txn, TxnReply};

/// Limits of one call to the key-value service.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchLimits {
    /// Maximum number of comparisons and operations together.
    pub max_ops: usize,
    /// Maximum size of all values together, in bytes.
    pub max_bytes: usize,
}

impl Default for BatchLimits {
    fn default() -> Self {
        Self {
            max_ops: 32,
            max_bytes: 2 * 1024 * 1024,
        }
    }
}

/// The result of a transaction as its writer receives it.
pub type TxnResult = Result<TxnReply, Report<KvError>>;

/// Set of transactions that can share one call. A batch does no I/O itself.
///
/// # Example
///
/// ```
/// use pomeloslip_kv::{
///     Op, Txn,
///     batch::{Batch, BatchLimits},
/// };
///
/// let put = |key: &str| Txn {
///     success: vec![Op::Put {
///         key: key.to_owned(),
///         value: vec![1],
///         lease: None,
///     }],
///     ..Txn::default()
/// };
/// let mut batch = Batch::new(BatchLimits::default());
/// assert!(batch.add(&put("a")));
/// assert!(batch.add(&put("b")));
/// // Two writes of one key cannot share a call.
/// assert!(!batch.add(&put("a")));
/// assert_eq!(batch.into_txn().success.len(), 2);
/// ```
#[derive(Debug)]
pub struct Batch {
    limits: BatchLimits,
    keys: IndexSet<String>,
    ops: usize,
    bytes: usize,
    txn: Txn,
}

impl Batch {
    /// Creates an empty batch.
    pub fn new(limits: BatchLimits) -> Self {
        Self {
            limits,
            keys: IndexSet::new(),
            ops: 0,
            bytes: 0,
            txn: Txn::default(),
        }
    }

    /// Adds a transaction if the batch stays within its limits and no earlier
    /// transaction in it compares, reads or writes the same key. Reports
    /// whether the transaction was added. The first transaction is always
    /// added, so that an oversized transaction does not wait forever.
    pub fn add(&mut self, txn: &Txn) -> bool {
        let (ops, bytes) = (op_count(txn), value_bytes(txn));
        let keys = touched_keys(txn);
        let fits = self.ops + ops <= self.limits.max_ops
            && self.bytes + bytes <= self.limits.max_bytes
            && !keys.iter().any(|key| self.keys.contains(*key));
        if self.ops > 0 && !fits {
            return false;
        }
        self.ops += ops;
        self.bytes += bytes;
        self.keys.extend(keys.into_iter().map(str::to_owned));
        self.txn.compares.extend(txn.compares.iter().cloned());
        self.txn.success.extend(txn.success.iter().cloned());
        true
    }

    /// Returns the batch as one transaction.
    pub fn into_txn(self) -> Txn {
        self.txn
    }
}

fn op_count(txn: &Txn) -> usize {
    txn.compares.len() + txn.success.len()
}

fn value_bytes(txn: &Txn) -> usize {
    let values = txn.success.iter().map(|op| match op {
        Op::Put { value, .. } => value.len(),
        _ => 0,
    });
    values.sum()
}

fn touched_keys(txn: &Txn) -> IndexSet<&str> {
    let compared = txn.compares.iter().map(|compare| match compare {
        Compare::ModRevision { key, .. }
        | Compare::CreateRevision { key, .. } => key.as_str(),
    });
    let touched = txn.success.iter().map(|op| match op {
        Op::Put { key, .. } | Op::Delete { key } | Op::Get { key } => {
            key.as_str()
        }
        Op::GetPrefix { prefix, .. } => prefix.as_str(),
    });
    compared.chain(touched).collect()
}

/// Reports whether a transaction may share a call. A transaction that can make
/// the whole call fail, for example because its lease has expired, may not,
/// since the other transactions would fail with it.
pub fn is_batchable(txn: &Txn) -> bool {
    let is_leaseless_write = |op: &Op| match op {
        Op::Put { lease, .. } => lease.is_none(),
        Op::Delete { .. } => true,
        Op::Get { .. } | Op::GetPrefix { .. } => false,
    };
    txn.failure.is_empty() && txn.success.iter().all(is_leaseless_write)
}

/// Collects the transactions of many writers and sends them in batches.
///
/// # Example
///
/// ```
/// use std::sync::Arc;
///
/// use pomeloslip_kv::{
///     Memory, Op, Txn,
///     batch::{BatchLimits, GroupCommit},
/// };
///
/// # tokio::runtime::Builder::new_current_thread().enable_all().build()?
/// # .block_on(async {
/// let kv = Memory::default();
/// let group =
///     GroupCommit::start(Arc::new(kv.clone()), BatchLimits::default());
/// let put = |key: &str| Txn {
///     success: vec![Op::Put {
///         key: key.to_owned(),
///         value: vec![1],
///         lease: None,
///     }],
///     ..Txn::default()
/// };
/// let (first, second) =
///     tokio::join!(group.commit(put("a"), 20), group.commit(put("b"), 500));
/// assert_eq!(first?.revision, second?.revision);
/// # Ok::<(), error_stack::Report<pomeloslip_kv::KvError>>(())
/// # }).expect("written");
/// # Ok::<(), std::io::Error>(())
/// ```
#[derive(Clone)]
pub struct GroupCommit {
    kv: Arc<dyn Kv>,
    sender: mpsc::UnboundedSender<PendingTxn>,
}

#[derive(Debug)]
struct PendingTxn {
    txn: Txn,
    /// When the transaction is sent at the latest.
    deadline: Instant,
    reply: oneshot::Sender<TxnResult>,
}

impl GroupCommit {
    /// Starts the task that sends the batches. The task ends when the last
    /// clone of the returned value is dropped and all transactions are sent.
    pub fn start(kv: Arc<dyn Kv>, limits: BatchLimits) -> Self {
        let (sender, receiver) = mpsc::unbounded_channel();
        tokio::spawn(send_batches(kv.clone(), limits, receiver));
        Self { kv, sender }
    }

    /// Commits a transaction that may be delayed by up to `max_wait_ms` to
    /// share a call.
    ///
    /// # Errors
    ///
    /// The errors of [`Kv::txn`]; also [`KvError::NotDone`] if the task ended
    /// before it was given the transaction, and [`KvError::Unknown`] if it
    /// ended before it responded.
    pub async fn commit(&self, txn: Txn, max_wait_ms: u64) -> TxnResult {
        if !is_batchable(&txn) {
            return self.kv.txn(txn).await;
        }
        let (reply, response) = oneshot::channel();
        let pending = PendingTxn {
            txn,
            deadline: Instant::now() + Duration::from_millis(max_wait_ms),
            reply,
        };
        if self.sender.send(pending).is_err() {
            return Err(Report::new(KvError::NotDone));
        }
        match response.await {
            Ok(result) => result,
            Err(_) => Err(Report::new(KvError::Unknown)),
        }
    }
}

async fn send_batches(
    kv: Arc<dyn Kv>,
    limits: BatchLimits,
    mut receiver: mpsc::UnboundedReceiver<PendingTxn>,
) {
    let mut queue: Vec<PendingTxn> = Vec::new();
    loop {
        let Some(deadline) =
            queue.iter().map(|pending| pending.deadline).min()
        else {
            match receiver.recv().await {
                Some(pending) => queue.push(pending),
                None => return,
            }
            continue;
        };
        let is_due =
            match time::timeout_at(deadline.into(), receiver.recv()).await {
                Ok(Some(pending)) => {
                    queue.push(pending);
                    false
                }
                // Either all writers are gone, or the deadline has passed.
                Ok(None) | Err(_) => true,
            };
        if is_due || is_full(&queue, limits) {
            let (txn, batched) = take_batch(&mut queue, limits);
            tokio::spawn(send(kv.clone(), txn, batched));
        }
    }
}

fn is_full(queue: &[PendingTxn], limits: BatchLimits) -> bool {
    let ops = queue.iter().map(|pending| op_count(&pending.txn));
    let bytes = queue.iter().map(|pending| value_bytes(&pending.txn));
    ops.sum::<usize>() >= limits.max_ops
        || bytes.sum::<usize>() >= limits.max_bytes
}

/// Removes from the queue the first transaction and those that can share a
/// call with it. Returns them as one transaction and one by one.
fn take_batch(
    queue: &mut Vec<PendingTxn>,
    limits: BatchLimits,
) -> (Txn, Vec<PendingTxn>) {
    let mut batch = Batch::new(limits);
    let (batched, remaining) = std::mem::take(queue)
        .into_iter()
        .partition(|pending| batch.add(&pending.txn));
    *queue = remaining;
    (batch.into_txn(), batched)
}

async fn send(kv: Arc<dyn Kv>, txn: Txn, batched: Vec<PendingTxn>) {
    let count = batched.len();
    let result = kv.txn(txn).await;
    let is_refused = match &result {
        Ok(reply) => !reply.succeeded,
        Err(report) => *report.current_context() == KvError::Invalid,
    };
    if is_refused && count > 1 {
        // None was applied, because of one of them, so that each is sent again
        // on its own.
        for PendingTxn { txn, reply, .. } in batched {
            let kv = kv.clone();
            tokio::spawn(async move {
                // The send fails only if the writer has stopped waiting.
                let _ = reply.send(kv.txn(txn).await);
            });
        }
        return;
    }
    let mut replies = match &result {
        Ok(done) => done.replies.clone().into_iter(),
        Err(_) => Vec::new().into_iter(),
    };
    for PendingTxn { txn, reply, .. } in batched {
        let txn_result = match &result {
            Ok(done) => Ok(TxnReply {
                succeeded: done.succeeded,
                revision: done.revision,
                replies: replies.by_ref().take(txn.success.len()).collect(),
            }),
            Err(report) => Err(Report::new(*report.current_context())
                .attach(format!("in a batch of {count} transactions"))),
        };
        let _ = reply.send(txn_result);
    }
}
