//! Group commit: transactions of several writers in one call.
//!
//! Most writes of a fleet are small and not urgent, for example lists of
//! results and checkpoints. If each writer makes its own calls, the number of
//! calls grows with the number of writers, however little each of them writes.
//! A [`GroupCommit`] collects the transactions that arrive within the wait
//! limits of their writers and sends them as one transaction.
//!
//! The transactions remain independent: if a comparison of one of them fails,
//! each is sent again on its own. This costs as many calls as without the
//! batch.

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

/// Set of transactions that can share one call, without I/O.
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
/// // Two writes of one key cannot go together.
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

    /// Adds a transaction if it fits within the limits and touches no key of
    /// another one, and reports whether it was added. The first one is always
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

/// Reports whether a transaction may share a call. A transaction that can fail
/// on its own, for example because its lease has expired, must not fail
/// others.
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
    queue: mpsc::UnboundedSender<PendingTxn>,
}

#[derive(Debug)]
struct PendingTxn {
    txn: Txn,
    deadline: Instant,
    reply: oneshot::Sender<TxnResult>,
}

impl GroupCommit {
    /// Starts the task that sends the batches. It ends when the last clone is
    /// dropped.
    pub fn start(kv: Arc<dyn Kv>, limits: BatchLimits) -> Self {
        let (queue, received) = mpsc::unbounded_channel();
        tokio::spawn(collect(kv.clone(), limits, received));
        Self { kv, queue }
    }

    /// Commits a transaction that may be delayed by up to `max_wait_ms` to
    /// share a call.
    ///
    /// # Errors
    ///
    /// As for [`Kv::txn`].
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
        if self.queue.send(pending).is_err() {
            return Err(Report::new(KvError::NotDone));
        }
        match response.await {
            Ok(result) => result,
            Err(_) => Err(Report::new(KvError::Unknown)),
        }
    }
}

async fn collect(
    kv: Arc<dyn Kv>,
    limits: BatchLimits,
    mut received: mpsc::UnboundedReceiver<PendingTxn>,
) {
    let mut queue: Vec<PendingTxn> = Vec::new();
    loop {
        let Some(deadline) =
            queue.iter().map(|pending| pending.deadline).min()
        else {
            match received.recv().await {
                Some(pending) => queue.push(pending),
                None => return,
            }
            continue;
        };
        let is_due =
            match time::timeout_at(deadline.into(), received.recv()).await {
                Ok(Some(pending)) => {
                    queue.push(pending);
                    false
                }
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

/// Removes the transactions that can share a call with the first one from the
/// queue.
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
    if let Ok(reply) = &result
        && !reply.succeeded
        && count > 1
    {
        // A comparison of one transaction failed, so none was applied.
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
