//! A program that runs a batch job by the ledger, without the daemons.
//!
//! The program keeps the records in a map, which stands for a key-value
//! service with compare-and-swap, and the results in another, which stands
//! for its blobs. Workers take items and sometimes die with them; each item
//! is in the output once all the same. Time and random numbers are made up,
//! so that every run prints the same.
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

/// What a key-value service and a blob store would keep.
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

    /// Does what the ledger asks for and answers it. A program with I/O
    /// does this in the background and hands the events in as they come.
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
            Action::ReadMembership => self.look(),
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
            // Only after attempts that all ended without a word; the
            // workers here die less often.
            Action::GiveUp { .. } => return None,
        })
    }

    fn look(&self) -> Event {
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

    /// Runs a transaction: all of its compares, then all of its writes.
    /// Without the compare of the fence, a former owner that was paused
    /// could commit items which another has committed already.
    fn write(&mut self, write: WriteAction) -> WriteOutcome {
        let holds = write.fence == self.fence
            && write.records.iter().all(|next| {
                let seen = self.records.get(&next.record.id);
                seen.is_some_and(|seen| seen.revision == next.revision)
            });
        if !holds {
            return WriteOutcome::Refused;
        }
        self.revision += 1;
        let revision = self.revision;
        for next in write.records {
            let record = next.record;
            let id = record.id.clone();
            self.records
                .insert(id, VersionedRecord { record, revision });
        }
        WriteOutcome::Done(revision)
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

/// Gives the ledger an event and carries out what follows from it.
fn drive(ledger: &mut Ledger, platform: &mut Platform, ms: u64, event: Event) {
    let at = moment(ms);
    let mut actions = VecDeque::from(ledger.handle(at, event));
    while let Some(action) = actions.pop_front() {
        if let Some(event) = platform.carry_out(action, at.now) {
            actions.extend(ledger.handle(at, event));
        }
    }
}

/// Takes items, loses every seventh and completes the others.
fn work(
    ledger: &mut Ledger,
    ms: u64,
    taken: &mut u32,
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
        *taken += 1;
        if taken.is_multiple_of(7) {
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
    let (mut taken, mut lost) = (0, 0);
    let mut ms = 0;
    for _ in 0..STEPS_MAX {
        ms += STEP_MS;
        drive(&mut ledger, &mut platform, ms, Event::Tick);
        work(&mut ledger, ms, &mut taken, &mut lost)?;
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
    println!("{taken} items taken, {lost} of them lost with a worker");
    println!("{} lines, {} distinct", lines.len(), distinct.len());
    println!("{:?} after {ms} ms of made-up time", record.state);
    assert_eq!(record.state, JobState::Completed);
    assert_eq!((lines.len(), distinct.len()), (40, 40));
    Ok(())
}
