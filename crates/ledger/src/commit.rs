//! Commits the results of several jobs in one transaction.

use std::collections::BTreeSet;

use base::{JobId, Millis};
use bytes::BytesMut;

use crate::{
    Action, Chunk, CommitId, InjectedFault, JobState, Ledger, Moment, Part,
    RecordUpdate, Sink, VersionedRecord, WriteAction, WriteOutcome,
    job::{Job, JobKey},
};

/// Stage of a commit.
#[derive(Clone, Copy, Debug)]
enum Stage {
    /// The parts are being stored.
    Storing,
    /// Storing the parts is retried at this time.
    StoreAt(Millis),
    /// The transaction is in flight.
    Writing,
    /// The transaction is sent, or sent again, at this time.
    WriteAt(Millis),
    /// The records are being read back.
    Reading,
    /// The records are read back at this time.
    ReadAt(Millis),
}

/// The results of one job in a commit.
#[derive(Debug)]
struct JobResults {
    key: JobKey,
    id: JobId,
    completed: BTreeSet<u32>,
    failed: BTreeSet<u32>,
    /// All pending results of the job are in this commit.
    covers_all_pending: bool,
}

/// A commit in progress.
#[derive(Debug)]
pub(crate) struct Commit {
    id: CommitId,
    operation: u64,
    job_results: Vec<JobResults>,
    parts: Vec<Part>,
    chunks: Vec<Chunk>,
    /// The records of the transaction as sent.
    records: Vec<RecordUpdate>,
    stage: Stage,
    failures: u32,
    /// A copy of the transaction may have taken effect.
    may_have_applied: bool,
}

impl Commit {
    pub(crate) fn includes(&self, key: JobKey) -> bool {
        self.job_results.iter().any(|results| results.key == key)
    }
}

impl Ledger {
    /// Starts a commit if one is due, or advances the current one.
    pub(crate) fn advance_commit(&mut self, moment: Moment, number: u32) {
        let now = moment.now;
        let Some(fence) = self.partition(number).ownership.fence_for_commits()
        else {
            return;
        };
        // The fencing token protects the records in any case; this check saves
        // the key-value service useless calls by an owner whose lease has
        // ended.
        if !self.has_valid_lease(now) {
            return;
        }
        let partition = self.partition(number);
        let Some(commit) = &partition.commit else {
            if now >= partition.commit_at {
                self.begin_commit(moment, number, fence);
            }
            return;
        };
        match commit.stage {
            Stage::StoreAt(at) if now >= at => self.store(number),
            Stage::WriteAt(at) if now >= at => {
                self.write(moment, number, fence);
            }
            Stage::ReadAt(at) if now >= at => self.read_back(number),
            _ => {}
        }
    }

    fn begin_commit(&mut self, moment: Moment, number: u32, fence: u64) {
        let interval_ms = self.options.commit_interval_ms;
        self.partition(number).commit_at =
            self.jittered(moment.now, interval_ms);
        let operation = self.next_random();
        let mut capacity = self.options.commit_items_max;
        let mut job_results = Vec::new();
        let mut parts = Vec::new();
        for (_, key) in &self.by_due {
            if job_results.len() >= self.options.commit_jobs_max
                || capacity == 0
            {
                break;
            }
            let Some(job) = self.jobs.get(*key) else {
                continue;
            };
            let is_ready = job.partition == number && job.fence == fence;
            if is_ready && job.needs_commit() {
                let results = collect_results(*key, job, &mut capacity);
                parts.extend(build_parts(job, &results, operation));
                job_results.push(results);
            }
        }
        if job_results.is_empty() {
            return;
        }
        self.commits += 1;
        let has_parts = !parts.is_empty();
        self.partition(number).commit = Some(Commit {
            id: CommitId(self.commits),
            operation,
            job_results,
            parts,
            chunks: Vec::new(),
            records: Vec::new(),
            stage: Stage::Storing,
            failures: 0,
            may_have_applied: false,
        });
        match has_parts {
            true => self.store(number),
            false => self.write(moment, number, fence),
        }
    }

    fn store(&mut self, number: u32) {
        if let Some(commit) = &mut self.partition(number).commit {
            commit.stage = Stage::Storing;
            let action = Action::Store {
                commit: commit.id,
                parts: commit.parts.clone(),
            };
            self.actions.push(action);
        }
    }

    pub(crate) fn on_stored(
        &mut self,
        moment: Moment,
        id: CommitId,
        chunks: Option<Vec<Chunk>>,
    ) {
        let Some((number, commit)) = self.commit_of(id) else {
            return;
        };
        if !matches!(commit.stage, Stage::Storing) {
            return;
        }
        match chunks.filter(|chunks| chunks.len() == commit.parts.len()) {
            Some(chunks) => {
                commit.chunks = chunks;
                commit.failures = 0;
                commit.stage = Stage::WriteAt(moment.now);
                self.advance_commit(moment, number);
            }
            None => self.retry(moment, number, Stage::StoreAt),
        }
    }

    /// Sends the transaction. If an earlier copy may still be in flight, the
    /// same transaction is sent again unchanged; at most one copy can take
    /// effect, since each changes the revisions that it compares.
    fn write(&mut self, moment: Moment, number: u32, fence: u64) {
        let Some(mut commit) = self.partition(number).commit.take() else {
            return;
        };
        if !commit.may_have_applied {
            match self.next_records(moment, &commit) {
                Some(records) => commit.records = records,
                // A job was removed; the results of the others go into a later
                // commit.
                None => return,
            }
        }
        commit.stage = Stage::Writing;
        let no_fence =
            self.options.injected_fault == Some(InjectedFault::NoFence);
        self.actions.push(Action::Write(WriteAction {
            commit: commit.id,
            partition: number,
            fence: (!no_fence).then_some(fence),
            records: commit.records.clone(),
        }));
        self.partition(number).commit = Some(commit);
    }

    fn next_records(
        &self,
        moment: Moment,
        commit: &Commit,
    ) -> Option<Vec<RecordUpdate>> {
        let next = |results: &JobResults| {
            let job = self.jobs.get(results.key)?;
            let parts = commit.parts.iter().zip(&commit.chunks);
            let own = parts.filter(|(part, _)| part.job == results.id);
            Some(next_record(moment, job, results, own, commit.operation))
        };
        commit.job_results.iter().map(next).collect()
    }

    pub(crate) fn on_written(
        &mut self,
        moment: Moment,
        id: CommitId,
        outcome: WriteOutcome,
    ) {
        let Some((number, commit)) = self.commit_of(id) else {
            return;
        };
        if !matches!(commit.stage, Stage::Writing) {
            return;
        }
        match outcome {
            WriteOutcome::Applied(revision) => {
                self.complete_commit(moment, number, revision);
            }
            // An earlier copy of this transaction may have changed the
            // records.
            WriteOutcome::Conflict if commit.may_have_applied => {
                self.retry(moment, number, Stage::ReadAt);
            }
            WriteOutcome::Conflict => self.abandon_commit(moment, number),
            WriteOutcome::NotApplied => {
                self.retry(moment, number, Stage::WriteAt);
            }
            WriteOutcome::Unknown => {
                commit.may_have_applied = true;
                self.retry(moment, number, Stage::ReadAt);
            }
        }
    }

    fn read_back(&mut self, number: u32) {
        if let Some(commit) = &mut self.partition(number).commit {
            commit.stage = Stage::Reading;
            let ids =
                commit.job_results.iter().map(|results| results.id.clone());
            let action = Action::ReadBack {
                commit: commit.id,
                partition: number,
                jobs: ids.collect(),
            };
            self.actions.push(action);
        }
    }

    pub(crate) fn on_read_back(
        &mut self,
        moment: Moment,
        id: CommitId,
        found: Option<Vec<VersionedRecord>>,
    ) {
        let Some((number, commit)) = self.commit_of(id) else {
            return;
        };
        if !matches!(commit.stage, Stage::Reading) {
            return;
        }
        let Some(found) = found else {
            return self.retry(moment, number, Stage::ReadAt);
        };
        let operation = commit.operation;
        let is_unchanged = found.len() == commit.records.len()
            && commit.records.iter().all(|next| {
                found.iter().any(|seen| {
                    seen.record.id == next.record.id
                        && seen.revision == next.revision
                })
            });
        let done = found
            .iter()
            .find(|seen| seen.record.operation == operation)
            .map(|seen| seen.revision);
        if self.options.injected_fault == Some(InjectedFault::NoReadBack) {
            return self.assume_failed(number, &found);
        }
        match done {
            Some(revision) => {
                self.complete_commit(moment, number, revision);
                self.adopt_records(found);
            }
            None if is_unchanged => self.retry(moment, number, Stage::WriteAt),
            None => {
                self.abandon_commit(moment, number);
                self.adopt_records(found);
            }
        }
    }

    /// Implements [`InjectedFault::NoReadBack`]: continues as if the write had
    /// failed.
    fn assume_failed(&mut self, number: u32, found: &[VersionedRecord]) {
        self.partition(number).commit = None;
        for seen in found {
            let key = self.by_id.get(&seen.record.id);
            let job = key.and_then(|key| self.jobs.get_mut(*key));
            if let Some(job) = job {
                job.revision = seen.revision;
            }
        }
    }

    fn adopt_records(&mut self, found: Vec<VersionedRecord>) {
        for VersionedRecord { record, revision } in found {
            let Some(key) = self.by_id.get(&record.id).copied() else {
                continue;
            };
            if !record.is_open() {
                self.remove_job(key);
            } else if let Some(job) = self.jobs.get_mut(key) {
                job.adopt(record, revision);
            }
        }
    }

    /// Applies a commit that took effect.
    fn complete_commit(&mut self, moment: Moment, number: u32, revision: u64) {
        let Some(commit) = self.partition(number).commit.take() else {
            return;
        };
        let interval_ms = self.options.commit_interval_ms;
        self.partition(number).commit_at =
            self.jittered(moment.now, interval_ms);
        for (results, next) in commit.job_results.iter().zip(commit.records) {
            let Some(job) = self.jobs.get_mut(results.key) else {
                continue;
            };
            job.remove_committed(&results.completed);
            job.remove_committed(&results.failed);
            let is_open = next.record.is_open();
            job.adopt(next.record, revision);
            if !is_open {
                self.remove_job(results.key);
            }
        }
    }

    /// Abandons a commit whose compares failed: a job was cancelled, or the
    /// partition has another owner. Its jobs are read again, and results that
    /// are still pending go into a later commit.
    fn abandon_commit(&mut self, moment: Moment, number: u32) {
        let Some(commit) = self.partition(number).commit.take() else {
            return;
        };
        let Some(fence) = self.partition(number).ownership.fence_for_commits()
        else {
            return;
        };
        for results in commit.job_results {
            let Some(job) = self.jobs.get_mut(results.key) else {
                continue;
            };
            job.fence = 0;
            let marker = job.marker;
            self.load(number, fence, results.id, marker);
        }
        self.read_membership_at = moment.now;
    }

    fn retry(
        &mut self,
        moment: Moment,
        number: u32,
        stage: impl FnOnce(Millis) -> Stage,
    ) {
        let failures = match &mut self.partition(number).commit {
            Some(commit) => {
                commit.failures += 1;
                commit.failures
            }
            None => return,
        };
        let at = self.backoff(moment.now, failures);
        if let Some(commit) = &mut self.partition(number).commit {
            commit.stage = stage(at);
        }
    }

    fn commit_of(&mut self, id: CommitId) -> Option<(u32, &mut Commit)> {
        let partitions = (0..).zip(&mut self.partitions);
        partitions
            .filter_map(|(number, p)| Some((number, p.commit.as_mut()?)))
            .find(|(_, commit)| commit.id == id)
    }
}

fn collect_results(
    key: JobKey,
    job: &Job,
    capacity: &mut usize,
) -> JobResults {
    let taken = job.pending.iter().take(*capacity);
    let of = |sink: Sink| {
        let items = taken.clone().filter(move |(_, s)| s.sink == sink);
        items.map(|(index, _)| *index).collect::<BTreeSet<u32>>()
    };
    let (completed, failed) = (of(Sink::Output), of(Sink::Errors));
    let count = completed.len() + failed.len();
    *capacity -= count;
    JobResults {
        key,
        id: job.record.id.clone(),
        completed,
        failed,
        covers_all_pending: count == job.pending.len(),
    }
}

fn build_parts(job: &Job, results: &JobResults, operation: u64) -> Vec<Part> {
    let sinks = [
        (Sink::Output, &results.completed),
        (Sink::Errors, &results.failed),
    ];
    let part = |(sink, items): (Sink, &BTreeSet<u32>)| {
        let mut bytes = BytesMut::new();
        for index in items {
            bytes.extend_from_slice(&job.pending[index].bytes);
        }
        let name = sink.as_str();
        (!items.is_empty()).then(|| Part {
            job: results.id.clone(),
            sink,
            blob: format!("{name}/{}/{operation:016x}", results.id),
            items: items.len() as u32,
            bytes: bytes.freeze(),
        })
    };
    sinks.into_iter().filter_map(part).collect()
}

fn next_record<'a>(
    moment: Moment,
    job: &Job,
    results: &JobResults,
    own: impl Iterator<Item = (&'a Part, &'a Chunk)>,
    operation: u64,
) -> RecordUpdate {
    let mut record = job.record.clone();
    let mut pages = Vec::new();
    for index in &results.completed {
        record.done.insert(*index);
    }
    for index in &results.failed {
        record.failed.insert(*index);
    }
    for (part, chunk) in own {
        pages.extend(record.push(part.sink, chunk.clone()));
    }
    if record.remaining_items() == 0 {
        record.state = JobState::Completed;
    } else if record.state == JobState::Cancelling
        && results.covers_all_pending
    {
        record.state = JobState::Cancelled;
    }
    record.at_risk = job.is_at_risk && record.is_open();
    if !record.is_open() {
        record.ended = Some(moment.unix);
    }
    record.operation = operation;
    RecordUpdate {
        record,
        revision: job.revision,
        pages,
    }
}
