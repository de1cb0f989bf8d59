use base::{Millis, mix, stable_hash};
use indexmap::IndexMap;

use super::{
    SEATS, SLOT_COUNT, ServerTimestamp, TokenResponse, TokenServerOptions,
};
use crate::{LimitNodes, front_count::FrontCount};

/// Whom the parts of one front are lent to, and whom they can be lent to.
#[derive(Debug)]
pub(super) struct Lending {
    node: String,
    options: TokenServerOptions,
    /// When the sequence of fronts can be relied on.
    settles_at: Option<Millis>,
    /// Whether the list of nodes names this front. Without that it does not
    /// know how many share the caps, and has no part of its own.
    is_listed: bool,
    fronts: FrontCount,
    /// Nodes that may hold pools, from the first choice on, by group.
    candidates: [Vec<String>; SLOT_COUNT / SEATS],
    holders: IndexMap<String, Holder>,
    slots: [Slot; SLOT_COUNT],
}

/// What is known of a node that parts are lent to.
#[derive(Debug, Default)]
struct Holder {
    stamp: Option<(ServerTimestamp, Millis)>,
    last_sent: Option<Millis>,
    /// Since when a message waits for an answer.
    unanswered: Option<Millis>,
}

/// A part of this front.
#[derive(Debug, Default)]
struct Slot {
    /// Whom requests are sent to, and whom it is lent to once it can be.
    holder: Option<String>,
    /// Whom it was lent to last. After a start that is not known.
    lent_to: Option<String>,
    /// Until when that node may count it.
    lent_until: Millis,
    /// The message with which it was not lent any more.
    released_by: Option<u64>,
}

/// What one message says of the parts of its sender.
#[derive(Debug)]
pub(super) struct Lent {
    /// The holder's newest stamp; the lease runs from it.
    pub(super) from: Option<ServerTimestamp>,
    /// The slots that are lent, a bit each.
    pub(super) slots: u16,
    /// Those of them that were not lent just before.
    pub(super) newly: Vec<usize>,
    /// Fronts that share the caps.
    pub(super) fronts: u32,
}

/// Time between two looks at what has to be renewed, in milliseconds.
pub(super) const RENEWAL_LOOK_MS: u64 = 100;

/// Renewals in the time of one lease. Two of them may be lost.
const RENEWALS_PER_LEASE: u64 = 4;

/// Time between two messages to a node that does not answer, in
/// milliseconds.
const PROBE_MS: u64 = 1_000;

/// Time after a start in which the sequence of fronts is not relied on, in
/// milliseconds: until all that started at the same moment are listed.
const SETTLE_MS: u64 = 500;

/// Added to the time of a lease before a part is lent to another node, in
/// milliseconds: clocks are read in whole ones.
const LEASE_MARGIN_MS: u64 = 2;

/// Workers that may hold the pools of one group, and fronts after them, which
/// have callers to serve.
///
/// Enough that two are left where half of the nodes are lost; a process that
/// starts waits for all of them.
const WORKERS_OF_GROUP: usize = 6;
const FRONTS_OF_GROUP: usize = 3;

impl Lending {
    /// Starts with nothing lent.
    pub(super) fn new(node: &str, options: TokenServerOptions) -> Self {
        Self {
            node: node.to_owned(),
            options,
            settles_at: None,
            is_listed: false,
            fronts: FrontCount::default(),
            candidates: Default::default(),
            holders: IndexMap::new(),
            slots: Default::default(),
        }
    }

    /// Begins the time in which parts are not lent.
    ///
    /// An earlier process of this front may have lent them, and how many
    /// fronts there are is not known at once. Until both is over this process
    /// only asks.
    pub(super) fn start(&mut self, now: Millis) {
        if self.settles_at.is_some() {
            return;
        }
        let settles_at = now.saturating_add_ms(SETTLE_MS);
        self.settles_at = Some(settles_at);
        let until = settles_at.saturating_add_ms(self.lease_ms());
        for slot in &mut self.slots {
            slot.lent_until = until;
        }
    }

    /// Takes the nodes that are listed now.
    pub(super) fn set_nodes(&mut self, nodes: &LimitNodes, now: Millis) {
        self.fronts.observe(&nodes.fronts, now);
        self.is_listed |= nodes.fronts.contains(&self.node);
        let workers = hashed(&nodes.workers);
        let fronts = hashed(&nodes.fronts);
        for (group, candidates) in self.candidates.iter_mut().enumerate() {
            *candidates = first(&workers, group as u64, WORKERS_OF_GROUP);
            candidates.extend(first(&fronts, group as u64, FRONTS_OF_GROUP));
        }
        let known = |node: &String| {
            nodes.workers.contains(node) || nodes.fronts.contains(node)
        };
        self.holders.retain(|node, _| known(node));
        self.place(now);
    }

    /// Returns whom the requests of a slot are sent to.
    pub(super) fn holder_of(&self, slot: usize) -> Option<&str> {
        self.slots[slot].holder.as_deref()
    }

    /// Tells whether the node of a slot answers in time.
    pub(super) fn is_good(&self, slot: usize, now: Millis) -> bool {
        let response_timeout_ms = self.options.response_timeout_ms;
        let holder = self.holder_of(slot);
        holder.is_some_and(|node| {
            !self.is_silent(node, response_timeout_ms, now)
        })
    }

    /// Returns this front's part of one replica of each limit, and since when it
    /// has been lent to nobody.
    pub(super) fn own_part(&self, slot: usize) -> (f64, Millis) {
        let part = match self.is_listed {
            true => 1.0 / f64::from(self.fronts.get()) / SEATS as f64,
            false => 0.0,
        };
        (part, self.slots[slot].lent_until)
    }

    /// Chooses holders anew and returns the nodes that have to hear from
    /// this front.
    pub(super) fn due(&mut self, now: Millis) -> Vec<String> {
        self.fronts.tick(now);
        self.place(now);
        let mut nodes = self.to_clear(now);
        for (at, slot) in self.slots.iter().enumerate() {
            nodes.extend(slot.holder.clone());
            if slot.is_to_be_released(now) {
                nodes.extend(slot.lent_to.clone());
            }
            // Nodes that would be preferred if they answered.
            let preferred = self.candidates[at / SEATS].iter().take(SEATS);
            let silent = preferred.filter(|node| self.is_lost(node, now));
            nodes.extend(silent.cloned());
        }
        nodes.sort_unstable();
        nodes.dedup();
        nodes.retain(|node| self.is_due(node, now));
        nodes
    }

    /// Says in a message to a node what is lent to it from now on.
    pub(super) fn lend(
        &mut self,
        to: &str,
        sequence: u64,
        now: Millis,
    ) -> Lent {
        let lease_ms = self.lease_ms();
        let holder = self.holders.entry(to.to_owned()).or_default();
        holder.last_sent = Some(now);
        holder.unanswered.get_or_insert(now);
        let stamp = holder.stamp;
        let (slots, newly) = match stamp {
            Some((_, heard_at)) if self.is_listed => {
                let until =
                    heard_at.saturating_add_ms(lease_ms + LEASE_MARGIN_MS);
                self.lend_slots(to, until, sequence, now)
            }
            _ => (0, Vec::new()),
        };
        Lent {
            from: stamp.map(|(stamp, _)| stamp),
            slots,
            newly,
            fronts: self.fronts.get(),
        }
    }

    /// Takes what an answer tells of its sender.
    pub(super) fn heard(
        &mut self,
        from: &str,
        reply: &TokenResponse,
        now: Millis,
    ) {
        self.fronts.hear(reply.fronts, now);
        let Some(holder) = self.holders.get_mut(from) else {
            return;
        };
        holder.unanswered = None;
        if !reply.accepted {
            return;
        }
        let before = holder.stamp.map(|(stamp, _)| stamp);
        let has_restarted = before.is_some_and(|before| {
            before.incarnation < reply.timestamp.incarnation
        });
        let is_newer = before.is_none_or(|before| {
            before.incarnation != reply.timestamp.incarnation
                || before.at_ms < reply.timestamp.at_ms
        });
        if is_newer {
            holder.stamp = Some((reply.timestamp, now));
        }
        for slot in &mut self.slots {
            // The holder has taken the release in before it answered; a
            // process that has just started counts nothing of before.
            let released = slot
                .released_by
                .is_some_and(|sequence| reply.sequence >= sequence);
            let is_over = released || has_restarted;
            if is_over && slot.lent_to.as_deref() == Some(from) {
                slot.lent_until = slot.lent_until.min(now);
            }
        }
    }

    fn lease_ms(&self) -> u64 {
        self.options.lease_ms(self.fronts.get())
    }

    fn is_silent(&self, node: &str, after_ms: u64, now: Millis) -> bool {
        let holder = self.holders.get(node);
        let since = holder.and_then(|holder| holder.unanswered);
        since.is_some_and(|at| now.saturating_ms_since(at) >= after_ms)
    }

    /// Tells whether a node has been silent for so long that its parts are
    /// lent to another one.
    fn is_lost(&self, node: &str, now: Millis) -> bool {
        self.is_silent(node, self.options.unresponsive_after_ms, now)
    }

    fn has_answered(&self, node: &str) -> bool {
        let holder = self.holders.get(node);
        holder.is_some_and(|holder| holder.stamp.is_some())
    }

    /// Tells whether no node counts what an earlier process has lent of a
    /// group: each that could have has heard of this process since.
    fn is_cleared(&self, group: usize, now: Millis) -> bool {
        let candidates = &self.candidates[group];
        self.settles_at.is_some_and(|at| now >= at)
            && !candidates.is_empty()
            && candidates.iter().all(|node| self.has_answered(node))
    }

    /// Returns the nodes that have to hear of this process before it lends
    /// parts which an earlier one may have lent.
    fn to_clear(&self, now: Millis) -> Vec<String> {
        let mut nodes = Vec::new();
        for (group, candidates) in self.candidates.iter().enumerate() {
            let slots = &self.slots[group * SEATS..(group + 1) * SEATS];
            let waits =
                |slot: &Slot| slot.lent_to.is_none() && now < slot.lent_until;
            if slots.iter().any(waits) {
                let new = candidates.iter();
                let new = new.filter(|node| !self.has_answered(node));
                nodes.extend(new.cloned());
            }
        }
        nodes
    }

    /// Chooses the holder of each slot: the first candidate that answers,
    /// and for the second replica another one if there is one.
    fn place(&mut self, now: Millis) {
        for slot in 0..SLOT_COUNT {
            let choice = self.choice(slot, now);
            if self.slots[slot].holder.as_deref() != choice {
                self.slots[slot].holder = choice.map(str::to_owned);
            }
        }
    }

    fn choice(&self, slot: usize, now: Millis) -> Option<&str> {
        let mut answering = self.candidates[slot / SEATS]
            .iter()
            .filter(|node| !self.is_lost(node, now));
        let first = answering.next()?;
        let node = match slot % SEATS {
            0 => first,
            _ => answering.next().unwrap_or(first),
        };
        Some(node)
    }

    fn is_due(&self, node: &str, now: Millis) -> bool {
        let releases = self.slots.iter().any(|slot| {
            slot.is_to_be_released(now)
                && slot.released_by.is_none()
                && slot.lent_to.as_deref() == Some(node)
        });
        let Some(holder) = self.holders.get(node) else {
            return true;
        };
        let pause_ms = match holder.unanswered {
            Some(_) if self.is_lost(node, now) => PROBE_MS,
            // One lost datagram must not look like a lost node.
            Some(_) => RENEWAL_LOOK_MS,
            None => self.lease_ms() / RENEWALS_PER_LEASE,
        };
        let has_waited = holder
            .last_sent
            .is_none_or(|at| now.saturating_ms_since(at) >= pause_ms);
        has_waited || releases
    }

    /// Takes note of what a message lends. A slot is lent to another node
    /// only when the one before has surely stopped counting it.
    fn lend_slots(
        &mut self,
        to: &str,
        until: Millis,
        sequence: u64,
        now: Millis,
    ) -> (u16, Vec<usize>) {
        let (mut slots, mut newly) = (0, Vec::new());
        // Asked for only until each slot has been lent once.
        let is_new = self.slots.iter().any(|slot| slot.lent_to.is_none());
        let cleared: [bool; SLOT_COUNT / SEATS] =
            std::array::from_fn(|group| is_new && self.is_cleared(group, now));
        for (at, slot) in self.slots.iter_mut().enumerate() {
            let was_lent = slot.lent_to.as_deref() == Some(to);
            if slot.holder.as_deref() != Some(to) {
                if was_lent && slot.lent_until > now {
                    slot.released_by.get_or_insert(sequence);
                }
                continue;
            }
            let is_cleared = slot.lent_to.is_none() && cleared[at / SEATS];
            let is_free = slot.lent_until <= now || is_cleared;
            if until <= now || !(was_lent || is_free) {
                continue;
            }
            if is_cleared {
                slot.lent_until = now;
            }
            if !was_lent || slot.lent_until <= now {
                newly.push(at);
            }
            slots |= 1 << at;
            slot.lent_to = Some(to.to_owned());
            slot.lent_until = slot.lent_until.max(until);
            slot.released_by = None;
        }
        (slots, newly)
    }
}

impl Slot {
    fn is_to_be_released(&self, now: Millis) -> bool {
        now < self.lent_until
            && self.lent_to.is_some()
            && self.lent_to != self.holder
    }
}

fn hashed(names: &[String]) -> Vec<(u64, &String)> {
    names
        .iter()
        .map(|name| (stable_hash(&[name]), name))
        .collect()
}

/// Returns the first nodes for one group of customers, by their hashes.
fn first(nodes: &[(u64, &String)], group: u64, most: usize) -> Vec<String> {
    let mut nodes = nodes.to_vec();
    nodes.sort_unstable_by_key(|(hash, _)| mix(hash ^ mix(group)));
    let first = nodes.into_iter().take(most);
    first.map(|(_, name)| name.clone()).collect()
}
