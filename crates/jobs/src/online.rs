use std::sync::{Mutex, MutexGuard, PoisonError};

use base::Millis;
use indexmap::IndexMap;
use tokio::sync::mpsc;

/// Online requests in flight by endpoint, as the fronts tell them.
///
/// A front tells of a request as it sends it, so that batch work gives way
/// within milliseconds. An engine's own report was measured instead: it is
/// tens of milliseconds old, asking for it costs, and it does not tell
/// online requests from batch items of other nodes.
#[derive(Debug)]
pub struct OnlineLoad {
    told: Mutex<IndexMap<String, Told>>,
    heard: mpsc::UnboundedSender<String>,
}

#[derive(Debug, Default)]
struct Told {
    at: Millis,
    counts: IndexMap<String, u32>,
}

/// Age at which what a front told counts no more, in milliseconds: it tells
/// all at least every half second, and single messages may be lost.
pub const TOLD_LIFE_MS: u64 = 1_300;

impl OnlineLoad {
    /// Starts without any word; the receiver hears of endpoints whose load
    /// has changed.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<String>) {
        let (heard, changed) = mpsc::unbounded_channel();
        let load = Self {
            told: Mutex::default(),
            heard,
        };
        (load, changed)
    }

    /// Takes in the counts of a front; `whole` says that these are all.
    pub fn take(
        &self,
        front: &str,
        counts: impl IntoIterator<Item = (String, u32)>,
        whole: bool,
        now: Millis,
    ) {
        let mut told = self.lock();
        let told = match told.get_mut(front) {
            Some(told) => told,
            None => told.entry(front.to_owned()).or_default(),
        };
        told.at = now;
        if whole {
            told.counts.clear();
        }
        for (endpoint, count) in counts {
            let before = told.counts.insert(endpoint.clone(), count);
            if !whole && before.unwrap_or_default() != count {
                let _ = self.heard.send(endpoint);
            }
        }
    }

    /// Returns the online requests at an endpoint, without those of one
    /// front.
    pub fn at(&self, endpoint: &str, without: &str, now: Millis) -> u32 {
        let told = self.lock();
        let fresh = told
            .iter()
            .filter(|(front, told)| *front != without && told.is_fresh(now));
        fresh
            .map(|(_, told)| told.counts.get(endpoint).copied())
            .map(Option::unwrap_or_default)
            .sum()
    }

    /// Tells whether all of these fronts have told their counts lately.
    pub fn is_whole<'a>(
        &self,
        fronts: impl IntoIterator<Item = &'a str>,
        now: Millis,
    ) -> bool {
        let told = self.lock();
        let mut any = false;
        for front in fronts {
            any = true;
            if !told.get(front).is_some_and(|told| told.is_fresh(now)) {
                return false;
            }
        }
        any
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, Told>> {
        self.told.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Told {
    fn is_fresh(&self, now: Millis) -> bool {
        now.saturating_ms_since(self.at) < TOLD_LIFE_MS
    }
}
