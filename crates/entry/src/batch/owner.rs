//! Runs the jobs of the partitions that this entry owns.

use std::{
    collections::{BTreeMap, HashMap},
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{FileId, JobId, Millis, timer::Timer};
use bytes::{Bytes, BytesMut};
use conf::settings::BatchSettings;
use error_stack::{Report, ResultExt};
use kv::{
    Compare, KeyValue, Kv, Op, Txn,
    lease::HeldLease,
    ops::{Outcome, Verdict, Writer},
};
use tokio::sync::Notify;
use wire::message::{Item, ItemOutcome, ItemResult, Pull, PullReply};

use super::{
    Blobs, Chunk, FileRecord, JobRecord, JobState,
    files::platform,
    input::InputLine,
    jobs::{parse, partition_of, replace, seen},
};
use crate::EntryError;

/// Pause between looks for partitions and jobs, in milliseconds.
const LOOK_MS: u64 = 1_000;

/// Pause for a companion when there is no work, in milliseconds.
const IDLE_PULL_MS: u32 = 500;

/// How long a commit whose answer was lost is followed up, in milliseconds.
const FOLLOW_UP_MS: u64 = 10_000;

/// First status of an answer that says the request itself is wrong and
/// would be refused again.
const CLIENT_ERRORS: std::ops::Range<u16> = 400..500;

/// Too many requests: worth another attempt.
const TOO_MANY: u16 = 429;

/// A result that waits for its commit.
struct Pending {
    line: Bytes,
    failed: bool,
}

/// A job of an owned partition.
struct OpenJob {
    record: JobRecord,
    found: KeyValue,
    input: FileRecord,
    /// Items on loan by grant number.
    granted: HashMap<u32, (u64, Millis)>,
    attempts: HashMap<u32, u32>,
    pending: BTreeMap<u32, Pending>,
    next: u32,
    returned: Vec<u32>,
}

struct Partition {
    fence: u64,
    jobs: HashMap<JobId, OpenJob>,
}

#[derive(Default)]
struct State {
    lease: Option<HeldLease>,
    partitions: BTreeMap<u32, Partition>,
    next_grant: u64,
}

/// Runs the jobs of the partitions that this entry owns.
pub(crate) struct Owner {
    kv: Arc<dyn Kv>,
    prefix: String,
    timer: Timer,
    writer: Writer,
    blobs: Arc<Blobs>,
    settings: BatchSettings,
    state: Mutex<State>,
    pieces: Mutex<HashMap<String, Arc<Vec<Bytes>>>>,
    poked: Notify,
}

/// Pieces of inputs that are kept in memory.
const PIECES_KEPT_MAX: usize = 16;

/// An item chosen for a grant, before its body is read.
struct Chosen {
    item: Item,
    input: FileRecord,
}

impl Owner {
    pub(crate) fn new(
        kv: Arc<dyn Kv>,
        prefix: String,
        timer: Timer,
        blobs: Arc<Blobs>,
        settings: BatchSettings,
    ) -> Self {
        let writer = Writer::new(timer.clone(), FOLLOW_UP_MS);
        Self {
            kv,
            prefix,
            timer,
            writer,
            blobs,
            settings,
            state: Mutex::default(),
            pieces: Mutex::default(),
            poked: Notify::new(),
        }
    }

    /// Returns the partitions that this entry owns.
    pub(crate) fn partitions(&self) -> Vec<u32> {
        self.state().partitions.keys().copied().collect()
    }

    /// Returns how many jobs of them are open.
    pub(crate) fn open_jobs(&self) -> usize {
        let state = self.state();
        state.partitions.values().map(|p| p.jobs.len()).sum()
    }

    /// Makes the owner look for new jobs now.
    pub(crate) fn poke(&self) {
        self.poked.notify_one();
    }

    /// Owns, loads and commits until the process ends.
    pub(crate) async fn work(self: Arc<Self>) {
        let commits = tokio::spawn(self.clone().commit_forever());
        loop {
            if let Err(report) = self.look().await {
                log::warn!(error:? = report; "cannot look for batch work");
            }
            tokio::select! {
                () = self.timer.subscribe_in_ms(LOOK_MS) => {}
                () = self.poked.notified() => {}
            }
            if commits.is_finished() {
                return;
            }
        }
    }

    async fn look(&self) -> Result<(), Report<EntryError>> {
        self.keep_lease().await?;
        let owned: Vec<u32> =
            self.state().partitions.keys().copied().collect();
        for partition in 0..self.settings.partitions {
            if !owned.contains(&partition) {
                self.try_own(partition).await?;
            }
        }
        self.load_jobs().await
    }

    async fn keep_lease(&self) -> Result<(), Report<EntryError>> {
        let now = self.timer.now();
        let lease = self.state().lease;
        let ttl_s = self.settings.lease_ttl_s;
        let Some(lease) = lease else {
            let id = self.kv.lease_grant(ttl_s).await.map_err(platform)?;
            self.state().lease = Some(HeldLease::new(id, ttl_s, now));
            return Ok(());
        };
        if now < lease.renew_at() {
            return Ok(());
        }
        match self.kv.lease_keep_alive(lease.id()).await {
            Ok(()) => {
                if let Some(lease) = &mut self.state().lease {
                    lease.renewed(now);
                }
                Ok(())
            }
            Err(report) => {
                if report.current_context() == &kv::KvError::LeaseGone {
                    // Others may own the partitions now; what is pending
                    // here could not be committed any more.
                    let mut state = self.state();
                    state.lease = None;
                    state.partitions.clear();
                }
                Err(platform(report))
            }
        }
    }

    async fn try_own(&self, partition: u32) -> Result<(), Report<EntryError>> {
        let Some(lease) = self.state().lease else {
            return Ok(());
        };
        let key = self.owner_key(partition);
        let txn = Txn {
            compares: vec![Compare::ModRevision {
                key: key.clone(),
                equals: 0,
            }],
            success: vec![Op::Put {
                key: key.clone(),
                value: lease.id().0.to_string().into_bytes(),
                lease: Some(lease.id()),
            }],
            failure: vec![Op::Get { key }],
        };
        let reply = self.kv.txn(txn).await.map_err(platform)?;
        if reply.succeeded {
            let fence = reply.revision;
            let jobs = HashMap::new();
            let mut state = self.state();
            state
                .partitions
                .insert(partition, Partition { fence, jobs });
        }
        Ok(())
    }

    async fn load_jobs(&self) -> Result<(), Report<EntryError>> {
        let owned: Vec<u32> =
            self.state().partitions.keys().copied().collect();
        if owned.is_empty() {
            return Ok(());
        }
        let prefix = format!("{}jobs/", self.prefix);
        let reply = self.kv.get_prefix(&prefix, 0).await.map_err(platform)?;
        for found in reply.kvs {
            let record = parse(&found)?;
            let partition = partition_of(&record.id, self.settings.partitions);
            if record.is_open() && owned.contains(&partition) {
                self.load_job(partition, record, found).await?;
            }
        }
        Ok(())
    }

    async fn load_job(
        &self,
        partition: u32,
        record: JobRecord,
        found: KeyValue,
    ) -> Result<(), Report<EntryError>> {
        {
            let mut state = self.state();
            let known = state
                .partitions
                .get_mut(&partition)
                .and_then(|p| p.jobs.get_mut(&record.id));
            if let Some(job) = known {
                if found.mod_revision > job.found.mod_revision {
                    // Only a cancellation changes a job behind its owner.
                    job.record.state = record.state;
                    job.found = found;
                }
                return Ok(());
            }
        }
        let input = self.input_of(&record).await?;
        let job = OpenJob {
            record,
            found,
            input,
            granted: HashMap::new(),
            attempts: HashMap::new(),
            pending: BTreeMap::new(),
            next: 0,
            returned: vec![],
        };
        let mut state = self.state();
        if let Some(partition) = state.partitions.get_mut(&partition) {
            partition.jobs.entry(job.record.id.clone()).or_insert(job);
        }
        Ok(())
    }

    async fn input_of(
        &self,
        job: &JobRecord,
    ) -> Result<FileRecord, Report<EntryError>> {
        let id: &FileId = &job.input;
        let key = format!("{}files/{}/{id}", self.prefix, job.tenant);
        let reply = self.kv.get(&key).await.map_err(platform)?;
        let found = reply.kvs.first().ok_or_else(|| {
            Report::new(EntryError::Platform)
                .attach(format!("{key} of an accepted job is missing"))
        })?;
        serde_json::from_slice(&found.value)
            .change_context(EntryError::Platform)
    }

    /// Grants items to a companion.
    pub(crate) async fn pull(&self, pull: Pull) -> PullReply {
        let now = self.timer.now();
        let chosen = self.choose(&pull, now);
        let mut items = Vec::with_capacity(chosen.len());
        for mut chosen in chosen {
            match self.body_of(&chosen).await {
                Ok(line) => {
                    chosen.item.body =
                        Bytes::copy_from_slice(line.body.get().as_bytes());
                    items.push(chosen.item);
                }
                Err(report) => {
                    log::warn!(error:? = report; "cannot read an item");
                }
            }
        }
        let revoked = self.revoked(&pull);
        PullReply {
            items,
            revoked,
            next_in_ms: IDLE_PULL_MS,
        }
    }

    fn choose(&self, pull: &Pull, now: Millis) -> Vec<Chosen> {
        let mut state = self.state();
        let State {
            partitions,
            next_grant,
            ..
        } = &mut *state;
        let ttl_ms = self.settings.grant_ttl_ms;
        let room = pull.room.min(self.settings.grant_items_max);
        let mut jobs: Vec<(u32, u64, &mut OpenJob)> = partitions
            .iter_mut()
            .flat_map(|(number, partition)| {
                let fence = partition.fence;
                let jobs = partition.jobs.values_mut();
                jobs.map(move |job| (*number, fence, job))
            })
            .filter(|(_, _, job)| job.record.state == JobState::InProgress)
            .collect();
        jobs.sort_by_key(|(_, _, job)| job.record.due);
        let mut chosen = Vec::new();
        for (partition, fence, job) in jobs {
            job.renew(&pull.running, now, ttl_ms);
            job.expire(now);
            while chosen.len() < room as usize {
                let Some(index) = job.next_open() else { break };
                *next_grant += 1;
                let ends = now.saturating_add_ms(ttl_ms);
                job.granted.insert(index, (*next_grant, ends));
                chosen.push(Chosen {
                    item: Item {
                        grant: *next_grant,
                        partition,
                        fence,
                        job: job.record.id.clone(),
                        index,
                        attempt: job
                            .attempts
                            .get(&index)
                            .copied()
                            .unwrap_or(0),
                        tenant: job.record.tenant.clone(),
                        path: job.record.path.clone(),
                        body: Bytes::new(),
                        expires_in_ms: ttl_ms as u32,
                        due_unix_ms: job.record.due.as_ms(),
                    },
                    input: job.input.clone(),
                });
            }
        }
        chosen
    }

    fn revoked(&self, pull: &Pull) -> Vec<u64> {
        let state = self.state();
        let held = |grant: &u64| {
            state
                .partitions
                .values()
                .flat_map(|partition| partition.jobs.values())
                .filter(|job| job.record.state == JobState::InProgress)
                .any(|job| job.granted.values().any(|(g, _)| g == grant))
        };
        pull.running.iter().copied().filter(|g| !held(g)).collect()
    }

    async fn body_of(
        &self,
        chosen: &Chosen,
    ) -> Result<InputLine, Report<EntryError>> {
        let mut first = 0;
        for chunk in &chosen.input.chunks {
            let index = chosen.item.index;
            if index < first + chunk.items {
                let lines = self.piece(chunk).await?;
                let line = lines.get((index - first) as usize);
                let line = line.ok_or(EntryError::Storage)?;
                return serde_json::from_slice(line)
                    .change_context(EntryError::Storage);
            }
            first += chunk.items;
        }
        Err(Report::new(EntryError::Storage))
    }

    async fn piece(
        &self,
        chunk: &Chunk,
    ) -> Result<Arc<Vec<Bytes>>, Report<EntryError>> {
        if let Some(kept) = self.pieces().get(&chunk.blob) {
            return Ok(kept.clone());
        }
        let bytes = self.blobs.get(chunk).await?;
        let lines = bytes
            .split(|byte| *byte == b'\n')
            .filter(|line| !line.is_empty())
            .map(|line| bytes.slice_ref(line))
            .collect();
        let lines = Arc::new(lines);
        let mut pieces = self.pieces();
        if pieces.len() >= PIECES_KEPT_MAX {
            pieces.clear();
        }
        pieces.insert(chunk.blob.clone(), Arc::clone(&lines));
        Ok(lines)
    }

    /// Takes results and returns how many were of use.
    pub(crate) async fn results(&self, results: Vec<ItemResult>) -> u32 {
        let mut taken = 0;
        for result in results {
            taken += u32::from(self.take(result).await);
        }
        taken
    }

    async fn take(&self, result: ItemResult) -> bool {
        let chosen = {
            let state = self.state();
            let Some(job) = job_of(&state, &result) else {
                return false;
            };
            let item = blank(&result, job);
            Chosen {
                item,
                input: job.input.clone(),
            }
        };
        let Ok(line) = self.body_of(&chosen).await else {
            return false;
        };
        let attempts_max = self.settings.attempts_max;
        let mut state = self.state();
        let Some(job) = job_of_mut(&mut state, &result) else {
            return false;
        };
        job.take(&result, &line.custom_id, attempts_max)
    }

    async fn commit_forever(self: Arc<Self>) {
        loop {
            let pause = self.settings.commit_interval_ms;
            self.timer.subscribe_in_ms(pause).await;
            for (partition, job) in self.to_commit() {
                if let Err(report) = self.commit(partition, &job).await {
                    log::warn!(error:? = report; "cannot commit");
                }
            }
        }
    }

    fn to_commit(&self) -> Vec<(u32, JobId)> {
        let state = self.state();
        let mut due = Vec::new();
        for (number, partition) in &state.partitions {
            for (id, job) in &partition.jobs {
                if !job.pending.is_empty() || job.is_ending() {
                    due.push((*number, id.clone()));
                }
            }
        }
        due
    }

    async fn commit(
        &self,
        partition: u32,
        id: &JobId,
    ) -> Result<(), Report<EntryError>> {
        let Some((mut record, found, fence, taken)) =
            self.begin_commit(partition, id)
        else {
            return Ok(());
        };
        let operation: u64 = rand::random();
        let good = lines(&taken, false);
        let bad = lines(&taken, true);
        if let Some((bytes, items)) = good {
            let blob = format!("out/{id}/{operation:016x}");
            record
                .output
                .push(self.blobs.put(blob, bytes, items).await?);
        }
        if let Some((bytes, items)) = bad {
            let blob = format!("err/{id}/{operation:016x}");
            record
                .errors
                .push(self.blobs.put(blob, bytes, items).await?);
        }
        for (index, pending) in &taken {
            let ranges = match pending.failed {
                true => &mut record.failed,
                false => &mut record.done,
            };
            add(ranges, *index);
        }
        let finished = record.done_count() + record.failed_count();
        if finished == record.items {
            record.state = JobState::Completed;
            record.ended = Some(self.timer.clock().unix());
        } else if record.state == JobState::Cancelling {
            record.state = JobState::Cancelled;
            record.ended = Some(self.timer.clock().unix());
        }
        record.operation = operation;
        let mut txn = replace(&found.key, found.mod_revision, &record)?;
        // An owner that was paused past its lease finds its key gone or
        // another's in its place, and commits nothing.
        txn.compares.push(Compare::CreateRevision {
            key: self.owner_key(partition),
            equals: fence,
        });
        let outcome = self
            .writer
            .commit(
                self.kv.as_ref(),
                txn,
                Op::Get {
                    key: found.key.clone(),
                },
                |reply| reply.revision,
                |now| match seen(now.kvs.first(), operation, &found) {
                    Verdict::Done(()) => Verdict::Done(
                        now.kvs.first().map_or(0, |kv| kv.mod_revision),
                    ),
                    Verdict::Superseded => Verdict::Superseded,
                    Verdict::Open => Verdict::Open,
                },
                rand::random,
            )
            .await
            .map_err(platform)?;
        self.end_commit(partition, id, record, &taken, outcome);
        Ok(())
    }

    #[allow(clippy::type_complexity)]
    fn begin_commit(
        &self,
        partition: u32,
        id: &JobId,
    ) -> Option<(JobRecord, KeyValue, u64, Vec<(u32, Pending)>)> {
        let state = self.state();
        let owned = state.partitions.get(&partition)?;
        let job = owned.jobs.get(id)?;
        let taken = job
            .pending
            .iter()
            .take(self.settings.commit_items_max as usize)
            .map(|(index, pending)| {
                let line = pending.line.clone();
                (
                    *index,
                    Pending {
                        line,
                        failed: pending.failed,
                    },
                )
            })
            .collect();
        Some((job.record.clone(), job.found.clone(), owned.fence, taken))
    }

    fn end_commit(
        &self,
        partition: u32,
        id: &JobId,
        record: JobRecord,
        taken: &[(u32, Pending)],
        outcome: Outcome<u64>,
    ) {
        let mut state = self.state();
        let Some(owned) = state.partitions.get_mut(&partition) else {
            return;
        };
        match outcome {
            Outcome::Done(revision) => {
                if !record.is_open() {
                    owned.jobs.remove(id);
                    return;
                }
                let Some(job) = owned.jobs.get_mut(id) else {
                    return;
                };
                job.found.mod_revision = revision;
                job.record = record;
                for (index, _) in taken {
                    job.pending.remove(index);
                }
            }
            // Cancelled meanwhile, or owned by another: read it anew.
            Outcome::Superseded => self.poke(),
        }
    }

    fn owner_key(&self, partition: u32) -> String {
        format!("{}owners/{partition:05}", self.prefix)
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn pieces(&self) -> MutexGuard<'_, HashMap<String, Arc<Vec<Bytes>>>> {
        self.pieces.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl OpenJob {
    fn is_settled(&self, index: u32) -> bool {
        has(&self.record.done, index)
            || has(&self.record.failed, index)
            || self.pending.contains_key(&index)
    }

    fn is_ending(&self) -> bool {
        self.record.state == JobState::Cancelling || self.record.items == 0
    }

    fn next_open(&mut self) -> Option<u32> {
        while let Some(index) = self.returned.pop() {
            if !self.is_settled(index) && !self.granted.contains_key(&index) {
                return Some(index);
            }
        }
        while self.next < self.record.items {
            let index = self.next;
            self.next += 1;
            if !self.is_settled(index) && !self.granted.contains_key(&index) {
                return Some(index);
            }
        }
        None
    }

    fn renew(&mut self, running: &[u64], now: Millis, ttl_ms: u64) {
        for (grant, ends) in self.granted.values_mut() {
            if running.contains(grant) {
                *ends = now.saturating_add_ms(ttl_ms);
            }
        }
    }

    fn expire(&mut self, now: Millis) {
        let returned = &mut self.returned;
        self.granted.retain(|index, (_, ends)| {
            let live = *ends > now;
            if !live {
                returned.push(*index);
            }
            live
        });
    }

    fn take(
        &mut self,
        result: &ItemResult,
        custom_id: &str,
        attempts_max: u32,
    ) -> bool {
        let index = result.index;
        if index >= self.record.items || self.is_settled(index) {
            return false;
        }
        self.granted.remove(&index);
        if result.outcome == ItemOutcome::Returned {
            self.returned.push(index);
            return true;
        }
        let attempts = self.attempts.entry(index).or_insert(0);
        *attempts += 1;
        let answered = result.outcome == ItemOutcome::Answered;
        if answered && result.status < CLIENT_ERRORS.start {
            let line = output_line(result, custom_id);
            self.pending.insert(
                index,
                Pending {
                    line,
                    failed: false,
                },
            );
            return true;
        }
        let hopeless = answered
            && CLIENT_ERRORS.contains(&result.status)
            && result.status != TOO_MANY;
        if hopeless || *attempts >= attempts_max {
            let line = error_line(result, custom_id, *attempts);
            self.pending.insert(index, Pending { line, failed: true });
        } else {
            self.returned.push(index);
        }
        true
    }
}

fn job_of<'a>(state: &'a State, result: &ItemResult) -> Option<&'a OpenJob> {
    state
        .partitions
        .get(&result.partition)?
        .jobs
        .get(&result.job)
}

fn job_of_mut<'a>(
    state: &'a mut State,
    result: &ItemResult,
) -> Option<&'a mut OpenJob> {
    state
        .partitions
        .get_mut(&result.partition)?
        .jobs
        .get_mut(&result.job)
}

fn blank(result: &ItemResult, job: &OpenJob) -> Item {
    Item {
        grant: result.grant,
        partition: result.partition,
        fence: result.fence,
        job: result.job.clone(),
        index: result.index,
        attempt: result.attempt,
        tenant: job.record.tenant.clone(),
        path: String::new(),
        body: Bytes::new(),
        expires_in_ms: 0,
        due_unix_ms: 0,
    }
}

fn body_value(result: &ItemResult) -> serde_json::Value {
    serde_json::from_slice(&result.body).unwrap_or_else(|_| {
        String::from_utf8_lossy(&result.body).into_owned().into()
    })
}

fn output_line(result: &ItemResult, custom_id: &str) -> Bytes {
    let line = serde_json::json!({
        "id": format!("{}-{}", result.job, result.index),
        "custom_id": custom_id,
        "response": {
            "status_code": result.status,
            "request_id":
                format!("{}-{}-{}", result.job, result.index, result.attempt),
            "body": body_value(result),
        },
        "error": null,
    });
    format!("{line}\n").into()
}

fn error_line(result: &ItemResult, custom_id: &str, attempts: u32) -> Bytes {
    let response = match result.outcome {
        ItemOutcome::Answered => serde_json::json!({
            "status_code": result.status,
            "body": body_value(result),
        }),
        _ => serde_json::Value::Null,
    };
    let line = serde_json::json!({
        "id": format!("{}-{}", result.job, result.index),
        "custom_id": custom_id,
        "response": response,
        "error": {
            "code": "item_failed",
            "message": format!("given up after {attempts} attempts"),
        },
    });
    format!("{line}\n").into()
}

fn lines(taken: &[(u32, Pending)], failed: bool) -> Option<(Bytes, u32)> {
    let mut bytes = BytesMut::new();
    let mut items = 0;
    for (_, pending) in taken.iter().filter(|(_, p)| p.failed == failed) {
        bytes.extend_from_slice(&pending.line);
        items += 1;
    }
    (items > 0).then(|| (bytes.freeze(), items))
}

fn has(ranges: &[(u32, u32)], index: u32) -> bool {
    let at = ranges.partition_point(|(_, to)| *to <= index);
    ranges.get(at).is_some_and(|(from, _)| *from <= index)
}

fn add(ranges: &mut Vec<(u32, u32)>, index: u32) {
    let at = ranges.partition_point(|(_, to)| *to < index);
    let joins_left = ranges.get(at).is_some_and(|(_, to)| *to == index);
    let right = at + usize::from(joins_left);
    let joins_right = ranges
        .get(right)
        .is_some_and(|(from, _)| *from == index + 1);
    match (joins_left, joins_right) {
        (true, true) => {
            ranges[at].1 = ranges[right].1;
            ranges.remove(right);
        }
        (true, false) => ranges[at].1 = index + 1,
        (false, true) => ranges[right].0 = index,
        (false, false) => ranges.insert(at, (index, index + 1)),
    }
}
