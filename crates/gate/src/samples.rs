use std::collections::VecDeque;

use base::Millis;

/// Maximum number of samples that are kept.
const MAX_SAMPLES: usize = 2_048;

/// Timestamped samples, oldest first.
#[derive(Clone, Debug, Default)]
pub(crate) struct Samples {
    values: VecDeque<(Millis, u32)>,
}

impl Samples {
    pub(crate) fn push(&mut self, now: Millis, value: u32) {
        if self.values.len() >= MAX_SAMPLES {
            self.values.pop_front();
        }
        self.values.push_back((now, value));
    }

    /// Returns a quantile of the samples since a given time, or `None` if
    /// there are fewer than `min_samples` of them.
    pub(crate) fn quantile(
        &self,
        since: Millis,
        quantile: f64,
        min_samples: usize,
    ) -> Option<u32> {
        let newest = self.values.iter().rev();
        let mut values: Vec<u32> = newest
            .take_while(|(at, _)| *at >= since)
            .map(|(_, value)| *value)
            .collect();
        if values.is_empty() || values.len() < min_samples {
            return None;
        }
        let last = values.len() - 1;
        let index = (last as f64 * quantile).ceil() as usize;
        let (_, value, _) = values.select_nth_unstable(index.min(last));
        Some(*value)
    }
}
