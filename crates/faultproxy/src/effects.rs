//! What the rules mean for one direction of one connection now.

use tokio::time::{Duration, Instant};

use crate::{Direction, Fault, Rule};

/// The rules in force.
#[derive(Debug)]
pub(crate) struct Script {
    pub(crate) rules: Vec<Rule>,
    /// Number of the first connection that came after the rules were set.
    pub(crate) next: u64,
    pub(crate) set_at: Instant,
    /// Counts the times that rules were set.
    pub(crate) version: u64,
    /// Connections below this number are reset.
    pub(crate) cut_below: u64,
}

/// One direction of one connection.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Way {
    pub(crate) number: u64,
    pub(crate) direction: Direction,
    pub(crate) opened: Instant,
    pub(crate) seed: u64,
}

/// What holds for a direction now and until when.
#[derive(Debug, Default)]
pub(crate) struct Effects {
    pub(crate) delay: Duration,
    pub(crate) bytes_per_s: Option<u64>,
    pub(crate) silent: bool,
    pub(crate) cut: bool,
    pub(crate) close: bool,
    /// Bytes that may pass before a rule starts.
    pub(crate) room: Option<u64>,
    /// When a rule starts.
    pub(crate) wake: Option<Instant>,
}

impl Effects {
    pub(crate) fn new(
        script: &Script,
        way: Way,
        passed: u64,
        now: Instant,
    ) -> Self {
        let cut = way.number < script.cut_below;
        let mut effects = Self {
            cut,
            ..Self::default()
        };
        for (index, rule) in script.rules.iter().enumerate() {
            let draw = draw(way.seed, script.version, index, way.number);
            let meets = rule.meets(way.number, script.next, draw);
            if rule.covers(way.direction) && meets {
                let from = script.set_at.max(way.opened) + rule.wait();
                effects.add(rule, from, passed, now);
            }
        }
        effects
    }

    fn add(&mut self, rule: &Rule, from: Instant, passed: u64, now: Instant) {
        if now < from {
            let wake = self.wake.map_or(from, |wake| wake.min(from));
            self.wake = Some(wake);
            return;
        }
        if let Some(room) = rule.bytes().checked_sub(passed)
            && room > 0
        {
            let room = self.room.map_or(room, |known| known.min(room));
            self.room = Some(room);
            return;
        }
        match rule.fault() {
            Fault::Delay { ms } => self.delay += Duration::from_millis(ms),
            Fault::Bandwidth { bytes_per_s } => {
                let known = self.bytes_per_s.unwrap_or(u64::MAX);
                self.bytes_per_s = Some(known.min(bytes_per_s.max(1)));
            }
            Fault::Silence => self.silent = true,
            Fault::Cut => self.cut = true,
            Fault::Close => self.close = true,
        }
    }
}

/// Draws a number in 0..1 for a rule and a connection. The direction is no
/// part of it: a rule for both ways meets both ways of a connection.
fn draw(seed: u64, version: u64, rule: usize, number: u64) -> f64 {
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
