//! Runs a batch job with the ledger embedded in a program, without the
//! daemons.
//!
//! Records are kept in a map that stands in for a key-value service with
//! compare-and-swap, and results in another that stands in for a blob store.
//! Workers pull items and sometimes die while running them; each item still
//! appears in the output exactly once. Time and random numbers are simulated,
//! so every run prints the same.
//!
//! Run it with `cargo run -p pomeloslip-ledger --example embed_ledger`.

use std::collections::{BTreeMap, BTreeSet, VecDeque};

use base::{JobId, Millis, UnixMillis, VmId};
use bytes::Bytes;
use pomeloslip_ledger::{
    Action, Chunk, Event, JobRecord, JobState, Ledger, Moment, OpenJobMarker,
    Options, Part, PartitionOwner, PullRequest, RunOutcome, VersionedRecord,
    WriteAction, WriteOutcome,
};
use serde_json::json;

type Error = Box<dyn std::error::Error>;

const MEMBER: &str = "program-1";
const LEASE: i64 = 1;
const ITEMS: u32 = 40;
const STEP_MS: u64 = 50;
const STEPS_MAX: u64 = 10_000;

/// In-memory stand-in for a key-value service and a blob store.
#[derive(Default)]
struct Platform {
    revision: u64,
    fence: Option<u64>,
    records: BTreeMap<JobId, VersionedRecord>,
    blobs: BTreeMap<String, Bytes>,
}

impl Platform {
    fn add(&mut self, record: JobRecord) {
        self.revision += 1;
        let revision = self.revision;
        let id = record.id.clone();
        self.records
            .insert(id, VersionedRecord { record, revision });
    }

    /// Carries out an action and returns the resulting event. A program with
    /// I/O runs actions in the background and passes in the events as they
    /// occur.
    fn carry_out(&mut self, action: Action, now: Millis) -> Option<Event> {
        let sent_at = now;
        Some(match action {
            Action::Join { .. } => Event::Joined {
                sent_at,
                lease: Some(LEASE),
            },
            Action::Renew { lease } => Event::Renewed {
                sent_at,
                lease,
                alive: Some(true),
            },
            Action::ReadMembership => self.read_membership(),
            Action::Claim { partition, lease } => {
                self.revision += 1;
                self.fence = Some(self.revision);
                Event::Claimed {
                    partition,
                    lease,
                    fence: self.fence,
                }
            }
            Action::Release { partition, fence } => {
                self.fence = None;
                Event::Released { partition, fence }
            }
            Action::List { partition, fence } => Event::Listed {
                partition,
                fence,
                markers: Some(self.markers()),
            },
            Action::Load {
                partition,
                fence,
                job,
                marker,
            } => {
                let found = self.records.get(&job).cloned().map(Box::new);
                Event::Loaded {
                    partition,
                    fence,
                    job,
                    marker,
                    found: Ok(found),
                }
            }
            Action::Store { commit, parts } => {
                let chunks = parts.into_iter().map(|part| self.store(part));
                Event::Stored {
                    commit,
                    chunks: Some(chunks.collect()),
                }
            }
            Action::Write(write) => Event::Written {
                commit: write.commit,
                outcome: self.write(write),
            },
            Action::ReadBack { commit, jobs, .. } => {
                let found = jobs.iter().filter_map(|id| self.records.get(id));
                Event::ReadBack {
                    commit,
                    found: Some(found.cloned().collect()),
                }
            }
            // Occurs only after several grants of an item expired; the workers
            // here die less often.
            Action::GiveUp { .. } => return None,
        })
    }

    fn read_membership(&self) -> Event {
        let owner = self.fence.map(|fence| PartitionOwner {
            partition: 0,
            member: MEMBER.to_owned(),
            lease: LEASE,
            fence,
        });
        Event::MembershipRead {
            revision: Some(self.revision),
            members: vec![MEMBER.to_owned()],
            owners: owner.into_iter().collect(),
        }
    }

    fn markers(&self) -> Vec<OpenJobMarker> {
        let open = self.records.values().filter(|one| one.record.is_open());
        let marker = |one: &VersionedRecord| OpenJobMarker {
            job: one.record.id.clone(),
            revision: 1,
        };
        open.map(marker).collect()
    }

    fn store(&mut self, part: Part) -> Chunk {
        let chunk = Chunk {
            blob: part.blob.clone(),
            bytes: part.bytes.len() as u64,
            crc: 0,
            items: part.items,
        };
        self.blobs.insert(part.blob, part.bytes);
        chunk
    }

    /// Runs a transaction: checks all compares, then applies all writes.
    /// Without the compare of the fencing token, a former owner that was
    /// paused could commit items that another owner has already committed.
    fn write(&mut self, write: WriteAction) -> WriteOutcome {
        let holds = write.fence == self.fence
            && write.records.iter().all(|next| {
                let seen = self.records.get(&next.record.id);
                seen.is_some_and(|seen| seen.revision == next.revision)
            });
        if !holds {
            return WriteOutcome::Conflict;
        }
        self.revision += 1;
        let revision = self.revision;
        for next in write.records {
            let record = next.record;
            let id = record.id.clone();
            self.records
                .insert(id, VersionedRecord { record, revision });
        }
        WriteOutcome::Applied(revision)
    }
}

fn job() -> Result<JobRecord, Error> {
    let record = json!({
        "id": "briefings", "tenant": "taevakorv", "content": "",
        "input": "file-1", "path": "/v1/completions", "window": "1h",
        "metadata": null, "created": 0, "due": 3_600_000, "ended": null,
        "state": "in_progress", "items": ITEMS, "done": [], "failed": [],
        "output": [], "errors": [], "operation": 0,
    });
    Ok(serde_json::from_value(record)?)
}

fn moment(ms: u64) -> Moment {
    Moment {
        now: Millis::new(ms),
        unix: UnixMillis::new(ms),
        random: ms.wrapping_mul(0x9e37_79b9_7f4a_7c15),
    }
}

/// Passes an event to the ledger and carries out the resulting actions.
fn drive(ledger: &mut Ledger, platform: &mut Platform, ms: u64, event: Event) {
    let at = moment(ms);
    let mut actions = VecDeque::from(ledger.handle(at, event));
    while let Some(action) = actions.pop_front() {
        if let Some(event) = platform.carry_out(action, at.now) {
            actions.extend(ledger.handle(at, event));
        }
    }
}

/// Pulls items, loses every seventh and completes the others.
fn work(
    ledger: &mut Ledger,
    ms: u64,
    pulled: &mut u32,
    lost: &mut u32,
) -> Result<(), Error> {
    let vm: VmId = "worker-1".parse()?;
    let request = PullRequest {
        vm: &vm,
        incarnation: 1,
        models: &[],
        capacity: 4,
        running: &[],
    };
    for item in ledger.pull(moment(ms), &request).items {
        *pulled += 1;
        if pulled.is_multiple_of(7) {
            *lost += 1;
            continue;
        }
        let line = Bytes::from(format!("{} {}\n", item.job, item.index));
        let end = RunOutcome::Completed(line);
        let grant = item.grant;
        ledger.result(moment(ms), &item.job, item.index, grant, end);
    }
    Ok(())
}

fn main() -> Result<(), Error> {
    let options = Options::default().partitions(1);
    let mut ledger = Ledger::new(MEMBER, 7, options);
    let mut platform = Platform::default();
    let record = job()?;
    let id = record.id.clone();
    platform.add(record);
    let (mut pulled, mut lost) = (0, 0);
    let mut ms = 0;
    for _ in 0..STEPS_MAX {
        ms += STEP_MS;
        drive(&mut ledger, &mut platform, ms, Event::Tick);
        work(&mut ledger, ms, &mut pulled, &mut lost)?;
        let record = &platform.records[&id].record;
        if record.state == JobState::Completed {
            break;
        }
    }
    let record = &platform.records[&id].record;
    let blobs = record
        .output
        .iter()
        .map(|chunk| &platform.blobs[&chunk.blob]);
    let text: Vec<u8> = blobs.flatten().copied().collect();
    let text = String::from_utf8(text)?;
    let lines: Vec<&str> = text.lines().collect();
    let distinct: BTreeSet<&str> = lines.iter().copied().collect();
    println!("{pulled} items pulled, {lost} of them lost with a worker");
    println!("{} lines, {} distinct", lines.len(), distinct.len());
    println!("{:?} after {ms} ms of simulated time", record.state);
    assert_eq!(record.state, JobState::Completed);
    assert_eq!((lines.len(), distinct.len()), (40, 40));
    Ok(())
}
