//! Transactions of several writers in one call.
//!
//! Most writes of a fleet are small and none of them is urgent: results that
//! are listed, progress that is saved. Where each writer makes a call of its
//! own, calls grow with the number of writers, however little each has to
//! write. A [`GroupCommit`] collects what comes within the time that the
//! writers can wait and sends it as one transaction.
//!
//! The transactions stay apart for their writers: if one of them compares
//! with what has changed, the others are sent again by themselves. That costs
//! the calls that it would have cost without the batch.

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

/// What one call to the service may hold.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct BatchLimits {
    /// Comparisons and steps together.
    pub max_ops: usize,
    /// Bytes of all values.
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

/// The result of a transaction as its writer gets it.
pub type TxnResult = Result<TxnReply, Report<KvError>>;

/// Transactions that can go together, without I/O.
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
    rows: usize,
    bytes: usize,
    txn: Txn,
}

impl Batch {
    /// Starts an empty batch.
    pub fn new(limits: BatchLimits) -> Self {
        Self {
            limits,
            keys: IndexSet::new(),
            rows: 0,
            bytes: 0,
            txn: Txn::default(),
        }
    }

    /// Adds a transaction if there is room for it and it touches no key of
    /// another one. The first one always fits, so that none waits for ever.
    pub fn add(&mut self, txn: &Txn) -> bool {
        let (rows, bytes) = (rows_of(txn), bytes_of(txn));
        let keys = keys_of(txn);
        let fits = self.rows + rows <= self.limits.max_ops
            && self.bytes + bytes <= self.limits.max_bytes
            && !keys.iter().any(|key| self.keys.contains(*key));
        if self.rows > 0 && !fits {
            return false;
        }
        self.rows += rows;
        self.bytes += bytes;
        self.keys.extend(keys.into_iter().map(str::to_owned));
        self.txn.compares.extend(txn.compares.iter().cloned());
        self.txn.success.extend(txn.success.iter().cloned());
        true
    }

    /// Returns all as one transaction.
    pub fn into_txn(self) -> Txn {
        self.txn
    }
}

fn rows_of(txn: &Txn) -> usize {
    txn.compares.len() + txn.success.len()
}

fn bytes_of(txn: &Txn) -> usize {
    let values = txn.success.iter().map(|op| match op {
        Op::Put { value, .. } => value.len(),
        _ => 0,
    });
    values.sum()
}

fn keys_of(txn: &Txn) -> IndexSet<&str> {
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

/// Tells whether a transaction may share a call: one that fails for a reason
/// of its own, such as a lease that is gone, must not fail others.
pub fn is_batchable(txn: &Txn) -> bool {
    let is_plain = |op: &Op| match op {
        Op::Put { lease, .. } => lease.is_none(),
        Op::Delete { .. } => true,
        Op::Get { .. } | Op::GetPrefix { .. } => false,
    };
    txn.failure.is_empty() && txn.success.iter().all(is_plain)
}

/// Collects transactions of many writers and sends them together.
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
    queue: mpsc::UnboundedSender<Waiting>,
}

#[derive(Debug)]
struct Waiting {
    txn: Txn,
    until: Instant,
    reply: oneshot::Sender<TxnResult>,
}

impl GroupCommit {
    /// Starts the task that sends the batches; it ends with the last clone.
    pub fn start(kv: Arc<dyn Kv>, limits: BatchLimits) -> Self {
        let (queue, received) = mpsc::unbounded_channel();
        tokio::spawn(collect(kv.clone(), limits, received));
        Self { kv, queue }
    }

    /// Carries out a transaction that can wait for others for `max_wait_ms`.
    ///
    /// # Errors
    ///
    /// As [`Kv::txn`].
    pub async fn commit(&self, txn: Txn, max_wait_ms: u64) -> TxnResult {
        if !is_batchable(&txn) {
            return self.kv.txn(txn).await;
        }
        let (reply, answered) = oneshot::channel();
        let waiting = Waiting {
            txn,
            until: Instant::now() + Duration::from_millis(max_wait_ms),
            reply,
        };
        if self.queue.send(waiting).is_err() {
            return Err(Report::new(KvError::NotDone));
        }
        match answered.await {
            Ok(result) => result,
            Err(_) => Err(Report::new(KvError::Unknown)),
        }
    }
}

async fn collect(
    kv: Arc<dyn Kv>,
    limits: BatchLimits,
    mut received: mpsc::UnboundedReceiver<Waiting>,
) {
    let mut queue: Vec<Waiting> = Vec::new();
    loop {
        let Some(until) = queue.iter().map(|waiting| waiting.until).min()
        else {
            match received.recv().await {
                Some(waiting) => queue.push(waiting),
                None => return,
            }
            continue;
        };
        let is_due =
            match time::timeout_at(until.into(), received.recv()).await {
                Ok(Some(waiting)) => {
                    queue.push(waiting);
                    false
                }
                Ok(None) | Err(_) => true,
            };
        if is_due || fills_a_call(&queue, limits) {
            let (txn, members) = take_batch(&mut queue, limits);
            tokio::spawn(send(kv.clone(), txn, members));
        }
    }
}

fn fills_a_call(queue: &[Waiting], limits: BatchLimits) -> bool {
    let rows = queue.iter().map(|waiting| rows_of(&waiting.txn));
    let bytes = queue.iter().map(|waiting| bytes_of(&waiting.txn));
    rows.sum::<usize>() >= limits.max_ops
        || bytes.sum::<usize>() >= limits.max_bytes
}

/// Takes the transactions that go together with the first one out of the
/// queue.
fn take_batch(
    queue: &mut Vec<Waiting>,
    limits: BatchLimits,
) -> (Txn, Vec<Waiting>) {
    let mut batch = Batch::new(limits);
    let (members, rest) = std::mem::take(queue)
        .into_iter()
        .partition(|waiting| batch.add(&waiting.txn));
    *queue = rest;
    (batch.into_txn(), members)
}

async fn send(kv: Arc<dyn Kv>, txn: Txn, members: Vec<Waiting>) {
    let count = members.len();
    let result = kv.txn(txn).await;
    if let Ok(reply) = &result
        && !reply.succeeded
        && count > 1
    {
        // One of them was overtaken; nothing is done yet.
        for Waiting { txn, reply, .. } in members {
            let kv = kv.clone();
            tokio::spawn(async move {
                // The writer is gone if nobody hears the result.
                let _ = reply.send(kv.txn(txn).await);
            });
        }
        return;
    }
    let mut replies = match &result {
        Ok(done) => done.replies.clone().into_iter(),
        Err(_) => Vec::new().into_iter(),
    };
    for Waiting { txn, reply, .. } in members {
        let own = match &result {
            Ok(done) => Ok(TxnReply {
                succeeded: done.succeeded,
                revision: done.revision,
                replies: replies.by_ref().take(txn.success.len()).collect(),
            }),
            Err(report) => Err(Report::new(*report.current_context())
                .attach(format!("in a call with {count} transactions"))),
        };
        let _ = reply.send(own);
    }
}
