use base::{Class, Millis};
use serde::Serialize;
use slotmap::SlotMap;

use crate::{
    Action, Arrival, BatchArrival, CallKey, End, Event, GateOptions, Policy,
    RejectReason, Rejection, StopReason,
    arrivals::Arrivals,
    limit::BatchLimit,
    measure::{Measure, ago},
    pace::Pace,
    stall::Stall,
    waiting::Waiting,
};

/// Part of the queue that one customer may fill, as numerator and
/// denominator. The rest stays open, so that a customer's burst does not get
/// everybody else refused.
const CUSTOMER_PART: (u32, u32) = (3, 4);

/// Longest wait for a place, in parts of the promised first token.
const WAIT_MAX_TARGETS: u64 = 2;

/// Bounds of a refusal's word on when to come back, in milliseconds.
const RETRY_AFTER_MS: std::ops::RangeInclusive<u32> = 100..=30_000;

/// Time for which a batch item waits in hand while others could run it.
pub(crate) const HAND_MAX_MS: u64 = 5_000;

/// Time without a measurement after which the limit rises all the same.
const BLIND_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    Waiting,
    Running,
    /// Cancelled, but not reported as ended yet.
    Stopping,
}

#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) phase: Phase,
    pub(crate) arrived: Millis,
    pub(crate) started: Millis,
    pub(crate) deadline: Millis,
    pub(crate) streams: bool,
    pub(crate) has_first: bool,
}

/// What runs and waits at a gate, and how fast the endpoint is.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct GateLoad {
    /// Calls and batch items that run.
    pub running: u32,
    /// Online calls that wait.
    pub waiting: u32,
    /// Batch items that run.
    pub batch_running: u32,
    /// Batch items in hand that wait.
    pub batch_waiting: u32,
    /// Batch items that the latencies allow.
    pub batch_limit: u32,
    /// Recent 95th percentile from arrival to first token, 0 if unknown.
    pub first_token_ms: u32,
    /// Recent 95th percentile between tokens, rounded up, 0 if unknown.
    pub between_tokens_ms: u32,
    /// The engine makes no progress.
    pub stalled: bool,
}

/// Decides what an endpoint runs next.
///
/// # Example
///
/// ```
/// use base::{Millis, Customer};
/// use pomeloslip_gate::{
///     Action, Arrival, BatchArrival, Gate, GateOptions, StopReason,
/// };
///
/// let now = Millis::new(0);
/// let customer: Customer = "alama".parse()?;
/// let mut gate = Gate::new(GateOptions::new(1, 1), now);
/// let mut actions = Vec::new();
/// let deadline = Millis::new(86_400_000);
/// let item = BatchArrival { customer: customer.clone(), weight: 1, deadline };
/// let item = gate.submit_batch(now, &item, &mut actions);
/// assert_eq!(actions, [Action::Start(item)]);
///
/// // An online call takes the only place.
/// actions.clear();
/// let chat = Arrival { customer, weight: 1 };
/// let chat = gate.submit_online(now, &chat, &mut actions).expect("a place");
/// let stop = Action::Stop(item, StopReason::Preempted);
/// assert_eq!(actions, [stop, Action::Start(chat)]);
/// # Ok::<(), base::IdError>(())
/// ```
#[derive(Debug)]
pub struct Gate {
    pub(crate) options: GateOptions,
    pub(crate) calls: SlotMap<CallKey, Call>,
    pub(crate) online: Waiting,
    pub(crate) batch: Waiting,
    pub(crate) online_waiting: u32,
    pub(crate) batch_waiting: u32,
    pub(crate) online_running: u32,
    pub(crate) batch_running: u32,
    /// Most of them at once since the limit was last set.
    pub(crate) batch_peak: u32,
    pub(crate) arrivals: Arrivals,
    pub(crate) pace: Pace,
    pub(crate) burst_at: Option<Millis>,
    pub(crate) limit: BatchLimit,
    pub(crate) measure: Measure,
    pub(crate) stall: Stall,
    pub(crate) draining: bool,
}

impl Gate {
    /// Makes a gate at which nothing runs.
    pub fn new(options: GateOptions, now: Millis) -> Self {
        Self {
            limit: BatchLimit::new(options.batch_max_running, now),
            stall: Stall::new(options.stall_after_ms),
            arrivals: Arrivals::new(options.reserve_window_ms),
            pace: Pace::new(now),
            options,
            calls: SlotMap::with_key(),
            online: Waiting::default(),
            batch: Waiting::default(),
            online_waiting: 0,
            batch_waiting: 0,
            online_running: 0,
            batch_running: 0,
            batch_peak: 0,
            burst_at: None,
            measure: Measure::default(),
            draining: false,
        }
    }

    /// Takes an online call or refuses it at once.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if it would not start in time; nothing of it is kept.
    pub fn submit_online(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        actions: &mut Vec<Action>,
    ) -> Result<CallKey, Rejection> {
        self.check(arrival)?;
        self.arrivals.push(now);
        let key = self.insert(Class::Online, now, now);
        self.online.push(&arrival.customer, arrival.weight, key);
        self.online_waiting += 1;
        self.dispatch(now, actions);
        Ok(key)
    }

    /// Takes a batch item in hand; it runs when there is room.
    pub fn submit_batch(
        &mut self,
        now: Millis,
        item: &BatchArrival,
        actions: &mut Vec<Action>,
    ) -> CallKey {
        let key = self.insert(Class::Batch, now, item.deadline);
        self.batch.push(&item.customer, item.weight, key);
        self.batch_waiting += 1;
        if self.draining {
            self.return_waiting(Millis::new(u64::MAX), actions);
        }
        self.dispatch(now, actions);
        key
    }

    /// Takes what has happened and adds what is to be done about it.
    ///
    /// Events of calls that the gate does not know have no effect.
    pub fn handle(
        &mut self,
        now: Millis,
        event: Event,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::StreamStarted(key) => self.on_streams(now, key),
            Event::FirstToken(key) => self.on_first(now, key),
            Event::Token { key, gap_us } => {
                self.on_token(now, key, gap_us);
                return;
            }
            Event::Ended { key, end } => self.on_ended(now, key, end),
            Event::CallerLeft(key) => self.on_left(key),
            Event::Restarted => self.on_restarted(now),
            Event::Drain => {
                self.draining = true;
                self.return_waiting(Millis::new(u64::MAX), actions);
            }
            Event::Tick => self.on_tick(now, actions),
        }
        self.dispatch(now, actions);
    }

    /// Returns what runs and waits.
    pub fn load(&self, now: Millis) -> GateLoad {
        GateLoad {
            running: self.running(),
            waiting: self.online_waiting,
            batch_running: self.batch_running,
            batch_waiting: self.batch_waiting,
            batch_limit: self.limit.get(),
            first_token_ms: self.measure.first_p95_ms(now),
            between_tokens_ms: self
                .measure
                .between_p95_us(now)
                .div_ceil(1_000),
            stalled: self.stall.is_stalled(),
        }
    }

    /// Returns how many calls and items the gate knows, those included that
    /// are stopped and have not ended yet.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Tells whether nothing runs or waits.
    pub fn is_empty(&self) -> bool {
        self.calls.is_empty()
    }

    pub(crate) fn running(&self) -> u32 {
        self.online_running + self.batch_running
    }

    fn check(&self, arrival: &Arrival) -> Result<(), Rejection> {
        let refuse = |reason| {
            let retry_after_ms = self.retry_after_ms(reason);
            Err(Rejection {
                reason,
                retry_after_ms,
            })
        };
        if self.draining {
            return refuse(RejectReason::Leaving);
        }
        if self.stall.is_stalled() && self.running() > 0 {
            return refuse(RejectReason::Stalled);
        }
        if self.options.policy == Policy::Open {
            return Ok(());
        }
        if self.online_running < self.online_places(None) {
            return Ok(());
        }
        let (part, whole) = CUSTOMER_PART;
        let customer_max = self.options.queue_max * part / whole;
        let of_customer = self.online.len_of(&arrival.customer) as u32;
        if self.online_waiting >= self.options.queue_max
            || of_customer >= customer_max.max(1)
            || self.expected_wait_ms() > self.wait_max_ms()
        {
            return refuse(RejectReason::Full);
        }
        Ok(())
    }

    /// Returns how long one more online call would wait for its place.
    fn expected_wait_ms(&self) -> u64 {
        let ahead = f64::from(self.online_waiting + 1);
        let places = f64::from(self.online_places(None).max(1));
        (ahead * self.measure.call_ms() / places) as u64
    }

    pub(crate) fn wait_max_ms(&self) -> u64 {
        let target = u64::from(self.options.first_token_target_ms);
        target * WAIT_MAX_TARGETS
    }

    pub(crate) fn retry_after_ms(&self, reason: RejectReason) -> u32 {
        let ms = match reason {
            RejectReason::Full => self.expected_wait_ms(),
            RejectReason::Stalled => self.options.stall_after_ms,
            // Another endpoint takes it at once.
            RejectReason::Leaving => 0,
        };
        let ms = u32::try_from(ms).unwrap_or(u32::MAX);
        ms.clamp(*RETRY_AFTER_MS.start(), *RETRY_AFTER_MS.end())
    }

    fn insert(
        &mut self,
        class: Class,
        now: Millis,
        deadline: Millis,
    ) -> CallKey {
        self.calls.insert(Call {
            class,
            phase: Phase::Waiting,
            arrived: now,
            started: now,
            deadline,
            streams: false,
            has_first: false,
        })
    }

    fn on_streams(&mut self, now: Millis, key: CallKey) {
        if let Some(call) = self.calls.get_mut(key)
            && !call.streams
        {
            call.streams = true;
            self.stall.stream_began(now);
        }
    }

    fn on_first(&mut self, now: Millis, key: CallKey) {
        self.stall.moved(now);
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.has_first = true;
        if call.class == Class::Online {
            let ms = now.saturating_ms_since(call.arrived);
            self.measure.first(now, ms);
        }
    }

    fn on_token(&mut self, now: Millis, key: CallKey, gap_us: u32) {
        self.stall.moved(now);
        match self.calls.get(key).map(|call| call.class) {
            Some(Class::Online) => self.measure.between(now, gap_us),
            Some(Class::Batch) => self.measure.batch_between(now, gap_us),
            None => {}
        }
    }

    fn on_ended(&mut self, now: Millis, key: CallKey, end: End) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if call.streams {
            self.stall.stream_ended();
        }
        self.uncount(&call);
        let End::Done { tokens } = end else { return };
        self.stall.moved(now);
        let ms = now.saturating_ms_since(call.started);
        if call.class == Class::Online {
            self.measure.call(ms);
            return;
        }
        self.measure.item(ms);
        // A whole answer shows no single tokens, but their mean.
        if tokens > 0 && !call.streams {
            let us = ms.saturating_mul(1_000) / u64::from(tokens);
            let us = u32::try_from(us).unwrap_or(u32::MAX);
            self.measure.batch_between(now, us);
        }
    }

    pub(crate) fn uncount(&mut self, call: &Call) {
        let count = match (call.phase, call.class) {
            (Phase::Waiting, Class::Online) => &mut self.online_waiting,
            (Phase::Waiting, Class::Batch) => &mut self.batch_waiting,
            (Phase::Running, Class::Online) => &mut self.online_running,
            (Phase::Running, Class::Batch) => &mut self.batch_running,
            (Phase::Stopping, _) => return,
        };
        *count = count.saturating_sub(1);
    }

    fn on_left(&mut self, key: CallKey) {
        let waits = |call: &Call| call.phase == Phase::Waiting;
        if self.calls.get(key).is_some_and(waits) {
            self.forget(key);
        }
    }

    fn on_restarted(&mut self, now: Millis) {
        self.measure = Measure::default();
        self.limit.reset(now);
        self.stall.moved(now);
    }

    fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.stall.check(now) {
            self.on_stall(actions);
        }
        self.give_up_late(now, actions);
        self.return_waiting(ago(now, HAND_MAX_MS), actions);
        if self.options.policy == Policy::Adaptive {
            self.adapt(now, actions);
        }
    }

    fn on_stall(&mut self, actions: &mut Vec<Action>) {
        self.give_up_waiting(RejectReason::Stalled, None, actions);
        while self.stop_youngest(StopReason::Stalled, actions) {}
    }

    fn adapt(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let since = self.limit.adapted();
        let age_ms = now.saturating_ms_since(since);
        if age_ms < self.options.adapt_ms {
            return;
        }
        let late = self.is_first_token_late(now);
        let mut pressure = self.measure.pressure(since, &self.options);
        let blind = pressure.is_none() && self.running() > 0;
        if blind && !late && age_ms < BLIND_MS {
            return;
        }
        if late {
            // The worst values are those that have not come yet.
            pressure = Some(pressure.unwrap_or(0.0).max(2.0));
        }
        let peak = std::mem::replace(&mut self.batch_peak, self.batch_running);
        let fell = self.limit.adapt(now, pressure, peak);
        if fell && (late || self.measure.is_first_late(since, &self.options)) {
            let keep = self.limit.get().max(self.floor(now));
            while self.batch_running > keep
                && self.stop_youngest(StopReason::Preempted, actions)
            {
            }
        }
    }

    /// Tells whether a running online call has used half of its promise.
    fn is_first_token_late(&self, now: Millis) -> bool {
        let half = u64::from(self.options.first_token_target_ms) / 2;
        self.calls.values().any(|call| {
            call.class == Class::Online
                && call.phase == Phase::Running
                && call.streams
                && !call.has_first
                && now.saturating_ms_since(call.arrived) > half
        })
    }
}
