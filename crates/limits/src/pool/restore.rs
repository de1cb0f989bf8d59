use base::{Customer, Millis};
use indexmap::{IndexMap, IndexSet};

use super::{
    CustomerHistory, REPLICAS, SLOT_COUNT, fraction::Snapshot, slot_of,
};
use crate::{RateLimit, Tolerance};

/// Maximum number of counts that the kept reports may contain, over all
/// slots: those of 1,000 fronts with ten customers of full windows each. Other
/// reports are refused, so that a node cannot exhaust memory.
const MAX_KEPT_COUNTS: usize = 200_000;

/// Maximum number of events that are kept until the owner takes them.
const MAX_EVENTS: usize = 64;

/// Maximum difference between the sum of all shares and the whole, due to
/// rounding.
const FULL_SHARE_ERROR: f64 = 1e-6;

/// A change of what a token server knows of earlier requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum TokenEvent {
    /// The buckets of a slot are at the level that a single server without
    /// losses would have.
    Restored {
        /// The slot.
        slot: usize,
        /// Number of customers that fronts reported.
        customers: usize,
        /// Number of fronts that reported.
        fronts: usize,
        /// Tokens of these customers.
        tokens: f64,
        /// Time since the first allotment of the slot, in milliseconds.
        after_ms: u64,
    },
    /// The buckets of a slot started empty.
    NotRestored {
        /// The slot.
        slot: usize,
        /// Number of fronts without a report.
        missing_fronts: usize,
        /// Number of fronts that do not know all of their admitted requests,
        /// because their processes are younger than the window.
        young_fronts: usize,
    },
    /// A report was refused because this node keeps too many.
    ReportRefused {
        /// The slot.
        slot: usize,
    },
}

/// What a token server knows of the requests that were admitted before slots
/// were allotted to it.
#[derive(Debug, Default)]
pub(super) struct Restores {
    slots: [SlotRestore; SLOT_COUNT],
    kept_counts: usize,
    last_generation: u64,
    events: Vec<TokenEvent>,
}

#[derive(Debug, Default)]
enum SlotRestore {
    /// No front allots the slot.
    #[default]
    Idle,
    Collecting(Collection),
    Restored(Restored),
    /// The slot started without history.
    NotRestored,
}

/// Reports of the fronts that have allotted a slot.
#[derive(Debug)]
struct Collection {
    first_allotted: Millis,
    first_reported: Option<Millis>,
    /// Since when all shares are allotted to this server.
    full_since: Option<Millis>,
    reports: IndexMap<String, Vec<Report>>,
    young: IndexSet<String>,
}

/// Requests of one customer that a front had admitted.
#[derive(Clone, Debug)]
struct Report {
    customer: Customer,
    limit: RateLimit,
    counts: Vec<TimedCount>,
}

/// A number of requests, and when they were admitted on this node's clock, in
/// milliseconds. The time is negative if this process had not started yet.
pub(super) type TimedCount = (i64, u32);

/// Levels of the buckets of a slot at one time.
#[derive(Debug)]
struct Restored {
    generation: u64,
    at: Millis,
    snapshot: Snapshot,
    share: f64,
    /// Tokens of the customers that fronts reported.
    levels: IndexMap<Customer, (RateLimit, f64)>,
}

/// Level of a bucket that has not been applied to it.
#[derive(Clone, Copy, Debug)]
pub(super) struct PendingLevel {
    pub(super) generation: u64,
    pub(super) at: Millis,
    pub(super) snapshot: Snapshot,
    pub(super) share: f64,
    /// Latest limit and tokens, if fronts reported the customer.
    pub(super) reported: Option<(RateLimit, f64)>,
}

/// Returns the tokens of a bucket that counted the given requests: the minimum
/// over all starts of a part of the window, of what the limit admits from
/// there on without those that were admitted.
pub(super) fn level(
    limit: RateLimit,
    tolerance: Tolerance,
    share: f64,
    counts: &mut [TimedCount],
    now: Millis,
) -> f64 {
    counts.sort_unstable_by_key(|(at, _)| std::cmp::Reverse(*at));
    let burst = tolerance.burst_tokens(limit) * share;
    let per_ms = limit.per_s() * share / 1_000.0;
    let mut min = burst;
    let mut admitted = 0.0;
    for (at, count) in counts {
        let age_ms = (now.as_ms() as i64 - *at).max(0) as u64;
        if age_ms > tolerance.window_ms {
            break;
        }
        admitted += f64::from(*count);
        min = min.min(burst + per_ms * age_ms as f64 - admitted);
    }
    min.max(0.0)
}

impl Restores {
    /// Updates the state of a slot after its share changed.
    pub(super) fn set_share(&mut self, slot: usize, share: f64, now: Millis) {
        let state = &mut self.slots[slot];
        if share == 0.0 {
            let before = std::mem::take(state);
            self.kept_counts -= before.kept_counts();
            return;
        }
        if matches!(state, SlotRestore::Idle) {
            *state = SlotRestore::Collecting(Collection {
                first_allotted: now,
                first_reported: None,
                full_since: None,
                reports: IndexMap::new(),
                young: IndexSet::new(),
            });
        }
        if let SlotRestore::Collecting(collection) = state {
            let whole = 1.0 / REPLICAS as f64;
            let is_full = (share - whole).abs() <= FULL_SHARE_ERROR;
            let since = collection.full_since.unwrap_or(now);
            collection.full_since = is_full.then_some(since);
        }
    }

    /// Forgets the reports of a front for slots that it no longer allots, or
    /// that another process of it allots.
    pub(super) fn withdraw(&mut self, front: &str, slots: u16) {
        for (_, collection) in collections(&mut self.slots, slots) {
            collection.young.swap_remove(front);
            if let Some(report) = collection.reports.swap_remove(front) {
                self.kept_counts -= size(&report);
            }
        }
    }

    /// Keeps the reports of a front. An earlier report of the same front is
    /// replaced.
    pub(super) fn report(
        &mut self,
        front: &str,
        history: &[CustomerHistory],
        (complete, incomplete): (u16, u16),
        now: Millis,
    ) {
        for (_, collection) in collections(&mut self.slots, incomplete) {
            collection.young.insert(front.to_owned());
        }
        let mut refused = Vec::new();
        for (slot, collection) in collections(&mut self.slots, complete) {
            let customers = history.iter().filter(|reported| {
                let replica = usize::from(reported.replica);
                slot_of(&reported.customer, replica) == slot
            });
            let report: Vec<Report> =
                customers.map(|it| Report::new(it, now)).collect();
            // An older report lacks requests and must not stay in force.
            let replaced = collection.reports.swap_remove(front);
            self.kept_counts -= replaced.map_or(0, |report| size(&report));
            let kept = self.kept_counts + size(&report);
            if kept > MAX_KEPT_COUNTS {
                refused.push(TokenEvent::ReportRefused { slot });
                continue;
            }
            self.kept_counts = kept;
            collection.first_reported.get_or_insert(now);
            collection.reports.insert(front.to_owned(), report);
        }
        for event in refused {
            self.note(event);
        }
    }

    /// Ends the collections whose window has passed, and forgets levels that
    /// are older than the window.
    pub(super) fn expire(&mut self, fronts: u32, window_ms: u64, now: Millis) {
        for slot in 0..SLOT_COUNT {
            match &mut self.slots[slot] {
                SlotRestore::Collecting(collection) => {
                    let from = collection.first_reported;
                    let from = from.unwrap_or(collection.first_allotted);
                    if now.saturating_ms_since(from) <= window_ms {
                        continue;
                    }
                    let known =
                        collection.reports.len() + collection.young.len();
                    let event = TokenEvent::NotRestored {
                        slot,
                        missing_fronts: (fronts as usize)
                            .saturating_sub(known),
                        young_fronts: collection.young.len(),
                    };
                    self.note(event);
                    let state = &mut self.slots[slot];
                    self.kept_counts -= state.kept_counts();
                    *state = SlotRestore::NotRestored;
                }
                SlotRestore::Restored(restored)
                    if now.saturating_ms_since(restored.at) > window_ms =>
                {
                    // Requests of this window no longer affect another one.
                    restored.levels = IndexMap::new();
                }
                _ => {}
            }
        }
    }

    /// Reports whether all fronts have reported, and all shares are allotted.
    ///
    /// The restored buckets depend on the least share from now on, which must
    /// not include the share before the last allotment of the same
    /// millisecond.
    pub(super) fn is_ready(
        &self,
        slot: usize,
        fronts: u32,
        now: Millis,
    ) -> bool {
        match &self.slots[slot] {
            SlotRestore::Collecting(collection) => {
                collection.full_since.is_some_and(|since| since < now)
                    && collection.reports.len() == fronts as usize
            }
            _ => false,
        }
    }

    /// Restores a slot. `own` returns the limit that a bucket has and the
    /// requests that it has granted.
    pub(super) fn restore(
        &mut self,
        slot: usize,
        tolerance: Tolerance,
        (share, snapshot): (f64, Snapshot),
        own: impl Fn(&Customer) -> Option<(RateLimit, Vec<TimedCount>)>,
        now: Millis,
    ) {
        let state = &mut self.slots[slot];
        let SlotRestore::Collecting(collection) = state else {
            return;
        };
        let fronts = collection.reports.len();
        let after_ms = now.saturating_ms_since(collection.first_allotted);
        let mut merged: IndexMap<Customer, (RateLimit, Vec<TimedCount>)> =
            IndexMap::new();
        for report in collection.reports.values().flatten() {
            let entry = merged.entry(report.customer.clone());
            let (limit, counts) = entry.or_insert_with(|| {
                own(&report.customer).unwrap_or((report.limit, Vec::new()))
            });
            if report.limit.version() > limit.version() {
                *limit = report.limit;
            }
            counts.extend_from_slice(&report.counts);
        }
        let levels = merged.into_iter().map(|(customer, (limit, counts))| {
            let mut counts = counts;
            let tokens = level(limit, tolerance, share, &mut counts, now);
            (customer, (limit, tokens))
        });
        let levels: IndexMap<_, _> = levels.collect();
        let tokens = levels.values().map(|(_, tokens)| tokens).sum();
        let customers = levels.len();
        self.kept_counts -= state.kept_counts();
        self.last_generation += 1;
        *state = SlotRestore::Restored(Restored {
            generation: self.last_generation,
            at: now,
            snapshot,
            share,
            levels,
        });
        self.note(TokenEvent::Restored {
            slot,
            customers,
            fronts,
            tokens,
            after_ms,
        });
    }

    /// Returns the level of a bucket if it is not of the given generation.
    pub(super) fn pending(
        &self,
        slot: usize,
        customer: &Customer,
        generation: u64,
    ) -> Option<PendingLevel> {
        match &self.slots[slot] {
            SlotRestore::Restored(restored)
                if restored.generation > generation =>
            {
                Some(PendingLevel {
                    generation: restored.generation,
                    at: restored.at,
                    snapshot: restored.snapshot,
                    share: restored.share,
                    reported: restored.levels.get(customer).copied(),
                })
            }
            _ => None,
        }
    }

    /// Reports whether requests that are granted in a slot may be needed to
    /// restore it.
    pub(super) fn is_open(&self, slot: usize) -> bool {
        matches!(
            self.slots[slot],
            SlotRestore::Idle | SlotRestore::Collecting(_)
        )
    }

    pub(super) fn take_events(&mut self) -> Vec<TokenEvent> {
        std::mem::take(&mut self.events)
    }

    fn note(&mut self, event: TokenEvent) {
        if self.events.len() < MAX_EVENTS {
            self.events.push(event);
        }
    }
}

/// Returns the collections of the given slots.
fn collections(
    slots: &mut [SlotRestore; SLOT_COUNT],
    mask: u16,
) -> impl Iterator<Item = (usize, &mut Collection)> {
    let slots = slots.iter_mut().enumerate();
    slots.filter_map(move |(slot, state)| match state {
        SlotRestore::Collecting(collection) if mask & (1 << slot) != 0 => {
            Some((slot, collection))
        }
        _ => None,
    })
}

fn size(report: &[Report]) -> usize {
    // A customer takes as much memory as a few counts.
    report.iter().map(|it| it.counts.len() + 4).sum()
}

impl SlotRestore {
    fn kept_counts(&self) -> usize {
        match self {
            SlotRestore::Collecting(collection) => {
                let reports = collection.reports.values();
                reports.map(|report| size(report)).sum()
            }
            _ => 0,
        }
    }
}

impl Report {
    /// Converts ages to times of this node. A late message has ages that are
    /// too small, which restores fewer tokens.
    fn new(reported: &CustomerHistory, now: Millis) -> Self {
        let counts = reported.counts.iter();
        Self {
            customer: reported.customer.clone(),
            limit: reported.limit,
            counts: counts
                .map(|(age_ms, count)| {
                    (now.as_ms() as i64 - *age_ms as i64, *count)
                })
                .collect(),
        }
    }
}

#[cfg(test)]
#[path = "../../tests/unit/restore.rs"]
mod tests;
