//! Drives the gate: hands its decisions to the calls that wait for them.

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
use upstream::ResponseProgress;

/// Time between two looks of the gate at what has not moved.
const TICK_MS: u64 = 50;

/// Weight of every customer; the rules give none yet.
const WEIGHT: u32 = 1;

/// A decision on one call.
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
    /// Hands the decisions out. The receivers may be gone: their calls end
    /// at the same moment.
    fn tell(&mut self) {
        for action in self.actions.drain(..) {
            let (key, signal) = match action {
                Action::Start(key) => (key, Signal::Start),
                Action::Reject(key, why) => (key, Signal::GiveUp(why)),
                Action::Return(key) => (key, Signal::Return),
                Action::Stop(key, why) => (key, Signal::Stop(why)),
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

    /// Takes an online call or refuses it at once.
    ///
    /// A long queue only moves the wait here, where the entry cannot send
    /// the call elsewhere any more; a refusal costs it a millisecond.
    pub(crate) fn arrive(
        self: &Arc<Self>,
        customer: &Customer,
    ) -> Result<Place, Rejection> {
        let arrival = Arrival {
            customer: customer.clone(),
            weight: WEIGHT,
        };
        self.enter(|gate, now, actions| {
            gate.submit_online(now, &arrival, actions)
        })
    }

    /// Takes a batch item in hand.
    pub(crate) fn offer(
        self: &Arc<Self>,
        customer: &Customer,
        due: UnixMillis,
    ) -> Place {
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
            Ok(place) => place,
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
    ) -> Result<Place, E> {
        let (sender, signals) = mpsc::unbounded_channel();
        let now = self.timer.now();
        let mut state = self.lock();
        let State { gate, actions, .. } = &mut *state;
        let key = take(gate, now, actions)?;
        state.signals.insert(key, sender);
        state.tell();
        drop(state);
        self.changed.notify_one();
        Ok(Place {
            admission: self.clone(),
            key,
            signals,
            started: false,
            ended: false,
            last_event: None,
        })
    }

    /// Tells the gate what has happened.
    pub(crate) fn handle(&self, event: Event) {
        let now = self.timer.now();
        let mut state = self.lock();
        let State { gate, actions, .. } = &mut *state;
        gate.handle(now, event, actions);
        state.tell();
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

    /// Lets the gate see the time pass until the process ends.
    pub(crate) async fn tick(self: Arc<Self>) {
        loop {
            self.timer.subscribe_in_ms(TICK_MS).await;
            self.handle(Event::Tick);
        }
    }

    /// Returns how many batch items should be pulled now.
    pub(crate) fn batch_wanted(&self) -> u32 {
        self.lock().gate.batch_wanted(self.timer.now())
    }

    /// Resolves when something has changed at the gate.
    pub(crate) async fn changed(&self) {
        self.changed.notified().await;
    }

    pub(crate) fn load(&self) -> GateLoad {
        self.lock().gate.load(self.timer.now())
    }

    /// Tells whether nothing runs or waits.
    pub(crate) fn is_idle(&self) -> bool {
        self.lock().gate.is_empty()
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// Why a batch item in hand does not start.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum NotStarted {
    /// An online call that waited too long.
    Refused(Rejection),
    /// An item that another companion may run.
    Returned,
}

/// A call at the gate; dropping it ends it.
pub(crate) struct Place {
    admission: Arc<Admission>,
    key: CallKey,
    signals: mpsc::UnboundedReceiver<Signal>,
    started: bool,
    ended: bool,
    last_event: Option<Instant>,
}

impl Place {
    /// Waits for its turn.
    pub(crate) async fn start(&mut self) -> Result<(), NotStarted> {
        match self.signals.recv().await {
            Some(Signal::Start) => {
                self.started = true;
                Ok(())
            }
            Some(Signal::GiveUp(why)) => Err(NotStarted::Refused(why)),
            Some(Signal::Return | Signal::Stop(_)) | None => {
                Err(NotStarted::Returned)
            }
        }
    }

    /// Resolves when the gate stops the started call, if it ever does.
    pub(crate) async fn stopped(&mut self) -> StopReason {
        loop {
            match self.signals.recv().await {
                Some(Signal::Stop(why)) => return why,
                Some(_) => {}
                None => std::future::pending().await,
            }
        }
    }

    /// Tells the progress of the call and returns the time since the token
    /// before, if there was one.
    pub(crate) fn seen(&mut self, seen: ResponseProgress) -> Option<u32> {
        let key = self.key;
        match seen {
            ResponseProgress::Stream => {
                self.admission.handle(Event::StreamStarted(key))
            }
            // Blanks keep an answer alive while its engine stands still.
            ResponseProgress::Bytes => {}
            ResponseProgress::Event => {
                let now = Instant::now();
                let Some(last) = self.last_event.replace(now) else {
                    self.admission.handle(Event::FirstToken(key));
                    return None;
                };
                let gap = now.saturating_duration_since(last).as_micros();
                let gap_us = u32::try_from(gap).unwrap_or(u32::MAX);
                self.admission.handle(Event::Token { key, gap_us });
                return Some(gap_us);
            }
        }
        None
    }

    /// Reports the end of the call.
    pub(crate) fn end(mut self, end: End) {
        self.ended = true;
        let key = self.key;
        self.admission.handle(Event::Ended { key, end });
    }
}

impl Drop for Place {
    fn drop(&mut self) {
        if self.ended {
            return;
        }
        let key = self.key;
        self.admission.handle(if self.started {
            let end = End::Failed;
            Event::Ended { key, end }
        } else {
            Event::CallerLeft(key)
        });
    }
}
