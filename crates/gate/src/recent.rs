use std::collections::VecDeque;

use base::Millis;

/// Most values that are kept.
const VALUES_MAX: usize = 2_048;

/// Values with the time at which they came.
#[derive(Clone, Debug, Default)]
pub(crate) struct Recent {
    values: VecDeque<(Millis, u32)>,
}

impl Recent {
    pub(crate) fn push(&mut self, now: Millis, value: u32) {
        if self.values.len() >= VALUES_MAX {
            self.values.pop_front();
        }
        self.values.push_back((now, value));
    }

    /// Returns a quantile of the values since a time, or `None` with fewer
    /// than `least` of them.
    pub(crate) fn quantile(
        &self,
        since: Millis,
        quantile: f64,
        least: usize,
    ) -> Option<u32> {
        let fresh = self.values.iter().rev();
        let mut values: Vec<u32> = fresh
            .take_while(|(at, _)| *at >= since)
            .map(|(_, value)| *value)
            .collect();
        if values.is_empty() || values.len() < least {
            return None;
        }
        let last = values.len() - 1;
        let place = (last as f64 * quantile).ceil() as usize;
        let (_, value, _) = values.select_nth_unstable(place.min(last));
        Some(*value)
    }
}
