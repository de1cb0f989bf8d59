use std::sync::{Mutex, MutexGuard, PoisonError};

use base::Millis;

/// Decides when refused callers come back.
///
/// The pattern that it answers: bursts of seconds that want more slots than
/// there are. A caller that returns within the burst is refused again, and
/// callers that all return at one moment make a burst of their own. So they
/// are told to return when the crowded period is expected to be over, by the
/// length of those that this node has seen, one after the other. A constant
/// second was told before.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_pass::RetryAfterEstimator;
///
/// let times = RetryAfterEstimator::default();
/// let at = Millis::new;
/// assert_eq!(times.refuse(at(0), 0, 5_000), 1_000);
/// assert_eq!(times.refuse(at(300), 0, 5_000), 700);
/// assert_eq!(times.refuse(at(300), 0, 500), 500);
/// ```
#[derive(Debug, Default)]
pub struct RetryAfterEstimator(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    period: Option<Period>,
    /// Length of the crowded periods that are over, the newest half of it.
    length_ms: Option<u64>,
}

/// A time in which requests are refused.
#[derive(Clone, Copy, Debug)]
struct Period {
    began: Millis,
    last: Millis,
}

/// Time without a refusal after which a crowded period is over, in
/// milliseconds: in a burst a node refuses several requests a second.
const QUIET_MS: u64 = 400;

/// Length of a crowded period before any was seen, in milliseconds: what
/// callers were told before periods were observed.
const FIRST_LENGTH_MS: u64 = 1_000;

/// Shortest time after which a refused caller returns, in milliseconds: a
/// third of a stream, in which a third of all slots come free.
const RETURN_LEAST_MS: u64 = 300;

/// Callers return over this part of the period's length, in percent.
const SPREAD_PERCENT: u64 = 30;

impl RetryAfterEstimator {
    /// Takes note of a refusal for want of room and returns in how many
    /// milliseconds the caller should come back, `most_ms` at the most.
    /// `spread` is any number that differs between callers.
    pub fn refuse(&self, now: Millis, spread: u64, most_ms: u64) -> u64 {
        let mut state = self.lock();
        let period = state.continue_period(now);
        let length_ms = state.length_ms.unwrap_or(FIRST_LENGTH_MS);
        let elapsed_ms = now.saturating_ms_since(period.began);
        let left_ms = length_ms.saturating_sub(elapsed_ms);
        let spread_ms = (length_ms * SPREAD_PERCENT / 100).max(1);
        let back_ms = left_ms.max(RETURN_LEAST_MS) + spread % spread_ms;
        back_ms.min(most_ms)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn continue_period(&mut self, now: Millis) -> Period {
        let fresh = Period {
            began: now,
            last: now,
        };
        let period = match self.period {
            None => fresh,
            Some(period) if period.goes_on(now) => Period {
                last: now,
                ..period
            },
            Some(ended) => {
                self.learn_length(ended);
                fresh
            }
        };
        self.period = Some(period);
        period
    }

    fn learn_length(&mut self, ended: Period) {
        let seen_ms = ended.last.saturating_ms_since(ended.began);
        let before_ms = self.length_ms.unwrap_or(seen_ms);
        self.length_ms = Some((before_ms + seen_ms) / 2);
    }
}

impl Period {
    fn goes_on(self, now: Millis) -> bool {
        now.saturating_ms_since(self.last) <= QUIET_MS
    }
}
