//! Evaluates the rules for one direction of a connection.

use tokio::time::{Duration, Instant};

use crate::{Direction, Fault, Rule};

/// The active rules.
#[derive(Debug)]
pub(crate) struct RuleSet {
    pub(crate) rules: Vec<Rule>,
    /// Number of the first connection accepted after the rules were set.
    pub(crate) next: u64,
    pub(crate) set_at: Instant,
    /// Number of times that the rules were changed.
    pub(crate) version: u64,
    /// Connections with a lower number are reset.
    pub(crate) cut_below: u64,
}

/// One direction of one connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Flow {
    pub(crate) number: u64,
    pub(crate) direction: Direction,
    pub(crate) opened: Instant,
    pub(crate) seed: u64,
}

/// Current effects of the rules on a direction and when they change.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) delay: Duration,
    pub(crate) bytes_per_s: Option<u64>,
    pub(crate) hold: bool,
    pub(crate) silent: bool,
    pub(crate) cut: bool,
    pub(crate) close: bool,
    /// Bytes that may be forwarded before a rule starts.
    pub(crate) remaining: Option<u64>,
    /// Earliest time at which a rule starts.
    pub(crate) wake: Option<Instant>,
}

impl Effects {
    pub(crate) fn new(
        rule_set: &RuleSet,
        flow: Flow,
        offset: u64,
        now: Instant,
    ) -> Self {
        let cut = flow.number < rule_set.cut_below;
        let mut effects = Self {
            cut,
            ..Self::default()
        };
        for (index, rule) in rule_set.rules.iter().enumerate() {
            let draw =
                draw_unit(flow.seed, rule_set.version, index, flow.number);
            let applies = rule.applies_to(flow.number, rule_set.next, draw);
            if rule.covers(flow.direction) && applies {
                let from =
                    rule_set.set_at.max(flow.opened) + rule.start_delay();
                effects.add(rule, from, offset, now);
            }
        }
        effects
    }

    fn add(&mut self, rule: &Rule, from: Instant, offset: u64, now: Instant) {
        if now < from {
            let wake = self.wake.map_or(from, |wake| wake.min(from));
            self.wake = Some(wake);
            return;
        }
        if let Some(remaining) = rule.start_bytes().checked_sub(offset)
            && remaining > 0
        {
            let remaining = self
                .remaining
                .map_or(remaining, |known| known.min(remaining));
            self.remaining = Some(remaining);
            return;
        }
        match rule.fault() {
            Fault::Delay { ms } => self.delay += Duration::from_millis(ms),
            Fault::Bandwidth { bytes_per_s } => {
                let known = self.bytes_per_s.unwrap_or(u64::MAX);
                self.bytes_per_s = Some(known.min(bytes_per_s.max(1)));
            }
            Fault::Hold => self.hold = true,
            Fault::Silence => self.silent = true,
            Fault::Cut => self.cut = true,
            Fault::Close => self.close = true,
        }
    }
}

/// Returns a pseudorandom number in 0..1 for a rule and a connection. It does
/// not depend on the direction, so that a rule for both directions applies to
/// both directions of a connection.
fn draw_unit(seed: u64, version: u64, rule: usize, number: u64) -> f64 {
    let mut mixed = seed;
    for part in [version, rule as u64, number] {
        mixed = mix(mixed ^ part.wrapping_mul(0x9e37_79b9_7f4a_7c15));
    }
    (mixed >> 11) as f64 / (1_u64 << 53) as f64
}

/// The finalizer of splitmix64.
fn mix(value: u64) -> u64 {
    let value = value.wrapping_add(0x9e37_79b9_7f4a_7c15);
    let value = (value ^ (value >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    let value = (value ^ (value >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    value ^ (value >> 31)
}
