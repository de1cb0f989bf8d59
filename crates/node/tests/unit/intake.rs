//! Jobs that are accepted while the key-value service or workers fail: what
//! their callers are promised.

use std::{sync::Arc, time::Duration};

use base::{SteppedClock, UnixMillis, timer::Timer};
use budget::{MemoryBudget, MemoryOptions, Reservation};
use fleet::BatchDeadlines;
use jobs::{
    ItemInput, JobError, JobView, Ledger, ManifestSource, NewJob, NodeRecord,
};
use kv::{Memory, WriteFault};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::TcpListener,
    time::sleep,
};
use yare::parameterized;

use super::{JobIntake, SpoolClient};
use crate::job_manifests::PeerManifests;

/// Returns memory for a job.
fn memory() -> Reservation {
    let clock = Arc::new(SteppedClock::default());
    let budget = MemoryBudget::new(MemoryOptions::new(1_000_000), clock);
    budget.reserve(1_000).expect("free")
}

/// What a worker does with one request to spool a job.
#[derive(Clone, Copy, Debug)]
enum Worker {
    /// Reads the request and never responds.
    Silent,
    /// Reads the request and closes the connection.
    Closes,
    /// Responds with a status.
    Status(u16),
}

/// Starts a worker that does as listed with its requests, and refuses
/// connections once the list has ended.
async fn worker(node: &str, actions: Vec<Worker>) -> NodeRecord {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bound");
    let address = listener.local_addr().expect("an address");
    tokio::spawn(async move {
        for action in actions {
            let (mut stream, _) = listener.accept().await.expect("accepted");
            let mut read = vec![0; 64 * 1024];
            let _ = stream.read(&mut read).await;
            match action {
                Worker::Silent => {
                    tokio::spawn(async move {
                        sleep(Duration::from_secs(60)).await;
                        drop(stream);
                    });
                }
                Worker::Closes => drop(stream),
                Worker::Status(status) => {
                    let response = format!(
                        "HTTP/1.1 {status} Any\r\nconnection: close\r\n\
                         content-length: 0\r\n\r\n"
                    );
                    let _ = stream.write_all(response.as_bytes()).await;
                }
            }
        }
    });
    NodeRecord {
        node: node.to_owned(),
        failure_domain: node.to_owned(),
        runs_items: true,
        address: Some(address),
        limits: None,
        origins: None,
        lease_s: 0,
        spool: Default::default(),
    }
}

fn job() -> NewJob {
    NewJob {
        key: "job-1".parse().expect("a key"),
        host: "a.example".to_owned(),
        path: "/batch/1".to_owned(),
        submitted_at: UnixMillis::new(1_000),
        terms: BatchDeadlines {
            due_in_ms: 18_000,
            give_up_in_ms: 60_000,
        },
        owner: "worker-1".to_owned(),
        customer: None,
        items: vec![ItemInput::default()],
    }
}

fn intake(kv: &Memory, workers: Vec<NodeRecord>) -> JobIntake {
    let view = JobView::default();
    view.seed_records(workers);
    let clock = kv.clock().clone();
    let timer = Timer::new(clock.clone());
    step_steadily(kv, &timer);
    let ledger = Ledger::new(Arc::new(kv.clone()), timer, 100_000);
    let options = budget::MemoryOptions::new(1_000_000);
    let memory = budget::MemoryBudget::new(options, clock.clone());
    let manifests: Arc<dyn ManifestSource> =
        Arc::new(PeerManifests::new(view.clone(), clock, memory));
    JobIntake::new(ledger, view, manifests, Arc::new(SpoolClient::new(1)))
}

/// Steps the clock of the key-value service, so that writes give up.
fn step_steadily(kv: &Memory, timer: &Timer) {
    let (kv, timer) = (kv.clone(), timer.clone());
    tokio::spawn(async move {
        loop {
            kv.step_ms(50);
            timer.fire_due();
            sleep(Duration::from_millis(5)).await;
        }
    });
}

/// Guards against a promise that a job will not run although a worker may keep
/// it. The worker's later response, to a copy that was sent once more, hid
/// that an earlier copy was under way.
#[parameterized(
    silent_then_gone = { vec![Worker::Silent], JobError::OutcomeUnknown },
    silent_then_full = {
        vec![Worker::Silent, Worker::Status(413)],
        JobError::OutcomeUnknown
    },
    silent_then_busy = {
        vec![Worker::Silent, Worker::Status(429)],
        JobError::OutcomeUnknown
    },
    failed_then_gone = { vec![Worker::Status(500)], JobError::OutcomeUnknown },
    closed_then_conflict = {
        vec![Worker::Closes, Worker::Status(409)],
        JobError::OutcomeUnknown
    },
    silent_twice_then_gone = {
        vec![Worker::Silent, Worker::Silent],
        JobError::OutcomeUnknown
    },
    kept_on_one_disk = { vec![Worker::Status(200)], JobError::OutcomeUnknown },
    full = { vec![Worker::Status(413)], JobError::NotDone },
    no_spool = { vec![Worker::Status(404)], JobError::NotDone },
    gone = { vec![], JobError::NotDone },
)]
#[test_macro(tokio::test)]
async fn a_job_that_a_worker_may_keep_is_not_refused(
    actions: Vec<Worker>,
    error: JobError,
) {
    let kv = Memory::default();
    kv.set_down(true);
    let workers = vec![
        worker("worker-1", actions).await,
        worker("worker-2", vec![Worker::Status(404)]).await,
    ];
    let failure = intake(&kv, workers).accept(job(), 100, memory()).await;
    let failure = failure.expect_err("not accepted");
    assert_eq!(*failure.report.current_context(), error, "{failure:?}");
}

/// Guards against a promise that a job will not run while a copy of its write
/// may still be executed by the key-value service.
#[parameterized(
    request_lost = { WriteFault::RequestLost },
    response_lost = { WriteFault::ResponseLost },
)]
#[test_macro(tokio::test)]
async fn a_job_whose_write_is_lost_is_not_refused(fault: WriteFault) {
    let kv = Memory::default();
    kv.script_write_faults([fault]);
    let intake = intake(&kv, Vec::new());
    let accepting =
        tokio::spawn(async move { intake.accept(job(), 100, memory()).await });
    // The first write uses up the fault, and every later call fails.
    while kv.counts().writes == 0 {
        tokio::task::yield_now().await;
    }
    kv.set_down(true);
    match accepting.await.expect("no panic") {
        Err(failure) => assert_eq!(
            *failure.report.current_context(),
            JobError::OutcomeUnknown,
        ),
        // The write was read back before the outage began.
        Ok(accepted) => {
            assert_eq!(fault, WriteFault::ResponseLost, "{accepted:?}");
        }
    }
}
