use std::collections::VecDeque;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Identifies a flow of a [`FairQueue`].
    pub struct FlowKey;
}

/// Cost that a flow of weight 1 may spend in one round.
const QUANTUM: u64 = 1;

#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    deficit: u64,
    items: VecDeque<(u64, T)>,
    /// Whether the flow is part of the rounds.
    is_active: bool,
}

/// Shares capacity among flows by weight (deficit round robin).
///
/// A flow is a customer; an item is a request or a batch item with a cost.
/// Flows with queued items are served round robin. In each round a flow may
/// spend its weight and keeps an unspent remainder for its next round. An idle
/// flow keeps nothing, so that it cannot accumulate a burst. Virtual-time
/// queueing was rejected: its order is slightly finer, but each item costs
/// logarithmic time, and overflow of its clock has to be handled. Here an item
/// takes constant time while costs are close to the weights, and one pass over
/// the active flows otherwise.
///
/// # Example
///
/// ```
/// use pomeloslip_limits::FairQueue;
///
/// let mut queue = FairQueue::new(100);
/// let large = queue.add_flow(2);
/// let small = queue.add_flow(1);
/// for n in 0..6 {
///     queue.push(large, 1, ("large", n)).unwrap();
///     queue.push(small, 1, ("small", n)).unwrap();
/// }
/// let first: Vec<_> = (0..6).filter_map(|_| queue.pop()).collect();
/// let of_large = first.iter().filter(|item| item.0 == "large").count();
/// assert_eq!(of_large, 4);
/// ```
#[derive(Debug)]
pub struct FairQueue<T> {
    flows: SlotMap<FlowKey, Flow<T>>,
    active_flows: VecDeque<FlowKey>,
    /// Whether the first flow of `active_flows` has received its quantum for
    /// this round.
    has_quantum: bool,
    len: usize,
    flow_len_max: usize,
}

/// Error for an item that was not queued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushError {
    /// The flow has reached its maximum length.
    Full,
    /// The flow does not exist.
    NoFlow,
}

impl std::fmt::Display for PushError {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str(match self {
            PushError::Full => "the queue of the flow is full",
            PushError::NoFlow => "the flow does not exist",
        })
    }
}

impl std::error::Error for PushError {}

impl<T> FairQueue<T> {
    /// Creates a queue with a maximum number of items per flow.
    pub fn new(flow_len_max: usize) -> Self {
        Self {
            flows: SlotMap::with_key(),
            active_flows: VecDeque::new(),
            has_quantum: false,
            len: 0,
            flow_len_max,
        }
    }

    /// Adds a flow. A weight of 0 is treated as 1, since the flow would wait
    /// forever otherwise.
    pub fn add_flow(&mut self, weight: u32) -> FlowKey {
        self.flows.insert(Flow {
            weight: weight.max(1),
            deficit: 0,
            items: VecDeque::new(),
            is_active: false,
        })
    }

    /// Changes the weight of a flow from its next round on.
    pub fn set_weight(&mut self, flow: FlowKey, weight: u32) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.weight = weight.max(1);
        }
    }

    /// Removes a flow and returns its queued items in order.
    pub fn remove_flow(&mut self, flow: FlowKey) -> Vec<T> {
        let Some(removed) = self.flows.remove(flow) else {
            return Vec::new();
        };
        if self.active_flows.front() == Some(&flow) {
            self.has_quantum = false;
        }
        self.active_flows.retain(|key| *key != flow);
        self.len -= removed.items.len();
        removed.items.into_iter().map(|(_, item)| item).collect()
    }

    /// Queues an item; a cost of 0 is treated as 1.
    ///
    /// # Errors
    ///
    /// If the flow is full or does not exist; the item is dropped.
    pub fn push(
        &mut self,
        key: FlowKey,
        cost: u64,
        item: T,
    ) -> Result<(), PushError> {
        let flow = self.flows.get_mut(key).ok_or(PushError::NoFlow)?;
        if flow.items.len() >= self.flow_len_max {
            return Err(PushError::Full);
        }
        flow.items.push_back((cost.max(1), item));
        self.len += 1;
        if !flow.is_active {
            flow.is_active = true;
            self.active_flows.push_back(key);
        }
        Ok(())
    }

    /// Removes and returns the next item.
    pub fn pop(&mut self) -> Option<T> {
        let mut visited = 0;
        loop {
            let key = *self.active_flows.front()?;
            self.add_quantum(key);
            if let Some(item) = self.pop_affordable(key) {
                return Some(item);
            }
            self.active_flows.rotate_left(1);
            self.has_quantum = false;
            visited += 1;
            if visited == self.active_flows.len() {
                self.skip_idle_rounds();
            }
        }
    }

    fn add_quantum(&mut self, key: FlowKey) {
        if self.has_quantum {
            return;
        }
        if let Some(flow) = self.flows.get_mut(key) {
            flow.deficit += u64::from(flow.weight) * QUANTUM;
        }
        self.has_quantum = true;
    }

    /// Removes the next item of a flow if its deficit covers the cost.
    fn pop_affordable(&mut self, key: FlowKey) -> Option<T> {
        let flow = self.flows.get_mut(key)?;
        let cost = flow.items.front()?.0;
        flow.deficit = flow.deficit.checked_sub(cost)?;
        let (_, item) = flow.items.pop_front()?;
        self.len -= 1;
        if flow.items.is_empty() {
            flow.is_active = false;
            flow.deficit = 0;
            self.active_flows.pop_front();
            self.has_quantum = false;
        }
        Some(item)
    }

    /// Returns the number of queued items.
    #[inline]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Reports whether no item is queued.
    #[inline]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns the number of queued items of a flow.
    pub fn flow_len(&self, flow: FlowKey) -> usize {
        self.flows.get(flow).map_or(0, |flow| flow.items.len())
    }

    /// Skips rounds in which no flow can afford an item; called between two
    /// rounds. Without this, an item with a cost of a million takes a million
    /// rounds.
    fn skip_idle_rounds(&mut self) {
        let rounds = |flow: &Flow<T>| {
            let cost = flow.items.front().map_or(0, |item| item.0);
            let missing = cost.saturating_sub(flow.deficit);
            missing.div_ceil(u64::from(flow.weight) * QUANTUM)
        };
        let active =
            || self.active_flows.iter().filter_map(|&k| self.flows.get(k));
        let min_rounds = active().map(rounds).min().unwrap_or(0);
        // The last of these rounds is run in full.
        let skipped = min_rounds.saturating_sub(1);
        if skipped == 0 {
            return;
        }
        for key in &self.active_flows {
            if let Some(flow) = self.flows.get_mut(*key) {
                let earned = u64::from(flow.weight) * QUANTUM;
                flow.deficit += earned.saturating_mul(skipped);
            }
        }
    }
}
