//! Starts and stops calls, and returns buffered batch items.

use base::{Class, Millis};

use crate::{
    Action, CallKey, Gate, Policy, RejectReason, Rejection, StopReason,
    gate::Phase, measurements::ago,
};

/// Time for which the buffered items last, in milliseconds. A pull is answered
/// within this time.
const BUFFER_MS: f64 = 100.0;

/// Minimum and maximum number of buffered items.
const BUFFER_ITEMS: std::ops::RangeInclusive<u32> = 2..=8;

/// Fraction of the slots that a burst has to need to count as one.
const BURST_CAPACITY: f64 = 0.25;

impl Gate {
    /// Returns how many more batch items to pull now.
    pub fn batch_wanted(&self, now: Millis) -> u32 {
        if self.is_draining || self.stall.is_stalled() {
            return 0;
        }
        let capacity = self.batch_capacity(now);
        if capacity == 0 {
            // One buffered item shows when the earliest job is due. Without it
            // the floor could not rise during an endless burst.
            return u32::from(self.batch_waiting + self.batch_running == 0);
        }
        let completions = f64::from(capacity) * BUFFER_MS
            / self.measurements.item_ms().max(1.0);
        let buffer = (completions.ceil() as u32)
            .clamp(*BUFFER_ITEMS.start(), *BUFFER_ITEMS.end());
        let pulled = self.batch_running + self.batch_waiting;
        // Half of the buffer lasts for the duration of a pull. Pulling
        // whenever an item ends would send one message per item.
        if pulled > capacity + buffer / 2 {
            return 0;
        }
        capacity + buffer - pulled
    }

    pub(crate) fn dispatch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.stall.is_stalled() {
            self.probe(now, actions);
            return;
        }
        self.start_online(now, actions);
        if self.options.policy == Policy::Adaptive {
            self.keep_reserve(now, actions);
            if self.online_waiting > 0 || self.is_burst(now) {
                self.burst_at = Some(now);
            }
        }
        self.start_batch(now, actions);
    }

    /// Returns the number of slots that online calls may use.
    pub(crate) fn online_slots(&self, now: Option<Millis>) -> u32 {
        let options = &self.options;
        match options.policy {
            Policy::Open => u32::MAX,
            Policy::FixedShare => {
                let rest = options.max_running - options.batch_max_running;
                rest.max(1)
            }
            Policy::Adaptive => {
                let floor = now.map_or(0, |now| self.floor(now));
                options.max_running.saturating_sub(floor).max(1)
            }
        }
    }

    fn start_online(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let slots = self.online_slots(Some(now));
        let preempts = self.options.policy == Policy::Adaptive;
        while self.online_running < slots && self.online_waiting > 0 {
            let is_full = self.running() >= self.options.max_running;
            if is_full
                && preempts
                && !self.stop_newest(StopReason::Preempted, actions)
            {
                return;
            }
            let Some(key) = self.next_online() else {
                return;
            };
            self.start(now, key, actions);
        }
    }

    /// Stops batch items until enough slots are free for a burst.
    ///
    /// An engine notices a cancelled call only at its next write, so a call
    /// that takes over a slot at the same moment would wait inside the engine.
    /// The reserve is refilled once it is below one half, so that single calls
    /// do not stop an item each.
    fn keep_reserve(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let reserve = self.reserve(now);
        let free = |gate: &Gate| {
            gate.options.max_running.saturating_sub(gate.running())
        };
        if free(self) >= reserve / 2 {
            return;
        }
        let floor = self.floor(now);
        while free(self) < reserve
            && self.batch_running > floor
            && self.stop_newest(StopReason::Preempted, actions)
        {}
    }

    fn reserve(&self, now: Millis) -> u32 {
        let recent = self.arrivals.recent(now);
        recent.max(self.options.reserve_min)
    }

    /// Returns how many batch items may run now.
    pub(crate) fn batch_capacity(&self, now: Millis) -> u32 {
        let options = &self.options;
        match options.policy {
            Policy::Open => return options.max_running,
            Policy::FixedShare => return options.batch_max_running,
            Policy::Adaptive => {}
        }
        let reserved = self.online_running + self.reserve(now);
        let remaining = options.max_running.saturating_sub(reserved);
        let capacity = remaining.min(self.limit.get());
        let ramped_capacity = f64::from(capacity) * self.ramp_fraction(now);
        (ramped_capacity as u32).max(self.floor(now))
    }

    /// Returns the fraction of its capacity that batch may use after a burst.
    fn ramp_fraction(&self, now: Millis) -> f64 {
        let Some(at) = self.burst_at else { return 1.0 };
        let elapsed_ms = now.saturating_ms_since(at);
        let ramped_ms = elapsed_ms.saturating_sub(self.options.hold_ms);
        let fraction = ramped_ms as f64 / self.options.ramp_ms.max(1) as f64;
        fraction.min(1.0)
    }

    /// Returns the number of slots that batch keeps because of its deadlines.
    pub(crate) fn floor(&self, now: Millis) -> u32 {
        let options = &self.options;
        let times = self
            .calls
            .values()
            .filter(|call| call.class == Class::Batch)
            .map(|call| call.deadline);
        let Some(first) = times.min() else { return 0 };
        let remaining_ms = first.saturating_ms_since(now);
        if remaining_ms >= options.floor_age_ms {
            return 0;
        }
        let urgency = 1.0 - remaining_ms as f64 / options.floor_age_ms as f64;
        (f64::from(options.floor_max) * urgency).ceil() as u32
    }

    fn start_batch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.is_draining || self.batch_waiting == 0 {
            return;
        }
        let capacity = self.batch_capacity(now);
        let open = self.options.policy == Policy::Open;
        let floor = self.floor(now);
        let rate =
            2.0 * f64::from(capacity) / self.measurements.item_ms().max(1.0);
        self.pacer.refill(now, rate);
        while self.batch_running < capacity
            && (open || self.running() < self.options.max_running)
            && self.may_start(floor)
        {
            let Some(key) = self.next_batch() else { return };
            self.start(now, key, actions);
        }
    }

    /// Reports whether the pacer permits the next batch item to start. The
    /// baseline policies do not pace; nor are items below the floor or the
    /// first running batch item paced.
    fn may_start(&mut self, floor: u32) -> bool {
        self.options.policy != Policy::Adaptive
            || self.batch_running < floor.max(1)
            || self.pacer.try_take()
    }

    /// Reports whether the arrival rate is far above its baseline and the
    /// calls need a considerable fraction of the slots.
    fn is_burst(&mut self, now: Millis) -> bool {
        let Some(per_s) = self.arrivals.burst(now) else {
            return false;
        };
        let slots = f64::from(per_s) * self.measurements.call_ms() / 1_000.0;
        slots > f64::from(self.options.max_running) * BURST_CAPACITY
    }

    /// Starts one call at a time on a stalled engine, to detect whether it
    /// makes progress again.
    fn probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.running() > 0 {
            return;
        }
        if let Some(key) = self.next_online().or_else(|| self.next_batch()) {
            self.start(now, key, actions);
        }
    }

    fn start(&mut self, now: Millis, key: CallKey, actions: &mut Vec<Action>) {
        let Some(call) = self.calls.get_mut(key) else {
            return;
        };
        call.phase = Phase::Running;
        call.started_at = now;
        match call.class {
            Class::Online => {
                self.online_waiting = self.online_waiting.saturating_sub(1);
                self.online_running += 1;
            }
            Class::Batch => {
                self.batch_waiting = self.batch_waiting.saturating_sub(1);
                self.batch_running += 1;
                self.batch_peak = self.batch_peak.max(self.batch_running);
            }
        }
        actions.push(Action::Start(key));
    }

    /// Stops the batch item that started last, which loses the least work.
    /// Returns whether one was running.
    pub(crate) fn stop_newest(
        &mut self,
        reason: StopReason,
        actions: &mut Vec<Action>,
    ) -> bool {
        let running = self.calls.iter_mut().filter(|(_, call)| {
            call.class == Class::Batch && call.phase == Phase::Running
        });
        let newest = running.max_by_key(|(key, call)| (call.started_at, *key));
        let Some((key, call)) = newest else {
            return false;
        };
        call.phase = Phase::Stopping;
        self.batch_running = self.batch_running.saturating_sub(1);
        actions.push(Action::Stop(key, reason));
        true
    }

    fn next_online(&mut self) -> Option<CallKey> {
        loop {
            let key = self.online_queue.pop()?;
            if self.is_waiting(key) {
                return Some(key);
            }
        }
    }

    fn next_batch(&mut self) -> Option<CallKey> {
        loop {
            let key = self.batch_queue.pop()?;
            if self.is_waiting(key) {
                return Some(key);
            }
        }
    }

    fn is_waiting(&self, key: CallKey) -> bool {
        let call = self.calls.get(key);
        call.is_some_and(|call| call.phase == Phase::Waiting)
    }

    /// Rejects online calls that have waited beyond the limit, because the
    /// engine became slower than expected when they arrived.
    pub(crate) fn reject_late(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.online_waiting > 0 && self.options.policy != Policy::Open {
            let before = ago(now, self.max_wait_ms());
            self.reject_waiting(RejectReason::Full, Some(before), actions);
        }
    }

    pub(crate) fn reject_waiting(
        &mut self,
        reason: RejectReason,
        arrived_before: Option<Millis>,
        actions: &mut Vec<Action>,
    ) {
        let retry_after_ms = self.retry_after_ms(reason);
        let refused = Rejection {
            reason,
            retry_after_ms,
        };
        let is_late = |at| arrived_before.is_none_or(|before| at < before);
        for key in self.waiting_calls(Class::Online, is_late) {
            self.forget(key);
            actions.push(Action::Reject(key, refused));
        }
    }

    /// Returns batch items that have been buffered since before the given
    /// time.
    ///
    /// Another companion may have capacity for them. Items close to their
    /// deadline do not wait that long, since the floor lets them start.
    pub(crate) fn return_waiting(
        &mut self,
        arrived_before: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.batch_waiting == 0 {
            return;
        }
        for key in self.waiting_calls(Class::Batch, |at| at < arrived_before) {
            self.forget(key);
            actions.push(Action::Return(key));
        }
    }

    fn waiting_calls(
        &self,
        class: Class,
        matches: impl Fn(Millis) -> bool,
    ) -> Vec<CallKey> {
        let calls = self.calls.iter().filter(|(_, call)| {
            call.class == class
                && call.phase == Phase::Waiting
                && matches(call.arrived_at)
        });
        calls.map(|(key, _)| key).collect()
    }

    /// Removes a waiting call. Its queue entry is skipped later.
    pub(crate) fn forget(&mut self, key: CallKey) {
        if let Some(call) = self.calls.remove(key) {
            self.uncount(&call);
        }
        if self.online_waiting == 0 {
            self.online_queue.clear();
        }
        if self.batch_waiting == 0 {
            self.batch_queue.clear();
        }
    }
}
