//! One owner in virtual time: a service that always answers, companions that
//! take a random time for each item.

use std::{
    cmp::Reverse,
    collections::{BinaryHeap, HashMap},
    time::{Duration, Instant},
};

use base::{JobId, Millis, UnixMillis, VmId};
use ledger::{
    Action, Chunk, Event, Granted, JobRecord, Ledger, Moment, OpenJobMarker,
    Options, Part, PartitionOwner, PullRequest, RunOutcome, VersionedRecord,
    WriteAction, WriteOutcome, partition_of,
};
use rand::{Rng, SeedableRng, rngs::StdRng};
use serde_json::json;

/// Virtual time between two steps, in milliseconds.
const STEP_MS: u64 = 50;

/// Items that a companion takes at once.
const ROOM: u32 = 8;

/// Length of an output line; it goes to the data VMs, not to the service.
const LINE: &str = "a line of the output file, as long as a short answer\n";

const MEMBER: &str = "bench";
const LEASE: i64 = 1;

/// What is run.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Load {
    /// Partitions, all owned by one process.
    pub(crate) partitions: u32,
    /// Jobs of each partition, each of another customer, so that all run at
    /// once: the most commits that this rate can cost.
    pub(crate) jobs: u32,
    /// Items of each job.
    pub(crate) items: u32,
    /// Items that the endpoints end in a second, in each partition.
    pub(crate) items_per_s: f64,
    /// Time between two commits of a partition.
    pub(crate) commit_interval_ms: u64,
    /// Seed of all that is drawn.
    pub(crate) seed: u64,
}

/// What it took.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Seen {
    /// Items in committed results.
    pub(crate) items: u64,
    /// Transactions of commits.
    pub(crate) commits: u64,
    /// All other calls: markers, records, lease, owners.
    pub(crate) other_calls: u64,
    /// Bytes of records and pages written.
    pub(crate) written_bytes: u64,
    /// Largest value written.
    pub(crate) value_max_bytes: usize,
    /// Virtual time until the last job ended.
    pub(crate) virtual_ms: u64,
    /// Items granted and not yet committed, at most.
    pub(crate) waiting_max: usize,
    /// Processor time spent in the ledger.
    pub(crate) busy: Duration,
    /// Whether every job ended with each item settled once.
    pub(crate) whole: bool,
}

struct Sim {
    load: Load,
    rng: StdRng,
    ledger: Ledger,
    now: u64,
    revision: u64,
    records: HashMap<JobId, VersionedRecord>,
    open: Vec<Vec<JobId>>,
    fences: Vec<u64>,
    joined: bool,
    running: BinaryHeap<Reverse<(u64, u64)>>,
    granted: HashMap<u64, Granted>,
    seen: Seen,
}

/// Runs a load to its end.
pub(crate) fn run(load: Load) -> Seen {
    let options = Options::default()
        .partitions(load.partitions)
        .commit_interval_ms(load.commit_interval_ms)
        .grant_items_max(ROOM)
        .grant_ttl_ms(60_000);
    let mut sim = Sim {
        load,
        rng: StdRng::seed_from_u64(load.seed),
        ledger: Ledger::new(MEMBER, load.seed, options),
        now: 0,
        revision: 1,
        records: HashMap::new(),
        open: vec![Vec::new(); load.partitions as usize],
        fences: vec![0; load.partitions as usize],
        joined: false,
        running: BinaryHeap::new(),
        granted: HashMap::new(),
        seen: Seen::default(),
    };
    sim.make_jobs();
    sim.run();
    sim.seen
}

impl Sim {
    fn make_jobs(&mut self) {
        let wanted = self.load.jobs as usize;
        let mut number = 0;
        while self.open.iter().any(|jobs| jobs.len() < wanted) {
            number += 1;
            let name = format!("batch_{:032x}", u128::from(number as u64));
            let Ok(id) = name.parse::<JobId>() else {
                continue;
            };
            let partition = partition_of(&id, self.load.partitions);
            let jobs = &mut self.open[partition as usize];
            if jobs.len() < wanted {
                let customer = partition as usize * wanted + jobs.len();
                let record = self.load.record(&id, customer);
                jobs.push(id.clone());
                let revision = 1;
                let seen = VersionedRecord { record, revision };
                self.records.insert(id, seen);
            }
        }
    }

    fn run(&mut self) {
        let per_step = self.load.items_per_s
            * f64::from(self.load.partitions)
            * STEP_MS as f64
            / 1_000.0;
        let mut room = 0.0;
        let total = self.records.len() as u64 * u64::from(self.load.items);
        // Ten times as long as the load needs; a loop without an end would
        // hide a fault.
        let end = total as f64 / per_step * STEP_MS as f64 * 10.0 + 60_000.0;
        while self.open.iter().any(|jobs| !jobs.is_empty()) {
            if self.now as f64 > end {
                return;
            }
            self.now += STEP_MS;
            self.tell(Event::Tick);
            self.end_items();
            // Work counts from when the partitions are owned.
            if self.ledger.status().open_jobs > 0 {
                room = f64::min(room + per_step, per_step * 20.0);
            }
            room -= f64::from(self.pull(room as u32));
            let waiting = self.ledger.status().pending_results;
            self.seen.waiting_max = self.seen.waiting_max.max(waiting);
        }
        self.seen.virtual_ms = self.now;
        let is_whole = |seen: &VersionedRecord| {
            seen.record.remaining_items() == 0
                && seen.record.done.len() == self.load.items
        };
        self.seen.whole =
            self.seen.items == total && self.records.values().all(is_whole);
    }

    fn moment(&mut self) -> Moment {
        Moment {
            now: Millis::new(self.now),
            unix: UnixMillis::new(self.now),
            random: self.rng.random(),
        }
    }

    fn tell(&mut self, event: Event) {
        let mut events = vec![event];
        while let Some(event) = events.pop() {
            let moment = self.moment();
            let began = Instant::now();
            let actions = self.ledger.handle(moment, event);
            self.seen.busy += began.elapsed();
            let answers = actions.into_iter().map(|a| self.answer(a));
            events.extend(answers.collect::<Vec<_>>().into_iter().flatten());
        }
    }

    fn answer(&mut self, action: Action) -> Option<Event> {
        let sent_at = Millis::new(self.now);
        if !matches!(action, Action::Write(_) | Action::Store { .. }) {
            self.seen.other_calls += 1;
        }
        Some(match action {
            Action::Join { .. } => {
                self.joined = true;
                // The lease and the member's key.
                self.seen.other_calls += 1;
                let lease = Some(LEASE);
                Event::Joined { sent_at, lease }
            }
            Action::Renew { lease } => Event::Renewed {
                sent_at,
                lease,
                alive: Some(true),
            },
            Action::ReadMembership => self.look(),
            Action::Claim { partition, lease } => {
                self.revision += 1;
                self.fences[partition as usize] = self.revision;
                Event::Claimed {
                    partition,
                    lease,
                    fence: Some(self.revision),
                }
            }
            Action::Release { partition, fence } => {
                Event::Released { partition, fence }
            }
            Action::List { partition, fence } => {
                let marker = |job: &JobId| OpenJobMarker {
                    job: job.clone(),
                    revision: 1,
                };
                let open = &self.open[partition as usize];
                Event::Listed {
                    partition,
                    fence,
                    markers: Some(open.iter().map(marker).collect()),
                }
            }
            Action::Load {
                partition,
                fence,
                job,
                marker,
            } => Event::Loaded {
                found: Ok(self.records.get(&job).cloned().map(Box::new)),
                partition,
                fence,
                job,
                marker,
            },
            Action::Store { commit, parts } => Event::Stored {
                commit,
                chunks: Some(parts.into_iter().map(chunk).collect()),
            },
            Action::Write(write) => self.write(write),
            Action::ReadBack { commit, .. } => Event::ReadBack {
                commit,
                found: None,
            },
            Action::GiveUp { .. } => return None,
        })
    }

    fn look(&mut self) -> Event {
        let owned = (0..).zip(&self.fences).filter(|(_, f)| **f > 0);
        let owner = |(partition, fence): (u32, &u64)| PartitionOwner {
            partition,
            member: MEMBER.to_owned(),
            lease: LEASE,
            fence: *fence,
        };
        let members = self.joined.then(|| MEMBER.to_owned());
        Event::MembershipRead {
            revision: Some(self.revision),
            members: members.into_iter().collect(),
            owners: owned.map(owner).collect(),
        }
    }

    fn write(&mut self, write: WriteAction) -> Event {
        self.revision += 1;
        self.seen.commits += 1;
        let revision = self.revision;
        for next in write.records {
            let mut sizes = vec![size(&next.record)];
            sizes.extend(next.pages.iter().map(|page| size(&page.chunks)));
            for bytes in sizes {
                self.seen.written_bytes += bytes as u64;
                self.seen.value_max_bytes =
                    self.seen.value_max_bytes.max(bytes);
            }
            let record = next.record;
            let id = record.id.clone();
            if !record.is_open() {
                let open = &mut self.open[write.partition as usize];
                open.retain(|job| *job != id);
            }
            let before = self
                .records
                .get(&id)
                .map_or(0, |seen| u64::from(seen.record.done.len()));
            self.seen.items += u64::from(record.done.len()) - before;
            self.records
                .insert(id, VersionedRecord { record, revision });
        }
        Event::Written {
            commit: write.commit,
            outcome: WriteOutcome::Applied(revision),
        }
    }

    /// Grants items to companions in turn and returns how many.
    fn pull(&mut self, room: u32) -> u32 {
        let mut granted = 0;
        while granted < room {
            let vm = format!("vm-{}", self.rng.random_range(0..256));
            let Ok(vm) = vm.parse::<VmId>() else {
                return granted;
            };
            let request = PullRequest {
                vm: &vm,
                incarnation: 1,
                models: &[],
                capacity: ROOM.min(room - granted),
                running: &[],
            };
            let moment = self.moment();
            let began = Instant::now();
            let answer = self.ledger.pull(moment, &request);
            self.seen.busy += began.elapsed();
            if answer.items.is_empty() {
                break;
            }
            for item in answer.items {
                let ms = self.rng.random_range(1_000..5_000);
                self.running.push(Reverse((self.now + ms, item.grant)));
                self.granted.insert(item.grant, item);
                granted += 1;
            }
        }
        granted
    }

    fn end_items(&mut self) {
        while let Some(Reverse((at, grant))) = self.running.peek().copied()
            && at <= self.now
        {
            self.running.pop();
            let Some(item) = self.granted.remove(&grant) else {
                continue;
            };
            let end = RunOutcome::Completed(LINE.into());
            let moment = self.moment();
            let began = Instant::now();
            self.ledger
                .result(moment, &item.job, item.index, grant, end);
            self.seen.busy += began.elapsed();
        }
    }
}

impl Load {
    fn record(&self, id: &JobId, customer: usize) -> JobRecord {
        let record = json!({
            "id": id,
            "tenant": format!("tenant-{customer}"),
            "content": "0".repeat(64),
            "input": format!("file-{}", "0".repeat(32)),
            "models": ["korv-lm"],
            "path": "/v1/chat/completions",
            "window": "24h",
            "metadata": {"flight": "morning"},
            "created": 0,
            "due": 86_400_000_u64,
            "ended": null,
            "state": "in_progress",
            "items": self.items,
            "done": [], "failed": [], "output": [], "errors": [],
            "operation": 0,
        });
        serde_json::from_value(record).expect("a record as the crate reads it")
    }
}

fn size(value: &impl serde::Serialize) -> usize {
    serde_json::to_vec(value).map_or(0, |bytes| bytes.len())
}

fn chunk(part: Part) -> Chunk {
    Chunk {
        blob: part.blob,
        bytes: part.bytes.len() as u64,
        crc: 0x89ab_cdef,
        items: part.items,
    }
}
