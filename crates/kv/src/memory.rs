use std::{
    collections::VecDeque,
    future,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{Clock, SteppedClock};
use error_stack::Report;
use tokio::sync::watch;

use crate::{
    GetReply, Kv, KvError, KvFuture, LeaseId, Txn, TxnReply, WatchBatch,
    Watcher,
    mvcc::{Change, KeyRange, Limits, Store, StoreError, Transaction},
};

/// What happens to one writing call of a [`Memory`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WriteFault {
    /// The call is done and answered.
    #[default]
    None,
    /// The call is refused without effect: [`KvError::NotDone`].
    Refused,
    /// The call is lost on its way, without effect: [`KvError::Unknown`].
    RequestLost,
    /// The call takes effect and its answer is lost: [`KvError::Unknown`].
    ResponseLost,
}

/// Calls that a [`Memory`] has received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemoryCounts {
    /// Reads, transactions without a writing step among them.
    pub reads: u64,
    /// Writing transactions and lease calls.
    pub writes: u64,
    /// Watches that were started.
    pub watches: u64,
}

/// A key-value service inside the process, for tests.
///
/// Its clock stands still until the test steps it, so that leases end
/// exactly when the test says so. Faults are scripted. Clones share one
/// service.
///
/// # Example
///
/// ```
/// use pomeloslip_kv::{Kv, KvError, Memory, Op, Txn, WriteFault};
///
/// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
/// let kv = Memory::default();
/// let put = Op::Put {
///     key: "a".into(),
///     value: b"1".to_vec(),
///     lease: None,
/// };
/// kv.script_write_faults([WriteFault::ResponseLost]);
/// let txn = Txn {
///     success: vec![put],
///     ..Txn::default()
/// };
/// let lost = kv.txn(txn).await.unwrap_err();
/// assert_eq!(*lost.current_context(), KvError::Unknown);
/// assert_eq!(kv.get("a").await?.kvs[0].value, b"1");
/// # Ok::<(), error_stack::Report<KvError>>(())
/// # })?;
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Memory(Arc<Inner>);

#[derive(Debug, Default)]
struct Inner {
    clock: Arc<SteppedClock>,
    state: Mutex<State>,
    signal: watch::Sender<Signal>,
}

/// What the watches wait for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Signal {
    revision: u64,
    breaks: u64,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    is_down: bool,
    faults: VecDeque<WriteFault>,
    counts: MemoryCounts,
}

impl Memory {
    /// Makes a service whose leases end by a clock that others share.
    ///
    /// Whoever steps that clock calls [`Memory::expire`] afterwards.
    pub fn with_clock(clock: Arc<SteppedClock>) -> Self {
        Self(Arc::new(Inner {
            clock,
            ..Inner::default()
        }))
    }

    /// Makes a service with other limits.
    pub fn with_limits(limits: Limits) -> Self {
        let memory = Self::default();
        memory.state().store = Store::new(limits);
        memory
    }

    /// Returns the clock that the leases end by.
    pub fn clock(&self) -> &Arc<SteppedClock> {
        &self.0.clock
    }

    /// Steps the clock and ends the leases that are due.
    pub fn step_ms(&self, ms: u64) {
        self.0.clock.step_ms(ms);
        self.expire();
    }

    /// Ends the leases that are due.
    pub fn expire(&self) {
        let mut state = self.state();
        state.store.expire(self.0.clock.now());
        self.announce(&state);
    }

    /// Scripts what happens to the next writing calls, in order; those
    /// beyond the script are done.
    pub fn script_write_faults(
        &self,
        faults: impl IntoIterator<Item = WriteFault>,
    ) {
        self.state().faults.extend(faults);
    }

    /// Makes every call fail without effect, or ends that. Going down ends
    /// all watches.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
        if is_down {
            self.fail_watches();
        }
    }

    /// Ends all watches with an error.
    pub fn fail_watches(&self) {
        self.0.signal.send_modify(|signal| signal.breaks += 1);
    }

    /// Forgets the changes up to a revision.
    ///
    /// # Errors
    ///
    /// [`KvError::Compacted`] or [`KvError::Invalid`] if that revision is
    /// compacted already or yet to come.
    pub fn compact(&self, revision: u64) -> Result<(), Report<KvError>> {
        self.state().store.compact(revision).map_err(rejected)
    }

    /// Returns the calls received so far.
    pub fn counts(&self) -> MemoryCounts {
        self.state().counts
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.state().store.revision()
    }

    fn read(&self, range: &KeyRange, limit: u32) -> Answer<GetReply> {
        let mut state = self.state();
        state.counts.reads += 1;
        state.check_up()?;
        state.store.expire(self.0.clock.now());
        let found = state.store.range(range, limit as usize, 0);
        let found = found.map_err(rejected)?;
        self.announce(&state);
        Ok(GetReply {
            revision: state.store.revision(),
            kvs: found.records.into_iter().map(Into::into).collect(),
        })
    }

    fn write<T>(
        &self,
        call: impl FnOnce(&mut Store) -> Result<T, StoreError>,
    ) -> Answer<T> {
        let mut state = self.state();
        state.counts.writes += 1;
        state.check_up()?;
        let fault = state.faults.pop_front().unwrap_or_default();
        match fault {
            WriteFault::Refused => return Err(failed(KvError::NotDone)),
            WriteFault::RequestLost => return Err(failed(KvError::Unknown)),
            WriteFault::None | WriteFault::ResponseLost => {}
        }
        state.store.expire(self.0.clock.now());
        let answer = call(&mut state.store);
        self.announce(&state);
        match fault {
            WriteFault::ResponseLost => Err(failed(KvError::Unknown)),
            _ => answer.map_err(rejected),
        }
    }

    fn run(&self, txn: Txn) -> Answer<TxnReply> {
        let txn = Transaction::from(txn);
        if txn.is_write() {
            return self.write(|store| store.commit(&txn).map(Into::into));
        }
        let mut state = self.state();
        state.counts.reads += 1;
        state.check_up()?;
        state.store.expire(self.0.clock.now());
        let outcome = state.store.commit(&txn).map_err(rejected)?;
        self.announce(&state);
        Ok(outcome.into())
    }

    fn start_watch(
        &self,
        range: KeyRange,
        from_revision: u64,
    ) -> Answer<Box<dyn Watcher>> {
        let mut state = self.state();
        state.counts.watches += 1;
        state.check_up()?;
        let next_revision = match from_revision {
            0 => state.store.revision() + 1,
            _ => from_revision,
        };
        let signal = self.0.signal.subscribe();
        let breaks = signal.borrow().breaks;
        Ok(Box::new(MemoryWatcher {
            memory: self.clone(),
            range,
            next_revision,
            signal,
            breaks,
        }))
    }

    fn announce(&self, state: &State) {
        let revision = state.store.revision();
        self.0.signal.send_if_modified(|signal| {
            let is_new = signal.revision != revision;
            signal.revision = revision;
            is_new
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.0.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

type Answer<T> = Result<T, Report<KvError>>;

impl State {
    fn check_up(&self) -> Answer<()> {
        match self.is_down {
            true => Err(failed(KvError::NotDone)),
            false => Ok(()),
        }
    }
}

impl Kv for Memory {
    fn get(&self, key: &str) -> KvFuture<'_, GetReply> {
        ready(self.read(&KeyRange::one(key), 0))
    }

    fn get_prefix(&self, prefix: &str, limit: u32) -> KvFuture<'_, GetReply> {
        ready(self.read(&KeyRange::prefix(prefix), limit))
    }

    fn txn(&self, txn: Txn) -> KvFuture<'_, TxnReply> {
        ready(self.run(txn))
    }

    fn lease_grant(&self, ttl_s: u32) -> KvFuture<'_, LeaseId> {
        let now = self.0.clock.now();
        ready(self.write(|store| store.grant(now, None, ttl_s)))
    }

    fn lease_keep_alive(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        let now = self.0.clock.now();
        ready(self.write(|store| store.keep_alive(now, lease).map(|_| ())))
    }

    fn lease_revoke(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        ready(self.write(|store| store.revoke(lease)))
    }

    fn watch(
        &self,
        prefix: &str,
        from_revision: u64,
    ) -> KvFuture<'_, Box<dyn Watcher>> {
        ready(self.start_watch(KeyRange::prefix(prefix), from_revision))
    }
}

struct MemoryWatcher {
    memory: Memory,
    range: KeyRange,
    next_revision: u64,
    signal: watch::Receiver<Signal>,
    breaks: u64,
}

impl MemoryWatcher {
    async fn wait(&mut self) -> Answer<WatchBatch> {
        loop {
            // The signal is marked as seen before the log is read, so that
            // a change in between wakes the next wait.
            if self.signal.borrow_and_update().breaks != self.breaks {
                return Err(failed(KvError::NotDone));
            }
            let batch = self.take()?;
            if !batch.events.is_empty() {
                return Ok(batch);
            }
            if self.signal.changed().await.is_err() {
                return Err(failed(KvError::NotDone));
            }
        }
    }

    fn take(&mut self) -> Answer<WatchBatch> {
        let state = self.memory.state();
        let revision = state.store.revision();
        let changes = state.store.changes(&self.range, self.next_revision);
        let changes = changes.map_err(rejected)?;
        self.next_revision = self.next_revision.max(revision + 1);
        Ok(WatchBatch {
            revision,
            events: changes.into_iter().map(Change::into).collect(),
        })
    }
}

impl Watcher for MemoryWatcher {
    fn next(&mut self) -> KvFuture<'_, WatchBatch> {
        Box::pin(self.wait())
    }
}

fn ready<'a, T: Send + 'a>(answer: Answer<T>) -> KvFuture<'a, T> {
    Box::pin(future::ready(answer))
}

fn failed(error: KvError) -> Report<KvError> {
    Report::new(error).attach("scripted fault")
}

fn rejected(error: StoreError) -> Report<KvError> {
    Report::new(error).change_context(error.into())
}
