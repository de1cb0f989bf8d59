use serde::{Deserialize, Serialize};

/// How batch items share an endpoint with online calls.
///
/// All policies except [`Policy::Adaptive`] exist as baselines for
/// measurements.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Hash, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum Policy {
    /// Batch uses the remaining slots while the latencies meet their targets,
    /// and is preempted by online calls.
    #[default]
    Adaptive,
    /// Batch and online calls each have a fixed share of the slots.
    FixedShare,
    /// Everything starts at once, as if there were no gate; batch fills all
    /// slots.
    Open,
}

/// Capacity, latency targets and intervals of a gate.
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
    /// How batch and online calls share the endpoint.
    pub policy: Policy,
    /// Maximum number of running calls.
    pub max_running: u32,
    /// Maximum number of batch items among them.
    pub batch_max_running: u32,
    /// Maximum number of waiting online calls.
    pub queue_max: u32,
    /// Target of the time to the first token.
    pub first_token_target_ms: u32,
    /// Target of the time between tokens.
    pub between_tokens_target_ms: u32,
    /// Minimum number of slots that are kept free of batch items.
    pub reserve_min: u32,
    /// Window over which arrivals are counted for the reserve.
    pub reserve_window_ms: u64,
    /// Interval between two changes of the batch limit.
    pub adapt_ms: u64,
    /// Time for which batch pauses after the last sign of a burst.
    pub hold_ms: u64,
    /// Time over which batch ramps up again after that pause.
    pub ramp_ms: u64,
    /// Maximum number of slots that batch keeps as its deadlines approach.
    pub floor_max: u32,
    /// Time before the deadline at which batch starts to keep slots.
    pub floor_age_ms: u64,
    /// Time without progress of any stream after which the engine counts as
    /// stalled; 0 disables the check.
    pub stall_after_ms: u64,
    /// Time without progress of any stream after which the batch items of a
    /// stalled engine are given up as lost. Longer, since a sound engine may
    /// be silent for seconds and go on.
    pub give_up_after_ms: u64,
}

/// Number of online calls that may wait for each one that may run.
const WAITING_PER_RUNNING: u32 = 4;

impl GateOptions {
    /// Creates options for the given number of slots, with defaults otherwise.
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
            give_up_after_ms: 30_000,
        }
    }

    /// Sets how batch and online calls share the endpoint.
    pub fn policy(mut self, policy: Policy) -> Self {
        self.policy = policy;
        self
    }

    /// Sets the targets of the time to the first token and between tokens.
    pub fn targets(mut self, first_ms: u32, between_ms: u32) -> Self {
        self.first_token_target_ms = first_ms.max(1);
        self.between_tokens_target_ms = between_ms.max(1);
        self
    }
}
