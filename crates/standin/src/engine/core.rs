use std::{
    collections::VecDeque,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicBool, AtomicU64, Ordering},
    },
    time::Duration,
};

use base::Incarnation;
use indexmap::IndexSet;
use serde::{Deserialize, Serialize};
use slotmap::{Key, SecondaryMap};
use tokio::{
    sync::{Notify, watch},
    time::Instant,
};

use super::{
    EngineSettings,
    cache::CacheChange,
    lagged::Lagged,
    orders::{Order, OrderBook, StaleFence},
    scheduler::{
        Phase, Progress, Scheduler, SequenceCounts, SequenceKey, Work,
    },
};
use crate::answer::mix;

/// Cache events kept for readers that come late.
const EVENTS_KEPT: usize = 16_384;

/// Prompts remembered as already dropped; beyond it all are forgotten.
const DROPPED_KEPT: usize = 1 << 20;

/// Faults that can be switched on while the engine runs.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct EngineFaults {
    /// Makes no progress for so long from now; connections stay open.
    pub stall_ms: u64,
    /// Ends all answers in the making now, without their end marks.
    pub drop_streams: bool,
    /// Refuses new calls with 503 until switched off.
    pub refuse: bool,
}

/// Exact counts of an engine since its start.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default)]
pub struct EngineCounters {
    /// Calls for an answer, whatever became of them.
    pub calls: u64,
    /// Calls refused by the fault `refuse`.
    pub refused: u64,
    /// Calls that failed because of `[[fail]]`.
    pub failed: u64,
    /// Counts of the sequences.
    #[serde(flatten)]
    pub sequences: SequenceCounts,
}

/// A change of the prefix cache as published.
#[derive(Clone, Copy, Debug)]
pub(super) struct CacheEvent {
    pub(super) sequence: u64,
    pub(super) at_us: u64,
    pub(super) change: CacheChange,
}

#[derive(Debug)]
struct State {
    scheduler: Scheduler,
    watchers: SecondaryMap<SequenceKey, watch::Sender<Progress>>,
    load: Lagged<SequenceCounts>,
    orders: OrderBook,
    events: VecDeque<CacheEvent>,
    next_event: u64,
    dropped: IndexSet<u64>,
    stalled_until_us: u64,
}

/// The engine without its sockets.
#[derive(Debug)]
pub(super) struct Core {
    pub(super) settings: EngineSettings,
    pub(super) incarnation: Incarnation,
    start: Instant,
    state: Mutex<State>,
    wake: Notify,
    calls: AtomicU64,
    refused: AtomicU64,
    failed: AtomicU64,
    refusing: AtomicBool,
}

impl Core {
    pub(super) fn new(settings: EngineSettings) -> Arc<Self> {
        let orders = OrderBook::new(
            &settings.models,
            settings.check_fence,
            settings.load_model_ms,
        );
        let state = State {
            scheduler: Scheduler::new(&settings),
            watchers: SecondaryMap::new(),
            load: Lagged::new(
                settings.metrics_lag_ms,
                SequenceCounts::default(),
            ),
            orders,
            events: VecDeque::new(),
            next_event: 1,
            dropped: IndexSet::new(),
            stalled_until_us: 0,
        };
        Arc::new(Self {
            settings,
            incarnation: Incarnation::new(rand::random()),
            start: Instant::now(),
            state: Mutex::new(state),
            wake: Notify::new(),
            calls: AtomicU64::new(0),
            refused: AtomicU64::new(0),
            failed: AtomicU64::new(0),
            refusing: false.into(),
        })
    }

    /// Moves the scheduler on whenever it has something to do; spawned once.
    pub(super) async fn drive(self: Arc<Self>) {
        loop {
            let woken = self.wake.notified();
            match self.advance() {
                None => woken.await,
                Some(due_us) => {
                    let due = self.start + Duration::from_micros(due_us);
                    tokio::select! {
                        () = tokio::time::sleep_until(due) => {}
                        () = woken => {}
                    }
                }
            }
        }
    }

    pub(super) fn submit(self: &Arc<Self>, work: Work) -> Ticket {
        let (sender, progress) = watch::channel(Progress::default());
        let mut state = self.state();
        let key = state.scheduler.submit(work);
        state.watchers.insert(key, sender);
        let due_us = state.advance(self.now_us(), &self.settings);
        drop(state);
        if due_us.is_some() {
            self.wake.notify_one();
        }
        Ticket {
            core: self.clone(),
            key,
            progress,
        }
    }

    pub(super) fn set_faults(&self, faults: EngineFaults) {
        self.refusing.store(faults.refuse, Ordering::SeqCst);
        let now_us = self.now_us();
        let mut state = self.state();
        if faults.drop_streams {
            let updates = state.scheduler.cut_all();
            state.publish(updates);
        }
        if faults.stall_ms > 0 {
            let stall_us = faults.stall_ms.saturating_mul(1_000);
            state.scheduler.stall(now_us, stall_us);
            state.stalled_until_us = now_us.saturating_add(stall_us);
        }
        state.record(now_us, &self.settings);
        drop(state);
        self.wake.notify_one();
    }

    pub(super) fn counters(&self) -> EngineCounters {
        EngineCounters {
            calls: self.calls.load(Ordering::SeqCst),
            refused: self.refused.load(Ordering::SeqCst),
            failed: self.failed.load(Ordering::SeqCst),
            sequences: self.state().scheduler.counts(),
        }
    }

    /// Returns the counts of `metrics_lag_ms` ago.
    pub(super) fn reported_load(&self) -> SequenceCounts {
        let now_us = self.now_us();
        let mut state = self.state();
        if self.settings.metrics_lag_ms == 0 {
            return state.scheduler.counts();
        }
        state.load.show(now_us)
    }

    pub(super) fn obey(&self, order: Order) -> Result<(), StaleFence> {
        let now_us = self.now_us();
        self.state().orders.obey(now_us, order)
    }

    pub(super) fn obeyed(&self) -> Vec<Order> {
        self.state().orders.obeyed().to_vec()
    }

    pub(super) fn models(&self) -> Vec<String> {
        self.state().orders.models(self.now_us())
    }

    pub(super) fn serves(&self, model: &str) -> bool {
        self.state().orders.serves(self.now_us(), model)
    }

    /// Returns published cache events after a sequence number.
    pub(super) fn cache_events(&self, after: u64) -> Vec<CacheEvent> {
        let lag_us = self.settings.event_lag_ms.saturating_mul(1_000);
        let Some(limit_us) = self.now_us().checked_sub(lag_us) else {
            return Vec::new();
        };
        let state = self.state();
        let first = state.events.partition_point(|e| e.sequence <= after);
        let fresh = state.events.range(first..);
        fresh.take_while(|e| e.at_us <= limit_us).copied().collect()
    }

    /// Tells once for each prompt that its answer is to be dropped.
    pub(super) fn drops_now(&self, prompt_hash: u64) -> bool {
        let mut state = self.state();
        if state.dropped.len() >= DROPPED_KEPT {
            state.dropped.clear();
        }
        state.dropped.insert(prompt_hash)
    }

    pub(super) fn count_call(&self) {
        self.calls.fetch_add(1, Ordering::SeqCst);
    }

    pub(super) fn count_failed(&self) {
        self.failed.fetch_add(1, Ordering::SeqCst);
    }

    /// Tells whether new calls are refused, and counts this one if so.
    pub(super) fn refuses(&self) -> bool {
        let refusing = self.refusing.load(Ordering::SeqCst);
        if refusing {
            self.refused.fetch_add(1, Ordering::SeqCst);
        }
        refusing
    }

    pub(super) fn is_stalled(&self) -> bool {
        self.now_us() < self.state().stalled_until_us
    }

    fn cancel(&self, key: SequenceKey) {
        let mut state = self.state();
        if state.scheduler.cancel(key) {
            state.watchers.remove(key);
            state.advance(self.now_us(), &self.settings);
            drop(state);
            self.wake.notify_one();
        }
    }

    fn advance(&self) -> Option<u64> {
        let now_us = self.now_us();
        self.state().advance(now_us, &self.settings)
    }

    fn now_us(&self) -> u64 {
        self.start.elapsed().as_micros() as u64
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn advance(
        &mut self,
        now_us: u64,
        settings: &EngineSettings,
    ) -> Option<u64> {
        let updates = self.scheduler.advance(now_us);
        self.publish(updates);
        self.record(now_us, settings);
        self.scheduler.next_due_us()
    }

    fn publish(&mut self, updates: Vec<(SequenceKey, Progress)>) {
        for (key, progress) in updates {
            if progress.phase == Phase::Going {
                if let Some(watcher) = self.watchers.get(key) {
                    watcher.send_replace(progress);
                }
            } else if let Some(watcher) = self.watchers.remove(key) {
                watcher.send_replace(progress);
            }
        }
    }

    fn record(&mut self, now_us: u64, settings: &EngineSettings) {
        if settings.metrics_lag_ms > 0 {
            self.load.record(now_us, self.scheduler.counts());
        }
        if settings.prefix_cache_tokens == 0 {
            return;
        }
        for change in self.scheduler.take_cache_changes() {
            let sequence = self.next_event;
            self.next_event += 1;
            let lost = mix(sequence) % 100;
            if lost < u64::from(settings.event_loss_percent) {
                continue;
            }
            if self.events.len() == EVENTS_KEPT {
                self.events.pop_front();
            }
            self.events.push_back(CacheEvent {
                sequence,
                at_us: now_us,
                change,
            });
        }
    }
}

/// One sequence as its caller holds it; dropping it cancels the sequence.
#[derive(Debug)]
pub(super) struct Ticket {
    core: Arc<Core>,
    key: SequenceKey,
    progress: watch::Receiver<Progress>,
}

impl Ticket {
    pub(super) fn core(&self) -> &Core {
        &self.core
    }

    /// Returns a number that no other sequence of this engine has.
    pub(super) fn number(&self) -> u64 {
        self.key.data().as_ffi()
    }

    pub(super) fn progress(&self) -> Progress {
        *self.progress.borrow()
    }

    /// Waits until there is more than `seen` tokens or the end.
    pub(super) async fn more_than(&mut self, seen: u32) -> Progress {
        let more = |p: &Progress| p.produced > seen || p.phase != Phase::Going;
        match self.progress.wait_for(more).await {
            Ok(progress) => *progress,
            // The engine is gone with its watchers.
            Err(_) => Progress {
                phase: Phase::Cut,
                ..Progress::default()
            },
        }
    }
}

impl Drop for Ticket {
    fn drop(&mut self) {
        if self.progress().phase == Phase::Going {
            self.core.cancel(self.key);
        }
    }
}
