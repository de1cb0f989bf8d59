use base::{Class, Millis};
use serde::Serialize;
use slotmap::SlotMap;

use crate::{
    Action, Arrival, BatchArrival, CallKey, End, Event, GateOptions, Policy,
    RejectReason, Rejection, StopReason,
    arrivals::Arrivals,
    class_queue::ClassQueue,
    limit::BatchLimit,
    measurements::{Measurements, ago},
    pace::Pacer,
    stall::{StallChange, StallDetector},
};

/// Fraction of the queue that one customer may fill, as numerator and
/// denominator. The remainder stays available to others, so that a burst of
/// one customer does not cause their calls to be rejected.
const CUSTOMER_QUEUE_FRACTION: (u32, u32) = (3, 4);

/// Maximum wait for a slot, in multiples of the first-token target.
const MAX_WAIT_TARGETS: u64 = 2;

/// Bounds of the retry delay in a rejection, in milliseconds.
const RETRY_AFTER_RANGE_MS: std::ops::RangeInclusive<u32> = 100..=30_000;

/// Time for which a batch item stays buffered while other companions could run
/// it, in milliseconds.
pub(crate) const MAX_BUFFERED_MS: u64 = 5_000;

/// Time without a measurement after which the limit rises anyway, in
/// milliseconds.
const MAX_UNMEASURED_MS: u64 = 2_000;

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Phase {
    Waiting,
    Running,
    /// Cancelled, but not yet reported as ended.
    Stopping,
}

#[derive(Debug)]
pub(crate) struct Call {
    pub(crate) class: Class,
    pub(crate) phase: Phase,
    pub(crate) arrived_at: Millis,
    pub(crate) started_at: Millis,
    pub(crate) deadline: Millis,
    pub(crate) is_streaming: bool,
    pub(crate) has_first_token: bool,
}

/// Running and waiting calls of a gate, and recent latencies of its endpoint.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq, Serialize)]
pub struct GateLoad {
    /// Running calls and batch items.
    pub running: u32,
    /// Waiting online calls.
    pub waiting: u32,
    /// Running batch items.
    pub batch_running: u32,
    /// Buffered batch items that wait.
    pub batch_waiting: u32,
    /// Maximum number of batch items that the latencies permit.
    pub batch_limit: u32,
    /// Recent 95th percentile of the time from arrival to first token, 0 if
    /// unknown.
    pub first_token_ms: u32,
    /// Recent 95th percentile of the time between tokens, rounded up, 0 if
    /// unknown.
    pub between_tokens_ms: u32,
    /// Whether the engine makes no progress.
    pub stalled: bool,
}

/// Decides which calls and batch items an endpoint runs next.
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
/// let item =
///     BatchArrival { customer: customer.clone(), weight: 1, deadline };
/// let item = gate.submit_batch(now, &item, &mut actions);
/// assert_eq!(actions, [Action::Start(item)]);
///
/// // An online call preempts the item in the only slot.
/// actions.clear();
/// let chat = Arrival { customer, weight: 1 };
/// let chat = gate.submit_online(now, &chat, &mut actions).expect("a slot");
/// let stop = Action::Stop(item, StopReason::Preempted);
/// assert_eq!(actions, [stop, Action::Start(chat)]);
/// # Ok::<(), base::IdError>(())
/// ```
#[derive(Debug)]
pub struct Gate {
    pub(crate) options: GateOptions,
    pub(crate) calls: SlotMap<CallKey, Call>,
    pub(crate) online_queue: ClassQueue,
    pub(crate) batch_queue: ClassQueue,
    pub(crate) online_waiting: u32,
    pub(crate) batch_waiting: u32,
    pub(crate) online_running: u32,
    pub(crate) batch_running: u32,
    /// Maximum of `batch_running` since the limit last changed.
    pub(crate) batch_peak: u32,
    pub(crate) arrivals: Arrivals,
    pub(crate) pacer: Pacer,
    pub(crate) burst_at: Option<Millis>,
    pub(crate) limit: BatchLimit,
    pub(crate) measurements: Measurements,
    pub(crate) stall: StallDetector,
    pub(crate) is_draining: bool,
}

impl Gate {
    /// Creates an idle gate.
    pub fn new(options: GateOptions, now: Millis) -> Self {
        Self {
            limit: BatchLimit::new(options.batch_max_running, now),
            stall: StallDetector::new(
                options.stall_after_ms,
                options.give_up_after_ms,
            ),
            arrivals: Arrivals::new(options.reserve_window_ms),
            pacer: Pacer::new(now),
            options,
            calls: SlotMap::with_key(),
            online_queue: ClassQueue::default(),
            batch_queue: ClassQueue::default(),
            online_waiting: 0,
            batch_waiting: 0,
            online_running: 0,
            batch_running: 0,
            batch_peak: 0,
            burst_at: None,
            measurements: Measurements::default(),
            is_draining: false,
        }
    }

    /// Queues or starts an online call, or rejects it at once.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if the call would not start in time; the gate does not
    /// keep it.
    pub fn submit_online(
        &mut self,
        now: Millis,
        arrival: &Arrival,
        actions: &mut Vec<Action>,
    ) -> Result<CallKey, Rejection> {
        self.check(arrival)?;
        self.arrivals.push(now);
        let key = self.add(Class::Online, now, now);
        self.online_queue
            .push(&arrival.customer, arrival.weight, key);
        self.online_waiting += 1;
        self.dispatch(now, actions);
        Ok(key)
    }

    /// Buffers a batch item, which runs when there is capacity.
    pub fn submit_batch(
        &mut self,
        now: Millis,
        item: &BatchArrival,
        actions: &mut Vec<Action>,
    ) -> CallKey {
        let key = self.add(Class::Batch, now, item.deadline);
        self.batch_queue.push(&item.customer, item.weight, key);
        self.batch_waiting += 1;
        if self.is_draining {
            self.return_waiting(Millis::new(u64::MAX), actions);
        }
        self.dispatch(now, actions);
        key
    }

    /// Handles an event and appends the actions that follow from it.
    ///
    /// Events of calls that the gate does not know have no effect.
    pub fn handle(
        &mut self,
        now: Millis,
        event: Event,
        actions: &mut Vec<Action>,
    ) {
        match event {
            Event::StreamStarted(key) => self.on_stream_started(now, key),
            Event::FirstToken(key) => self.on_first_token(now, key),
            Event::Token { key, gap_us } => {
                self.on_token(now, key, gap_us);
                return;
            }
            Event::Ended { key, end } => self.on_ended(now, key, end),
            Event::CallerLeft(key) => self.on_caller_left(key),
            Event::Restarted => self.on_restarted(now),
            Event::Drain => {
                self.is_draining = true;
                self.return_waiting(Millis::new(u64::MAX), actions);
            }
            Event::Tick => self.on_tick(now, actions),
        }
        self.dispatch(now, actions);
    }

    /// Returns the running and waiting calls and the recent latencies.
    pub fn load(&self, now: Millis) -> GateLoad {
        GateLoad {
            running: self.running(),
            waiting: self.online_waiting,
            batch_running: self.batch_running,
            batch_waiting: self.batch_waiting,
            batch_limit: self.limit.get(),
            first_token_ms: self.measurements.first_p95_ms(now),
            between_tokens_ms: self
                .measurements
                .between_p95_us(now)
                .div_ceil(1_000),
            stalled: self.stall.is_stalled(),
        }
    }

    /// Returns the number of calls and items, including those that are stopped
    /// but have not ended yet.
    pub fn len(&self) -> usize {
        self.calls.len()
    }

    /// Reports whether no call runs or waits.
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
        if self.is_draining {
            return refuse(RejectReason::Leaving);
        }
        if self.stall.is_stalled() && self.running() > 0 {
            return refuse(RejectReason::Stalled);
        }
        if self.options.policy == Policy::Open {
            return Ok(());
        }
        if self.online_running < self.online_slots(None) {
            return Ok(());
        }
        let (fraction, denominator) = CUSTOMER_QUEUE_FRACTION;
        let customer_max = self.options.queue_max * fraction / denominator;
        let of_customer = self.online_queue.len_of(&arrival.customer) as u32;
        if self.online_waiting >= self.options.queue_max
            || of_customer >= customer_max.max(1)
            || self.expected_wait_ms() > self.max_wait_ms()
        {
            return refuse(RejectReason::Full);
        }
        Ok(())
    }

    /// Returns how long another online call would wait for a slot.
    fn expected_wait_ms(&self) -> u64 {
        let ahead = f64::from(self.online_waiting + 1);
        let slots = f64::from(self.online_slots(None).max(1));
        (ahead * self.measurements.call_ms() / slots) as u64
    }

    pub(crate) fn max_wait_ms(&self) -> u64 {
        let target = u64::from(self.options.first_token_target_ms);
        target * MAX_WAIT_TARGETS
    }

    pub(crate) fn retry_after_ms(&self, reason: RejectReason) -> u32 {
        let ms = match reason {
            RejectReason::Full => self.expected_wait_ms(),
            RejectReason::Stalled => self.options.stall_after_ms,
            // Another endpoint can accept the call at once.
            RejectReason::Leaving => 0,
        };
        let ms = u32::try_from(ms).unwrap_or(u32::MAX);
        ms.clamp(*RETRY_AFTER_RANGE_MS.start(), *RETRY_AFTER_RANGE_MS.end())
    }

    fn add(&mut self, class: Class, now: Millis, deadline: Millis) -> CallKey {
        self.calls.insert(Call {
            class,
            phase: Phase::Waiting,
            arrived_at: now,
            started_at: now,
            deadline,
            is_streaming: false,
            has_first_token: false,
        })
    }

    fn on_stream_started(&mut self, now: Millis, key: CallKey) {
        if let Some(call) = self.calls.get_mut(key)
            && !call.is_streaming
        {
            call.is_streaming = true;
            self.stall.stream_started(now);
        }
    }

    fn on_first_token(&mut self, now: Millis, key: CallKey) {
        self.stall.on_progress(now);
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.has_first_token = true;
        if call.class == Class::Online {
            let ms = now.saturating_ms_since(call.arrived_at);
            self.measurements.add_first_token(now, ms);
        }
    }

    fn on_token(&mut self, now: Millis, key: CallKey, gap_us: u32) {
        self.stall.on_progress(now);
        match self.calls.get(key).map(|call| call.class) {
            Some(Class::Online) => self.measurements.add_gap(now, gap_us),
            Some(Class::Batch) => self.measurements.add_batch_gap(now, gap_us),
            None => {}
        }
    }

    fn on_ended(&mut self, now: Millis, key: CallKey, end: End) {
        let Some(call) = self.calls.remove(key) else {
            return;
        };
        if call.is_streaming {
            self.stall.stream_ended();
        }
        self.uncount(&call);
        let End::Done { tokens } = end else { return };
        self.stall.on_progress(now);
        let ms = now.saturating_ms_since(call.started_at);
        if call.class == Class::Online {
            self.measurements.add_call(ms);
            return;
        }
        self.measurements.add_item(ms);
        // A response that is not streamed shows no single tokens, only their
        // mean gap.
        if tokens > 0 && !call.is_streaming {
            let us = ms.saturating_mul(1_000) / u64::from(tokens);
            let us = u32::try_from(us).unwrap_or(u32::MAX);
            self.measurements.add_batch_gap(now, us);
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

    fn on_caller_left(&mut self, key: CallKey) {
        let is_waiting = |call: &Call| call.phase == Phase::Waiting;
        if self.calls.get(key).is_some_and(is_waiting) {
            self.forget(key);
        }
    }

    fn on_restarted(&mut self, now: Millis) {
        self.measurements = Measurements::default();
        self.limit.reset(now);
        self.stall.on_progress(now);
    }

    fn on_tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        match self.stall.check(now) {
            Some(StallChange::Stalled) => {
                self.reject_waiting(RejectReason::Stalled, None, actions);
            }
            Some(StallChange::GivenUp) => {
                while self.stop_newest(StopReason::Stalled, actions) {}
            }
            None => {}
        }
        self.reject_late(now, actions);
        self.return_waiting(ago(now, MAX_BUFFERED_MS), actions);
        if self.options.policy == Policy::Adaptive {
            self.adapt(now, actions);
        }
    }

    fn adapt(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let since = self.limit.adapted_at();
        let age_ms = now.saturating_ms_since(since);
        if age_ms < self.options.adapt_ms {
            return;
        }
        let is_late = self.is_first_token_late(now);
        let mut pressure = self.measurements.pressure(since, &self.options);
        let is_unmeasured = pressure.is_none() && self.running() > 0;
        if is_unmeasured && !is_late && age_ms < MAX_UNMEASURED_MS {
            return;
        }
        if is_late {
            // The slowest first tokens have not been measured yet.
            pressure = Some(pressure.unwrap_or(0.0).max(2.0));
        }
        let peak = std::mem::replace(&mut self.batch_peak, self.batch_running);
        let decreased = self.limit.adapt(now, pressure, peak);
        if decreased
            && (is_late
                || self
                    .measurements
                    .misses_first_token_target(since, &self.options))
        {
            let keep = self.limit.get().max(self.floor(now));
            while self.batch_running > keep
                && self.stop_newest(StopReason::Preempted, actions)
            {
            }
        }
    }

    /// Reports whether a running online call has waited for its first token
    /// for more than half of the target.
    fn is_first_token_late(&self, now: Millis) -> bool {
        let half = u64::from(self.options.first_token_target_ms) / 2;
        self.calls.values().any(|call| {
            call.class == Class::Online
                && call.phase == Phase::Running
                && call.is_streaming
                && !call.has_first_token
                && now.saturating_ms_since(call.arrived_at) > half
        })
    }
}
