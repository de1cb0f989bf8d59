use std::net::{Ipv4Addr, SocketAddr};

use serde::{Deserialize, Serialize};

use crate::delivery::Delivery;

/// Says how a stand-in engine behaves.
///
/// The defaults resemble a small accelerator: 32 sequences at once, about 8
/// ms a token when it is alone and 21 ms with a full batch.
///
/// # Example
///
/// ```
/// use pomeloslip_standin::engine::EngineSettings;
///
/// let settings = EngineSettings {
///     max_running: 4,
///     ..EngineSettings::instant()
/// };
/// assert!(settings.is_instant());
/// assert!(!EngineSettings::default().is_instant());
/// ```
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct EngineSettings {
    /// Address to listen on; port 0 picks a free one.
    pub listen: SocketAddr,
    /// Models that are loaded at the start; others get 404 until an order
    /// loads them.
    pub models: Vec<String>,
    /// Version that `/health` tells.
    pub version: String,
    /// Sequences that run at the same time; more wait in line.
    pub max_running: usize,
    /// Time of a decoding step of an empty batch.
    pub base_step_ms: f64,
    /// Time that each running sequence adds to a step.
    pub step_ms_per_running: f64,
    /// Time to prefill one prompt token that is not in the prefix cache.
    pub prefill_ms_per_token: f64,
    /// Prompt tokens that one step prefills at most, over all sequences.
    pub prefill_tokens_per_step: u32,
    /// Tokens that fit in the memory for KV cache, running and cached
    /// together.
    pub kv_tokens: u32,
    /// Tokens of this memory that cached prefixes may take at most; 0
    /// switches the prefix cache off.
    pub prefix_cache_tokens: u32,
    /// Age of what `/metrics` tells.
    pub metrics_lag_ms: u64,
    /// Age at which cache events are published.
    pub event_lag_ms: u64,
    /// Share of cache events that are lost, leaving a gap in the sequence
    /// numbers.
    pub event_loss_percent: u32,
    /// Refuses orders with an older fencing number than the newest obeyed.
    pub check_fence: bool,
    /// Time that an order to load a model or an adapter takes.
    pub load_model_ms: u64,
    /// Silence after which an answer in the making sends a comment or a
    /// blank, which is how the engine notices that the caller has left.
    pub keep_alive_ms: u64,
    /// Largest accepted request body.
    pub max_body_bytes: u64,
    /// How answers are delivered.
    pub delivery: Delivery,
}

impl Default for EngineSettings {
    fn default() -> Self {
        Self {
            listen: SocketAddr::from((Ipv4Addr::LOCALHOST, 0)),
            models: vec!["korv-lm".to_owned()],
            version: "1.0.0".to_owned(),
            max_running: 32,
            base_step_ms: 8.0,
            step_ms_per_running: 0.4,
            prefill_ms_per_token: 0.05,
            prefill_tokens_per_step: 2_048,
            kv_tokens: 262_144,
            prefix_cache_tokens: 131_072,
            metrics_lag_ms: 500,
            event_lag_ms: 200,
            event_loss_percent: 5,
            check_fence: true,
            load_model_ms: 500,
            keep_alive_ms: 100,
            max_body_bytes: 8 << 20,
            delivery: Delivery::default(),
        }
    }
}

impl EngineSettings {
    /// Returns settings with which nothing takes time and no prefix is
    /// cached, for tests that need many cheap answers.
    pub fn instant() -> Self {
        Self {
            max_running: usize::MAX,
            base_step_ms: 0.0,
            step_ms_per_running: 0.0,
            prefill_ms_per_token: 0.0,
            prefill_tokens_per_step: u32::MAX,
            prefix_cache_tokens: 0,
            metrics_lag_ms: 0,
            event_lag_ms: 0,
            event_loss_percent: 0,
            load_model_ms: 0,
            ..Self::default()
        }
    }

    /// Tells whether steps and prefill take no time.
    pub fn is_instant(&self) -> bool {
        self.base_step_ms == 0.0
            && self.step_ms_per_running == 0.0
            && self.prefill_ms_per_token == 0.0
    }
}
