use base::Customer;
use indexmap::IndexMap;
use limits::{FairQueue, FlowKey};

use crate::CallKey;

/// Maximum number of flows before those of idle customers are removed.
const MAX_FLOWS: usize = 1_024;

/// Waiting calls of one class, with a fair queue over their customers.
#[derive(Debug)]
pub(crate) struct ClassQueue {
    queue: FairQueue<CallKey>,
    flows: IndexMap<Customer, FlowKey>,
}

impl Default for ClassQueue {
    fn default() -> Self {
        Self {
            queue: FairQueue::new(usize::MAX),
            flows: IndexMap::new(),
        }
    }
}

impl ClassQueue {
    pub(crate) fn push(
        &mut self,
        customer: &Customer,
        weight: u32,
        key: CallKey,
    ) {
        if self.flows.len() >= MAX_FLOWS {
            self.drop_idle();
        }
        let queue = &mut self.queue;
        let flow = *self
            .flows
            .entry(customer.clone())
            .or_insert_with(|| queue.add_flow(weight));
        queue.set_weight(flow, weight);
        // The flow exists and its length is not limited.
        let _ = queue.push(flow, 1, key);
    }

    /// Removes and returns the next call, which may have left in the meantime.
    pub(crate) fn pop(&mut self) -> Option<CallKey> {
        self.queue.pop()
    }

    /// Returns how many calls a customer has queued, including those that have
    /// left.
    pub(crate) fn len_of(&self, customer: &Customer) -> usize {
        let flow = self.flows.get(customer);
        flow.map_or(0, |flow| self.queue.flow_len(*flow))
    }

    /// Removes all entries; to be called once no call of the class is waiting.
    pub(crate) fn clear(&mut self) {
        *self = Self::default();
    }

    fn drop_idle(&mut self) {
        let queue = &mut self.queue;
        self.flows.retain(|_, flow| {
            let is_busy = queue.flow_len(*flow) > 0;
            if !is_busy {
                queue.remove_flow(*flow);
            }
            is_busy
        });
    }
}
