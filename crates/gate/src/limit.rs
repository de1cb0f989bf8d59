use base::Millis;

/// Pressure above which the limit decreases, because a latency target is
/// missed.
const PRESSURE_HIGH: f64 = 1.0;

/// Pressure below which the limit increases.
const PRESSURE_LOW: f64 = 0.9;

/// Lower bound of the factor of one decrease.
const MIN_DECREASE: f64 = 0.5;

/// Pressure that a decrease aims at.
const DECREASE_TARGET: f64 = 0.95;

/// Fraction of the headroom that one increase adds.
const INCREASE_FRACTION: f64 = 0.25;

/// The maximum number of batch items that the latencies permit.
///
/// It adapts by multiplicative decrease and additive increase (AIMD), since
/// the relation between concurrency and latency differs between engines,
/// models and prompts.
#[derive(Clone, Debug)]
pub(crate) struct BatchLimit {
    value: f64,
    max: f64,
    adapted_at: Millis,
}

impl BatchLimit {
    pub(crate) fn new(max: u32, now: Millis) -> Self {
        let max = f64::from(max);
        Self {
            value: max,
            max,
            adapted_at: now,
        }
    }

    pub(crate) fn get(&self) -> u32 {
        self.value as u32
    }

    pub(crate) fn adapted_at(&self) -> Millis {
        self.adapted_at
    }

    pub(crate) fn reset(&mut self, now: Millis) {
        self.value = self.max;
        self.adapted_at = now;
    }

    /// Adapts the limit to the ratio of latencies to their targets and to the
    /// peak number of running items since the last call. Returns whether the
    /// limit decreased.
    pub(crate) fn adapt(
        &mut self,
        now: Millis,
        pressure: Option<f64>,
        batch_peak: u32,
    ) -> bool {
        self.adapted_at = now;
        let pressure = pressure.unwrap_or(0.0);
        if pressure > PRESSURE_HIGH {
            // The limit may be far above the number of running items;
            // decreasing from there would have no effect for several rounds.
            let from = self.value.min(f64::from(batch_peak));
            self.value = from * (DECREASE_TARGET / pressure).max(MIN_DECREASE);
            return true;
        }
        if pressure < PRESSURE_LOW {
            let headroom = self.max - self.value;
            let increase = (headroom * INCREASE_FRACTION).max(1.0);
            self.value = (self.value + increase).min(self.max);
        }
        false
    }
}
