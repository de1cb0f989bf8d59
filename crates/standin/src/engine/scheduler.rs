//! Continuous batching as a state machine without I/O.
//!
//! Time is an argument, in microseconds since the engine started: a step may
//! take a fraction of a millisecond, so that [`Millis`](base::Millis) would
//! round the speed of the engine.

use std::collections::VecDeque;

use serde::{Deserialize, Serialize};
use slotmap::{SlotMap, new_key_type};

use super::{
    EngineSettings,
    cache::{BLOCK_TOKENS, CacheChange, PrefixCache},
};

new_key_type! {
    /// Names one sequence in the scheduler.
    pub struct SequenceKey;
}

/// What the scheduler needs to know of a call.
#[derive(Clone, Debug, Default)]
pub struct Work {
    /// Hashes of the prompt's full blocks.
    pub blocks: Vec<u64>,
    /// Tokens to prefill: the prompt and what an earlier call generated.
    pub prefill_tokens: u32,
    /// Tokens to generate.
    pub target_tokens: u32,
    /// Least time between admission to the batch and the first token.
    pub slow_us: u64,
    /// Ends the sequence early, after so many tokens.
    pub cut_after: Option<u32>,
}

/// Where a sequence stands.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub enum Phase {
    /// It waits in line or runs.
    #[default]
    Going,
    /// All of its tokens are there.
    Complete,
    /// It ended early and gets no further tokens.
    Cut,
}

/// How far a sequence has come.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Progress {
    /// Tokens generated so far.
    pub produced: u32,
    /// Prompt tokens that came from the prefix cache.
    pub cached_tokens: u32,
    /// Whether more will come.
    pub phase: Phase,
}

/// Counts what the scheduler has done.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default)]
pub struct SequenceCounts {
    /// Sequences in the batch.
    pub running: u64,
    /// Sequences in line.
    pub waiting: u64,
    /// Sequences that got all of their tokens.
    pub completed: u64,
    /// Sequences whose caller left.
    pub cancelled: u64,
    /// Sequences that a fault ended early.
    pub cut: u64,
    /// Tokens generated.
    pub tokens: u64,
    /// Prompt tokens that were computed.
    pub prefilled_tokens: u64,
    /// Prompt tokens that came from the prefix cache.
    pub cache_hit_tokens: u64,
    /// Tokens of KV cache that running sequences have reserved.
    pub reserved_tokens: u64,
    /// Tokens of KV cache that cached prefixes take.
    pub cached_tokens: u64,
}

#[derive(Debug)]
struct Sequence {
    work: Work,
    progress: Progress,
    prefill_left: u32,
    ready_us: u64,
    emits: bool,
}

impl Sequence {
    fn reserve_tokens(&self) -> u64 {
        u64::from(self.work.prefill_tokens)
            + u64::from(self.work.target_tokens)
    }
}

#[derive(Clone, Copy, Debug)]
enum Step {
    Idle,
    /// Every running sequence is a slow one before its first token.
    Sleeping {
        until_us: u64,
    },
    Active {
        end_us: u64,
    },
}

#[derive(Clone, Copy, Debug)]
struct Speed {
    max_running: usize,
    base_us: f64,
    per_running_us: f64,
    per_prefill_us: f64,
    prefill_per_step: u32,
    kv_tokens: u64,
    prefix_tokens: u64,
}

/// Decides which sequences run and when their tokens are there.
///
/// Sequences are admitted in the order of their arrival, without
/// priorities, while a slot of the batch and KV memory are free. All running
/// ones get a token at the end of each step; the step lasts longer the more
/// of them run and the more prompt tokens it prefills.
///
/// # Example
///
/// ```
/// use pomeloslip_standin::engine::{
///     EngineSettings,
///     scheduler::{Phase, Scheduler, Work},
/// };
///
/// let settings = EngineSettings {
///     base_step_ms: 10.0,
///     step_ms_per_running: 0.0,
///     prefill_ms_per_token: 0.0,
///     ..EngineSettings::default()
/// };
/// let mut scheduler = Scheduler::new(&settings);
/// let work = Work { target_tokens: 2, ..Work::default() };
/// let key = scheduler.submit(work);
/// assert!(scheduler.advance(0).is_empty());
/// assert_eq!(scheduler.next_due_us(), Some(10_000));
/// let updates = scheduler.advance(20_000);
/// assert_eq!(updates.len(), 2);
/// assert_eq!(updates[1].0, key);
/// assert_eq!(updates[1].1.phase, Phase::Complete);
/// ```
#[derive(Debug)]
pub struct Scheduler {
    speed: Speed,
    sequences: SlotMap<SequenceKey, Sequence>,
    waiting: VecDeque<SequenceKey>,
    running: Vec<SequenceKey>,
    step: Step,
    stalled_until_us: u64,
    cache: PrefixCache,
    counts: SequenceCounts,
}

impl Scheduler {
    /// Makes an idle scheduler.
    pub fn new(settings: &EngineSettings) -> Self {
        let us = |ms: f64| ms.max(0.0) * 1_000.0;
        let speed = Speed {
            max_running: settings.max_running.max(1),
            base_us: us(settings.base_step_ms),
            per_running_us: us(settings.step_ms_per_running),
            per_prefill_us: us(settings.prefill_ms_per_token),
            prefill_per_step: settings.prefill_tokens_per_step.max(1),
            kv_tokens: u64::from(settings.kv_tokens),
            prefix_tokens: u64::from(settings.prefix_cache_tokens),
        };
        let limit = speed.prefix_tokens / u64::from(BLOCK_TOKENS);
        Self {
            speed,
            sequences: SlotMap::with_key(),
            waiting: VecDeque::new(),
            running: Vec::new(),
            step: Step::Idle,
            stalled_until_us: 0,
            cache: PrefixCache::new(limit as usize),
            counts: SequenceCounts::default(),
        }
    }

    /// Puts a sequence at the end of the line; call
    /// [`advance`](Self::advance) next.
    pub fn submit(&mut self, work: Work) -> SequenceKey {
        let key = self.sequences.insert(Sequence {
            prefill_left: work.prefill_tokens,
            work,
            progress: Progress::default(),
            ready_us: 0,
            emits: false,
        });
        self.waiting.push_back(key);
        key
    }

    /// Takes a sequence out because its caller left, and tells whether it
    /// was still there.
    pub fn cancel(&mut self, key: SequenceKey) -> bool {
        let here = self.remove(key).is_some();
        if here {
            self.counts.cancelled += 1;
        }
        here
    }

    /// Moves on to `now_us` and returns how far sequences have come, in
    /// order.
    pub fn advance(&mut self, now_us: u64) -> Vec<(SequenceKey, Progress)> {
        let mut updates = Vec::new();
        while now_us >= self.stalled_until_us {
            match self.step {
                Step::Active { end_us } if end_us > now_us => break,
                Step::Active { end_us } => {
                    self.finish_step(&mut updates);
                    self.begin_step(end_us, now_us);
                }
                Step::Idle | Step::Sleeping { .. } => {
                    self.begin_step(now_us, now_us);
                    if !matches!(self.step, Step::Active { .. }) {
                        break;
                    }
                }
            }
        }
        updates
    }

    /// Returns when [`advance`](Self::advance) has something to do next.
    pub fn next_due_us(&self) -> Option<u64> {
        let due_us = match self.step {
            Step::Idle if self.waiting.is_empty() => return None,
            Step::Idle => 0,
            Step::Sleeping { until_us } => until_us,
            Step::Active { end_us } => end_us,
        };
        Some(due_us.max(self.stalled_until_us))
    }

    /// Makes no progress from `now_us` on for `stall_us`.
    ///
    /// The step under way ends later by as much. Without this, the engine
    /// would catch up at once when the stall ends, as no stalled engine can.
    pub fn stall(&mut self, now_us: u64, stall_us: u64) {
        self.stalled_until_us = now_us.saturating_add(stall_us);
        if let Step::Active { end_us } = &mut self.step {
            *end_us = end_us.saturating_add(stall_us);
        }
    }

    /// Ends all sequences early, as if the engine had crashed.
    pub fn cut_all(&mut self) -> Vec<(SequenceKey, Progress)> {
        let keys: Vec<_> = self.sequences.keys().collect();
        let mut updates = Vec::with_capacity(keys.len());
        for key in keys {
            if let Some(mut sequence) = self.remove(key) {
                sequence.progress.phase = Phase::Cut;
                self.counts.cut += 1;
                updates.push((key, sequence.progress));
            }
        }
        updates
    }

    /// Returns the counts as they are now.
    pub fn counts(&self) -> SequenceCounts {
        let cached = self.cache.len() as u64 * u64::from(BLOCK_TOKENS);
        SequenceCounts {
            running: self.running.len() as u64,
            waiting: self.waiting.len() as u64,
            cached_tokens: cached,
            ..self.counts
        }
    }

    /// Hands out the changes of the prefix cache since the last call.
    pub fn take_cache_changes(&mut self) -> Vec<CacheChange> {
        self.cache.take_changes()
    }

    fn remove(&mut self, key: SequenceKey) -> Option<Sequence> {
        let sequence = self.sequences.remove(key)?;
        let before = self.running.len();
        self.running.retain(|running| *running != key);
        if self.running.len() < before {
            self.counts.reserved_tokens -= sequence.reserve_tokens();
        } else {
            self.waiting.retain(|waiting| *waiting != key);
        }
        Some(sequence)
    }

    /// Starts a step at `at_us` with all that wait by `now_us`.
    fn begin_step(&mut self, at_us: u64, now_us: u64) {
        self.admit(at_us);
        let mut prefill_budget = self.speed.prefill_per_step;
        let mut active = 0_u32;
        let mut earliest_us = u64::MAX;
        for key in &self.running {
            let sequence = &mut self.sequences[*key];
            sequence.emits = false;
            if sequence.ready_us > now_us {
                earliest_us = earliest_us.min(sequence.ready_us);
                continue;
            }
            active += 1;
            let share = sequence.prefill_left.min(prefill_budget);
            sequence.prefill_left -= share;
            prefill_budget -= share;
            sequence.emits = sequence.prefill_left == 0;
        }
        self.step = if self.running.is_empty() {
            Step::Idle
        } else if active == 0 {
            Step::Sleeping {
                until_us: earliest_us,
            }
        } else {
            let prefilled = self.speed.prefill_per_step - prefill_budget;
            self.counts.prefilled_tokens += u64::from(prefilled);
            let end_us = at_us + self.step_us(active, prefilled);
            Step::Active { end_us }
        };
    }

    fn step_us(&self, active: u32, prefilled: u32) -> u64 {
        let decode_us = self.speed.per_running_us * f64::from(active);
        let prefill_us = self.speed.per_prefill_us * f64::from(prefilled);
        (self.speed.base_us + decode_us + prefill_us) as u64
    }

    fn admit(&mut self, at_us: u64) {
        while self.running.len() < self.speed.max_running {
            let Some(key) = self.waiting.front().copied() else {
                return;
            };
            let need = self.sequences[key].reserve_tokens();
            let reserved = self.counts.reserved_tokens + need;
            if reserved > self.speed.kv_tokens && !self.running.is_empty() {
                return;
            }
            self.waiting.pop_front();
            self.running.push(key);
            self.counts.reserved_tokens = reserved;
            self.use_cache(key, at_us);
        }
    }

    fn use_cache(&mut self, key: SequenceKey, at_us: u64) {
        let sequence = &mut self.sequences[key];
        sequence.ready_us = at_us.saturating_add(sequence.work.slow_us);
        if self.speed.prefix_tokens == 0 {
            return;
        }
        let hits = self.cache.touch(&sequence.work.blocks) as u32;
        let hit_tokens = hits * BLOCK_TOKENS;
        sequence.progress.cached_tokens = hit_tokens;
        sequence.prefill_left =
            sequence.work.prefill_tokens.saturating_sub(hit_tokens);
        self.counts.cache_hit_tokens += u64::from(hit_tokens);
        self.bound_cache();
    }

    /// Running sequences take the memory that they need from the cache.
    fn bound_cache(&mut self) {
        let free = self
            .speed
            .kv_tokens
            .saturating_sub(self.counts.reserved_tokens);
        let limit = free.min(self.speed.prefix_tokens);
        self.cache
            .set_limit((limit / u64::from(BLOCK_TOKENS)) as usize);
    }

    fn finish_step(&mut self, updates: &mut Vec<(SequenceKey, Progress)>) {
        let mut ended = 0;
        for index in 0..self.running.len() {
            let key = self.running[index];
            let sequence = &mut self.sequences[key];
            if !sequence.emits {
                continue;
            }
            let first = sequence.progress.produced == 0;
            emit(sequence);
            self.counts.tokens +=
                u64::from(sequence.work.target_tokens.min(1));
            updates.push((key, sequence.progress));
            ended += usize::from(sequence.progress.phase != Phase::Going);
            if first && self.speed.prefix_tokens > 0 {
                self.cache.store(&sequence.work.blocks);
            }
        }
        if ended > 0 {
            self.remove_ended();
        }
    }

    fn remove_ended(&mut self) {
        let Self {
            sequences,
            counts,
            running,
            ..
        } = self;
        running.retain(|key| {
            let sequence = &sequences[*key];
            match sequence.progress.phase {
                Phase::Going => return true,
                Phase::Complete => counts.completed += 1,
                Phase::Cut => counts.cut += 1,
            }
            counts.reserved_tokens -= sequence.reserve_tokens();
            sequences.remove(*key);
            false
        });
        if self.speed.prefix_tokens > 0 {
            self.bound_cache();
        }
    }
}

/// Gives a sequence its next token and ends it if that was the last.
fn emit(sequence: &mut Sequence) {
    let target = sequence.work.target_tokens;
    let progress = &mut sequence.progress;
    progress.produced = (progress.produced + 1).min(target);
    if sequence.work.cut_after == Some(progress.produced) {
        progress.phase = Phase::Cut;
    } else if progress.produced == target {
        progress.phase = Phase::Complete;
    }
}
