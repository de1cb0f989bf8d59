//! Writes that are retried until their outcome is known.

use base::{Millis, timer::Timer};
use error_stack::Report;

use crate::{Backoff, GetReply, Kv, KvError, KvFuture, Op, Txn, TxnReply};

/// First ceiling of the backoff between attempts, in milliseconds.
const BACKOFF_BASE_MS: u64 = 20;

/// Maximum ceiling of the backoff between attempts, in milliseconds.
const BACKOFF_MAX_MS: u64 = 2_000;

/// Conclusion from reading a write back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadBack<T> {
    /// The write took effect: its operation id was found.
    Applied(T),
    /// The write has had no effect and cannot take effect any more, because
    /// the revision that it compares has changed.
    Superseded,
    /// The revision that the write compares is unchanged, so the write may
    /// still take effect.
    Undecided,
}

/// Outcome of a guarded write.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome<T> {
    /// The write took effect.
    Applied(T),
    /// The write had no effect, because a comparison does not hold.
    Superseded,
}

/// Retries guarded writes until their outcome is known.
///
/// If the response to a write is lost, its outcome is unknown, and a read that
/// does not show the write proves nothing while a copy may still be in flight.
/// The write is therefore read back and, if it is still
/// [`ReadBack::Undecided`], sent again unchanged. The retry is safe because
/// the transaction compares revisions that its own effect changes: at most one
/// of all copies takes effect.
#[derive(Clone)]
pub struct Writer {
    timer: Timer,
    timeout_ms: u64,
}

impl Writer {
    /// Creates a writer that waits by `timer` and gives up after `timeout_ms`.
    pub fn new(timer: Timer, timeout_ms: u64) -> Self {
        Self { timer, timeout_ms }
    }

    /// Commits `txn` and returns its outcome.
    ///
    /// `txn` must compare a revision that each of its writes changes, and its
    /// value must carry an operation id. If the response is lost, `read_back`
    /// is read and `decide` looks for that id. `on_reply` computes the result
    /// from a response that arrived. `random` provides the jitter of the
    /// backoff.
    ///
    /// # Errors
    ///
    /// [`KvError::NotDone`] if the write had no effect, [`KvError::Unknown`]
    /// if this is undecided at the deadline. Other errors of the service are
    /// returned unchanged.
    ///
    /// # Example
    ///
    /// ```
    /// use base::timer::Timer;
    /// use pomeloslip_kv::{
    ///     Compare, Memory, Op, Txn, WriteFault,
    ///     ops::{Outcome, ReadBack, Writer},
    /// };
    ///
    /// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
    /// let kv = Memory::default();
    /// kv.script_write_faults([WriteFault::ResponseLost]);
    /// let writer = Writer::new(Timer::new(kv.clock().clone()), 1_000);
    /// let txn = Txn {
    ///     compares: vec![Compare::ModRevision {
    ///         key: "job/1".into(),
    ///         equals: 0,
    ///     }],
    ///     success: vec![Op::Put {
    ///         key: "job/1".into(),
    ///         value: b"op-7".to_vec(),
    ///         lease: None,
    ///     }],
    ///     failure: vec![],
    /// };
    /// let outcome = writer
    ///     .commit(
    ///         &kv,
    ///         txn,
    ///         Op::Get { key: "job/1".into() },
    ///         |reply| reply.revision,
    ///         |found| match found.kvs.first() {
    ///             Some(kv) if kv.value == b"op-7" => {
    ///                 ReadBack::Applied(kv.mod_revision)
    ///             }
    ///             Some(_) => ReadBack::Superseded,
    ///             None => ReadBack::Undecided,
    ///         },
    ///         || 1,
    ///     )
    ///     .await?;
    /// assert_eq!(outcome, Outcome::Applied(2));
    /// # Ok::<(), error_stack::Report<pomeloslip_kv::KvError>>(())
    /// # })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub async fn commit<T>(
        &self,
        kv: &dyn Kv,
        txn: Txn,
        read_back: Op,
        on_reply: impl Fn(&TxnReply) -> T + Send,
        mut decide: impl FnMut(&GetReply) -> ReadBack<T> + Send,
        mut random: impl FnMut() -> u64 + Send,
    ) -> Result<Outcome<T>, Report<KvError>> {
        let mut attempt = Attempt {
            backoff: Backoff::new(BACKOFF_BASE_MS, BACKOFF_MAX_MS),
            deadline: self.timer.now().saturating_add_ms(self.timeout_ms),
            may_have_applied: false,
            last_failure: String::new(),
        };
        loop {
            let call = kv.txn(txn.clone());
            match self.with_deadline(&attempt, call, KvError::Unknown).await {
                Ok(reply) if reply.succeeded => {
                    return Ok(Outcome::Applied(on_reply(&reply)));
                }
                Ok(_) if !attempt.may_have_applied => {
                    return Ok(Outcome::Superseded);
                }
                // An earlier copy of the write may have changed the revision.
                Ok(_) => {}
                Err(report) => attempt.record_failure(report)?,
            }
            if attempt.may_have_applied {
                let found = self
                    .read_back(kv, &read_back, &mut attempt, &mut random)
                    .await?;
                match decide(&found) {
                    ReadBack::Applied(v) => return Ok(Outcome::Applied(v)),
                    ReadBack::Superseded => return Ok(Outcome::Superseded),
                    ReadBack::Undecided => {}
                }
            }
            self.back_off(&mut attempt, &mut random).await?;
        }
    }

    async fn read_back(
        &self,
        kv: &dyn Kv,
        read: &Op,
        attempt: &mut Attempt,
        random: &mut (impl FnMut() -> u64 + Send),
    ) -> Result<GetReply, Report<KvError>> {
        loop {
            let call = match read {
                Op::GetPrefix { prefix, limit } => {
                    kv.get_prefix(prefix, *limit)
                }
                Op::Get { key } | Op::Put { key, .. } | Op::Delete { key } => {
                    kv.get(key)
                }
            };
            let found =
                self.with_deadline(attempt, call, KvError::NotDone).await;
            match found {
                Ok(found) => return Ok(found),
                Err(report) => {
                    attempt.last_failure = report.to_string();
                    self.back_off(attempt, random).await?;
                }
            }
        }
    }

    /// Bounds a call by the deadline, so that the caller does not wait for the
    /// timeout of the client.
    async fn with_deadline<T>(
        &self,
        attempt: &Attempt,
        call: KvFuture<'_, T>,
        error: KvError,
    ) -> Result<T, Report<KvError>> {
        tokio::select! {
            biased;
            result = call => result,
            () = self.timer.subscribe_at(attempt.deadline) => {
                Err(Report::new(error).attach("deadline exceeded"))
            }
        }
    }

    async fn back_off(
        &self,
        attempt: &mut Attempt,
        random: &mut (impl FnMut() -> u64 + Send),
    ) -> Result<(), Report<KvError>> {
        let now = self.timer.now();
        let retry_at = attempt.backoff.record_failure(now, random());
        if retry_at >= attempt.deadline {
            return Err(attempt.timeout_report());
        }
        self.timer.subscribe_at(retry_at).await;
        Ok(())
    }
}

/// State of a write across its attempts.
struct Attempt {
    backoff: Backoff,
    deadline: Millis,
    may_have_applied: bool,
    last_failure: String,
}

impl Attempt {
    /// Returns the error if no further attempt can succeed.
    fn record_failure(
        &mut self,
        report: Report<KvError>,
    ) -> Result<(), Report<KvError>> {
        self.last_failure = report.to_string();
        match report.current_context() {
            KvError::Unknown => self.may_have_applied = true,
            KvError::NotDone => {}
            // The rejection of this copy does not decide the outcome of an
            // earlier one.
            _ if self.may_have_applied => {}
            _ => return Err(report),
        }
        Ok(())
    }

    fn timeout_report(&self) -> Report<KvError> {
        let error = match self.may_have_applied {
            true => KvError::Unknown,
            false => KvError::NotDone,
        };
        Report::new(error)
            .attach(format!("after {} attempts", self.backoff.failures()))
            .attach(format!("last failure: {}", self.last_failure))
    }
}
