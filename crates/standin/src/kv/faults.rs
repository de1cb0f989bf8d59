use base::Millis;
use error_stack::Report;
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde::{Deserialize, Serialize};

use crate::StandinError;

/// How calls end in an outage.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum DownKind {
    /// With status 503.
    #[default]
    Refuse,
    /// With a closed connection.
    Close,
}

/// What is wrong with watches.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
#[serde(rename_all = "snake_case")]
pub enum WatchFault {
    /// Nothing.
    #[default]
    None,
    /// Changes are passed over in silence.
    Drop,
    /// Streams end as soon as they have begun.
    Break,
}

/// Faults of a stand-in key-value service; the default has none.
///
/// # Example
///
/// ```
/// use pomeloslip_standin::kv::KvFaults;
///
/// let faults: KvFaults = serde_json::from_str(r#"{"slow_ms": 20}"#)?;
/// assert_eq!(faults.slow_ms, 20);
/// assert_eq!(faults.down_ms, 0);
/// # Ok::<(), serde_json::Error>(())
/// ```
#[derive(Clone, Copy, Debug, Default, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct KvFaults {
    /// Length of an outage that begins when the faults are set.
    pub down_ms: u64,
    /// How calls end in that outage.
    pub down_kind: DownKind,
    /// Time added to each call and each message of a watch.
    pub slow_ms: u64,
    /// Share of the writes, 0 to 1, that take effect and whose connection
    /// is closed instead of an answer.
    pub lose_answer: f64,
    /// Seed of the choice of those writes.
    pub seed: u64,
    /// What is wrong with watches.
    pub watch: WatchFault,
}

impl KvFaults {
    pub(super) fn check(&self) -> Result<(), Report<StandinError>> {
        if (0.0..=1.0).contains(&self.lose_answer) {
            return Ok(());
        }
        let report = Report::new(StandinError::Settings);
        Err(report.attach("lose_answer must be within 0 to 1"))
    }
}

/// Faults in force.
#[derive(Debug)]
pub(super) struct ActiveFaults {
    settings: KvFaults,
    down_until: Millis,
    random: StdRng,
}

impl ActiveFaults {
    pub(super) fn new(settings: KvFaults, now: Millis) -> Self {
        Self {
            settings,
            down_until: now.saturating_add_ms(settings.down_ms),
            random: StdRng::seed_from_u64(settings.seed),
        }
    }

    pub(super) fn settings(&self) -> KvFaults {
        self.settings
    }

    pub(super) fn down(&self, now: Millis) -> Option<DownKind> {
        (now < self.down_until).then_some(self.settings.down_kind)
    }

    pub(super) fn loses_answer(&mut self) -> bool {
        self.random.random_bool(self.settings.lose_answer)
    }

    /// Tells whether the watches that are open now end.
    pub(super) fn breaks_watches(&self) -> bool {
        self.settings.down_ms > 0 || self.settings.watch == WatchFault::Break
    }
}
