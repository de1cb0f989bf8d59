//! Writes whose outcome is known in the end.

use base::{Millis, timer::Timer};
use error_stack::Report;

use crate::{Backoff, GetReply, Kv, KvError, KvFuture, Op, Txn, TxnReply};

/// Shortest ceiling of the pause between attempts.
const PAUSE_BASE_MS: u64 = 20;

/// Longest ceiling of the pause between attempts.
const PAUSE_CAP_MS: u64 = 2_000;

/// What the caller concludes from reading a write back.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum ReadBack<T> {
    /// The write took effect: its operation id is there.
    Applied(T),
    /// The write has no effect and cannot have one any more, because what
    /// it compares with has changed.
    Superseded,
    /// What the write compares with still holds; it may yet take effect.
    Undecided,
}

/// How a guarded write ended.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum Outcome<T> {
    /// It took effect.
    Applied(T),
    /// It certainly has no effect, because a comparison does not hold.
    Superseded,
}

/// Carries out guarded writes until their outcome is known.
///
/// A write whose answer was lost is neither success nor failure, and a
/// read that does not show it proves nothing while it may still be on its
/// way. So the write is read back, and if it is still [`ReadBack::Undecided`]
/// sent once more, unchanged. That is no blind repetition: the transaction
/// compares revisions that its own effect changes, so that of all copies
/// only one can take effect.
#[derive(Clone)]
pub struct Writer {
    timer: Timer,
    give_up_ms: u64,
}

impl Writer {
    /// Waits by `timer` and gives up after `give_up_ms`.
    pub fn new(timer: Timer, give_up_ms: u64) -> Self {
        Self { timer, give_up_ms }
    }

    /// Commits `txn` and tells what became of it.
    ///
    /// `txn` must compare a revision that each of its writes changes, and
    /// its value must carry an operation id. If the answer is lost,
    /// `read_back` is read and `decide` looks for that id. `answered` makes
    /// the result from an answer that arrived. `random` spreads the pauses.
    ///
    /// # Errors
    ///
    /// [`KvError::NotDone`] if it certainly has no effect,
    /// [`KvError::Unknown`] if that is still open when the time is up, and
    /// the service's other refusals as they are.
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
        answered: impl Fn(&TxnReply) -> T + Send,
        mut decide: impl FnMut(&GetReply) -> ReadBack<T> + Send,
        mut random: impl FnMut() -> u64 + Send,
    ) -> Result<Outcome<T>, Report<KvError>> {
        let mut attempt = Attempt {
            backoff: Backoff::new(PAUSE_BASE_MS, PAUSE_CAP_MS),
            give_up_at: self.timer.now().saturating_add_ms(self.give_up_ms),
            may_be_done: false,
            failure: String::new(),
        };
        loop {
            let call = kv.txn(txn.clone());
            match self.limit(&attempt, call, KvError::Unknown).await {
                Ok(reply) if reply.succeeded => {
                    return Ok(Outcome::Applied(answered(&reply)));
                }
                Ok(_) if !attempt.may_be_done => {
                    return Ok(Outcome::Superseded);
                }
                // An earlier copy may be what changed the revision.
                Ok(_) => {}
                Err(report) => attempt.note(report)?,
            }
            if attempt.may_be_done {
                let found = self
                    .read_back(kv, &read_back, &mut attempt, &mut random)
                    .await?;
                match decide(&found) {
                    ReadBack::Applied(value) => {
                        return Ok(Outcome::Applied(value));
                    }
                    ReadBack::Superseded => return Ok(Outcome::Superseded),
                    ReadBack::Undecided => {}
                }
            }
            self.pause(&mut attempt, &mut random).await?;
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
            let found = self.limit(attempt, call, KvError::NotDone).await;
            match found {
                Ok(found) => return Ok(found),
                Err(report) => {
                    attempt.failure = report.to_string();
                    self.pause(attempt, random).await?;
                }
            }
        }
    }

    /// Ends a call when the time is up, so that the caller's answer does
    /// not wait for the client's own timeout.
    async fn limit<T>(
        &self,
        attempt: &Attempt,
        call: KvFuture<'_, T>,
        error: KvError,
    ) -> Result<T, Report<KvError>> {
        tokio::select! {
            biased;
            result = call => result,
            () = self.timer.subscribe_at(attempt.give_up_at) => {
                Err(Report::new(error).attach("the time is up"))
            }
        }
    }

    async fn pause(
        &self,
        attempt: &mut Attempt,
        random: &mut (impl FnMut() -> u64 + Send),
    ) -> Result<(), Report<KvError>> {
        let now = self.timer.now();
        let again_at = attempt.backoff.record_failure(now, random());
        if again_at >= attempt.give_up_at {
            return Err(attempt.give_up());
        }
        self.timer.subscribe_at(again_at).await;
        Ok(())
    }
}

/// State of one write over its attempts.
struct Attempt {
    backoff: Backoff,
    give_up_at: Millis,
    may_be_done: bool,
    failure: String,
}

impl Attempt {
    /// Sorts out the failures that no further attempt changes.
    fn note(
        &mut self,
        report: Report<KvError>,
    ) -> Result<(), Report<KvError>> {
        self.failure = report.to_string();
        match report.current_context() {
            KvError::Unknown => self.may_be_done = true,
            KvError::NotDone => {}
            // A refusal of this copy says nothing about an earlier one.
            _ if self.may_be_done => {}
            _ => return Err(report),
        }
        Ok(())
    }

    fn give_up(&self) -> Report<KvError> {
        let error = match self.may_be_done {
            true => KvError::Unknown,
            false => KvError::NotDone,
        };
        Report::new(error)
            .attach(format!("after {} attempts", self.backoff.failures()))
            .attach(format!("last failure: {}", self.failure))
    }
}
