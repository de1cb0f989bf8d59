//! A gate on a simulated clock.

#![allow(dead_code)]

use base::{Customer, Millis};
use pomeloslip_gate::{
    Action, Arrival, BatchArrival, CallKey, End, Event, Gate, GateOptions,
    Rejection,
};

/// Deadline far enough in the future to have no effect, in milliseconds.
pub(crate) const FAR_DEADLINE_MS: u64 = 1 << 40;

pub(crate) struct Harness {
    pub(crate) gate: Gate,
    pub(crate) now: Millis,
    pub(crate) actions: Vec<Action>,
}

impl Harness {
    pub(crate) fn new(options: GateOptions) -> Self {
        let now = Millis::new(1_000_000);
        let gate = Gate::new(options, now);
        let actions = Vec::new();
        Self { gate, now, actions }
    }

    pub(crate) fn arrive(&mut self) -> Result<CallKey, Rejection> {
        self.arrive_as("alama", 1)
    }

    pub(crate) fn arrive_as(
        &mut self,
        customer: &str,
        weight: u32,
    ) -> Result<CallKey, Rejection> {
        let customer = customer.parse().expect("a valid name");
        let arrival = Arrival { customer, weight };
        self.gate
            .submit_online(self.now, &arrival, &mut self.actions)
    }

    pub(crate) fn offer(&mut self, due_in_ms: u64) -> CallKey {
        let customer: Customer = "taevakorv".parse().expect("a valid name");
        let deadline = self.now.saturating_add_ms(due_in_ms);
        let item = BatchArrival {
            customer,
            weight: 1,
            deadline,
        };
        self.gate.submit_batch(self.now, &item, &mut self.actions)
    }

    /// Offers items like a companion does, until no more are wanted.
    pub(crate) fn offer_wanted(&mut self) {
        for _ in 0..self.gate.batch_wanted(self.now) {
            self.offer(FAR_DEADLINE_MS);
        }
    }

    /// Lets batch items start at their pace until the given number runs,
    /// within a second.
    pub(crate) fn settle(&mut self, batch_running: u32) {
        for _ in 0..20 {
            self.offer_wanted();
            if self.batch_running() == batch_running {
                return;
            }
            self.advance_ms(50);
        }
        panic!("{} items are running", self.batch_running());
    }

    pub(crate) fn handle(&mut self, event: Event) {
        self.gate.handle(self.now, event, &mut self.actions);
    }

    pub(crate) fn end(&mut self, key: CallKey) {
        let end = End::Done { tokens: 0 };
        self.handle(Event::Ended { key, end });
    }

    /// Advances the time in ticks of 50 ms.
    pub(crate) fn advance_ms(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now = self.now.saturating_add_ms(50);
            self.handle(Event::Tick);
        }
    }

    /// Takes the pending actions.
    pub(crate) fn take_actions(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn stops(&mut self) -> Vec<CallKey> {
        let stops = self.take_actions().into_iter().filter_map(|action| {
            let Action::Stop(key, _) = action else {
                return None;
            };
            Some(key)
        });
        stops.collect()
    }

    pub(crate) fn starts(&mut self) -> Vec<CallKey> {
        let starts = self.take_actions().into_iter().filter_map(|action| {
            let Action::Start(key) = action else {
                return None;
            };
            Some(key)
        });
        starts.collect()
    }

    pub(crate) fn batch_running(&self) -> u32 {
        self.gate.load(self.now).batch_running
    }
}
