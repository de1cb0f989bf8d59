//! Jobs that arrive while the key-value service is unavailable.

mod common;

use std::{fs, path::Path, sync::Arc, time::Duration};

use common::{
    Cuttable, Engine, Node, call, call_until, ready, start, start_by,
    start_front_for_losses, start_with_disk, write_config_and_engine,
};
use fleet::BatchDeadlines;
use jobs::{ItemInput, NewJob, decode_new_job, encode_new_job};
use kv::Memory;
use store::Spool;
use tempfile::TempDir;
use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    time::{sleep, timeout},
};

struct Fleet {
    kv: Memory,
    engine: Engine,
    front: Node,
    disks: [TempDir; 2],
    /// Keeps the handles, since a node stops when its handle is dropped.
    _workers: [Node; 2],
}

/// Starts a front and two workers with disks in different failure domains.
async fn fleet() -> Fleet {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start(&kv, "front-1", false).await;
    let disks = [(); 2].map(|()| tempfile::tempdir().expect("a folder"));
    let workers = [
        start_with_disk(&kv, "worker-1", "east", disks[0].path()).await,
        start_with_disk(&kv, "worker-2", "west", disks[1].path()).await,
    ];
    ready(&front).await;
    // Waits until the front knows both workers.
    sleep(Duration::from_millis(600)).await;
    Fleet {
        kv,
        engine,
        front,
        disks,
        _workers: workers,
    }
}

/// Returns a job of one item whose deadline for giving up is never reached.
fn new_job(key: &str, owner: &str) -> NewJob {
    NewJob {
        key: key.parse().expect("a key"),
        host: "a.example".to_owned(),
        path: "/batch/1".to_owned(),
        submitted_at: base::UnixMillis::new(1),
        terms: BatchDeadlines {
            due_in_ms: 1_000,
            give_up_in_ms: u64::MAX / 2,
        },
        owner: owner.to_owned(),
        customer: None,
        items: vec![ItemInput::default()],
    }
}

async fn submit(front: &Node, job: &str, body: &str) -> u16 {
    call(front.front, "POST", "/batch/1", job, body).await.0
}

async fn wait_for_results(front: &Node, job: &str, count: u32) -> String {
    let path = format!("/jobs/{job}");
    let head = format!("{count} {count}\n");
    let good = |_, body: &str| body.starts_with(&head);
    call_until(front.front, "GET", &path, good).await.1
}

fn spooled_count(dir: &Path) -> usize {
    Spool::open(dir, 1_000_000)
        .and_then(|spool| spool.names())
        .expect("listed")
        .len()
}

async fn wait_for_empty(disks: &[TempDir]) {
    let wait = async {
        while disks.iter().any(|disk| spooled_count(disk.path()) > 0) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(10), wait).await.expect("empty");
}

/// Guards against refusing jobs during an outage of the key-value service for
/// lack of other storage; jobs resubmitted after the outage were late.
#[tokio::test]
async fn a_job_is_accepted_by_two_disks_and_runs_once() {
    let fleet = fleet().await;
    fleet.kv.set_down(true);
    assert_eq!(submit(&fleet.front, "job-1", r#"["2","3"]"#).await, 202);
    for disk in &fleet.disks {
        assert_eq!(spooled_count(disk.path()), 1);
    }
    // Submitting the same job again, as callers do, is idempotent.
    assert_eq!(submit(&fleet.front, "job-1", r#"["2","3"]"#).await, 202);
    sleep(Duration::from_millis(500)).await;
    fleet.kv.set_down(false);
    let body = wait_for_results(&fleet.front, "job-1", 2).await;
    assert!(body.contains("item-0 complete e1+e2"), "{body}");
    assert!(body.contains("item-1 complete e1+e2+e3"), "{body}");
    wait_for_empty(&fleet.disks).await;
    let mut runs = fleet.engine.runs.lock().expect("lock").clone();
    runs.sort();
    assert_eq!(runs, ["item-0:0", "item-1:0"]);
}

/// Guards against writing a spooled job to disk again when it is resubmitted.
/// During an outage of the key-value service, disks that were too slow for the
/// second write caused a 502 for a job that both workers had spooled, and two
/// calls for one job wrote the same file. The test simulates slow disks by
/// moving their folders away.
#[tokio::test]
async fn a_spooled_job_that_is_resubmitted_needs_no_disk() {
    let fleet = fleet().await;
    fleet.kv.set_down(true);
    // Until the workers detect the outage, they try to write spooled jobs to
    // the ledger and would read them from the disks.
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(submit(&fleet.front, "job-1", r#"["2"]"#).await, 202);
    let moved_to = tempfile::tempdir().expect("a folder");
    for (at, disk) in fleet.disks.iter().enumerate() {
        let to = moved_to.path().join(at.to_string());
        fs::rename(disk.path(), to).expect("moved");
    }
    for _ in 0..3 {
        assert_eq!(submit(&fleet.front, "job-1", r#"["2"]"#).await, 202);
    }
    assert_ne!(submit(&fleet.front, "job-2", r#"["2"]"#).await, 202);
    for (at, disk) in fleet.disks.iter().enumerate() {
        let from = moved_to.path().join(at.to_string());
        fs::rename(from, disk.path()).expect("moved back");
    }
    fleet.kv.set_down(false);
    let body = wait_for_results(&fleet.front, "job-1", 1).await;
    assert!(body.contains("item-0 complete e1+e2"), "{body}");
}

/// Guards against a 502 when concurrent calls for one job race for one file,
/// as happens with callers that do not wait.
#[tokio::test]
async fn calls_about_one_job_at_the_same_moment_are_all_accepted() {
    let fleet = fleet().await;
    fleet.kv.set_down(true);
    let front = fleet.front.front;
    let calls: Vec<_> = (0..8)
        .map(|_| {
            tokio::spawn(async move {
                call(front, "POST", "/batch/1", "job-1", r#"["2"]"#).await.0
            })
        })
        .collect();
    for one in calls {
        assert_eq!(one.await.expect("answered"), 202);
    }
}

/// Guards against losing a job that was accepted during an outage of the
/// key-value service and was stored only in memory or on one disk: one disk is
/// lost, and all processes are killed before the service returns.
#[tokio::test]
async fn an_accepted_job_outlasts_all_processes_and_one_disk() {
    let lost = fleet().await;
    lost.kv.set_down(true);
    assert_eq!(submit(&lost.front, "job-1", r#"["2"]"#).await, 202);
    // The key-value service of the lost processes never returns. New
    // processes start with the remaining disk.
    fs::remove_dir_all(lost.disks[0].path()).expect("removed");
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start(&kv, "front-2", false).await;
    let disk = lost.disks[1].path();
    let _worker = start_with_disk(&kv, "worker-2", "west", disk).await;
    ready(&front).await;
    let body = wait_for_results(&front, "job-1", 1).await;
    assert!(body.contains("item-0 complete e1+e2"), "{body}");
}

/// One copy is not enough to accept a job, since one disk may be lost at any
/// time. A refusal would be wrong as well, since the job may run.
#[tokio::test]
async fn a_job_on_one_disk_is_neither_accepted_nor_refused() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start(&kv, "front-1", false).await;
    let disk = tempfile::tempdir().expect("a folder");
    let path = disk.path();
    let _first = start_with_disk(&kv, "worker-1", "east", path).await;
    let _second = start(&kv, "worker-2", true).await;
    ready(&front).await;
    sleep(Duration::from_millis(600)).await;
    kv.set_down(true);
    assert_eq!(submit(&front, "job-1", r#"["2"]"#).await, 502);
    kv.set_down(false);
    wait_for_results(&front, "job-1", 1).await;
}

/// Guards against losing a job that was accepted during an outage of the
/// key-value service: the two disks that store it are lost at the same time,
/// which the fleet must tolerate, and all processes are killed.
#[tokio::test]
async fn a_job_is_on_one_disk_more_than_may_be_lost() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let front = start_front_for_losses(&kv, "front-1", 2).await;
    let disks = [(); 4].map(|()| tempfile::tempdir().expect("a folder"));
    let domains = ["east", "east", "west", "south"];
    let mut workers = Vec::new();
    for (at, disk) in disks.iter().enumerate() {
        let name = format!("worker-{at}");
        let worker = start_with_disk(&kv, &name, domains[at], disk.path());
        workers.push(worker.await);
    }
    ready(&front).await;
    sleep(Duration::from_millis(600)).await;
    kv.set_down(true);
    assert_eq!(submit(&front, "job-1", r#"["2"]"#).await, 202);
    let copies = |at: usize| spooled_count(disks[at].path());
    assert_eq!((0..4).map(copies).sum::<usize>(), 3);
    assert_eq!(copies(0) + copies(1), 1, "one in each failure domain");
}

/// Guards against a front that waits for its own call to end: when only its
/// connection to the key-value service hangs, callers waited seconds for a job
/// to be accepted.
#[tokio::test]
async fn a_front_whose_calls_hang_accepts_jobs_through_workers() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let connection = Cuttable::new(&kv);
    let front = start_by(Arc::new(connection.clone()), "front-1", false).await;
    let sound = start(&kv, "front-2", false).await;
    let disks = [(); 2].map(|()| tempfile::tempdir().expect("a folder"));
    let _workers = [
        start_with_disk(&kv, "worker-1", "east", disks[0].path()).await,
        start_with_disk(&kv, "worker-2", "west", disks[1].path()).await,
    ];
    ready(&front).await;
    ready(&sound).await;
    sleep(Duration::from_millis(600)).await;
    connection.set_cut(true);
    let accepted = submit(&front, "job-1", r#"["2"]"#);
    let accepted = timeout(Duration::from_secs(2), accepted).await;
    assert_eq!(accepted.expect("in time"), 202);
    let body = wait_for_results(&sound, "job-1", 1).await;
    assert!(body.contains("item-0 complete e1+e2"), "{body}");
    wait_for_empty(&disks).await;
}

/// Guards against assuming that a spooled job is not in the ledger: a worker
/// is down while the other one writes the job to the ledger, and starts long
/// after. The completed job ran again.
#[tokio::test]
async fn a_spooled_job_in_the_ledger_is_removed() {
    let fleet = fleet().await;
    assert_eq!(submit(&fleet.front, "job-1", r#"["2"]"#).await, 202);
    wait_for_results(&fleet.front, "job-1", 1).await;
    let job = new_job("job-1", "worker-3");
    let disk = tempfile::tempdir().expect("a folder");
    Spool::open(disk.path(), 1_000_000)
        .and_then(|spool| {
            spool.put("job-1", &encode_new_job(&job).expect("encoded"))
        })
        .expect("kept");
    let path = disk.path();
    let _third = start_with_disk(&fleet.kv, "worker-3", "east", path).await;
    wait_for_empty(&[disk]).await;
    let runs = fleet.engine.runs.lock().expect("lock").len();
    assert_eq!(runs, 1);
}

/// Guards against copies of jobs that stay on a worker's disk until its next
/// start: the disk is slow, the front times out and closes the connection, and
/// the worker dropped the call during the write without recording the copy.
#[tokio::test]
async fn a_copy_is_written_to_the_ledger_after_its_front_disconnects() {
    let fleet = fleet().await;
    let worker = &fleet._workers[0];
    fleet.kv.set_down(true);
    for number in 0..20 {
        let key = format!("job-{number}");
        let body = encode_new_job(&new_job(&key, "worker-1"));
        let body = body.expect("encoded");
        let head = format!(
            "PUT /spool/{key} HTTP/1.1\r\nhost: a\r\n\
             content-length: {}\r\n\r\n",
            body.len()
        );
        let mut stream =
            TcpStream::connect(worker.peer).await.expect("connected");
        stream.write_all(head.as_bytes()).await.expect("written");
        stream.write_all(&body).await.expect("written");
        // Closes the connection before any response.
        drop(stream);
    }
    // Some requests were aborted before they were read; the others are
    // written.
    sleep(Duration::from_millis(500)).await;
    assert!(spooled_count(fleet.disks[0].path()) > 0, "none has arrived");
    fleet.kv.set_down(false);
    wait_for_empty(&fleet.disks).await;
}

/// A damaged record, or one of another version, does not affect other jobs.
#[tokio::test]
async fn unreadable_records_stay_on_disk_and_affect_no_other_job() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let disk = tempfile::tempdir().expect("a folder");
    let spool = Spool::open(disk.path(), 1_000_000).expect("opened");
    spool.put("job-0", b"of another version").expect("kept");
    fs::write(disk.path().join("job-1.rec"), b"torn").expect("written");
    let front = start(&kv, "front-1", false).await;
    let path = disk.path();
    let _worker = start_with_disk(&kv, "worker-1", "east", path).await;
    ready(&front).await;
    assert_eq!(submit(&front, "job-2", r#"["2"]"#).await, 202);
    wait_for_results(&front, "job-2", 1).await;
    assert_eq!(spooled_count(disk.path()), 2);
}

/// Guards against accepted jobs that wait behind one that the ledger rejects:
/// they would be written only after that one has expired.
#[tokio::test]
async fn rejected_jobs_stay_on_disk_and_delay_no_other_job() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    write_config_and_engine(&kv, &engine).await;
    let disk = tempfile::tempdir().expect("a folder");
    let spool = Spool::open(disk.path(), 4_000_000).expect("open");
    let large = ItemInput {
        body: vec![0; 200_000],
        ..ItemInput::default()
    };
    let rejected = (0..8).map(|number| NewJob {
        items: vec![large.clone()],
        ..new_job(&format!("large-{number}"), "worker-1")
    });
    // The order in which a folder is listed depends on the file system.
    let first = [new_job("small-0", "worker-1")].into_iter();
    for job in first
        .chain(rejected)
        .chain([new_job("small-1", "worker-1")])
    {
        let bytes = encode_new_job(&job).expect("encoded");
        spool.put(job.key.as_str(), &bytes).expect("kept");
    }
    let front = start(&kv, "front-1", false).await;
    let _worker = start_with_disk(&kv, "worker-1", "east", disk.path()).await;
    ready(&front).await;
    let is_found = |status, _: &str| status == 200;
    for path in ["/jobs/small-0", "/jobs/small-1"] {
        call_until(front.front, "GET", path, is_found).await;
    }
    let names = spool.names().expect("listed");
    assert!(names.iter().all(|name| name.starts_with("large-")));
    assert_eq!(names.len(), 8);
}

/// Guards against assigning all jobs of an outage to one worker: spooled jobs
/// are in no view, so the worker with the fewest open items stayed the same,
/// and items were late although most workers were idle.
#[tokio::test]
async fn jobs_on_disks_are_spread_over_the_workers() {
    let fleet = fleet().await;
    fleet.kv.set_down(true);
    let mut owners = Vec::new();
    for number in 0..12 {
        let job = format!("job-{number}");
        assert_eq!(submit(&fleet.front, &job, r#"["1"]"#).await, 202);
        let spool = Spool::open(fleet.disks[0].path(), 1_000_000);
        let record = spool.and_then(|spool| spool.read(&job)).expect("kept");
        owners.push(decode_new_job(&record).expect("decoded").owner);
    }
    owners.sort();
    owners.dedup();
    assert_eq!(owners, ["worker-1", "worker-2"]);
}
