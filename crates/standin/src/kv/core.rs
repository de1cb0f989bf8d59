use std::{
    fmt,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use ::kv::{
    json::{ErrorResponse, WatchCreateRequest},
    mvcc::{Change, KeyRange, Limits, Store, StoreError},
};
use base::Clock;
use error_stack::Report;
use tokio::sync::watch;

use super::{
    KvServiceSettings,
    calls::{self, Call, Done, Refusal},
    counts::{CallKind, KvCounts},
    faults::{ActiveFaults, DownKind, KvFaults, WatchFault},
};
use crate::StandinError;

/// The service without HTTP: the store, the faults and the counts.
pub(super) struct Core {
    clock: Arc<dyn Clock>,
    progress_every: Duration,
    state: Mutex<State>,
    signal: watch::Sender<Signal>,
}

#[derive(Debug)]
struct State {
    store: Store,
    faults: ActiveFaults,
    counts: KvCounts,
}

/// What the watches wait for.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub(super) struct Signal {
    revision: u64,
    /// Number of times that all watches were ended.
    pub(super) breaks: u64,
}

/// What the caller gets.
#[derive(Debug)]
pub(super) enum Reply {
    /// A status with a JSON body.
    Json(u16, Vec<u8>),
    /// A closed connection.
    Cut,
}

impl Core {
    pub(super) fn new(
        settings: &KvServiceSettings,
        clock: Arc<dyn Clock>,
    ) -> Self {
        let limits = Limits {
            value_max_bytes: settings.value_max_bytes,
            history_max_changes: settings.history_max_changes,
            ..Limits::default()
        };
        let faults = ActiveFaults::new(settings.faults, clock.now());
        Self {
            clock,
            progress_every: Duration::from_millis(
                settings.progress_notify_ms.max(1),
            ),
            state: Mutex::new(State {
                store: Store::new(limits),
                faults,
                counts: KvCounts::default(),
            }),
            signal: watch::Sender::default(),
        }
    }

    /// Does one call and tells what its caller gets.
    pub(super) async fn answer<C: Call>(&self, body: &[u8]) -> Reply {
        if let Err(reply) = self.admit(C::KIND, body.len()).await {
            return reply;
        }
        let result = match serde_json::from_slice::<C>(body) {
            Ok(call) => self.run(call),
            Err(error) => Err(Refusal::malformed(&error)),
        };
        match result {
            Ok(Done { is_write, answer }) => self.reply(is_write, answer),
            Err(refusal) => self.refuse(&refusal),
        }
    }

    /// Counts a call, waits if the service is slow, and refuses it if the
    /// service is down.
    pub(super) async fn admit(
        &self,
        kind: CallKind,
        bytes: usize,
    ) -> Result<(), Reply> {
        self.state().counts.receive(kind, bytes);
        self.slow_down().await;
        let mut state = self.state();
        let Some(down) = state.faults.down(self.clock.now()) else {
            return Ok(());
        };
        state.counts.refused += 1;
        drop(state);
        Err(match down {
            DownKind::Refuse => self.refuse(&Refusal::down()),
            DownKind::Close => Reply::Cut,
        })
    }

    pub(super) async fn slow_down(&self) {
        let slow_ms = self.faults().slow_ms;
        if slow_ms > 0 {
            tokio::time::sleep(Duration::from_millis(slow_ms)).await;
        }
    }

    fn run<C: Call>(&self, call: C) -> Result<Done<C::Answer>, Refusal> {
        let now = self.clock.now();
        let mut state = self.state();
        state.store.expire(now);
        let result = call.run(&mut state.store, now);
        self.announce(&state);
        result
    }

    fn reply(&self, is_write: bool, answer: impl serde::Serialize) -> Reply {
        let body = serde_json::to_vec(&answer).unwrap_or_default();
        let mut state = self.state();
        if !is_write {
            state.counts.reads += 1;
        } else {
            state.counts.writes += 1;
            if state.faults.loses_answer() {
                state.counts.lost_answers += 1;
                return Reply::Cut;
            }
        }
        state.counts.bytes_out += body.len() as u64;
        Reply::Json(200, body)
    }

    pub(super) fn refuse(&self, refusal: &Refusal) -> Reply {
        let body: ErrorResponse = refusal.body();
        let body = serde_json::to_vec(&body).unwrap_or_default();
        self.state().counts.bytes_out += body.len() as u64;
        Reply::Json(refusal.status(), body)
    }

    pub(super) fn set_faults(
        &self,
        faults: KvFaults,
    ) -> Result<(), Report<StandinError>> {
        faults.check()?;
        let active = ActiveFaults::new(faults, self.clock.now());
        let breaks_watches = active.breaks_watches();
        self.state().faults = active;
        if breaks_watches {
            self.signal.send_modify(|signal| signal.breaks += 1);
        }
        Ok(())
    }

    pub(super) fn faults(&self) -> KvFaults {
        self.state().faults.settings()
    }

    pub(super) fn counts(&self) -> KvCounts {
        self.state().counts
    }

    pub(super) fn reset_counts(&self) {
        let mut state = self.state();
        state.counts = KvCounts {
            watches_open: state.counts.watches_open,
            ..KvCounts::default()
        };
    }

    pub(super) fn revision(&self) -> u64 {
        self.state().store.revision()
    }

    pub(super) fn expire(&self) {
        let mut state = self.state();
        state.store.expire(self.clock.now());
        self.announce(&state);
    }

    /// Starts a watch and returns its first revision.
    pub(super) fn begin_watch(
        &self,
        request: &WatchCreateRequest,
    ) -> (u64, watch::Receiver<Signal>) {
        let mut state = self.state();
        state.counts.watches_open += 1;
        let from = match request.start_revision.get_u64() {
            0 => state.store.revision() + 1,
            revision => revision,
        };
        (from, self.signal.subscribe())
    }

    pub(super) fn end_watch(&self) {
        self.state().counts.watches_open -= 1;
    }

    /// Returns the changes of a watch and the revision that they reach.
    pub(super) fn changes(
        &self,
        range: &KeyRange,
        from_revision: u64,
    ) -> Result<(u64, Vec<Change>), StoreError> {
        let mut state = self.state();
        let reached = state.store.revision();
        let mut changes = state.store.changes(range, from_revision)?;
        if state.faults.settings().watch == WatchFault::Drop {
            state.counts.dropped_changes += changes.len() as u64;
            changes.clear();
        }
        Ok((reached, changes))
    }

    pub(super) fn progress_every(&self) -> Duration {
        self.progress_every
    }

    pub(super) fn compacted_revision(&self) -> u64 {
        self.state().store.compacted_revision()
    }

    pub(super) fn count_sent(&self, bytes: usize) {
        self.state().counts.bytes_out += bytes as u64;
    }

    pub(super) fn header(&self) -> ::kv::json::Header {
        calls::header(&self.state().store)
    }

    fn announce(&self, state: &State) {
        let revision = state.store.revision();
        self.signal.send_if_modified(|signal| {
            let is_new = signal.revision != revision;
            signal.revision = revision;
            is_new
        });
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl fmt::Debug for Core {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Core").finish_non_exhaustive()
    }
}
