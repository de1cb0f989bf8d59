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
    mvcc::{Change, KeyRange, Limits, Step, Store, StoreError, Transaction},
};

/// Fault injected into one write call of a [`Memory`].
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum WriteFault {
    /// The call succeeds.
    #[default]
    None,
    /// The call is rejected without effect: [`KvError::NotDone`].
    Refused,
    /// The request is lost, without effect: [`KvError::Unknown`].
    RequestLost,
    /// The call takes effect and its response is lost: [`KvError::Unknown`].
    ResponseLost,
    /// The response is lost, and the call takes effect later, if its
    /// conditions still hold then: [`KvError::Unknown`]. See
    /// [`Memory::apply_delayed`].
    Delayed,
}

/// Number of calls that a [`Memory`] has received.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct MemoryCounts {
    /// Reads, including read-only transactions.
    pub reads: u64,
    /// Write transactions and lease calls.
    pub writes: u64,
    /// Watches that were started.
    pub watches: u64,
}

/// In-memory key-value service for tests.
///
/// Its clock advances only when the test steps it, so that leases expire at
/// exact times. Faults are scripted. Clones share one store.
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

/// State whose changes wake the watches.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
struct Signal {
    revision: u64,
    watch_failures: u64,
}

#[derive(Debug, Default)]
struct State {
    store: Store,
    is_down: bool,
    faults: VecDeque<WriteFault>,
    /// Faults of the next transactions that write a key with a prefix.
    faults_of_keys: Vec<(String, VecDeque<WriteFault>)>,
    /// Transactions that take effect later.
    delayed: Vec<Transaction>,
    counts: MemoryCounts,
}

impl Memory {
    /// Creates a service whose leases expire by a shared clock.
    ///
    /// The caller must call [`Memory::expire`] after each step of the clock.
    pub fn with_clock(clock: Arc<SteppedClock>) -> Self {
        Self(Arc::new(Inner {
            clock,
            ..Inner::default()
        }))
    }

    /// Creates a service with these limits.
    pub fn with_limits(limits: Limits) -> Self {
        let memory = Self::default();
        memory.state().store = Store::new(limits);
        memory
    }

    /// Returns the clock by which leases expire.
    pub fn clock(&self) -> &Arc<SteppedClock> {
        &self.0.clock
    }

    /// Steps the clock and removes the expired leases.
    pub fn step_ms(&self, ms: u64) {
        self.0.clock.step_ms(ms);
        self.expire();
    }

    /// Removes the expired leases.
    pub fn expire(&self) {
        let mut state = self.state();
        state.store.expire(self.0.clock.now());
        self.notify_watches(&state);
    }

    /// Sets the faults of the next write calls, in order; later calls succeed.
    pub fn script_write_faults(
        &self,
        faults: impl IntoIterator<Item = WriteFault>,
    ) {
        self.state().faults.extend(faults);
    }

    /// Sets the faults of the next transactions that write a key with a prefix,
    /// in order; they go before those of
    /// [`script_write_faults`](Self::script_write_faults).
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_kv::{Kv, Memory, Op, Txn, WriteFault};
    ///
    /// # tokio::runtime::Builder::new_current_thread().build()?.block_on(async {
    /// let kv = Memory::default();
    /// kv.script_faults_of_keys("a/", [WriteFault::Delayed]);
    /// let put = Op::Put {
    ///     key: "a/1".into(),
    ///     value: b"late".to_vec(),
    ///     lease: None,
    /// };
    /// let txn = Txn {
    ///     success: vec![put],
    ///     ..Txn::default()
    /// };
    /// assert!(kv.txn(txn).await.is_err());
    /// assert!(kv.get("a/1").await?.kvs.is_empty());
    /// kv.apply_delayed();
    /// assert_eq!(kv.get("a/1").await?.kvs[0].value, b"late");
    /// # Ok::<(), error_stack::Report<pomeloslip_kv::KvError>>(())
    /// # })?;
    /// # Ok::<(), Box<dyn std::error::Error>>(())
    /// ```
    pub fn script_faults_of_keys(
        &self,
        prefix: &str,
        faults: impl IntoIterator<Item = WriteFault>,
    ) {
        let faults = faults.into_iter().collect();
        let mut state = self.state();
        state.faults_of_keys.push((prefix.to_owned(), faults));
    }

    /// Applies the delayed transactions, in order. Delayed calls about leases
    /// have no effect.
    pub fn apply_delayed(&self) {
        let mut state = self.state();
        state.store.expire(self.0.clock.now());
        for txn in std::mem::take(&mut state.delayed) {
            // The response of a delayed call is lost in any case.
            let _ = state.store.commit(&txn);
        }
        self.notify_watches(&state);
    }

    /// Starts or ends an outage, during which every call fails without effect.
    /// The start of an outage ends all watches.
    pub fn set_down(&self, is_down: bool) {
        self.state().is_down = is_down;
        if is_down {
            self.fail_watches();
        }
    }

    /// Ends all watches with an error.
    pub fn fail_watches(&self) {
        self.0
            .signal
            .send_modify(|signal| signal.watch_failures += 1);
    }

    /// Compacts the log up to a revision.
    ///
    /// # Errors
    ///
    /// [`KvError::Compacted`] if the revision is already compacted,
    /// [`KvError::Invalid`] if it is in the future.
    pub fn compact(&self, revision: u64) -> Result<(), Report<KvError>> {
        self.state().store.compact(revision).map_err(rejected)
    }

    /// Returns the number of calls received so far.
    pub fn counts(&self) -> MemoryCounts {
        self.state().counts
    }

    /// Returns the revision of the last change.
    pub fn revision(&self) -> u64 {
        self.state().store.revision()
    }

    fn read(&self, range: &KeyRange, limit: u32) -> KvResult<GetReply> {
        let mut state = self.state();
        state.counts.reads += 1;
        state.check_available()?;
        state.store.expire(self.0.clock.now());
        let found = state.store.range(range, limit as usize, 0);
        let found = found.map_err(rejected)?;
        self.notify_watches(&state);
        Ok(GetReply {
            revision: state.store.revision(),
            kvs: found.records.into_iter().map(Into::into).collect(),
        })
    }

    fn write<T>(
        &self,
        delayed: Option<Transaction>,
        call: impl FnOnce(&mut Store) -> Result<T, StoreError>,
    ) -> KvResult<T> {
        let mut state = self.state();
        state.counts.writes += 1;
        state.check_available()?;
        let fault = state.take_fault(delayed.as_ref());
        match fault {
            WriteFault::Refused => return Err(injected(KvError::NotDone)),
            WriteFault::RequestLost => return Err(injected(KvError::Unknown)),
            WriteFault::Delayed => {
                state.delayed.extend(delayed);
                return Err(injected(KvError::Unknown));
            }
            WriteFault::None | WriteFault::ResponseLost => {}
        }
        state.store.expire(self.0.clock.now());
        let result = call(&mut state.store);
        self.notify_watches(&state);
        match fault {
            WriteFault::ResponseLost => Err(injected(KvError::Unknown)),
            _ => result.map_err(rejected),
        }
    }

    fn run_txn(&self, txn: Txn) -> KvResult<TxnReply> {
        let txn = Transaction::from(txn);
        if txn.is_write() {
            let delayed = Some(txn.clone());
            let commit = |store: &mut Store| store.commit(&txn);
            return self.write(delayed, commit).map(Into::into);
        }
        let mut state = self.state();
        state.counts.reads += 1;
        state.check_available()?;
        state.store.expire(self.0.clock.now());
        let outcome = state.store.commit(&txn).map_err(rejected)?;
        self.notify_watches(&state);
        Ok(outcome.into())
    }

    fn start_watch(
        &self,
        range: KeyRange,
        from_revision: u64,
    ) -> KvResult<Box<dyn Watcher>> {
        let mut state = self.state();
        state.counts.watches += 1;
        state.check_available()?;
        let next_revision = match from_revision {
            0 => state.store.revision() + 1,
            _ => from_revision,
        };
        let signal = self.0.signal.subscribe();
        let watch_failures = signal.borrow().watch_failures;
        Ok(Box::new(MemoryWatcher {
            memory: self.clone(),
            range,
            next_revision,
            signal,
            watch_failures,
        }))
    }

    fn notify_watches(&self, state: &State) {
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

type KvResult<T> = Result<T, Report<KvError>>;

impl State {
    /// Removes the fault of the next write call, a transaction or a call about
    /// a lease.
    fn take_fault(&mut self, txn: Option<&Transaction>) -> WriteFault {
        let steps = txn.iter().flat_map(|txn| &txn.success);
        let keys = steps.filter_map(|step| match step {
            Step::Put(put) => Some(put.key.as_slice()),
            _ => None,
        });
        let keys: Vec<&[u8]> = keys.collect();
        let is_of_key = |(prefix, _): &&mut (String, VecDeque<WriteFault>)| {
            keys.iter().any(|key| key.starts_with(prefix.as_bytes()))
        };
        let of_key = self.faults_of_keys.iter_mut().find(is_of_key);
        let fault = of_key.and_then(|(_, faults)| faults.pop_front());
        fault
            .or_else(|| self.faults.pop_front())
            .unwrap_or_default()
    }

    fn check_available(&self) -> KvResult<()> {
        match self.is_down {
            true => Err(injected(KvError::NotDone)),
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
        ready(self.run_txn(txn))
    }

    fn lease_grant(&self, ttl_s: u32) -> KvFuture<'_, LeaseId> {
        let now = self.0.clock.now();
        ready(self.write(None, |store| store.grant(now, None, ttl_s)))
    }

    fn lease_keep_alive(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        let now = self.0.clock.now();
        ready(
            self.write(None, |store| store.keep_alive(now, lease).map(|_| ())),
        )
    }

    fn lease_revoke(&self, lease: LeaseId) -> KvFuture<'_, ()> {
        ready(self.write(None, |store| store.revoke(lease)))
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
    watch_failures: u64,
}

impl MemoryWatcher {
    async fn wait(&mut self) -> KvResult<WatchBatch> {
        loop {
            // The signal is marked as seen before the log is read, so that a
            // change between the two wakes the next wait.
            if self.signal.borrow_and_update().watch_failures
                != self.watch_failures
            {
                return Err(injected(KvError::NotDone));
            }
            let batch = self.take_changes()?;
            if !batch.events.is_empty() {
                return Ok(batch);
            }
            if self.signal.changed().await.is_err() {
                return Err(injected(KvError::NotDone));
            }
        }
    }

    fn take_changes(&mut self) -> KvResult<WatchBatch> {
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

fn ready<'a, T: Send + 'a>(result: KvResult<T>) -> KvFuture<'a, T> {
    Box::pin(future::ready(result))
}

fn injected(error: KvError) -> Report<KvError> {
    Report::new(error).attach("injected fault")
}

fn rejected(error: StoreError) -> Report<KvError> {
    Report::new(error).change_context(error.into())
}
