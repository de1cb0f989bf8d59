use base::Millis;

/// Pressure above which the limit falls: a promise is broken.
const PRESSURE_HIGH: f64 = 1.0;

/// Pressure below which it rises.
const PRESSURE_LOW: f64 = 0.9;

/// Least factor of one fall.
const FALL_MIN: f64 = 0.5;

/// What a fall aims at, in parts of the promise.
const FALL_AIM: f64 = 0.95;

/// Part of what is missing that one rise adds.
const RISE_PART: f64 = 0.25;

/// The number of batch items that the latencies allow.
///
/// It falls in proportion and rises in steps (AIMD), since the way from
/// concurrency to latency differs between engines, models and prompts.
#[derive(Clone, Debug)]
pub(crate) struct BatchLimit {
    value: f64,
    max: f64,
    adapted: Millis,
}

impl BatchLimit {
    pub(crate) fn new(max: u32, now: Millis) -> Self {
        let max = f64::from(max);
        Self {
            value: max,
            max,
            adapted: now,
        }
    }

    pub(crate) fn get(&self) -> u32 {
        self.value as u32
    }

    pub(crate) fn adapted(&self) -> Millis {
        self.adapted
    }

    pub(crate) fn reset(&mut self, now: Millis) {
        self.value = self.max;
        self.adapted = now;
    }

    /// Takes the latencies over the promises, and how many items ran at most
    /// meanwhile; returns whether the limit fell.
    pub(crate) fn adapt(
        &mut self,
        now: Millis,
        pressure: Option<f64>,
        batch_peak: u32,
    ) -> bool {
        self.adapted = now;
        let pressure = pressure.unwrap_or(0.0);
        if pressure > PRESSURE_HIGH {
            // The limit may be far above what runs; falling from there would
            // take several rounds without any effect.
            let from = self.value.min(f64::from(batch_peak));
            self.value = from * (FALL_AIM / pressure).max(FALL_MIN);
            return true;
        }
        if pressure < PRESSURE_LOW {
            let missing = self.max - self.value;
            let rise = (missing * RISE_PART).max(1.0);
            self.value = (self.value + rise).min(self.max);
        }
        false
    }
}
