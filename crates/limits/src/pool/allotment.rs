mod state;

use base::Millis;
use indexmap::IndexMap;

use self::state::{Server, Slot};
use super::{
    REPLICAS, SLOT_COUNT, ServerTimestamp, TokenResponse, TokenServerOptions,
    candidates::Candidates,
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
    candidates: Candidates,
    servers: IndexMap<String, Server>,
    slots: [Slot; SLOT_COUNT],
}

/// Node that requests of a slot are sent to.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum Target<'a> {
    /// The server that this front's share is allotted to, or, while it is not
    /// allotted, the one that gets it.
    Server(&'a str),
    /// The server of the share does not respond. Its leases end at the given
    /// time.
    Lost { until: Millis },
    /// No node responds.
    Unknown,
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

/// Minimum lease at servers of versions that read no reports, in milliseconds.
/// A front that took it for shorter would allot a share to another server while
/// such a server still counts it.
const OLD_MIN_LEASE_MS: u64 = 1_500;

/// Margin added to a lease before a slot is allotted to another server, in
/// milliseconds, since clocks are read in whole milliseconds.
const LEASE_MARGIN_MS: u64 = 2;

impl Allotments {
    /// Creates the state without any allotment.
    pub(super) fn new(node: &str, options: TokenServerOptions) -> Self {
        Self {
            node: node.to_owned(),
            options,
            settles_at: None,
            is_listed: false,
            fronts: FrontCount::default(),
            candidates: Candidates::default(),
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
        let until = settles_at.saturating_add_ms(self.longest_lease_ms());
        for slot in &mut self.slots {
            slot.allotted_until = until;
        }
    }

    /// Updates the listed nodes.
    pub(super) fn set_nodes(&mut self, nodes: &LimitNodes, now: Millis) {
        self.fronts.observe(&nodes.fronts, now);
        self.is_listed |= nodes.fronts.contains(&self.node);
        self.candidates.set_nodes(nodes);
        let is_listed_node = |node: &String| {
            nodes.workers.contains(node) || nodes.fronts.contains(node)
        };
        self.servers.retain(|node, _| is_listed_node(node));
        self.assign_servers(now);
    }

    /// Returns where requests of a slot are sent.
    ///
    /// While the share is allotted, only the server that counts it may admit
    /// requests of this front: a report to that server would otherwise miss
    /// requests that another server admitted after the report was sent.
    pub(super) fn target_of(&self, slot: usize, now: Millis) -> Target<'_> {
        let state = &self.slots[slot];
        match state.counting_server(now) {
            Some(node) if state.server.as_deref() != Some(node) => {
                match self.is_lost(node, now) {
                    true => Target::Lost {
                        until: self.lost_until(slot, node),
                    },
                    false => Target::Server(node),
                }
            }
            _ => match &state.server {
                Some(node) => Target::Server(node),
                None => Target::Unknown,
            },
        }
    }

    /// Reports whether requests that a server admits in a slot now count: it
    /// has this front's share, or nobody has.
    pub(super) fn may_admit(
        &self,
        slot: usize,
        server: &str,
        now: Millis,
    ) -> bool {
        let counting = self.slots[slot].counting_server(now);
        counting.is_none_or(|node| node == server)
    }

    /// Reports whether a response is from the latest known process of a
    /// server.
    pub(super) fn is_current(
        &self,
        from: &str,
        reply: &TokenResponse,
    ) -> bool {
        let server = self.servers.get(from);
        let timestamp = server.and_then(|server| server.timestamp);
        timestamp.is_none_or(|(known, _)| {
            known.incarnation <= reply.timestamp.incarnation
        })
    }

    fn is_lost(&self, node: &str, now: Millis) -> bool {
        !self.servers.contains_key(node) || self.is_unresponsive(node, now)
    }

    /// Returns when no front's lease at a lost server runs any more: the
    /// server sent no timestamp after it was lost, and it was lost before the
    /// oldest message without a response.
    fn lost_until(&self, slot: usize, node: &str) -> Millis {
        let own = self.slots[slot].allotted_until;
        let server = self.servers.get(node);
        let since = server.and_then(|server| server.unanswered_since);
        let all = since
            .map(|at| at.saturating_add_ms(self.lease_ms() + LEASE_MARGIN_MS));
        all.map_or(own, |all| own.max(all))
    }

    /// Reports whether the server of a slot responds in time.
    pub(super) fn is_responsive(&self, slot: usize, now: Millis) -> bool {
        let response_timeout_ms = self.options.response_timeout_ms;
        match self.target_of(slot, now) {
            Target::Server(node) => {
                !self.is_unanswered(node, response_timeout_ms, now)
            }
            Target::Lost { .. } | Target::Unknown => false,
        }
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
            let preferred = self
                .candidates
                .of_shard(at / REPLICAS)
                .iter()
                .take(REPLICAS);
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
        let (lease_ms, longest_ms) =
            (self.lease_ms(), self.longest_lease_ms());
        let server = self.servers.entry(to.to_owned()).or_default();
        let lease_ms = match server.is_up_to_date() {
            true => lease_ms,
            false => longest_ms,
        };
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

    /// Updates the state of a server from its response, and returns whether a
    /// slot can be allotted to another server now.
    pub(super) fn on_response(
        &mut self,
        from: &str,
        reply: &TokenResponse,
        now: Millis,
    ) -> bool {
        self.fronts.report(reply.fronts, now);
        let max_lease_ms = self.options.max_lease_ms;
        let Some(server) = self.servers.get_mut(from) else {
            return false;
        };
        // A late response of an earlier process says nothing about the shares
        // that the present one counts. The clock that tells processes apart
        // may have been set back, so it counts after a period of silence.
        let is_former = server.timestamp.is_some_and(|(known, at)| {
            known.incarnation > reply.timestamp.incarnation
                && now.saturating_ms_since(at) < max_lease_ms
        });
        if is_former {
            return false;
        }
        server.unanswered_since = None;
        if !reply.accepted {
            return false;
        }
        let incarnation = reply.timestamp.incarnation;
        let is_report = server.reported_in == Some(reply.sequence);
        if is_report {
            server.reads_reports = Some(incarnation);
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
        if is_report {
            self.on_report_answered(from, now);
        }
        let mut is_free = false;
        for slot in &mut self.slots {
            // The server applied the release before it responded; a process
            // that has just started counts no earlier allotments.
            let released = slot
                .released_in
                .is_some_and(|sequence| reply.sequence >= sequence);
            let is_over = released || has_restarted;
            if is_over && slot.allotted_to.as_deref() == Some(from) {
                slot.allotted_until = slot.allotted_until.min(now);
                is_free |= slot.server.as_deref() != Some(from);
            }
        }
        is_free
    }

    /// Records that a message contains a report.
    pub(super) fn on_report(&mut self, to: &str, sequence: u64) {
        if let Some(server) = self.servers.get_mut(to) {
            server.reported_in = Some(sequence);
        }
    }

    /// Shortens the leases of a server that has answered a report, and so has
    /// the leases of this version.
    fn on_report_answered(&mut self, from: &str, now: Millis) {
        let lease_ms = self.lease_ms() + LEASE_MARGIN_MS;
        let until = now.saturating_add_ms(lease_ms);
        for slot in &mut self.slots {
            if slot.allotted_to.as_deref() == Some(from) {
                slot.allotted_until = slot.allotted_until.min(until);
            }
        }
    }

    /// Returns the lease of servers whose version is not known.
    fn longest_lease_ms(&self) -> u64 {
        self.lease_ms().max(OLD_MIN_LEASE_MS)
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
        let candidates = self.candidates.of_shard(shard);
        self.settles_at.is_some_and(|at| now >= at)
            && !candidates.is_empty()
            && candidates.iter().all(|node| self.has_answered(node))
    }

    /// Returns the nodes that have to respond to this process before it allots
    /// slots that an earlier process may have allotted.
    fn unconfirmed_servers(&self, now: Millis) -> Vec<String> {
        let mut nodes = Vec::new();
        for (shard, candidates) in self.candidates.shards().enumerate() {
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

    /// Chooses the server of each slot.
    fn assign_servers(&mut self, now: Millis) {
        for slot in 0..SLOT_COUNT {
            let choice = self.choose_server(slot, now);
            if self.slots[slot].server.as_deref() != choice {
                self.slots[slot].server = choice.map(str::to_owned);
            }
        }
    }

    fn choose_server(&self, slot: usize, now: Millis) -> Option<&str> {
        self.candidates
            .choose(slot, |node| !self.is_unresponsive(node, now))
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
        has_waited || releases || self.takes_over(node, now)
    }

    /// Reports whether a message would allot slots to a server that another
    /// one has counted.
    fn takes_over(&self, node: &str, now: Millis) -> bool {
        let server = self.servers.get(node);
        let timestamp = server.and_then(|server| server.timestamp);
        let is_known = timestamp.is_some_and(|(_, received_at)| {
            now < received_at.saturating_add_ms(self.lease_ms())
        });
        is_known
            && self.is_listed
            && self.slots.iter().any(|slot| {
                slot.server.as_deref() == Some(node)
                    && slot.allotted_to.as_deref() != Some(node)
                    && slot.allotted_to.is_some()
                    && slot.allotted_until <= now
            })
    }

    /// Returns when the next lease ends after which a slot is allotted to
    /// another server.
    pub(super) fn next_takeover(&self, now: Millis) -> Option<Millis> {
        let moved = self.slots.iter().filter(|slot| slot.needs_release(now));
        moved.map(|slot| slot.allotted_until).min()
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
