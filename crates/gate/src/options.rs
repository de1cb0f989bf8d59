use serde::{Deserialize, Serialize};

/// How batch items share an endpoint with online calls.
///
/// All but [`Policy::Adaptive`] exist to be measured against.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Batch uses what is left while the latencies keep the promises, and
    /// gives way to online calls.
    #[default]
    Adaptive,
    /// Batch and online each have a fixed part of the places.
    FixedShare,
    /// Everything starts at once, as if there were no gate; batch fills all
    /// places.
    Open,
}

/// Sizes, promises and times of a gate.
///
/// # Example
///
/// ```
/// use pomeloslip_gate::{GateOptions, Policy};
///
/// let options = GateOptions::new(32, 24);
/// assert_eq!(options.policy, Policy::Adaptive);
/// assert_eq!(options.queue_max, 128);
/// assert!(options.floor_max < 24);
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct GateOptions {
    /// How classes share the endpoint.
    pub policy: Policy,
    /// Calls that may run at once.
    pub max_running: u32,
    /// Batch items among them.
    pub batch_max_running: u32,
    /// Online calls that may wait.
    pub queue_max: u32,
    /// Promised time to the first token.
    pub first_token_target_ms: u32,
    /// Promised gap between tokens.
    pub between_tokens_target_ms: u32,
    /// Places that stay free of batch at least.
    pub reserve_min: u32,
    /// Span over which arrivals are counted for the reserve.
    pub reserve_window_ms: u64,
    /// Time between two changes of the batch limit.
    pub adapt_ms: u64,
    /// Pause of the batch after the last sign of a burst.
    pub hold_ms: u64,
    /// Time over which the batch comes back after it.
    pub ramp_ms: u64,
    /// Most places that deadline batch items keep.
    pub floor_max: u32,
    /// Time before the deadline time at which they begin to keep some.
    pub floor_age_ms: u64,
    /// Silence of streams after which the engine counts as stalled; 0 never.
    pub stall_after_ms: u64,
}

/// Online calls that may wait for each one that may run.
const WAITING_PER_RUNNING: u32 = 4;

impl GateOptions {
    /// Makes options for so many places, with defaults else.
    pub fn new(max_running: u32, batch_max_running: u32) -> Self {
        let max_running = max_running.max(1);
        Self {
            policy: Policy::Adaptive,
            max_running,
            batch_max_running: batch_max_running.min(max_running),
            queue_max: max_running.saturating_mul(WAITING_PER_RUNNING),
            first_token_target_ms: 1_400,
            between_tokens_target_ms: 30,
            reserve_min: 2.min(max_running / 2),
            reserve_window_ms: 250,
            adapt_ms: 250,
            hold_ms: 250,
            ramp_ms: 750,
            floor_max: max_running / 8,
            floor_age_ms: 3_600_000,
            stall_after_ms: 5_000,
        }
    }

    /// Sets how classes share the endpoint.
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the promised time to the first token and gap between tokens.
    pub fn targets(mut self, first_ms: u32, between_ms: u32) -> Self {
        self.first_token_target_ms = first_ms.max(1);
        self.between_tokens_target_ms = between_ms.max(1);
        self
    }
}
