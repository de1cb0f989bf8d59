//! Jobs that arrive while the key-value service does not answer.

mod common;

use std::{fs, path::Path, sync::Arc, time::Duration};

use common::{
    Cuttable, Engine, Node, call, call_until, furnish, ready, start, start_by,
    start_front_for_losses, start_with_disk,
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
    /// A node whose handle is dropped stops.
    _workers: [Node; 2],
}

/// Starts a front and two workers with disks in different failure domains.
async fn fleet() -> Fleet {
    let kv = Memory::default();
    let engine = Engine::start().await;
    furnish(&kv, &engine).await;
    let front = start(&kv, "front-1", false).await;
    let disks = [(); 2].map(|()| tempfile::tempdir().expect("a folder"));
    let workers = [
        start_with_disk(&kv, "worker-1", "east", disks[0].path()).await,
        start_with_disk(&kv, "worker-2", "west", disks[1].path()).await,
    ];
    ready(&front).await;
    // The front learns of both workers.
    sleep(Duration::from_millis(600)).await;
    Fleet {
        kv,
        engine,
        front,
        disks,
        _workers: workers,
    }
}

/// A job of one item that never has to be given up.
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

async fn whole(front: &Node, job: &str, count: u32) -> String {
    let path = format!("/jobs/{job}");
    let head = format!("{count} {count}\n");
    let good = |_, body: &str| body.starts_with(&head);
    call_until(front.front, "GET", &path, good).await.1
}

fn kept(dir: &Path) -> usize {
    Spool::open(dir, 1_000_000)
        .and_then(|spool| spool.names())
        .expect("listed")
        .len()
}

async fn empty(disks: &[TempDir]) {
    let wait = async {
        while disks.iter().any(|disk| kept(disk.path()) > 0) {
            sleep(Duration::from_millis(50)).await;
        }
    };
    timeout(Duration::from_secs(10), wait).await.expect("empty");
}

/// Symptom: jobs are refused for as long as the key-value service is away,
/// and those that come back after it are late. Events: the service is down,
/// a job arrives, the service returns. Cause: jobs could be kept nowhere
/// else.
#[tokio::test]
async fn a_job_is_accepted_by_two_disks_and_runs_once() {
    let fleet = fleet().await;
    fleet.kv.set_down(true);
    assert_eq!(submit(&fleet.front, "job-1", r#"["2","3"]"#).await, 202);
    for disk in &fleet.disks {
        assert_eq!(kept(disk.path()), 1);
    }
    // Sent again, as callers do: the same job.
    assert_eq!(submit(&fleet.front, "job-1", r#"["2","3"]"#).await, 202);
    sleep(Duration::from_millis(500)).await;
    fleet.kv.set_down(false);
    let body = whole(&fleet.front, "job-1", 2).await;
    assert!(body.contains("item-0 complete e1+e2"), "{body}");
    assert!(body.contains("item-1 complete e1+e2+e3"), "{body}");
    empty(&fleet.disks).await;
    let mut runs = fleet.engine.runs.lock().expect("lock").clone();
    runs.sort();
    assert_eq!(runs, ["item-0:0", "item-1:0"]);
}

/// Symptom: on a busy machine a job that both workers hold is answered 502
/// when it is sent again. Events: the service is away, a job is kept on two
/// disks, the same job arrives while the disks do not take writes in time.
/// Cause: the workers wrote it again, and two calls about one job wrote the
/// same file. Disks whose folder is gone stand for ones that are too slow.
#[tokio::test]
async fn a_kept_job_that_is_sent_again_needs_no_disk() {
    let fleet = fleet().await;
    fleet.kv.set_down(true);
    // Until the workers have noticed, they try to enter what they keep, and
    // would read it from the disks.
    sleep(Duration::from_millis(1_500)).await;
    assert_eq!(submit(&fleet.front, "job-1", r#"["2"]"#).await, 202);
    let away = tempfile::tempdir().expect("a folder");
    for (at, disk) in fleet.disks.iter().enumerate() {
        let to = away.path().join(at.to_string());
        fs::rename(disk.path(), to).expect("moved");
    }
    for _ in 0..3 {
        assert_eq!(submit(&fleet.front, "job-1", r#"["2"]"#).await, 202);
    }
    assert_ne!(submit(&fleet.front, "job-2", r#"["2"]"#).await, 202);
    for (at, disk) in fleet.disks.iter().enumerate() {
        let from = away.path().join(at.to_string());
        fs::rename(from, disk.path()).expect("moved back");
    }
    fleet.kv.set_down(false);
    let body = whole(&fleet.front, "job-1", 1).await;
    assert!(body.contains("item-0 complete e1+e2"), "{body}");
}

/// Symptom: the same. Events: many calls about one job at the same moment,
/// as callers make that do not wait. Cause: the calls raced for one file.
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

/// Symptom: an accepted job is gone. Events: it is accepted while the
/// service is away, one disk is lost, and every process is killed before the
/// service returns. Cause: it lay in memory, or on one disk alone.
#[tokio::test]
async fn an_accepted_job_outlasts_all_processes_and_one_disk() {
    let lost = fleet().await;
    lost.kv.set_down(true);
    assert_eq!(submit(&lost.front, "job-1", r#"["2"]"#).await, 202);
    // The service of the lost processes never returns. Others start over
    // what is left of the disks.
    fs::remove_dir_all(lost.disks[0].path()).expect("removed");
    let kv = Memory::default();
    let engine = Engine::start().await;
    furnish(&kv, &engine).await;
    let front = start(&kv, "front-2", false).await;
    let disk = lost.disks[1].path();
    let _worker = start_with_disk(&kv, "worker-2", "west", disk).await;
    ready(&front).await;
    let body = whole(&front, "job-1", 1).await;
    assert!(body.contains("item-0 complete e1+e2"), "{body}");
}

/// One disk may be lost at any time, so that one copy is no acceptance. The
/// job may run all the same, which a refusal would deny.
#[tokio::test]
async fn a_job_on_one_disk_is_neither_accepted_nor_refused() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    furnish(&kv, &engine).await;
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
    whole(&front, "job-1", 1).await;
}

/// Symptom: an accepted job is gone. Events: it is accepted while the service
/// is away, two disks are lost at the same moment, which the fleet is to
/// bear, and every process is killed. Cause: it lay on these two alone.
#[tokio::test]
async fn a_job_is_on_one_disk_more_than_may_be_lost() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    furnish(&kv, &engine).await;
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
    let copies = |at: usize| kept(disks[at].path());
    assert_eq!((0..4).map(copies).sum::<usize>(), 3);
    assert_eq!(copies(0) + copies(1), 1, "one in each failure domain");
}

/// Symptom: callers wait seconds for a job to be accepted. Events: the way
/// from one front to the service falls silent while that of the workers is
/// sound. Cause: the front waited for its own call to end.
#[tokio::test]
async fn a_front_whose_calls_hang_accepts_jobs_through_workers() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    furnish(&kv, &engine).await;
    let way = Cuttable::new(&kv);
    let front = start_by(Arc::new(way.clone()), "front-1", false).await;
    let sound = start(&kv, "front-2", false).await;
    let disks = [(); 2].map(|()| tempfile::tempdir().expect("a folder"));
    let _workers = [
        start_with_disk(&kv, "worker-1", "east", disks[0].path()).await,
        start_with_disk(&kv, "worker-2", "west", disks[1].path()).await,
    ];
    ready(&front).await;
    ready(&sound).await;
    sleep(Duration::from_millis(600)).await;
    way.set_cut(true);
    let accepted = submit(&front, "job-1", r#"["2"]"#);
    let accepted = timeout(Duration::from_secs(2), accepted).await;
    assert_eq!(accepted.expect("in time"), 202);
    let body = whole(&sound, "job-1", 1).await;
    assert!(body.contains("item-0 complete e1+e2"), "{body}");
    empty(&disks).await;
}

/// Symptom: a job that is done runs again. Events: a worker that keeps a job
/// on disk is down while the other one enters it; it starts long after.
/// Cause: what lies on a disk was taken for what is not in the ledger.
#[tokio::test]
async fn a_job_that_the_ledger_has_is_forgotten() {
    let fleet = fleet().await;
    assert_eq!(submit(&fleet.front, "job-1", r#"["2"]"#).await, 202);
    whole(&fleet.front, "job-1", 1).await;
    let job = new_job("job-1", "worker-3");
    let disk = tempfile::tempdir().expect("a folder");
    Spool::open(disk.path(), 1_000_000)
        .and_then(|spool| {
            spool.put("job-1", &encode_new_job(&job).expect("encoded"))
        })
        .expect("kept");
    let path = disk.path();
    let _third = start_with_disk(&fleet.kv, "worker-3", "east", path).await;
    empty(&[disk]).await;
    let runs = fleet.engine.runs.lock().expect("lock").len();
    assert_eq!(runs, 1);
}

/// Symptom: copies of jobs stay on a worker's disk until its next start.
/// Events: a front asks the worker to keep a job, its disk is slow, the front
/// does not wait any longer and closes the connection. Cause: the worker
/// dropped the call while the record was being written, and did not take
/// note of it.
#[tokio::test]
async fn a_copy_whose_front_has_left_is_entered_all_the_same() {
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
        // The connection ends here, before any answer.
        drop(stream);
    }
    // Some were cut off before they were read, the others are written.
    sleep(Duration::from_millis(500)).await;
    assert!(kept(fleet.disks[0].path()) > 0, "none has arrived");
    fleet.kv.set_down(false);
    empty(&fleet.disks).await;
}

/// A record that is damaged, or of another version, harms no other job.
#[tokio::test]
async fn what_cannot_be_read_stays_on_disk_and_harms_nobody() {
    let kv = Memory::default();
    let engine = Engine::start().await;
    furnish(&kv, &engine).await;
    let disk = tempfile::tempdir().expect("a folder");
    let spool = Spool::open(disk.path(), 1_000_000).expect("opened");
    spool.put("job-0", b"of another version").expect("kept");
    fs::write(disk.path().join("job-1.rec"), b"torn").expect("written");
    let front = start(&kv, "front-1", false).await;
    let path = disk.path();
    let _worker = start_with_disk(&kv, "worker-1", "east", path).await;
    ready(&front).await;
    assert_eq!(submit(&front, "job-2", r#"["2"]"#).await, 202);
    whole(&front, "job-2", 1).await;
    assert_eq!(kept(disk.path()), 2);
}

/// Symptom: items of jobs that arrived while the service was away are late
/// though most workers are idle. Events: the service is away, jobs arrive,
/// each is given to the worker with the least open items. Cause: jobs on
/// disks are in nobody's view, so that it was the same worker each time.
#[tokio::test]
async fn jobs_on_disks_are_spread_over_the_workers() {
    let fleet = fleet().await;
    fleet.kv.set_down(true);
    let mut owners = Vec::new();
    for number in 0..12 {
        let job = format!("job-{number}");
        assert_eq!(submit(&fleet.front, &job, r#"["1"]"#).await, 202);
        let spool = Spool::open(fleet.disks[0].path(), 1_000_000);
        let kept = spool.and_then(|spool| spool.read(&job)).expect("kept");
        owners.push(decode_new_job(&kept).expect("decoded").owner);
    }
    owners.sort();
    owners.dedup();
    assert_eq!(owners, ["worker-1", "worker-2"]);
}
