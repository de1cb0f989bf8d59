//! Faults of a simulated fleet.

use base::{mix, stable_hash};
use pomeloslip_limits::{RateLimit, SLOT_COUNT};

use super::{MAX_CONFIG_LAG_MS, Node, START_MS, World};
use crate::{event::Event, scenario::Faults};

/// When token servers of the large customer are lost at the earliest, and for
/// how long. All processes and all buckets are older than a window by then.
const LOSS_MS: u64 = START_MS + 6_000;
const LOST_FOR_MS: u64 = 60_000;

impl World {
    /// Schedules the faults of the scenario.
    pub(super) fn schedule(&mut self) {
        match self.scenario.faults {
            Faults::None => {}
            Faults::Mixed => self.schedule_faults(),
            Faults::Partitions => {
                for round in 0..16 {
                    self.push(START_MS + 500 * round, Event::Repartition);
                }
            }
            Faults::StaleLimits => {
                for node in 1..self.scenario.fronts {
                    if self.chance(40) {
                        let cut = Event::CutOff {
                            node,
                            all: false,
                            for_ms: 60_000,
                        };
                        self.push(START_MS, cut);
                    }
                }
                self.push(START_MS + 500, Event::LowerLimits);
            }
            Faults::LostServers(replicas) => {
                let at_ms = LOSS_MS + self.below(2_000);
                let back_in_ms = LOST_FOR_MS;
                self.push(
                    at_ms,
                    Event::LoseServers {
                        customer: 0,
                        replicas,
                        back_in_ms,
                    },
                );
            }
            Faults::RepeatedLosses => self.schedule_repeated_losses(),
        }
    }

    /// Loses servers several times from when all histories are complete, and
    /// disturbs the fronts that report to the next ones.
    fn schedule_repeated_losses(&mut self) {
        for node in 0..self.nodes.len() {
            self.nodes[node].is_old =
                self.scenario.seed.is_multiple_of(3) && self.chance(30);
        }
        let disturbance = match self.below(6) {
            // A frozen front serves requests long after they were counted.
            2 if self.scenario.is_strict() => 5,
            disturbance => disturbance,
        };
        let customer = self.below(self.customers.len() as u64);
        let mut at_ms = LOSS_MS;
        for _ in 0..4 + self.below(6) {
            // Shorter and longer than it takes to restore a slot.
            at_ms += 100 + self.below(2_000);
            let replicas = 1 + self.below(2) as usize;
            let back_in_ms = 100 + self.below(3_000);
            self.push(
                at_ms,
                Event::LoseServers {
                    customer: customer as usize,
                    replicas,
                    back_in_ms,
                },
            );
            for node in 0..self.scenario.fronts {
                let event = match disturbance {
                    0 => Event::Kill { node, back_in_ms },
                    1 => Event::CutOff {
                        node,
                        all: true,
                        for_ms: 100 + self.below(3_000),
                    },
                    2 => Event::Freeze {
                        node,
                        for_ms: 100 + self.below(2_000),
                    },
                    _ => continue,
                };
                if self.chance(50) {
                    let after_ms = self.below(1_500);
                    self.push(at_ms + after_ms, event);
                }
            }
        }
        if disturbance == 3 {
            let after_ms = self.below(6_000);
            self.push(LOSS_MS + after_ms, Event::LowerLimits);
        }
    }

    /// Kills the token servers of a customer.
    pub(super) fn lose_servers(
        &mut self,
        customer: usize,
        replicas: usize,
        back_in_ms: u64,
    ) {
        let name = self.customers[customer].0.as_str();
        let shards = (SLOT_COUNT / 2) as u64;
        let shard = (mix(stable_hash(&[name])) % shards) as usize;
        for slot in (shard * 2..).take(replicas) {
            let share = |node: &Node| node.server.allotted(slot);
            let servers = 0..self.nodes.len();
            let server = servers.max_by(|a, b| {
                share(&self.nodes[*a]).total_cmp(&share(&self.nodes[*b]))
            });
            self.kill(server.expect("a node"), back_in_ms);
        }
    }

    fn schedule_faults(&mut self) {
        let all = self.nodes.len();
        for _ in 0..self.below(4) + 1 {
            let at = START_MS + self.below(10_000);
            let share = 5 + self.below(60);
            let kind = self.below(7);
            let for_ms = 200 + self.below(9_000);
            let back_in_ms = 100 + self.below(3_500);
            let twice = self.chance(40);
            let gap_ms = 500 + self.below(4_000);
            for node in 0..all {
                if !self.chance(share) {
                    continue;
                }
                let event = match kind {
                    0 | 1 => Event::Kill { node, back_in_ms },
                    2 => Event::CutOff {
                        node,
                        all: true,
                        for_ms,
                    },
                    3 => Event::CutOff {
                        node,
                        all: false,
                        for_ms,
                    },
                    4 => Event::Freeze {
                        node,
                        for_ms: for_ms / 2,
                    },
                    5 => Event::Kill {
                        node,
                        back_in_ms: 300,
                    },
                    _ => Event::CutOff {
                        node,
                        all: true,
                        for_ms: 1_500,
                    },
                };
                self.push(at, event.clone());
                if twice && kind != 2 && kind != 3 {
                    self.push(at + gap_ms, event);
                }
            }
        }
        if self.chance(40) {
            let at = START_MS + self.below(6_000);
            self.push(at, Event::LowerLimits);
        }
    }

    pub(super) fn lower_limits(&mut self) {
        let before = self.customers.iter().map(|(_, limit)| *limit).collect();
        self.before = Some((self.now_ms, before));
        for (_, limit) in &mut self.customers {
            let rate = limit.per_s() / 4.0;
            let burst = limit.burst() / 4;
            let lower =
                RateLimit::try_new(rate, burst).expect("a valid limit");
            *limit = lower.with_version(2);
        }
    }

    /// Returns the limit that a front knows; changes reach it with a delay.
    pub(super) fn limit_at(&self, node: usize, customer: usize) -> RateLimit {
        let limit = self.customers[customer].1;
        let Some((changed_ms, before)) = &self.before else {
            return limit;
        };
        let lag_ms = match self.nodes[node].cut_from_kv {
            true => u64::MAX / 2,
            false => mix(node as u64) % MAX_CONFIG_LAG_MS,
        };
        match self.now_ms < changed_ms + lag_ms {
            true => before[customer],
            false => limit,
        }
    }
}
