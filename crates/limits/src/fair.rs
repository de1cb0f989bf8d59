use std::collections::VecDeque;

use slotmap::{SlotMap, new_key_type};

new_key_type! {
    /// Names a flow of a [`FairQueue`].
    pub struct FlowKey;
}

/// Cost that a flow of weight 1 may spend in one round.
const QUANTUM: u64 = 1;

#[derive(Debug)]
struct Flow<T> {
    weight: u32,
    deficit: u64,
    items: VecDeque<(u64, T)>,
    /// Takes part in the rounds.
    active: bool,
}

/// Shares capacity among flows by weight (deficit round robin).
///
/// A flow is a customer, an item a request or a batch item with a cost. Flows
/// with something queued take turns; in each turn a flow may spend its
/// weight, and what it cannot spend yet it keeps for its next turn. An idle
/// flow keeps nothing, so that it cannot save up a burst. Virtual-time
/// queueing was rejected: it orders a little finer, but costs a logarithm
/// for each item and its clock must be handled on overflow; here an item
/// takes constant time while costs are near the weights, and one pass over
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
    turns: VecDeque<FlowKey>,
    /// The first flow of `turns` has got its quantum for this turn.
    in_turn: bool,
    len: usize,
    flow_len_max: usize,
}

/// Says that an item was not queued.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum PushError {
    /// The flow has as many items as it may.
    Full,
    /// There is no such flow.
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
    /// Makes a queue that holds this many items of each flow.
    pub fn new(flow_len_max: usize) -> Self {
        Self {
            flows: SlotMap::with_key(),
            turns: VecDeque::new(),
            in_turn: false,
            len: 0,
            flow_len_max,
        }
    }

    /// Adds a flow; a weight of 0 is taken as 1, since the flow would wait
    /// for ever otherwise.
    pub fn add_flow(&mut self, weight: u32) -> FlowKey {
        self.flows.insert(Flow {
            weight: weight.max(1),
            deficit: 0,
            items: VecDeque::new(),
            active: false,
        })
    }

    /// Changes the weight of a flow from its next turn on.
    pub fn set_weight(&mut self, flow: FlowKey, weight: u32) {
        if let Some(flow) = self.flows.get_mut(flow) {
            flow.weight = weight.max(1);
        }
    }

    /// Removes a flow and returns what it had queued, in order.
    pub fn remove_flow(&mut self, flow: FlowKey) -> Vec<T> {
        let Some(removed) = self.flows.remove(flow) else {
            return Vec::new();
        };
        if self.turns.front() == Some(&flow) {
            self.in_turn = false;
        }
        self.turns.retain(|key| *key != flow);
        self.len -= removed.items.len();
        removed.items.into_iter().map(|(_, item)| item).collect()
    }

    /// Queues an item; a cost of 0 is taken as 1.
    ///
    /// # Errors
    ///
    /// If the flow is full or gone; the item is dropped.
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
        if !flow.active {
            flow.active = true;
            self.turns.push_back(key);
        }
        Ok(())
    }

    /// Takes the next item.
    pub fn pop(&mut self) -> Option<T> {
        let mut passed = 0;
        loop {
            let key = *self.turns.front()?;
            self.start_turn(key);
            if let Some(item) = self.spend(key) {
                return Some(item);
            }
            self.turns.rotate_left(1);
            self.in_turn = false;
            passed += 1;
            if passed == self.turns.len() {
                self.skip_rounds();
            }
        }
    }

    fn start_turn(&mut self, key: FlowKey) {
        if self.in_turn {
            return;
        }
        if let Some(flow) = self.flows.get_mut(key) {
            flow.deficit += u64::from(flow.weight) * QUANTUM;
        }
        self.in_turn = true;
    }

    /// Takes an item of the flow whose turn it is, if it can afford it.
    fn spend(&mut self, key: FlowKey) -> Option<T> {
        let flow = self.flows.get_mut(key)?;
        let cost = flow.items.front()?.0;
        flow.deficit = flow.deficit.checked_sub(cost)?;
        let (_, item) = flow.items.pop_front()?;
        self.len -= 1;
        if flow.items.is_empty() {
            flow.active = false;
            flow.deficit = 0;
            self.turns.pop_front();
            self.in_turn = false;
        }
        Some(item)
    }

    /// Returns how many items are queued.
    #[inline]
    pub fn len(&self) -> usize {
        self.len
    }

    /// Tells whether nothing is queued.
    #[inline]
    pub fn is_empty(&self) -> bool {
        self.len == 0
    }

    /// Returns how many items a flow has queued.
    pub fn flow_len(&self, flow: FlowKey) -> usize {
        self.flows.get(flow).map_or(0, |flow| flow.items.len())
    }

    /// Passes over rounds in which no flow can spend anything, called
    /// between two rounds. Without it, an item that costs a million takes a
    /// million rounds.
    fn skip_rounds(&mut self) {
        let rounds = |flow: &Flow<T>| {
            let cost = flow.items.front().map_or(0, |item| item.0);
            let missing = cost.saturating_sub(flow.deficit);
            missing.div_ceil(u64::from(flow.weight) * QUANTUM)
        };
        let active = || self.turns.iter().filter_map(|&k| self.flows.get(k));
        let least = active().map(rounds).min().unwrap_or(0);
        // The last of these rounds is played in full.
        let skipped = least.saturating_sub(1);
        if skipped == 0 {
            return;
        }
        for key in &self.turns {
            if let Some(flow) = self.flows.get_mut(*key) {
                let earned = u64::from(flow.weight) * QUANTUM;
                flow.deficit += earned.saturating_mul(skipped);
            }
        }
    }
}
