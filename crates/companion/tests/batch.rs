//! A companion between a stand-in engine and a fake entry.
#![allow(clippy::unwrap_used)]

use std::{
    collections::VecDeque,
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::Duration,
};

use base::{Class, Incarnation, Revision, VersionKey, VmId};
use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use obs::Metrics;
use pomeloslip_companion::Companion;
use serde_json::json;
use standin::{
    delivery::{AnswerFraming, BreakOff, Delivery},
    engine::{Engine, EngineHandle, EngineSettings},
};
use tokio::{
    io::copy_bidirectional,
    net::{TcpListener, TcpStream},
};
use wire::{
    EntryHandler, Handlers, LinkOptions, Links, RunReply, Secrets, Server,
    message::{
        ConfigText, Frame, Identity, Item, ItemOutcome, ItemResult,
        OutcomeKind, Pull, PullReply, RefusalKind, Request,
    },
};

/// Timeout for expected events, long enough for slow machines.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

const POLL_INTERVAL: Duration = Duration::from_millis(10);

#[derive(Default)]
struct State {
    open: VecDeque<Item>,
    pulls: Vec<Pull>,
    groups: Vec<Vec<ItemResult>>,
}

/// An entry that grants its open items and stores the results.
#[derive(Clone, Default)]
struct FakeEntry(Arc<Mutex<State>>);

impl EntryHandler for FakeEntry {
    fn pull(&self, pull: Pull) -> BoxFuture<'static, PullReply> {
        let mut state = self.0.lock().unwrap();
        let count = state.open.len().min(pull.capacity as usize);
        let items = state.open.drain(..count).collect();
        state.pulls.push(pull);
        let reply = PullReply {
            items,
            revoked: vec![],
            next_in_ms: 50,
        };
        async move { reply }.boxed()
    }

    fn results(&self, results: Vec<ItemResult>) -> BoxFuture<'static, u32> {
        let count = results.len() as u32;
        self.0.lock().unwrap().groups.push(results);
        async move { count }.boxed()
    }

    fn leaving(&self, _: VmId, _: Incarnation) {}

    fn config(&self, _: Revision) -> Option<ConfigText> {
        None
    }
}

impl FakeEntry {
    fn offer(&self, grant: u64, prompt: &str, ttl_ms: u32) {
        let body = json!({
            "model": "korv-lm",
            "max_tokens": 4,
            "messages": [{"role": "user", "content": prompt}],
        });
        self.0.lock().unwrap().open.push_back(Item {
            grant,
            partition: 1,
            fence: 1,
            job: "job-1".parse().unwrap(),
            index: grant as u32,
            attempt: 0,
            customer: "taevakorv".parse().unwrap(),
            path: "/v1/chat/completions".to_owned(),
            body: Bytes::from(body.to_string()),
            expires_in_ms: ttl_ms,
            due_unix_ms: u64::MAX,
        });
    }

    fn received_results(&self) -> Vec<ItemResult> {
        self.0.lock().unwrap().groups.concat()
    }
}

async fn until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            tokio::time::sleep(POLL_INTERVAL).await;
        }
    };
    tokio::time::timeout(EVENT_TIMEOUT, wait).await.unwrap();
}

fn identity(role: &str) -> Identity {
    Identity {
        role: role.to_owned(),
        vm: "entry-1".parse().unwrap(),
        incarnation: Incarnation::new(1),
        failure_domain: "domain-1".parse().unwrap(),
    }
}

struct Fixture {
    entry: FakeEntry,
    engine: EngineHandle,
    companion: Companion,
    links: Links,
    _server: Server,
}

async fn fixture(engine: EngineSettings, max_running: u32) -> Fixture {
    let engine = Engine::start(engine).await.unwrap();
    let url = engine.url();
    fixture_at(engine, url, max_running).await
}

/// Starts a companion that reaches its engine at a URL.
async fn fixture_at(
    engine: EngineHandle,
    url: String,
    max_running: u32,
) -> Fixture {
    let entry = FakeEntry::default();
    let handlers = Handlers {
        entry: Some(Arc::new(entry.clone())),
        ..Handlers::default()
    };
    let secrets = Secrets::new(vec![]);
    let any = SocketAddr::from(([127, 0, 0, 1], 0));
    let server = wire::serve(any, identity("entry"), secrets, handlers)
        .await
        .unwrap();
    let settings = serde_json::from_value(json!({
        "role": "companion",
        "vm": "engine-1",
        "failure_domain": "domain-1",
        "listen": any,
        "peer_listen": any,
        "entries": [server.address()],
        "endpoint": {
            "name": "korv-lm-1",
            "pool": "korv-lm",
            "kind": "engine",
            "address": url,
            "models": ["korv-lm"],
            "max_running": max_running,
            "batch_max_running": max_running,
        },
    }))
    .unwrap();
    let companion = Companion::start(&settings, Metrics::default())
        .await
        .unwrap();
    let links = Links::start(LinkOptions::new(identity("entry"))).unwrap();
    Fixture {
        entry,
        engine,
        companion,
        links,
        _server: server,
    }
}

impl Fixture {
    async fn call(&self, number: u32) -> RunReply {
        let body = json!({
            "model": "korv-lm",
            "max_tokens": 2,
            "stream": true,
            "messages": [{"role": "user", "content": "[[slow 2000]]"}],
        });
        let request = Request {
            request_id: format!("online-{number}").parse().unwrap(),
            attempt: 0,
            customer: "alama".parse().unwrap(),
            class: Class::Online,
            method: "POST".to_owned(),
            path: "/v1/chat/completions".to_owned(),
            headers: vec![],
            body: Bytes::from(body.to_string()),
            deadline_ms: 0,
            repeatable: true,
            resume_offset: 0,
            version: VersionKey::UNDECLARED,
            target: "korv-lm-1".to_owned(),
        };
        let address = self.companion.peer_address();
        self.links.run(address, request).await.unwrap()
    }

    async fn stop(self) {
        self.companion.stop().await;
        self.engine.stop().await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn runs_every_item_once_and_reports_in_groups() {
    let fixture = fixture(EngineSettings::instant(), 8).await;
    for grant in 1..=100 {
        fixture.entry.offer(grant, &format!("item {grant}"), 10_000);
    }
    until(|| fixture.entry.received_results().len() >= 100).await;
    let mut results = fixture.entry.received_results();
    results.sort_by_key(|result| result.grant);
    let grants: Vec<u64> = results.iter().map(|r| r.grant).collect();
    assert_eq!(grants, (1..=100).collect::<Vec<_>>());
    assert!(
        results
            .iter()
            .all(|r| r.status == 200 && !r.body.is_empty())
    );
    let groups = fixture.entry.0.lock().unwrap().groups.len();
    assert!(groups < 100, "{groups} messages");
    fixture.stop().await;
}

/// Delays each new connection to a server; returns the address in front.
async fn slow_to_connect(target: SocketAddr) -> SocketAddr {
    const DELAY: Duration = Duration::from_millis(300);
    let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    tokio::spawn(async move {
        while let Ok((mut caller, _)) = listener.accept().await {
            tokio::spawn(async move {
                tokio::time::sleep(DELAY).await;
                let mut server = TcpStream::connect(target).await.unwrap();
                let _ = copy_bidirectional(&mut caller, &mut server).await;
            });
        }
    });
    address
}

/// Guards against calls that are refused as if the endpoint were down: they
/// arrive after the companion has started and before its first health check
/// has ended.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_right_after_the_start_is_accepted() {
    let engine = Engine::start(EngineSettings::instant()).await.unwrap();
    let slow = slow_to_connect(engine.address()).await;
    let fixture = fixture_at(engine, format!("http://{slow}"), 1).await;
    let reply = fixture.call(1).await;
    assert!(matches!(reply, RunReply::Accepted { .. }));
    fixture.stop().await;
}

/// Guards against a job with half a line of output: the engine breaks off its
/// answer to an item, and the end of its bytes counts as that of the answer.
#[yare::parameterized(
    closed = { AnswerFraming::UntilClose, BreakOff::Close },
    closed_in_chunks = { AnswerFraming::Chunked, BreakOff::Close },
    marked_complete = { AnswerFraming::Chunked, BreakOff::MarkComplete },
    reset = { AnswerFraming::UntilClose, BreakOff::Reset },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_item_with_half_an_answer_is_lost(
    framing: AnswerFraming,
    break_off: BreakOff,
) {
    for cut in [0, 1, 40, 200] {
        let settings = EngineSettings {
            delivery: Delivery {
                path_prefix: "/v1/".to_owned(),
                framing,
                break_after_bytes: Some(cut),
                break_off,
            },
            ..EngineSettings::instant()
        };
        let fixture = fixture(settings, 1).await;
        fixture.entry.offer(1, "half of it", 10_000);
        until(|| !fixture.entry.received_results().is_empty()).await;
        let result = fixture.entry.received_results().remove(0);
        assert_eq!(result.outcome, ItemOutcome::Lost, "{cut}: {result:?}");
        fixture.stop().await;
    }
}

/// Guards against items that are lost although their answers are complete.
#[yare::parameterized(
    length = { AnswerFraming::Length },
    chunked = { AnswerFraming::Chunked },
    until_close = { AnswerFraming::UntilClose },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn an_item_with_a_whole_answer_is_answered(framing: AnswerFraming) {
    let settings = EngineSettings {
        delivery: Delivery {
            framing,
            ..Delivery::default()
        },
        ..EngineSettings::instant()
    };
    let fixture = fixture(settings, 1).await;
    fixture.entry.offer(1, "all of it", 10_000);
    until(|| !fixture.entry.received_results().is_empty()).await;
    let result = fixture.entry.received_results().remove(0);
    assert_eq!(result.outcome, ItemOutcome::Answered, "{result:?}");
    fixture.stop().await;
}

// Guards against a job that fails after a few load peaks: each peak preempts
// the same item, and a preemption counts as a failed attempt.
#[tokio::test(flavor = "multi_thread")]
async fn a_preempted_item_is_returned() {
    let fixture = fixture(EngineSettings::default(), 1).await;
    fixture.entry.offer(1, "[[slow 60000]]", 600_000);
    until(|| fixture.engine.counters().sequences.running == 1).await;
    let RunReply::Accepted { mut run, .. } = fixture.call(1).await else {
        panic!("the call was refused");
    };
    until(|| !fixture.entry.received_results().is_empty()).await;
    let result = fixture.entry.received_results().remove(0);
    assert_eq!(result.outcome, ItemOutcome::Returned);
    let end = async {
        loop {
            match run.next().await {
                Some(Frame::End(outcome)) => return outcome,
                Some(_) => {}
                None => panic!("the response has no end frame"),
            }
        }
    };
    let outcome = tokio::time::timeout(EVENT_TIMEOUT, end).await.unwrap();
    assert_eq!(outcome.kind, OutcomeKind::Complete);
    fixture.stop().await;
}

#[tokio::test(flavor = "multi_thread")]
async fn renews_grants_while_there_is_no_capacity() {
    let fixture = fixture(EngineSettings::default(), 1).await;
    fixture.entry.offer(7, "[[slow 60000]]", 300);
    until(|| {
        let state = fixture.entry.0.lock().unwrap();
        let renews = |pull: &&Pull| pull.capacity == 0 && pull.running == [7];
        state.pulls.iter().filter(renews).count() >= 3
    })
    .await;
    fixture.stop().await;
}

// Guards against a call that waits until its deadline and is then refused as
// "full": more calls arrive than the endpoint can finish in time, and only
// the length of the queue is bounded.
#[tokio::test(flavor = "multi_thread")]
async fn a_call_that_cannot_start_in_time_is_refused_at_once() {
    let fixture = fixture(EngineSettings::default(), 1).await;
    let mut runs = Vec::new();
    let refusal = loop {
        match fixture.call(runs.len() as u32).await {
            RunReply::Accepted { run, .. } => runs.push(run),
            RunReply::Refused { refusal, .. } => break refusal,
        }
    };
    let accepted = runs.len();
    assert_eq!(refusal.kind, RefusalKind::Full, "{accepted}: {refusal:?}");
    assert!(refusal.retry_after_ms > 0);
    // A call that was accepted but waits too long is refused early as well.
    assert!(runs.len() >= 2, "{} were accepted", runs.len());
    fixture.stop().await;
}
