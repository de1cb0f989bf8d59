//! What starts, stops and goes back.

use base::{Class, Millis};

use crate::{
    Action, CallKey, Gate, Policy, RejectReason, Rejection, StopReason,
    gate::Phase, measure::ago,
};

/// Span that the items in hand last for, in milliseconds: a pull is
/// answered within it.
const HAND_MS: f64 = 100.0;

/// Fewest and most items in hand.
const HAND_ITEMS: std::ops::RangeInclusive<u32> = 2..=8;

/// Part of the places that a burst needs to count as one.
const BURST_PLACES: f64 = 0.25;

impl Gate {
    /// Returns how many more batch items should be pulled now.
    pub fn batch_wanted(&self, now: Millis) -> u32 {
        if self.draining || self.stall.is_stalled() {
            return 0;
        }
        let room = self.batch_room(now);
        if room == 0 {
            // One item in hand tells when the earliest job is deadline; without
            // it the floor could not rise during an endless rush.
            return u32::from(self.batch_waiting + self.batch_running == 0);
        }
        let ends = f64::from(room) * HAND_MS / self.measure.item_ms().max(1.0);
        let hand =
            (ends.ceil() as u32).clamp(*HAND_ITEMS.start(), *HAND_ITEMS.end());
        let have = self.batch_running + self.batch_waiting;
        // Half of the hand lasts for a pull; asking at each item's end would
        // make a message for each.
        if have > room + hand / 2 {
            return 0;
        }
        room + hand - have
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

    /// Returns the places that online calls may take.
    pub(crate) fn online_places(&self, now: Option<Millis>) -> u32 {
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
        let places = self.online_places(Some(now));
        let gives_way = self.options.policy == Policy::Adaptive;
        while self.online_running < places && self.online_waiting > 0 {
            let full = self.running() >= self.options.max_running;
            if full
                && gives_way
                && !self.stop_youngest(StopReason::Preempted, actions)
            {
                return;
            }
            let Some(key) = self.next_online() else {
                return;
            };
            self.start(now, key, actions);
        }
    }

    /// Stops batch items until a burst finds free places.
    ///
    /// An engine notices a cancelled call only when it next writes. A call
    /// that takes the place of one at the same moment would wait for that
    /// inside the engine. The reserve is refilled at half, so that single
    /// calls do not stop an item each.
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
            && self.stop_youngest(StopReason::Preempted, actions)
        {}
    }

    fn reserve(&self, now: Millis) -> u32 {
        let arrived = self.arrivals.recent(now);
        arrived.max(self.options.reserve_min)
    }

    /// Returns how many batch items may run now.
    pub(crate) fn batch_room(&self, now: Millis) -> u32 {
        let options = &self.options;
        match options.policy {
            Policy::Open => return options.max_running,
            Policy::FixedShare => return options.batch_max_running,
            Policy::Adaptive => {}
        }
        let taken = self.online_running + self.reserve(now);
        let left = options.max_running.saturating_sub(taken);
        let room = left.min(self.limit.get());
        let back = f64::from(room) * self.return_part(now);
        (back as u32).max(self.floor(now))
    }

    /// Returns the part of its room that batch may use after a burst.
    fn return_part(&self, now: Millis) -> f64 {
        let Some(at) = self.burst_at else { return 1.0 };
        let since = now.saturating_ms_since(at);
        let ramped = since.saturating_sub(self.options.hold_ms);
        let part = ramped as f64 / self.options.ramp_ms.max(1) as f64;
        part.min(1.0)
    }

    /// Returns the places that batch keeps because it is deadline.
    pub(crate) fn floor(&self, now: Millis) -> u32 {
        let options = &self.options;
        let times = self
            .calls
            .values()
            .filter(|call| call.class == Class::Batch)
            .map(|call| call.deadline);
        let Some(first) = times.min() else { return 0 };
        let left_ms = first.saturating_ms_since(now);
        if left_ms >= options.floor_age_ms {
            return 0;
        }
        let aged = 1.0 - left_ms as f64 / options.floor_age_ms as f64;
        (f64::from(options.floor_max) * aged).ceil() as u32
    }

    fn start_batch(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.draining || self.batch_waiting == 0 {
            return;
        }
        let room = self.batch_room(now);
        let open = self.options.policy == Policy::Open;
        let floor = self.floor(now);
        let rate = 2.0 * f64::from(room) / self.measure.item_ms().max(1.0);
        self.pace.refill(now, rate);
        while self.batch_running < room
            && (open || self.running() < self.options.max_running)
            && self.may_start(floor)
        {
            let Some(key) = self.next_batch() else { return };
            self.start(now, key, actions);
        }
    }

    /// Tells whether the next batch item may start by its pace. Baselines
    /// know no pace, nor do items that are deadline or an engine without any.
    fn may_start(&mut self, floor: u32) -> bool {
        self.options.policy != Policy::Adaptive
            || self.batch_running < floor.max(1)
            || self.pace.take()
    }

    /// Tells whether many more online calls come than usual, and enough of
    /// them to need a good part of the places.
    fn is_burst(&mut self, now: Millis) -> bool {
        let Some(per_s) = self.arrivals.burst(now) else {
            return false;
        };
        let places = f64::from(per_s) * self.measure.call_ms() / 1_000.0;
        places > f64::from(self.options.max_running) * BURST_PLACES
    }

    /// Lets one call at a time through to a stalled engine, which shows
    /// whether it moves again.
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
        call.started = now;
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

    /// Stops the batch item that loses least, and tells whether one ran.
    pub(crate) fn stop_youngest(
        &mut self,
        reason: StopReason,
        actions: &mut Vec<Action>,
    ) -> bool {
        let running = self.calls.iter_mut().filter(|(_, call)| {
            call.class == Class::Batch && call.phase == Phase::Running
        });
        let youngest = running.max_by_key(|(key, call)| (call.started, *key));
        let Some((key, call)) = youngest else {
            return false;
        };
        call.phase = Phase::Stopping;
        self.batch_running = self.batch_running.saturating_sub(1);
        actions.push(Action::Stop(key, reason));
        true
    }

    fn next_online(&mut self) -> Option<CallKey> {
        loop {
            let key = self.online.pop()?;
            if self.waits(key) {
                return Some(key);
            }
        }
    }

    fn next_batch(&mut self) -> Option<CallKey> {
        loop {
            let key = self.batch.pop()?;
            if self.waits(key) {
                return Some(key);
            }
        }
    }

    fn waits(&self, key: CallKey) -> bool {
        let call = self.calls.get(key);
        call.is_some_and(|call| call.phase == Phase::Waiting)
    }

    /// Gives up waiting online calls whose wait is over the bound: the
    /// engine has become slower than was expected when they came.
    pub(crate) fn give_up_late(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.online_waiting > 0 && self.options.policy != Policy::Open {
            let before = ago(now, self.wait_max_ms());
            self.give_up_waiting(RejectReason::Full, Some(before), actions);
        }
    }

    pub(crate) fn give_up_waiting(
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
        let late = |at| arrived_before.is_none_or(|before| at < before);
        for key in self.waiting_of(Class::Online, late) {
            self.forget(key);
            actions.push(Action::Reject(key, refused));
        }
    }

    /// Gives back batch items that have waited in hand since before a time.
    ///
    /// Another companion may have room for them. Those that are deadline do not
    /// wait so long, since the floor lets them start.
    pub(crate) fn return_waiting(
        &mut self,
        arrived_before: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.batch_waiting == 0 {
            return;
        }
        for key in self.waiting_of(Class::Batch, |at| at < arrived_before) {
            self.forget(key);
            actions.push(Action::Return(key));
        }
    }

    fn waiting_of(
        &self,
        class: Class,
        wanted: impl Fn(Millis) -> bool,
    ) -> Vec<CallKey> {
        let calls = self.calls.iter().filter(|(_, call)| {
            call.class == class
                && call.phase == Phase::Waiting
                && wanted(call.arrived)
        });
        calls.map(|(key, _)| key).collect()
    }

    /// Forgets a waiting call; its place in the queue is passed over later.
    pub(crate) fn forget(&mut self, key: CallKey) {
        if let Some(call) = self.calls.remove(key) {
            self.uncount(&call);
        }
        if self.online_waiting == 0 {
            self.online.clear();
        }
        if self.batch_waiting == 0 {
            self.batch.clear();
        }
    }
}
