use std::sync::{Mutex, MutexGuard, PoisonError};

use base::Millis;

/// Estimates when refused clients should retry.
///
/// The estimator handles bursts of a few seconds that need more slots than
/// exist. A client that retries within the burst is refused again, and
/// clients that retry at the same moment cause another burst. Clients are
/// therefore told to retry when the overload is expected to be over, based on
/// the lengths of earlier overloads at this node, with jitter between them. A
/// constant retry delay of one second fails in longer bursts.
///
/// # Example
///
/// ```
/// use base::Millis;
/// use pomeloslip_pass::RetryAfterEstimator;
///
/// let estimator = RetryAfterEstimator::default();
/// let at = Millis::new;
/// assert_eq!(estimator.record_refusal(at(0), 0, 5_000), 1_000);
/// assert_eq!(estimator.record_refusal(at(300), 0, 5_000), 700);
/// assert_eq!(estimator.record_refusal(at(300), 0, 500), 500);
/// ```
#[derive(Debug, Default)]
pub struct RetryAfterEstimator(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    period: Option<OverloadPeriod>,
    /// Moving average of the lengths of past overloads, in which the newest
    /// has half the weight.
    expected_length_ms: Option<u64>,
}

/// A time span in which requests are refused.
#[derive(Clone, Copy, Debug)]
struct OverloadPeriod {
    started_at: Millis,
    last_refusal_at: Millis,
}

/// Time without a refusal after which an overload is over, in milliseconds:
/// during a burst a node refuses several requests a second.
const QUIET_MS: u64 = 400;

/// Assumed length of an overload before any was observed, in milliseconds: a
/// constant retry delay has the same value.
const INITIAL_LENGTH_MS: u64 = 1_000;

/// Minimum retry delay in milliseconds: a third of the duration of a stream,
/// in which a third of all slots become free.
const MIN_RETRY_AFTER_MS: u64 = 300;

/// Jitter of the retry delay, in percent of the overload length.
const JITTER_PERCENT: u64 = 30;

impl RetryAfterEstimator {
    /// Records a refusal for lack of capacity and returns the retry delay in
    /// milliseconds, at most `max_ms`. `jitter_seed` is any number that
    /// differs between clients.
    pub fn record_refusal(
        &self,
        now: Millis,
        jitter_seed: u64,
        max_ms: u64,
    ) -> u64 {
        let mut state = self.lock();
        let period = state.continue_period(now);
        let expected_length_ms =
            state.expected_length_ms.unwrap_or(INITIAL_LENGTH_MS);
        let elapsed_ms = now.saturating_ms_since(period.started_at);
        let remaining_ms = expected_length_ms.saturating_sub(elapsed_ms);
        let jitter_ms = (expected_length_ms * JITTER_PERCENT / 100).max(1);
        let retry_after_ms =
            remaining_ms.max(MIN_RETRY_AFTER_MS) + jitter_seed % jitter_ms;
        retry_after_ms.min(max_ms)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn continue_period(&mut self, now: Millis) -> OverloadPeriod {
        let started = OverloadPeriod {
            started_at: now,
            last_refusal_at: now,
        };
        let period = match self.period {
            None => started,
            Some(period) if period.continues_at(now) => OverloadPeriod {
                last_refusal_at: now,
                ..period
            },
            Some(ended) => {
                self.update_expected_length(ended);
                started
            }
        };
        self.period = Some(period);
        period
    }

    fn update_expected_length(&mut self, ended: OverloadPeriod) {
        let observed_ms =
            ended.last_refusal_at.saturating_ms_since(ended.started_at);
        let previous_ms = self.expected_length_ms.unwrap_or(observed_ms);
        self.expected_length_ms = Some((previous_ms + observed_ms) / 2);
    }
}

impl OverloadPeriod {
    fn continues_at(self, now: Millis) -> bool {
        now.saturating_ms_since(self.last_refusal_at) <= QUIET_MS
    }
}
