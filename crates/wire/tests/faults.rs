//! Tests client and server through a proxy that injects network faults.
#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
    time::Duration,
};

use base::{Class, Incarnation, VersionKey};
use bytes::Bytes;
use faultproxy::{Direction, Fault, FaultProxy, Handle, Rule, Scope};
use futures::future::{BoxFuture, FutureExt};
use pomeloslip_wire::{
    CompanionHandler, FrameSender, Handlers, LinkError, LinkOptions, Links,
    Run, RunReply, ServeOptions, Server, message::*, serve_with,
};
use tokio::time::timeout;

/// Timeout for expected events, long enough for a slow machine.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Heartbeat timeout of the connections in these tests: long enough that a
/// busy machine does not exceed it.
const SILENCE_MS: u64 = 1_500;

/// Number of calls that the companion started and saw cancelled.
#[derive(Clone, Default)]
struct Seen {
    started: Arc<AtomicU32>,
    cancelled: Arc<AtomicU32>,
}

/// Handler that sends only the head of each response.
struct Hang(Seen);

impl CompanionHandler for Hang {
    fn run(
        &self,
        _: Request,
        answer: FrameSender,
    ) -> BoxFuture<'static, Result<(), Refusal>> {
        let seen = self.0.clone();
        async move {
            seen.started.fetch_add(1, Ordering::SeqCst);
            tokio::spawn(async move {
                let head = Frame::Head {
                    status: 200,
                    headers: vec![],
                };
                // The send fails if the connection is already lost.
                let _ = answer.send(head).await;
                answer.closed().await;
                seen.cancelled.fetch_add(1, Ordering::SeqCst);
            });
            Ok(())
        }
        .boxed()
    }

    fn load(&self) -> Load {
        Load::default()
    }

    fn order(&self, _: Order) -> BoxFuture<'static, Result<(), Refusal>> {
        async { Ok(()) }.boxed()
    }
}

struct Setup {
    seen: Seen,
    _server: Server,
    proxy: FaultProxy,
    handle: Handle,
    links: Links,
}

fn identity(vm: &str) -> Identity {
    Identity {
        role: "companion".to_owned(),
        vm: vm.parse().unwrap(),
        incarnation: Incarnation::new(7),
        failure_domain: "tallinn-a".parse().unwrap(),
    }
}

async fn setup(connect_timeout_ms: u64) -> Setup {
    let seen = Seen::default();
    let handlers = Handlers {
        companion: Some(Arc::new(Hang(seen.clone()))),
        ..Handlers::default()
    };
    let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let options = ServeOptions::new(listen, identity("korv-1"))
        .silence_ms(2 * SILENCE_MS);
    let server = serve_with(options, handlers).await.unwrap();
    let proxy = FaultProxy::start(server.address(), 1).await.unwrap();
    let options = LinkOptions::new(identity("entry-1"))
        .connect_timeout_ms(connect_timeout_ms)
        .call_timeout_ms(30_000)
        .heartbeat_ms(100, SILENCE_MS);
    Setup {
        seen,
        _server: server,
        handle: proxy.handle(),
        proxy,
        links: Links::start(options).unwrap(),
    }
}

fn request() -> Request {
    Request {
        request_id: "r-1".parse().unwrap(),
        attempt: 0,
        customer: "taevakorv".parse().unwrap(),
        class: Class::Online,
        method: "POST".to_owned(),
        path: "/x".to_owned(),
        headers: vec![],
        body: Bytes::from_static(b"hello"),
        deadline_ms: 0,
        repeatable: false,
        resume_offset: 0,
        version: VersionKey::UNDECLARED,
        target: "korv-1".to_owned(),
    }
}

impl Setup {
    async fn call(&self) -> Result<Run, LinkError> {
        let call = self.links.run(self.proxy.address(), request());
        match timeout(EVENT_TIMEOUT, call).await.unwrap() {
            Ok(RunReply::Accepted { run, .. }) => Ok(run),
            Ok(RunReply::Refused { refusal, .. }) => panic!("{refusal:?}"),
            Err(report) => Err(*report.current_context()),
        }
    }

    fn started(&self) -> u32 {
        self.seen.started.load(Ordering::SeqCst)
    }
}

async fn next(run: &mut Run) -> Option<Frame> {
    timeout(EVENT_TIMEOUT, run.next()).await.unwrap()
}

/// Guards against a connection that stays unusable until the entry restarts:
/// a network device loses the state of the open connection and drops all of
/// its packets. Only a heartbeat detects this, and only a new connection
/// recovers from it.
#[yare::parameterized(
    both_ways = { Direction::Both },
    calls_vanish = { Direction::ToTarget },
    answers_vanish = { Direction::ToClient },
)]
fn a_silent_link_is_dropped_and_replaced(direction: Direction) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let setup = setup(20_000).await;
        let mut run = setup.call().await.unwrap();
        assert!(matches!(next(&mut run).await, Some(Frame::Head { .. })));
        let silence = Rule::new(Fault::Silence);
        let silence = silence.direction(direction).scope(Scope::Open);
        setup.handle.set(vec![silence]);
        assert_eq!(next(&mut run).await, None);
        let mut run = setup.call().await.unwrap();
        assert!(matches!(next(&mut run).await, Some(Frame::Head { .. })));
        assert!(setup.handle.counts().accepted >= 2);
    });
}

/// Guards against a call that is reported as not sent although it ran: the
/// connection is half-open, the call arrives and its acceptance is lost. The
/// caller cannot distinguish this from a call that never arrived, so the
/// outcome must be unknown.
#[yare::parameterized(
    call_arrives = { Direction::ToClient, 2 },
    call_vanishes = { Direction::ToTarget, 1 },
)]
fn a_call_on_a_half_open_link_is_unknown(direction: Direction, started: u32) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let setup = setup(20_000).await;
        let first = setup.call().await.unwrap();
        let silence = Rule::new(Fault::Silence);
        let silence = silence.direction(direction).scope(Scope::Open);
        setup.handle.set(vec![silence]);
        let error = setup.call().await.unwrap_err();
        assert_eq!(error, LinkError::Unknown);
        assert_eq!(setup.started(), started);
        setup.call().await.unwrap();
        drop(first);
    });
}

/// Guards against a call that is reported as possibly run although it was not
/// sent: new connections are silent, so that authentication never completes.
/// Calls are sent only on an authenticated connection, so the outcome is
/// certain.
#[tokio::test]
async fn a_link_that_never_came_up_is_known_as_not_sent() {
    let setup = setup(500).await;
    setup.handle.set(vec![Rule::new(Fault::Silence)]);
    let error = setup.call().await.unwrap_err();
    assert_eq!(error, LinkError::NotSent);
    assert_eq!(setup.started(), 0);
}

/// Guards against a reader that waits indefinitely when the connection is
/// reset in the middle of a response.
#[tokio::test]
async fn a_reset_link_ends_its_answers_and_is_replaced() {
    let setup = setup(20_000).await;
    let mut run = setup.call().await.unwrap();
    assert!(matches!(next(&mut run).await, Some(Frame::Head { .. })));
    setup.handle.cut_open();
    assert_eq!(next(&mut run).await, None);
    setup.call().await.unwrap();
    assert_eq!(setup.started(), 2);
}

/// Guards against an engine that generates for a caller that was lost minutes
/// ago: the connection is silent in both directions, so that the companion
/// receives neither a cancel nor the end of the connection. The companion
/// must detect missing heartbeats itself.
#[tokio::test]
async fn the_companion_gives_up_a_caller_that_went_silent() {
    let setup = setup(20_000).await;
    let run = setup.call().await.unwrap();
    let silence = Rule::new(Fault::Silence).scope(Scope::Open);
    setup.handle.set(vec![silence]);
    let cancelled = async {
        while setup.seen.cancelled.load(Ordering::SeqCst) == 0 {
            tokio::time::sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(EVENT_TIMEOUT, cancelled).await.unwrap();
    assert_eq!(setup.started(), 1);
    drop(run);
}
