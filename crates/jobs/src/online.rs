use std::sync::{Mutex, MutexGuard, PoisonError};

use base::Millis;
use indexmap::IndexMap;
use tokio::sync::mpsc;

/// Online requests in flight by endpoint, from the load updates of fronts.
///
/// A front reports a request as it sends it, so that batch work gives way
/// within milliseconds. An engine's own report was measured instead: it is
/// tens of milliseconds old, asking for it costs, and it does not separate
/// online requests from batch items of other nodes.
#[derive(Debug)]
pub struct OnlineLoad {
    by_front: Mutex<IndexMap<String, FrontLoad>>,
    changed: mpsc::UnboundedSender<String>,
}

#[derive(Debug, Default)]
struct FrontLoad {
    at: Millis,
    counts: IndexMap<String, u32>,
}

/// Age at which a front's load update counts no more, in milliseconds: it
/// sends all of its counts at least every half second, and single messages
/// may be lost.
pub const FRONT_LOAD_LIFE_MS: u64 = 1_300;

impl OnlineLoad {
    /// Starts without any update; the receiver hears of endpoints whose load
    /// has changed.
    pub fn new() -> (Self, mpsc::UnboundedReceiver<String>) {
        let (changed, changes) = mpsc::unbounded_channel();
        let load = Self {
            by_front: Mutex::default(),
            changed,
        };
        (load, changes)
    }

    /// Takes in the counts of a front; `whole` says that these are all.
    pub fn take(
        &self,
        front: &str,
        counts: impl IntoIterator<Item = (String, u32)>,
        whole: bool,
        now: Millis,
    ) {
        let mut by_front = self.lock();
        let load = match by_front.get_mut(front) {
            Some(load) => load,
            None => by_front.entry(front.to_owned()).or_default(),
        };
        load.at = now;
        if whole {
            load.counts.clear();
        }
        for (endpoint, count) in counts {
            let before = load.counts.insert(endpoint.clone(), count);
            if !whole && before.unwrap_or_default() != count {
                // Nobody listens any more in a process that ends.
                let _ = self.changed.send(endpoint);
            }
        }
    }

    /// Returns the online requests at an endpoint, without those of one
    /// front.
    pub fn at(&self, endpoint: &str, without: &str, now: Millis) -> u32 {
        let by_front = self.lock();
        let fresh = by_front
            .iter()
            .filter(|(front, load)| *front != without && load.is_fresh(now));
        fresh
            .map(|(_, load)| load.counts.get(endpoint).copied())
            .map(Option::unwrap_or_default)
            .sum()
    }

    /// Tells whether all of these fronts have sent their counts lately.
    pub fn is_whole<'a>(
        &self,
        fronts: impl IntoIterator<Item = &'a str>,
        now: Millis,
    ) -> bool {
        let by_front = self.lock();
        let mut any = false;
        for front in fronts {
            any = true;
            let load = by_front.get(front);
            if !load.is_some_and(|load| load.is_fresh(now)) {
                return false;
            }
        }
        any
    }

    fn lock(&self) -> MutexGuard<'_, IndexMap<String, FrontLoad>> {
        self.by_front.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl FrontLoad {
    fn is_fresh(&self, now: Millis) -> bool {
        now.saturating_ms_since(self.at) < FRONT_LOAD_LIFE_MS
    }
}
