//! Reads of jobs that are in no ledger: 404 only if the job certainly does not
//! exist.

mod common;

use std::{
    path::Path,
    time::{Duration, Instant},
};

use common::{
    Engine, Node, call, put, ready, start, start_with_disk,
    write_config_and_engine,
};
use kv::{Kv, Memory};
use tempfile::TempDir;
use tokio::{
    runtime::{Builder, Runtime},
    time::sleep,
};
use yare::parameterized;

/// A worker in a runtime of its own, which ends as a process does.
struct Worker {
    runtime: Option<Runtime>,
    number: usize,
}

const DOMAINS: [&str; 3] = ["east", "west", "north"];

impl Worker {
    fn start(kv: &Memory, number: usize, disk: &Path) -> Self {
        let runtime = Builder::new_multi_thread()
            .worker_threads(1)
            .enable_all()
            .build()
            .expect("a runtime");
        let (kv, disk) = (kv.clone(), disk.to_owned());
        runtime.spawn(async move {
            let name = format!("worker-{number}");
            let domain = DOMAINS[number];
            let node = start_with_disk(&kv, &name, domain, &disk).await;
            // The node stops when its handle is dropped.
            let _ = node.task.await;
            drop(node.stop);
        });
        Self {
            runtime: Some(runtime),
            number,
        }
    }

    fn kill(&mut self) {
        if let Some(runtime) = self.runtime.take() {
            runtime.shutdown_background();
        }
    }

    fn restart(&mut self, kv: &Memory, disk: &Path) {
        self.kill();
        *self = Self::start(kv, self.number, disk);
    }
}

impl Drop for Worker {
    fn drop(&mut self) {
        self.kill();
    }
}

struct Fleet {
    kv: Memory,
    engine: Engine,
    front: Node,
    disks: [TempDir; 3],
    workers: [Worker; 3],
}

const JOBS: [&str; 6] = ["job-0", "job-1", "job-2", "job-3", "job-4", "job-5"];

impl Fleet {
    async fn start() -> Self {
        let kv = Memory::default();
        // Leases end by the clock of the service.
        let leases = kv.clone();
        tokio::spawn(async move {
            loop {
                sleep(Duration::from_millis(100)).await;
                leases.step_ms(100);
            }
        });
        let engine = Engine::start().await;
        write_config_and_engine(&kv, &engine).await;
        let front = start(&kv, "front-1", false).await;
        let disks = [(); 3].map(|()| tempfile::tempdir().expect("a folder"));
        let workers = [0, 1, 2]
            .map(|number| Worker::start(&kv, number, disks[number].path()));
        ready(&front).await;
        let fleet = Self {
            kv,
            engine,
            front,
            disks,
            workers,
        };
        fleet.wait_for_404().await;
        fleet
    }

    /// Waits until a job that does not exist is known not to exist.
    async fn wait_for_404(&self) {
        wait_for(&self.front, "none", 404).await;
    }

    /// Has jobs accepted while the key-value service is unavailable.
    async fn spool_jobs(&self) {
        self.kv.set_down(true);
        sleep(Duration::from_millis(3_000)).await;
        for job in JOBS {
            let body = r#"["2"]"#;
            let sent = call(self.front.front, "POST", "/batch/1", job, body);
            assert_eq!(sent.await.0, 202);
        }
    }

    async fn wait_for_jobs(&self) {
        for job in JOBS {
            wait_for(&self.front, job, 200).await;
        }
        let _ = &self.engine;
    }
}

async fn status(front: &Node, job: &str) -> u16 {
    let path = format!("/jobs/{job}");
    call(front.front, "GET", &path, "read", "").await.0
}

async fn wait_for(front: &Node, job: &str, wanted: u16) {
    let started_at = Instant::now();
    loop {
        let found = status(front, job).await;
        if found == wanted {
            return;
        }
        let waited = started_at.elapsed();
        assert!(waited < Duration::from_secs(20), "{job}: {found}");
        sleep(Duration::from_millis(100)).await;
    }
}

/// Reads, reads of bodies and ends of the jobs get no 404 for some seconds.
async fn check_no_404(front: &Node, seconds: u64) {
    let until = Instant::now() + Duration::from_secs(seconds);
    while Instant::now() < until {
        for job in JOBS {
            let path = format!("/jobs/{job}");
            let body_path = format!("/jobs/{job}?item=item-0");
            for path in [path, body_path] {
                let found = call(front.front, "GET", &path, "r", "").await.0;
                assert_ne!(found, 404, "{path}");
            }
        }
        sleep(Duration::from_millis(200)).await;
    }
}

fn block_on(test: impl Future<Output = ()>) {
    let runtime = Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(test);
}

/// Guards against 404 for accepted jobs while the workers that keep them have
/// no power, also by a front that has started after the outage.
#[parameterized(
    all_workers = { 3, false },
    two_workers = { 2, false },
    all_workers_and_the_front = { 3, true },
    one_worker = { 1, false },
)]
fn accepted_jobs_are_not_unknown(dark: usize, new_front: bool) {
    block_on(async {
        let mut fleet = Fleet::start().await;
        fleet.spool_jobs().await;
        for worker in &mut fleet.workers[..dark] {
            worker.kill();
        }
        fleet.kv.set_down(false);
        if new_front {
            let started = start(&fleet.kv, "front-2", false).await;
            ready(&started).await;
            fleet.front = started;
        }
        check_no_404(&fleet.front, 9).await;
        let ended = call(fleet.front.front, "DELETE", "/jobs/job-0", "e", "");
        assert_ne!(ended.await.0, 404);
        if dark > 1 {
            assert_eq!(status(&fleet.front, "none").await, 503);
        }
        let (kv, disks) = (&fleet.kv, &fleet.disks);
        for (worker, disk) in fleet.workers.iter_mut().zip(disks).take(dark) {
            worker.restart(kv, disk.path());
        }
        fleet.wait_for_jobs().await;
        fleet.wait_for_404().await;
    });
}

/// Guards against 404 for accepted jobs whose copies are on a disk that was
/// lost and on a disk without power.
#[test]
fn a_replaced_disk_proves_nothing() {
    block_on(async {
        let mut fleet = Fleet::start().await;
        fleet.spool_jobs().await;
        fleet.workers.iter_mut().for_each(Worker::kill);
        fleet.disks[0] = tempfile::tempdir().expect("a folder");
        fleet.kv.set_down(false);
        let (kv, disks) = (&fleet.kv, &fleet.disks);
        fleet.workers[0].restart(kv, disks[0].path());
        fleet.workers[1].restart(kv, disks[1].path());
        check_no_404(&fleet.front, 9).await;
        fleet.workers[2].restart(kv, disks[2].path());
        fleet.wait_for_jobs().await;
        fleet.wait_for_404().await;
    });
}

/// Guards against 503 for jobs that do not exist because of a worker that
/// never comes back, and against calls of workers in calm.
#[test]
fn a_worker_that_is_lost_for_good_hides_nothing() {
    block_on(async {
        let mut fleet = Fleet::start().await;
        fleet.workers[0].kill();
        // The entry has expired, and the list of nodes is written again.
        sleep(Duration::from_millis(8_500)).await;
        fleet.wait_for_404().await;
        let path = "/jobs/none";
        for method in ["GET", "DELETE"] {
            let front = fleet.front.front;
            assert_eq!(call(front, method, path, "x", "").await.0, 404);
        }
        let before = fleet.kv.revision();
        sleep(Duration::from_millis(4_000)).await;
        assert_eq!(fleet.kv.revision(), before, "written in calm");
    });
}

/// Guards against workers without power that are reported as empty, and
/// removed with accepted jobs on their disks.
#[test]
fn dark_workers_with_jobs_are_not_reported_as_empty() {
    block_on(async {
        let mut fleet = Fleet::start().await;
        fleet.spool_jobs().await;
        fleet.workers[..2].iter_mut().for_each(Worker::kill);
        fleet.kv.set_down(false);
        for worker in ["worker-0", "worker-1"] {
            let order = format!("orders/empty/{worker}");
            put(&fleet.kv, &order, b"{}".to_vec()).await;
        }
        sleep(Duration::from_millis(9_000)).await;
        let reported = fleet.kv.get_prefix("emptied/", 0).await;
        assert!(reported.expect("read").kvs.is_empty());
    });
}
