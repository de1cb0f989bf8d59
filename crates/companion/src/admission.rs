//! Runs the gate and delivers its decisions to the waiting calls.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Instant,
};

use base::{Customer, Millis, UnixMillis, timer::Timer};
use gate::{
    Action, Arrival, BatchArrival, CallKey, End, Event, Gate, GateLoad,
    GateOptions, Rejection, StopReason,
};
use slotmap::SecondaryMap;
use tokio::sync::{Notify, mpsc};
use upstream::ResponseProgress as Progress;

/// Interval at which the gate checks for calls without progress.
const TICK_MS: u64 = 50;

/// Weight of every customer; the rules do not define weights.
const WEIGHT: u32 = 1;

/// A decision about one call.
#[derive(Clone, Copy, Debug)]
enum Signal {
    Start,
    GiveUp(Rejection),
    Return,
    Stop(StopReason),
}

struct State {
    gate: Gate,
    signals: SecondaryMap<CallKey, mpsc::UnboundedSender<Signal>>,
    actions: Vec<Action>,
}

impl State {
    /// Delivers the pending decisions. A receiver may already be closed if its
    /// call is ending.
    fn dispatch(&mut self) {
        for action in self.actions.drain(..) {
            let (key, signal) = match action {
                Action::Start(key) => (key, Signal::Start),
                Action::Reject(key, reason) => (key, Signal::GiveUp(reason)),
                Action::Return(key) => (key, Signal::Return),
                Action::Stop(key, reason) => (key, Signal::Stop(reason)),
            };
            if let Some(sender) = self.signals.get(key) {
                let _ = sender.send(signal);
            }
        }
    }
}

/// The gate of this endpoint.
pub(crate) struct Admission {
    state: Mutex<State>,
    timer: Timer,
    changed: Notify,
}

impl Admission {
    pub(crate) fn new(options: GateOptions, timer: Timer) -> Arc<Self> {
        let state = State {
            gate: Gate::new(options, timer.now()),
            signals: SecondaryMap::new(),
            actions: Vec::new(),
        };
        Arc::new(Self {
            state: Mutex::new(state),
            timer,
            changed: Notify::new(),
        })
    }

    /// Admits an online call to the gate, or refuses it immediately.
    ///
    /// A long queue would only move the wait to the companion, where the entry
    /// can no longer send the call to another endpoint; a refusal costs the
    /// entry a millisecond.
    pub(crate) fn admit_online(
        self: &Arc<Self>,
        customer: &Customer,
    ) -> Result<GateCall, Rejection> {
        let arrival = Arrival {
            customer: customer.clone(),
            weight: WEIGHT,
        };
        self.enter(|gate, now, actions| {
            gate.submit_online(now, &arrival, actions)
        })
    }

    /// Admits a batch item to the gate.
    pub(crate) fn admit_batch(
        self: &Arc<Self>,
        customer: &Customer,
        due: UnixMillis,
    ) -> GateCall {
        let unix = self.timer.clock().unix();
        let due_in_ms = due.saturating_ms_since(unix);
        let item = BatchArrival {
            customer: customer.clone(),
            weight: WEIGHT,
            deadline: self.timer.now().saturating_add_ms(due_in_ms),
        };
        let entered = self.enter(|gate, now, actions| {
            Ok::<_, std::convert::Infallible>(
                gate.submit_batch(now, &item, actions),
            )
        });
        match entered {
            Ok(call) => call,
            Err(never) => match never {},
        }
    }

    fn enter<E>(
        self: &Arc<Self>,
        take: impl FnOnce(
            &mut Gate,
            Millis,
            &mut Vec<Action>,
        ) -> Result<CallKey, E>,
    ) -> Result<GateCall, E> {
        let (sender, signals) = mpsc::unbounded_channel();
        let now = self.timer.now();
        let mut state = self.lock();
        let State { gate, actions, .. } = &mut *state;
        let key = take(gate, now, actions)?;
        state.signals.insert(key, sender);
        state.dispatch();
        drop(state);
        self.changed.notify_one();
        Ok(GateCall {
            gate: self.clone(),
            key,
            signals,
            started: false,
            ended: false,
            last_event: None,
        })
    }

    /// Reports an event to the gate.
    pub(crate) fn handle(&self, event: Event) {
        let now = self.timer.now();
        let mut state = self.lock();
        let State { gate, actions, .. } = &mut *state;
        gate.handle(now, event, actions);
        state.dispatch();
        match event {
            Event::Ended { key, .. } | Event::CallerLeft(key) => {
                state.signals.remove(key);
            }
            Event::Token { .. } => return,
            _ => {}
        }
        drop(state);
        self.changed.notify_one();
    }

    /// Sends ticks to the gate until the process ends.
    pub(crate) async fn tick(self: Arc<Self>) {
        loop {
            self.timer.subscribe_in_ms(TICK_MS).await;
            self.handle(Event::Tick);
        }
    }

    /// Returns the number of batch items to pull now.
    pub(crate) fn batch_wanted(&self) -> u32 {
        self.lock().gate.batch_wanted(self.timer.now())
    }

    /// Resolves when the state of the gate has changed.
    pub(crate) async fn wait_for_change(&self) {
        self.changed.notified().await;
    }

    pub(crate) fn load(&self) -> GateLoad {
        self.lock().gate.load(self.timer.now())
    }

    /// Returns the number of calls and items that run or wait.
    pub(crate) fn len(&self) -> usize {
        self.lock().gate.len()
    }

    /// Returns whether no call runs or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().gate.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a call at the gate does not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NotStarted {
    /// An online call waited too long.
    Refused(Rejection),
    /// A batch item is returned so that another companion may run it.
    Returned,
}

/// A call at the gate; dropping it ends the call.
pub(crate) struct GateCall {
    gate: Arc<Admission>,
    key: CallKey,
    signals: mpsc::UnboundedReceiver<Signal>,
    started: bool,
    ended: bool,
    last_event: Option<Instant>,
}

impl GateCall {
    /// Waits until the gate starts the call.
    pub(crate) async fn wait_for_start(&mut self) -> Result<(), NotStarted> {
        match self.signals.recv().await {
            Some(Signal::Start) => {
                self.started = true;
                Ok(())
            }
            Some(Signal::GiveUp(reason)) => Err(NotStarted::Refused(reason)),
            Some(Signal::Return | Signal::Stop(_)) | None => {
                Err(NotStarted::Returned)
            }
        }
    }

    /// Resolves when the gate stops the started call, if it ever does.
    pub(crate) async fn wait_for_stop(&mut self) -> StopReason {
        loop {
            match self.signals.recv().await {
                Some(Signal::Stop(reason)) => return reason,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Records progress of the call and returns the time since the previous
    /// token, if there was one.
    pub(crate) fn record(&mut self, progress: Progress) -> Option<u32> {
        let key = self.key;
        match progress {
            Progress::Stream => self.gate.handle(Event::StreamStarted(key)),
            // Keep-alive bytes do not count as progress: they keep a response
            // open while its engine is stalled.
            Progress::Bytes => {}
            Progress::Event => {
                let now = Instant::now();
                let Some(last) = self.last_event.replace(now) else {
                    self.gate.handle(Event::FirstToken(key));
                    return None;
                };
                let gap = now.saturating_duration_since(last).as_micros();
                let gap_us = u32::try_from(gap).unwrap_or(u32::MAX);
                self.gate.handle(Event::Token { key, gap_us });
                return Some(gap_us);
            }
        }
        None
    }

    /// Reports the end of the call.
    pub(crate) fn end(mut self, end: End) {
        self.ended = true;
        let key = self.key;
        self.gate.handle(Event::Ended { key, end });
    }
}

impl Drop for GateCall {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let key = self.key;
        self.gate.handle(if self.started {
            let end = End::Failed;
            Event::Ended { key, end }
        } else {
            Event::CallerLeft(key)
        });
    }
}
