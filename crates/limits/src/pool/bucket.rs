use base::Millis;

use super::{
    TokenGrant, TokenRefusal,
    fraction::{Fraction, Snapshot},
    history::StepCounts,
    restore::{self, PendingLevel, TimedCount},
};
use crate::{RateLimit, Tolerance};

/// Token bucket of one replica of a customer's limit.
#[derive(Debug)]
pub(super) struct Bucket {
    limit: RateLimit,
    tokens: f64,
    /// Remaining initial tokens; never refilled.
    initial_tokens: u32,
    refilled: Snapshot,
    /// Requests that were granted while their slot could be restored.
    granted: StepCounts,
    /// Last restored level that was applied.
    generation: u64,
    /// When tokens are available for all requests that were refused so far.
    backlog_end_us: u64,
}

/// Maximum retry delay of refused requests, in milliseconds. Requests further
/// back get the same delay: under a lasting excess their true position would
/// be minutes away, and the callers give up earlier.
pub(super) const MAX_RETRY_AFTER_MS: u64 = 2_000;

const US_PER_MS: f64 = 1_000.0;

impl TokenRefusal {
    pub(super) fn after(ms: u64) -> Self {
        Self {
            token_in_ms: ms,
            retry_after_ms: ms,
            spacing_us: 0,
        }
    }
}

impl Bucket {
    /// Returns the limit that applies.
    pub(super) fn limit(&self) -> RateLimit {
        self.limit
    }

    /// Returns which restored level was applied last.
    pub(super) fn generation(&self) -> u64 {
        self.generation
    }

    /// Records granted requests, in case that their slot is restored.
    pub(super) fn record(&mut self, count: u32, window_ms: u64, now: Millis) {
        self.granted.expire(window_ms, now);
        self.granted.add(count, now);
    }

    pub(super) fn new(limit: RateLimit, initial_tokens: u32) -> Self {
        Self {
            limit,
            tokens: 0.0,
            initial_tokens,
            // Since the start of the process, as no other node counted
            // meanwhile.
            refilled: Snapshot::default(),
            granted: StepCounts::default(),
            generation: 0,
            backlog_end_us: 0,
        }
    }

    pub(super) fn refill(
        &mut self,
        pool: &mut Fraction,
        tolerance: Tolerance,
        now: Millis,
    ) {
        let burst_tokens = tolerance.burst_tokens(self.limit);
        // A share that was withdrawn may have been used elsewhere, so its
        // burst is not available when it returns.
        let kept = self
            .tokens
            .min(burst_tokens * pool.min_since(self.refilled));
        let share_ms = pool.sum_since(self.refilled, now);
        let tokens = kept + self.limit.per_s() * share_ms / 1_000.0;
        self.tokens = tokens.min(burst_tokens * pool.get());
        self.refilled = pool.snapshot(now);
    }

    /// Returns the requests that were granted while the slot could be
    /// restored.
    pub(super) fn granted(&self) -> Vec<TimedCount> {
        let counts = self.granted.counts();
        counts
            .map(|(at, count)| (at.as_ms() as i64, count))
            .collect()
    }

    /// Raises the tokens to a restored level. The bucket has not been used
    /// since the level was computed.
    pub(super) fn restore(
        &mut self,
        pending: PendingLevel,
        pool: &Fraction,
        tolerance: Tolerance,
    ) {
        self.generation = pending.generation;
        let mut granted = self.granted();
        self.granted = StepCounts::default();
        let (limit, tokens) = pending.reported.unwrap_or_else(|| {
            let share = pending.share;
            let tokens = restore::level(
                self.limit,
                tolerance,
                share,
                &mut granted,
                pending.at,
            );
            (self.limit, tokens)
        });
        let burst_tokens = tolerance.burst_tokens(self.limit);
        let kept = self
            .tokens
            .min(burst_tokens * pool.min_since(self.refilled));
        let share_ms = pending.snapshot.sum_since(self.refilled);
        let held = kept + self.limit.per_s() * share_ms / 1_000.0;
        if limit.version() > self.limit.version() {
            self.limit = limit;
        }
        let max_tokens = tolerance.burst_tokens(self.limit) * pending.share;
        self.tokens = held.max(tokens).min(max_tokens);
        self.refilled = pending.snapshot;
    }

    /// Applies a limit with a later version. An older one must not raise a
    /// limit that operators have lowered.
    pub(super) fn set(
        &mut self,
        new: RateLimit,
        pool: &Fraction,
        tolerance: Tolerance,
    ) {
        if new.version() > self.limit.version() {
            self.limit = new;
            let max_tokens = tolerance.burst_tokens(new) * pool.get();
            self.tokens = self.tokens.min(max_tokens);
        }
    }

    pub(super) fn take(
        &mut self,
        count: u32,
        share: f64,
        now: Millis,
    ) -> TokenGrant {
        let whole = (self.tokens.floor() as u32).min(count);
        self.tokens -= f64::from(whole);
        let first = self.initial_tokens.min(count - whole);
        self.initial_tokens -= first;
        let granted = whole + first;
        let refused = count - granted;
        let refused = (refused > 0).then(|| self.refuse(refused, share, now));
        TokenGrant { granted, refused }
    }

    /// Computes when refused requests have tokens: one after the other at the
    /// rate of this pool, behind all requests that were refused before.
    fn refuse(&mut self, count: u32, share: f64, now: Millis) -> TokenRefusal {
        let per_ms = self.limit.per_s() * share / 1_000.0;
        if per_ms <= 0.0 {
            return TokenRefusal::after(MAX_RETRY_AFTER_MS);
        }
        let max_us = MAX_RETRY_AFTER_MS * US_PER_MS as u64;
        let now_us = now.as_ms() * US_PER_MS as u64;
        let spacing_us = (US_PER_MS / per_ms) as u64;
        let token_ms = (1.0 - self.tokens) / per_ms;
        let token_us = (token_ms * US_PER_MS) as u64;
        let first = now_us.saturating_add(token_us);
        let first = first.max(self.backlog_end_us);
        let retry_after_us = (first - now_us).min(max_us);
        let all = first.saturating_add(spacing_us * u64::from(count));
        self.backlog_end_us = all.min(now_us + max_us);
        TokenRefusal {
            token_in_ms: token_us / US_PER_MS as u64,
            retry_after_ms: retry_after_us / US_PER_MS as u64,
            spacing_us: spacing_us.min(max_us),
        }
    }
}
