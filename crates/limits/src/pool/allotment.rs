use base::{Millis, mix, stable_hash};
use indexmap::IndexMap;

use super::{
    REPLICAS, SLOT_COUNT, ServerTimestamp, TokenResponse, TokenServerOptions,
};
use crate::{LimitNodes, front_count::FrontCount};

/// Token servers that the shares of one front are allotted to, and candidates
/// for them.
#[derive(Debug)]
pub(super) struct Allotments {
    node: String,
    options: TokenServerOptions,
    /// When the number of fronts is reliable.
    settles_at: Option<Millis>,
    /// Whether the list of nodes contains this front. Otherwise the front does
    /// not know how many fronts share the limits, and has no share of its own.
    is_listed: bool,
    fronts: FrontCount,
    /// Candidates for token servers per shard, in order of preference.
    candidates: [Vec<String>; SLOT_COUNT / REPLICAS],
    servers: IndexMap<String, Server>,
    slots: [Slot; SLOT_COUNT],
}

/// State of a node that shares are allotted to.
#[derive(Debug, Default)]
struct Server {
    timestamp: Option<(ServerTimestamp, Millis)>,
    last_sent: Option<Millis>,
    /// When the oldest message without a response was sent.
    unanswered_since: Option<Millis>,
}

/// State of one slot of this front.
#[derive(Debug, Default)]
struct Slot {
    /// Server that requests are sent to, and that gets the slot as soon as
    /// possible.
    server: Option<String>,
    /// Server that last had the slot; unknown after a start.
    allotted_to: Option<String>,
    /// Until when that server may count the slot.
    allotted_until: Millis,
    /// Sequence number of the message that released the slot.
    released_in: Option<u64>,
}

/// Shares that one message allots to its recipient.
#[derive(Debug)]
pub(super) struct Shares {
    /// Latest timestamp of the server; the lease starts at it.
    pub(super) from: Option<ServerTimestamp>,
    /// Bit mask of the allotted slots.
    pub(super) slots: u16,
    /// Allotted slots that were not allotted to this server just before.
    pub(super) newly_allotted: Vec<usize>,
    /// Number of fronts that share the limits.
    pub(super) fronts: u32,
}

/// Interval between checks for due renewals, in milliseconds.
pub(super) const RENEWAL_CHECK_MS: u64 = 100;

/// Renewals per lease. Two of them may be lost.
const RENEWALS_PER_LEASE: u64 = 4;

/// Interval between messages to an unresponsive node, in milliseconds.
const PROBE_INTERVAL_MS: u64 = 1_000;

/// Time after a start in which the number of fronts is not reliable, in
/// milliseconds: until all nodes that started at the same time are listed.
const SETTLE_MS: u64 = 500;

/// Margin added to a lease before a slot is allotted to another server, in
/// milliseconds, since clocks are read in whole milliseconds.
const LEASE_MARGIN_MS: u64 = 2;

/// Maximum number of workers that are candidates for one shard, and of fronts
/// after them, which also serve callers.
///
/// At these numbers two candidates remain if half of the nodes are lost; a
/// process that starts waits for all of them.
const WORKERS_PER_SHARD: usize = 6;
const FRONTS_PER_SHARD: usize = 3;

impl Allotments {
    /// Creates the state without any allotment.
    pub(super) fn new(node: &str, options: TokenServerOptions) -> Self {
        Self {
            node: node.to_owned(),
            options,
            settles_at: None,
            is_listed: false,
            fronts: FrontCount::default(),
            candidates: Default::default(),
            servers: IndexMap::new(),
            slots: Default::default(),
        }
    }

    /// Starts the period in which slots are not allotted.
    ///
    /// An earlier process of this front may have allotted them, and the number
    /// of fronts is not known at once. Until both are resolved, this process
    /// only requests tokens.
    pub(super) fn start(&mut self, now: Millis) {
        if self.settles_at.is_some() {
            return;
        }
        let settles_at = now.saturating_add_ms(SETTLE_MS);
        self.settles_at = Some(settles_at);
        let until = settles_at.saturating_add_ms(self.lease_ms());
        for slot in &mut self.slots {
            slot.allotted_until = until;
        }
    }

    /// Updates the listed nodes.
    pub(super) fn set_nodes(&mut self, nodes: &LimitNodes, now: Millis) {
        self.fronts.observe(&nodes.fronts, now);
        self.is_listed |= nodes.fronts.contains(&self.node);
        let workers = hash_names(&nodes.workers);
        let fronts = hash_names(&nodes.fronts);
        for (shard, candidates) in self.candidates.iter_mut().enumerate() {
            *candidates =
                top_ranked(&workers, shard as u64, WORKERS_PER_SHARD);
            candidates.extend(top_ranked(
                &fronts,
                shard as u64,
                FRONTS_PER_SHARD,
            ));
        }
        let is_listed_node = |node: &String| {
            nodes.workers.contains(node) || nodes.fronts.contains(node)
        };
        self.servers.retain(|node, _| is_listed_node(node));
        self.assign_servers(now);
    }

    /// Returns the server that requests of a slot are sent to.
    pub(super) fn server_of(&self, slot: usize) -> Option<&str> {
        self.slots[slot].server.as_deref()
    }

    /// Reports whether the server of a slot responds in time.
    pub(super) fn is_responsive(&self, slot: usize, now: Millis) -> bool {
        let response_timeout_ms = self.options.response_timeout_ms;
        let server = self.server_of(slot);
        server.is_some_and(|node| {
            !self.is_unanswered(node, response_timeout_ms, now)
        })
    }

    /// Returns this front's share of one replica of each limit, and since when
    /// it has not been allotted.
    pub(super) fn own_share(&self, slot: usize) -> (f64, Millis) {
        let share = match self.is_listed {
            true => 1.0 / f64::from(self.fronts.get()) / REPLICAS as f64,
            false => 0.0,
        };
        (share, self.slots[slot].allotted_until)
    }

    /// Reassigns servers and returns the nodes that are due a message from
    /// this front.
    pub(super) fn servers_due(&mut self, now: Millis) -> Vec<String> {
        self.fronts.tick(now);
        self.assign_servers(now);
        let mut nodes = self.unconfirmed_servers(now);
        for (at, slot) in self.slots.iter().enumerate() {
            nodes.extend(slot.server.clone());
            if slot.needs_release(now) {
                nodes.extend(slot.allotted_to.clone());
            }
            // Nodes that would be preferred if they responded.
            let preferred =
                self.candidates[at / REPLICAS].iter().take(REPLICAS);
            let silent =
                preferred.filter(|node| self.is_unresponsive(node, now));
            nodes.extend(silent.cloned());
        }
        nodes.sort_unstable();
        nodes.dedup();
        nodes.retain(|node| self.is_due(node, now));
        nodes
    }

    /// Determines the slots that a message allots to its recipient.
    pub(super) fn allot(&mut self, to: &str, seq: u64, now: Millis) -> Shares {
        let lease_ms = self.lease_ms();
        let server = self.servers.entry(to.to_owned()).or_default();
        server.last_sent = Some(now);
        server.unanswered_since.get_or_insert(now);
        let timestamp = server.timestamp;
        let (slots, newly_allotted) = match timestamp {
            Some((_, received_at)) if self.is_listed => {
                let until =
                    received_at.saturating_add_ms(lease_ms + LEASE_MARGIN_MS);
                self.allot_slots(to, until, seq, now)
            }
            _ => (0, Vec::new()),
        };
        Shares {
            from: timestamp.map(|(timestamp, _)| timestamp),
            slots,
            newly_allotted,
            fronts: self.fronts.get(),
        }
    }

    /// Updates the state of a server from its response.
    pub(super) fn on_response(
        &mut self,
        from: &str,
        reply: &TokenResponse,
        now: Millis,
    ) {
        self.fronts.report(reply.fronts, now);
        let Some(server) = self.servers.get_mut(from) else {
            return;
        };
        server.unanswered_since = None;
        if !reply.accepted {
            return;
        }
        let before = server.timestamp.map(|(timestamp, _)| timestamp);
        let has_restarted = before.is_some_and(|before| {
            before.incarnation < reply.timestamp.incarnation
        });
        let is_newer = before.is_none_or(|before| {
            before.incarnation != reply.timestamp.incarnation
                || before.at_ms < reply.timestamp.at_ms
        });
        if is_newer {
            server.timestamp = Some((reply.timestamp, now));
        }
        for slot in &mut self.slots {
            // The server applied the release before it responded; a process
            // that has just started counts no earlier allotments.
            let released = slot
                .released_in
                .is_some_and(|sequence| reply.sequence >= sequence);
            let is_over = released || has_restarted;
            if is_over && slot.allotted_to.as_deref() == Some(from) {
                slot.allotted_until = slot.allotted_until.min(now);
            }
        }
    }

    fn lease_ms(&self) -> u64 {
        self.options.lease_ms(self.fronts.get())
    }

    fn is_unanswered(&self, node: &str, after_ms: u64, now: Millis) -> bool {
        let server = self.servers.get(node);
        let since = server.and_then(|server| server.unanswered_since);
        since.is_some_and(|at| now.saturating_ms_since(at) >= after_ms)
    }

    /// Reports whether a node has been silent for so long that its slots are
    /// assigned to another one.
    fn is_unresponsive(&self, node: &str, now: Millis) -> bool {
        self.is_unanswered(node, self.options.unresponsive_after_ms, now)
    }

    fn has_answered(&self, node: &str) -> bool {
        let server = self.servers.get(node);
        server.is_some_and(|server| server.timestamp.is_some())
    }

    /// Reports whether no server counts slots of a shard that an earlier
    /// process allotted: every candidate has responded to this process.
    fn is_confirmed(&self, shard: usize, now: Millis) -> bool {
        let candidates = &self.candidates[shard];
        self.settles_at.is_some_and(|at| now >= at)
            && !candidates.is_empty()
            && candidates.iter().all(|node| self.has_answered(node))
    }

    /// Returns the nodes that have to respond to this process before it allots
    /// slots that an earlier process may have allotted.
    fn unconfirmed_servers(&self, now: Millis) -> Vec<String> {
        let mut nodes = Vec::new();
        for (shard, candidates) in self.candidates.iter().enumerate() {
            let slots = &self.slots[shard * REPLICAS..(shard + 1) * REPLICAS];
            let is_unconfirmed = |slot: &Slot| {
                slot.allotted_to.is_none() && now < slot.allotted_until
            };
            if slots.iter().any(is_unconfirmed) {
                let new = candidates.iter();
                let new = new.filter(|node| !self.has_answered(node));
                nodes.extend(new.cloned());
            }
        }
        nodes
    }

    /// Chooses the server of each slot: the first candidate that responds, and
    /// for the second replica another one if there is one.
    fn assign_servers(&mut self, now: Millis) {
        for slot in 0..SLOT_COUNT {
            let choice = self.choose_server(slot, now);
            if self.slots[slot].server.as_deref() != choice {
                self.slots[slot].server = choice.map(str::to_owned);
            }
        }
    }

    fn choose_server(&self, slot: usize, now: Millis) -> Option<&str> {
        let mut answering = self.candidates[slot / REPLICAS]
            .iter()
            .filter(|node| !self.is_unresponsive(node, now));
        let first = answering.next()?;
        let node = match slot % REPLICAS {
            0 => first,
            _ => answering.next().unwrap_or(first),
        };
        Some(node)
    }

    fn is_due(&self, node: &str, now: Millis) -> bool {
        let releases = self.slots.iter().any(|slot| {
            slot.needs_release(now)
                && slot.released_in.is_none()
                && slot.allotted_to.as_deref() == Some(node)
        });
        let Some(server) = self.servers.get(node) else {
            return true;
        };
        let pause_ms = match server.unanswered_since {
            Some(_) if self.is_unresponsive(node, now) => PROBE_INTERVAL_MS,
            // One lost datagram must not look like a lost node.
            Some(_) => RENEWAL_CHECK_MS,
            None => self.lease_ms() / RENEWALS_PER_LEASE,
        };
        let has_waited = server
            .last_sent
            .is_none_or(|at| now.saturating_ms_since(at) >= pause_ms);
        has_waited || releases
    }

    /// Records the slots that a message allots. A slot is allotted to another
    /// server only when the previous one has certainly stopped counting it.
    fn allot_slots(
        &mut self,
        to: &str,
        until: Millis,
        sequence: u64,
        now: Millis,
    ) -> (u16, Vec<usize>) {
        let (mut slots, mut newly_allotted) = (0, Vec::new());
        // Needed only until each slot has been allotted once.
        let is_new = self.slots.iter().any(|slot| slot.allotted_to.is_none());
        let confirmed: [bool; SLOT_COUNT / REPLICAS] =
            std::array::from_fn(|shard| {
                is_new && self.is_confirmed(shard, now)
            });
        for (at, slot) in self.slots.iter_mut().enumerate() {
            let was_allotted = slot.allotted_to.as_deref() == Some(to);
            if slot.server.as_deref() != Some(to) {
                if was_allotted && slot.allotted_until > now {
                    slot.released_in.get_or_insert(sequence);
                }
                continue;
            }
            let is_confirmed =
                slot.allotted_to.is_none() && confirmed[at / REPLICAS];
            let is_free = slot.allotted_until <= now || is_confirmed;
            if until <= now || !(was_allotted || is_free) {
                continue;
            }
            if is_confirmed {
                slot.allotted_until = now;
            }
            if !was_allotted || slot.allotted_until <= now {
                newly_allotted.push(at);
            }
            slots |= 1 << at;
            slot.allotted_to = Some(to.to_owned());
            slot.allotted_until = slot.allotted_until.max(until);
            slot.released_in = None;
        }
        (slots, newly_allotted)
    }
}

impl Slot {
    fn needs_release(&self, now: Millis) -> bool {
        now < self.allotted_until
            && self.allotted_to.is_some()
            && self.allotted_to != self.server
    }
}

fn hash_names(names: &[String]) -> Vec<(u64, &String)> {
    names
        .iter()
        .map(|name| (stable_hash(&[name]), name))
        .collect()
}

/// Returns the highest ranked nodes for one shard of customers, by rendezvous
/// hashing.
fn top_ranked(
    nodes: &[(u64, &String)],
    shard: u64,
    max: usize,
) -> Vec<String> {
    let mut nodes = nodes.to_vec();
    nodes.sort_unstable_by_key(|(hash, _)| mix(hash ^ mix(shard)));
    let top = nodes.into_iter().take(max);
    top.map(|(_, name)| name.clone()).collect()
}
