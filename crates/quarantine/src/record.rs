use base::UnixMillis;
use serde::{Deserialize, Serialize};

use crate::Crash;

/// Crashes that are remembered of one request. More of them change nothing
/// about what is to be done with it.
const CRASHES_KEPT: usize = 8;

/// What is known of one request under which endpoints have crashed.
///
/// # Example
///
/// ```
/// use base::UnixMillis;
/// use pomeloslip_quarantine::{CrashRecord, Crash, CrashedEndpoint};
///
/// let crash = |endpoint, began_ms| Crash {
///     endpoint: CrashedEndpoint::new(endpoint),
///     began_at: UnixMillis::new(began_ms),
///     ended_at: UnixMillis::new(began_ms + 100),
///     resumed_after: 0,
///     reached: 0,
/// };
/// let mut case = CrashRecord::default();
/// assert!(case.add(crash(1, 1_000)));
/// // Another run was cut off at the same time: one event may have ended
/// // both endpoints.
/// assert!(case.add(crash(2, 1_010)));
/// assert_eq!(case.evidence().len(), 1);
/// assert!(case.add(crash(3, 1_500)));
/// assert_eq!(case.evidence().len(), 2);
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default)]
pub struct CrashRecord {
    /// In the order in which the endpoints crashed.
    crashes: Vec<Crash>,
    /// How often the request was let through to find out whether it still
    /// crashes endpoints.
    #[serde(rename = "trials")]
    probes: u32,
    /// When it was let through last.
    #[serde(rename = "tried_at")]
    probed_at: Option<UnixMillis>,
}

impl CrashRecord {
    /// Returns the crashes, the oldest first.
    #[inline]
    pub fn crashes(&self) -> &[Crash] {
        &self.crashes
    }

    /// Returns how often the request was let through on trial.
    #[inline]
    pub fn probes(&self) -> u32 {
        self.probes
    }

    /// Returns when it was let through on trial last.
    #[inline]
    pub fn probed_at(&self) -> Option<UnixMillis> {
        self.probed_at
    }

    /// Returns when the case last changed.
    pub fn changed_at(&self) -> UnixMillis {
        let crashed_at = self.crashes.last().map(|crash| crash.ended_at);
        crashed_at.max(self.probed_at).unwrap_or_default()
    }

    /// Tells whether a crash is among those of this case.
    pub fn contains(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|known| known.is_same(crash))
    }

    /// Adds a crash, and returns whether that changes the case.
    ///
    /// Of several runs of the request that one crash has cut off, the one
    /// that got furthest counts: the others would have, too.
    pub fn add(&mut self, crash: Crash) -> bool {
        let same = self.crashes.iter().position(|known| known.is_same(&crash));
        if let Some(place) = same {
            if self.crashes[place].progress() >= crash.progress() {
                return false;
            }
            self.crashes.remove(place);
        }
        let before = |known: &Crash| known.ended_at <= crash.ended_at;
        let place = self.crashes.partition_point(before);
        self.crashes.insert(place, crash);
        self.drop_surplus();
        true
    }

    /// Adds what another one knows of the same request, and returns whether
    /// anything of it was new.
    pub fn merge(&mut self, other: &CrashRecord) -> bool {
        let before = self.clone();
        for crash in &other.crashes {
            self.add(*crash);
        }
        self.probes = self.probes.max(other.probes);
        self.probed_at = self.probed_at.max(other.probed_at);
        *self != before
    }

    /// Takes note that the request is let through on trial.
    pub fn begin_probe(&mut self, now: UnixMillis) {
        self.probes += 1;
        self.probed_at = Some(now);
    }

    /// Drops the crashes that a whole answer shows not to be the request's
    /// doing, and returns whether none is left. The answer began after
    /// `resumed_after`; what lies before was not run again.
    pub fn refute(&mut self, resumed_after: u64) -> bool {
        self.crashes.retain(|crash| crash.reached < resumed_after);
        self.crashes.is_empty()
    }

    /// Returns what this case has beyond another one.
    #[must_use]
    pub fn difference(&self, other: &CrashRecord) -> CrashRecord {
        let is_known = |crash: &Crash| {
            other.crashes.iter().any(|known| {
                known.is_same(crash) && known.progress() >= crash.progress()
            })
        };
        let rest = self.crashes.iter().filter(|crash| !is_known(crash));
        CrashRecord {
            crashes: rest.copied().collect(),
            ..CrashRecord::default()
        }
    }

    /// Returns the crashes that speak against the request: one after the
    /// other, none of them refuted by another run.
    pub fn evidence(&self) -> Vec<&Crash> {
        let mut evidence: Vec<&Crash> = Vec::new();
        for crash in &self.crashes {
            let follows =
                evidence.last().is_none_or(|last| crash.follows(last));
            if follows && !self.refutes(crash) {
                evidence.push(crash);
            }
        }
        evidence
    }

    fn refutes(&self, crash: &Crash) -> bool {
        self.crashes.iter().any(|other| other.refutes(crash))
    }

    /// Forgets crashes beyond those that are kept: first those that are no
    /// evidence, else the oldest.
    fn drop_surplus(&mut self) {
        while self.crashes.len() > CRASHES_KEPT {
            let evidence = self.evidence();
            let is_surplus = |crash: &Crash| {
                !evidence.iter().any(|kept| kept.is_same(crash))
            };
            let surplus = self.crashes.iter().position(is_surplus);
            self.crashes.remove(surplus.unwrap_or(0));
        }
    }
}
