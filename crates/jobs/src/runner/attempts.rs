//! Counts the attempts at the items of a job, and holds items whose attempts
//! are not recorded yet.

use base::Millis;

use super::{
    RunnerState,
    active::{ActiveJob, ItemPhase},
};
use crate::{
    CounterId, FailedAttempts, KnownAttempts, ProcessAttempts, StoredManifest,
    record::JobKey,
};

/// Maximum number of items of a job that wait for a run whose start is
/// recorded. If the process ends, each of them may have run.
const MAX_ANNOUNCED: usize = 16;

/// Whether an item may be sent to an endpoint.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum StartCheck {
    /// The item may start.
    Permitted,
    /// The start has to be recorded first.
    Unrecorded,
    /// The record of an attempt is being stored, or the item may not run now.
    Withheld,
}

impl ActiveJob {
    /// Returns what is known of the attempts at an item.
    pub(super) fn known_attempts(&self, number: u32) -> KnownAttempts {
        let manifest = &self.stored.manifest;
        let earlier = manifest.failed_attempts.get(&number).copied();
        let others = manifest.attempts.failed_elsewhere(self.counter, number);
        let others = others.plus(earlier.unwrap_or_default());
        let open = manifest.attempts.open_elsewhere(self.counter, number);
        KnownAttempts {
            failed: others.plus(self.attempts.failed(number)),
            unknown: open + u32::from(self.may_have_run),
            has_begun: manifest.attempts.has_begun(number)
                || self.attempts.has_begun(number)
                || self.items[number as usize].progress.has_begun(),
        }
    }

    /// Counts a failed attempt at an item. The next attempt is recorded with
    /// it, so that it needs no write of its own.
    pub(super) fn count_failed(
        &mut self,
        number: u32,
        attempts: FailedAttempts,
    ) {
        self.attempts.add_failed(number, attempts);
        self.attempts.open(number);
    }

    /// Records that an attempt at an item is about to begin.
    pub(super) fn announce(&mut self, number: u32) {
        self.attempts.open(number);
    }

    /// Returns the number of waiting items whose start is recorded, or about to
    /// be, and that have not failed here.
    fn announced(&self) -> usize {
        let items = (0..).zip(&self.items);
        let announced = items.filter(|(number, item)| {
            item.state == ItemPhase::Waiting
                && self.attempts.is_open(*number)
                && self.attempts.failed(*number) == FailedAttempts::default()
        });
        announced.count()
    }

    /// Reports whether all counts of this process are stored.
    pub(super) fn are_attempts_stored(&self) -> bool {
        let stored = self.stored.manifest.attempts.of(self.counter);
        match stored {
            Some(stored) => *stored == self.attempts,
            None => self.attempts == ProcessAttempts::default(),
        }
    }

    /// Returns the process that counts, and its counts.
    pub(super) fn counted(&self) -> (CounterId, ProcessAttempts) {
        (self.counter, self.attempts.clone())
    }

    /// Checks whether an item may be sent to an endpoint, by a process that has
    /// run for `uptime_ms`.
    ///
    /// The first attempt at an item of a new job is not recorded before it
    /// begins; whoever takes the job up later assumes one. All other attempts
    /// are recorded first, unless the item has generated events: an item that
    /// fails at each run has none.
    pub(super) fn check_start(
        &self,
        number: u32,
        max_attempts: u32,
        uptime_ms: u64,
    ) -> StartCheck {
        let known = self.known_attempts(number);
        if !known.permit_run(max_attempts, uptime_ms) {
            return StartCheck::Withheld;
        }
        let stored = self.stored.manifest.attempts.of(self.counter);
        let stored_failed = stored.map(|stored| stored.failed(number));
        if stored_failed.unwrap_or_default() != self.attempts.failed(number) {
            return StartCheck::Withheld;
        }
        let is_first = !self.may_have_run
            && known.unknown == 0
            && known.failed == FailedAttempts::default();
        if is_first || known.has_begun {
            return StartCheck::Permitted;
        }
        if !self.attempts.is_open(number) {
            return StartCheck::Unrecorded;
        }
        match stored.is_some_and(|stored| stored.is_open(number)) {
            true => StartCheck::Permitted,
            false => StartCheck::Withheld,
        }
    }

    /// Records which items have generated events since their attempt was
    /// recorded.
    fn record_begun(&mut self) {
        for (number, item) in (0..).zip(&self.items) {
            if item.progress.has_begun() {
                self.attempts.begin(number);
            }
        }
    }

    /// Records that the attempts at the waiting items have ended.
    pub(super) fn close_waiting(&mut self) {
        for (number, item) in (0..).zip(&self.items) {
            if item.state == ItemPhase::Waiting {
                self.attempts.close(number);
            }
        }
    }

    /// Logs the counts of a newer manifest that differ from the known ones.
    pub(super) fn log_changed_attempts(&self, newer: &StoredManifest) {
        let known = &self.stored.manifest;
        if known.attempts == newer.manifest.attempts {
            return;
        }
        for (number, item) in (0..).zip(&self.items) {
            let before = known.failed_attempts_at(number);
            let after = newer.manifest.failed_attempts_at(number);
            let open_before = known.attempts.open(number);
            let open = newer.manifest.attempts.open(number);
            if item.state == ItemPhase::Done
                || (before == after && open_before == open)
            {
                continue;
            }
            log::info!(
                request_id = self.id_of(number),
                item = number,
                errors = after.errors,
                errors_before = before.errors,
                rejections = after.rejections,
                open,
                open_before,
                may_have_run = self.may_have_run,
                counted_by:? = newer.manifest.attempts.counters_of(number),
                counter:? = self.counter,
                revision = newer.revision;
                "the stored attempts at an item have changed"
            );
        }
    }
}

impl RunnerState {
    /// Records which items have generated events.
    pub(super) fn record_begun_items(&mut self) {
        for job in self.jobs.values_mut() {
            job.record_begun();
        }
    }

    /// Announces the start of an item, unless many others of its job wait for
    /// theirs. Reports whether it does.
    pub(super) fn announce(&mut self, key: &JobKey, number: u32) -> bool {
        let Some(job) = self.jobs.get_mut(key) else {
            return false;
        };
        if job.announced() >= MAX_ANNOUNCED {
            return false;
        }
        job.announce(number);
        let known = job.known_attempts(number);
        log::info!(
            request_id = job.id_of(number),
            job = key.as_str(),
            unknown = known.unknown,
            errors = known.failed.errors;
            "the start of an item is recorded before it runs"
        );
        true
    }

    /// Returns how long this process has run, in milliseconds.
    pub(super) fn uptime_ms(&self, now: Millis) -> u64 {
        now.saturating_ms_since(self.started_at)
    }
}
