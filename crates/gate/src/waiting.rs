use base::Customer;
use indexmap::IndexMap;
use limits::{FairQueue, FlowKey};

use crate::CallKey;

/// Customers of whom a turn is kept; idle ones are dropped beyond it.
const CUSTOMERS_MAX: usize = 1_024;

/// Calls of one class that wait, in fair turns of their customers.
#[derive(Debug)]
pub(crate) struct Waiting {
    queue: FairQueue<CallKey>,
    flows: IndexMap<Customer, FlowKey>,
}

impl Default for Waiting {
    fn default() -> Self {
        Self {
            queue: FairQueue::new(usize::MAX),
            flows: IndexMap::new(),
        }
    }
}

impl Waiting {
    pub(crate) fn push(
        &mut self,
        customer: &Customer,
        weight: u32,
        key: CallKey,
    ) {
        if self.flows.len() >= CUSTOMERS_MAX {
            self.drop_idle();
        }
        let queue = &mut self.queue;
        let flow = *self
            .flows
            .entry(customer.clone())
            .or_insert_with(|| queue.add_flow(weight));
        queue.set_weight(flow, weight);
        // The flow exists and takes any number.
        let _ = queue.push(flow, 1, key);
    }

    /// Takes the next call; it may have left meanwhile.
    pub(crate) fn pop(&mut self) -> Option<CallKey> {
        self.queue.pop()
    }

    /// Returns how many a customer has queued, those that have left included.
    pub(crate) fn len_of(&self, customer: &Customer) -> usize {
        let flow = self.flows.get(customer);
        flow.map_or(0, |flow| self.queue.flow_len(*flow))
    }

    /// Drops all, which is right once none of them waits any more.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    fn drop_idle(&mut self) {
        let queue = &mut self.queue;
        self.flows.retain(|_, flow| {
            let busy = queue.flow_len(*flow) > 0;
            if !busy {
                queue.remove_flow(*flow);
            }
            busy
        });
    }
}
