//! A gate on a stepped clock.

#![allow(dead_code)]

use base::{Customer, Millis};
use pomeloslip_gate::{
    Action, Arrival, BatchArrival, CallKey, End, Event, Gate, GateOptions,
    Rejection,
};

/// Due so late that it does not matter.
pub(crate) const FAR_MS: u64 = 1 << 40;

pub(crate) struct Stand {
    pub(crate) gate: Gate,
    pub(crate) now: Millis,
    pub(crate) actions: Vec<Action>,
}

impl Stand {
    pub(crate) fn new(options: GateOptions) -> Self {
        let now = Millis::new(1_000_000);
        let gate = Gate::new(options, now);
        let actions = Vec::new();
        Self { gate, now, actions }
    }

    pub(crate) fn arrive(&mut self) -> Result<CallKey, Rejection> {
        self.arrive_of("alama", 1)
    }

    pub(crate) fn arrive_of(
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

    /// Offers items as a companion does, for as long as they are wanted.
    pub(crate) fn fill(&mut self) {
        for _ in 0..self.gate.batch_wanted(self.now) {
            self.offer(FAR_MS);
        }
    }

    /// Lets batch start at its pace until so many items run, which must not
    /// take longer than a second.
    pub(crate) fn settle(&mut self, batch_running: u32) {
        for _ in 0..20 {
            self.fill();
            if self.batch_running() == batch_running {
                return;
            }
            self.pass_ms(50);
        }
        panic!("{} items run", self.batch_running());
    }

    pub(crate) fn handle(&mut self, event: Event) {
        self.gate.handle(self.now, event, &mut self.actions);
    }

    pub(crate) fn end(&mut self, key: CallKey) {
        let end = End::Done { tokens: 0 };
        self.handle(Event::Ended { key, end });
    }

    /// Lets time pass in ticks of 50 ms.
    pub(crate) fn pass_ms(&mut self, ms: u64) {
        for _ in 0..ms / 50 {
            self.now = self.now.saturating_add_ms(50);
            self.handle(Event::Tick);
        }
    }

    /// Takes the actions so far.
    pub(crate) fn take(&mut self) -> Vec<Action> {
        std::mem::take(&mut self.actions)
    }

    pub(crate) fn stops(&mut self) -> Vec<CallKey> {
        let stops = self.take().into_iter().filter_map(|action| {
            let Action::Stop(key, _) = action else {
                return None;
            };
            Some(key)
        });
        stops.collect()
    }

    pub(crate) fn starts(&mut self) -> Vec<CallKey> {
        let starts = self.take().into_iter().filter_map(|action| {
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
