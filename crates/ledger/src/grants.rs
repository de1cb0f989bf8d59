//! Items on loan to companions, and their results.

use base::{JobId, Millis, UnixMillis, VmId};
use slotmap::{Key, KeyData};

use crate::{
    Action, Granted, Ledger, Moment, PullRequest, PullResponse, ResultOutcome,
    RunOutcome, Sink,
    job::{Grant, GrantKey, Job, JobKey, Settled, VmKey},
};

/// Results that may wait for their commit, in bytes. Beyond this nothing is
/// granted: during a long outage a thin machine would run out of memory.
const WAITING_MAX_BYTES: usize = 64 << 20;

/// Jobs that are looked at for one pull.
const BAND_JOBS_MAX: usize = 256;

/// Service that a customer may catch up after it had nothing to run, in items.
const CATCH_UP_MAX: u64 = 64;

impl Ledger {
    /// Renews what a companion runs and grants it more.
    pub fn pull(
        &mut self,
        moment: Moment,
        request: &PullRequest<'_>,
    ) -> PullResponse {
        let vm = self.meet(moment.now, request);
        let revoked = self.renew(moment.now, vm, request.running);
        let mut answer = PullResponse {
            revoked,
            ..PullResponse::default()
        };
        let full = self.waiting_bytes >= WAITING_MAX_BYTES;
        if full || !self.is_safe(moment.now) {
            return answer;
        }
        let capacity =
            request.capacity.min(self.options.grant_items_max) as usize;
        let mut band = self.band(moment.now, request.models);
        while answer.items.len() < capacity {
            let Some(at) = self.next_in_turn(&band) else {
                break;
            };
            match self.grant(moment.now, band[at], vm) {
                Some(granted) => answer.items.push(granted),
                None => {
                    band.swap_remove(at);
                }
            }
        }
        answer.more = !band.is_empty();
        answer
    }

    /// Takes what became of an item.
    ///
    /// A completed item is used whenever it is still open: also late, from
    /// an expired loan, or from one of an earlier owner. Running it again
    /// would waste an endpoint's time.
    pub fn result(
        &mut self,
        moment: Moment,
        job: &JobId,
        index: u32,
        grant: u64,
        end: RunOutcome,
    ) -> ResultOutcome {
        let Some(key) = self.by_id.get(job).copied() else {
            return ResultOutcome::Ignored;
        };
        let named = self.grant_key(grant);
        let Some(job) = self.jobs.get_mut(key) else {
            return ResultOutcome::Ignored;
        };
        let is_current = job.held().get(&index) == Some(&named);
        if job.is_settled(index) {
            if is_current {
                self.end_grant(key, index);
            }
            return ResultOutcome::Ignored;
        }
        match end {
            RunOutcome::Completed(line) => {
                let sink = Sink::Output;
                self.settle(key, index, Settled { line, sink })
            }
            RunOutcome::Rejected(line) => {
                let sink = Sink::Errors;
                self.settle(key, index, Settled { line, sink })
            }
            // The end of the loan was counted when it expired.
            _ if !is_current => ResultOutcome::Ignored,
            RunOutcome::Returned => self.open_again(key, index, moment.now, 0),
            RunOutcome::Quarantined { for_ms } => {
                self.open_again(key, index, moment.now, for_ms)
            }
            RunOutcome::Failed(line) => {
                self.end_grant(key, index);
                match self.fail(moment.now, key, index) {
                    Some(_) => {
                        let sink = Sink::Errors;
                        self.settle(key, index, Settled { line, sink })
                    }
                    None => ResultOutcome::Reopened,
                }
            }
        }
    }

    /// Opens an item again that was not tried, after a pause.
    fn open_again(
        &mut self,
        key: JobKey,
        index: u32,
        now: Millis,
        pause_ms: u64,
    ) -> ResultOutcome {
        self.end_grant(key, index);
        if let Some(job) = self.jobs.get_mut(key) {
            job.reopen(index, now, pause_ms);
        }
        ResultOutcome::Reopened
    }

    /// Returns the machine that has an item on this loan.
    pub fn granted_to(
        &self,
        job: &JobId,
        index: u32,
        grant: u64,
    ) -> Option<&VmId> {
        let key = self.grant_key(grant);
        let grant = self.grants.get(key).filter(|g| g.index == index)?;
        let owner = self.jobs.get(grant.job)?;
        let vm = grant.vm.0 as usize;
        let (vm, _) = self.vms.get_index(vm)?;
        (owner.record.id == *job).then_some(vm)
    }

    /// Takes the error line that [`Action::GiveUp`] asked for.
    pub fn give_up(
        &mut self,
        job: &JobId,
        index: u32,
        line: bytes::Bytes,
    ) -> ResultOutcome {
        match self.by_id.get(job).copied() {
            Some(key) => {
                let sink = Sink::Errors;
                self.settle(key, index, Settled { line, sink })
            }
            None => ResultOutcome::Ignored,
        }
    }

    /// Returns the failed attempts at an item that this owner has seen.
    pub fn attempts(&self, job: &JobId, index: u32) -> u32 {
        let key = self.by_id.get(job);
        let job = key.and_then(|key| self.jobs.get(*key));
        job.map_or(0, |job| job.attempts(index))
    }

    /// Ends the loans whose time is over.
    pub(crate) fn expire_grants(&mut self, now: Millis) {
        let is_over = |grant: &Grant| grant.ends <= now;
        self.end_grants(now, is_over);
    }

    /// Notes a companion; the loans of its earlier life ended with that.
    fn meet(&mut self, now: Millis, request: &PullRequest<'_>) -> VmKey {
        let life = request.incarnation;
        let (at, before) = match self.vms.get_full_mut(request.vm) {
            Some((at, _, known)) => (at, std::mem::replace(known, life)),
            None => {
                let added = self.vms.insert_full(request.vm.clone(), life);
                (added.0, life)
            }
        };
        let vm = VmKey(at as u32);
        if before != life {
            self.end_grants(now, |grant| grant.vm == vm);
        }
        vm
    }

    fn end_grants(&mut self, now: Millis, ends: impl Fn(&Grant) -> bool) {
        let ended: Vec<Grant> =
            self.grants.values().filter(|g| ends(g)).copied().collect();
        for grant in ended {
            let Grant {
                job: key, index, ..
            } = grant;
            self.end_grant(key, index);
            let Some(attempts) = self.fail(now, key, index) else {
                continue;
            };
            let Some(job) = self.jobs.get_mut(key) else {
                continue;
            };
            if job.begin_give_up(index) {
                let job = job.record.id.clone();
                self.actions.push(Action::GiveUp {
                    job,
                    index,
                    attempts,
                });
            }
        }
    }

    /// Extends the loans that a companion still runs and returns those that
    /// it must stop.
    fn renew(&mut self, now: Millis, vm: VmKey, running: &[u64]) -> Vec<u64> {
        let ends = now.saturating_add_ms(self.options.grant_ttl_ms);
        let mut revoked = Vec::new();
        for number in running {
            let key = self.grant_key(*number);
            let jobs = &self.jobs;
            let runs = |grant: &&mut Grant| {
                let job = jobs.get(grant.job);
                grant.vm == vm && job.is_some_and(Job::is_running)
            };
            match self.grants.get_mut(key).filter(runs) {
                Some(grant) => grant.ends = ends,
                None => revoked.push(*number),
            }
        }
        revoked
    }

    /// Returns the jobs that share the next grants: those with work whose
    /// due time is near the earliest.
    fn band(&self, now: Millis, models: &[String]) -> Vec<JobKey> {
        let mut band = Vec::new();
        let mut last = UnixMillis::new(u64::MAX);
        for (due, key) in &self.by_due {
            if *due > last || band.len() >= BAND_JOBS_MAX {
                break;
            }
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let tenure = self.partitions[job.partition as usize].tenure;
            let is_owned = tenure.grants() == Some(job.fence);
            if is_owned && job.has_work(now) && job.serves(models) {
                if band.is_empty() {
                    last = due.saturating_add_ms(self.options.due_band_ms);
                }
                band.push(*key);
            }
        }
        band
    }

    /// Chooses the job whose customer got least; of one customer's jobs the one
    /// that is due first (start-time fair queueing over items).
    fn next_in_turn(&self, band: &[JobKey]) -> Option<usize> {
        let order = |at: &usize| {
            let job = self.jobs.get(band[*at]);
            job.map(|job| (self.share(job), job.record.due, *at))
        };
        (0..band.len()).min_by_key(order)
    }

    fn share(&self, job: &Job) -> u64 {
        let floor = self.virtual_time.saturating_sub(CATCH_UP_MAX);
        let share = self.shares.get(&job.record.customer);
        share.copied().unwrap_or(self.virtual_time).max(floor)
    }

    fn grant(
        &mut self,
        now: Millis,
        key: JobKey,
        vm: VmKey,
    ) -> Option<Granted> {
        let share = self.share(self.jobs.get(key)?);
        let job = self.jobs.get_mut(key)?;
        let same_after_ms = self.options.same_endpoint_delay_ms;
        let index = job.next_open(vm, now, same_after_ms)?;
        let ends = now.saturating_add_ms(self.options.grant_ttl_ms);
        let grant = self.grants.insert(Grant {
            job: key,
            index,
            vm,
            ends,
        });
        job.hold(index, vm, grant);
        let granted = Granted {
            grant: grant.data().as_ffi() ^ self.salt,
            partition: job.partition,
            fence: job.fence,
            job: job.record.id.clone(),
            index,
            attempt: job.attempts(index),
            customer: job.record.customer.clone(),
            due: job.record.due,
        };
        self.virtual_time = share;
        self.shares.insert(granted.customer.clone(), share + 1);
        Some(granted)
    }

    fn grant_key(&self, number: u64) -> GrantKey {
        KeyData::from_ffi(number ^ self.salt).into()
    }

    fn end_grant(&mut self, key: JobKey, index: u32) {
        let job = self.jobs.get_mut(key);
        if let Some(grant) = job.and_then(|job| job.unhold(index)) {
            self.grants.remove(grant);
        }
    }

    /// Counts a failed attempt and opens the item again; returns the
    /// attempts if there were too many.
    fn fail(&mut self, now: Millis, key: JobKey, index: u32) -> Option<u32> {
        let random = self.draw();
        let base_ms = self.options.retry_base_ms;
        let job = self.jobs.get_mut(key)?;
        if job.is_settled(index) {
            return None;
        }
        let failures = job.count_failure(index);
        if failures >= self.options.attempts_max {
            return Some(failures);
        }
        let span_ms = base_ms << (failures - 1).min(10);
        job.reopen(index, now, span_ms + random % span_ms.max(1));
        None
    }

    fn settle(
        &mut self,
        key: JobKey,
        index: u32,
        settled: Settled,
    ) -> ResultOutcome {
        self.end_grant(key, index);
        let bytes = settled.line.len();
        let job = self.jobs.get_mut(key);
        if !job.is_some_and(|job| job.settle(index, settled)) {
            return ResultOutcome::Ignored;
        }
        self.waiting_bytes += bytes;
        self.pace.count();
        ResultOutcome::Settled
    }
}
