//! Tests of links whose peer falls silent for a while and goes on.
#![allow(clippy::unwrap_used)]

use std::{net::SocketAddr, sync::Arc, time::Duration};

use base::{Class, Incarnation, VersionKey};
use bytes::Bytes;
use faultproxy::{Direction, Fault, FaultProxy, Rule, Scope};
use futures::future::{BoxFuture, FutureExt};
use pomeloslip_wire::{
    CompanionHandler, FrameSender, Handlers, LinkError, LinkOptions, Links,
    Run, RunReply, ServeOptions, Server, message::*, serve_with,
};
use tokio::{sync::Notify, time::timeout};

/// Timeout for expected events, long enough for a slow machine.
const EVENT_TIMEOUT: Duration = Duration::from_secs(60);

/// Longest silence of a sound peer, in milliseconds.
const PAUSE_MS: u64 = 3_000;

/// Handler that sends the head at once and the rest when it is told to.
struct Held(Arc<Notify>);

impl CompanionHandler for Held {
    fn run(
        &self,
        request: Request,
        answer: FrameSender,
    ) -> BoxFuture<'static, Result<(), Refusal>> {
        let go_on = self.0.clone();
        async move {
            tokio::spawn(async move {
                let head = Frame::Head {
                    status: 200,
                    headers: vec![],
                };
                if answer.send(head).await.is_err() {
                    return;
                }
                tokio::select! {
                    () = go_on.notified() => {}
                    () = answer.closed() => return,
                }
                let bytes = request.body;
                // A failed send shows as a missing frame.
                let _ = answer.send(Frame::Chunk { seq: 0, bytes }).await;
                let _ = answer.send(Frame::End(complete())).await;
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

fn complete() -> Outcome {
    Outcome {
        kind: OutcomeKind::Complete,
        ran: true,
        detail: String::new(),
        chunks: 1,
    }
}

fn identity(vm: &str) -> Identity {
    Identity {
        role: "companion".to_owned(),
        vm: vm.parse().unwrap(),
        incarnation: Incarnation::new(7),
        failure_domain: "tallinn-a".parse().unwrap(),
    }
}

struct Setup {
    go_on: Arc<Notify>,
    _server: Server,
    proxy: FaultProxy,
    links: Links,
}

/// Connects a client to a companion through a proxy, with default timeouts.
async fn setup() -> Setup {
    let go_on = Arc::new(Notify::new());
    let handlers = Handlers {
        companion: Some(Arc::new(Held(go_on.clone()))),
        ..Handlers::default()
    };
    let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let options = ServeOptions::new(listen, identity("korv-1"));
    let server = serve_with(options, handlers).await.unwrap();
    let proxy = FaultProxy::start(server.address(), 1).await.unwrap();
    Setup {
        go_on,
        _server: server,
        proxy,
        links: Links::start(LinkOptions::new(identity("entry-1"))).unwrap(),
    }
}

impl Setup {
    async fn call(&self) -> Result<Run, LinkError> {
        let request = Request {
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
        };
        let call = self.links.run(self.proxy.address(), request);
        match timeout(EVENT_TIMEOUT, call).await.unwrap() {
            Ok(RunReply::Accepted { run, .. }) => Ok(run),
            Ok(RunReply::Refused { refusal, .. }) => panic!("{refusal:?}"),
            Err(report) => Err(*report.current_context()),
        }
    }

    /// Delays what the open connections transfer in the next time.
    fn pause(&self, direction: Direction) {
        // A delay in one direction ends with the pause; in both, it holds
        // until the answers to what was delayed are delayed as well.
        let held_ms = match direction {
            Direction::Both => 3 * PAUSE_MS / 2,
            _ => PAUSE_MS / 2,
        };
        let pause = Rule::new(Fault::Delay { ms: PAUSE_MS });
        let pause = pause.direction(direction).scope(Scope::Open);
        let handle = self.proxy.handle();
        handle.set(vec![pause]);
        tokio::spawn(async move {
            tokio::time::sleep(Duration::from_millis(held_ms)).await;
            handle.clear();
        });
    }

    /// Lets the companion send the rest of a response and asserts that it is
    /// complete.
    async fn completes(&self, mut run: Run) {
        self.go_on.notify_one();
        let bytes = Bytes::from_static(b"hello");
        let chunk = Frame::Chunk { seq: 0, bytes };
        assert_eq!(next(&mut run).await, Some(chunk));
        assert_eq!(next(&mut run).await, Some(Frame::End(complete())));
    }
}

async fn next(run: &mut Run) -> Option<Frame> {
    timeout(EVENT_TIMEOUT, run.next()).await.unwrap()
}

/// Guards against all answers of a link that end because it was silent for 3 s.
#[yare::parameterized(
    the_companion_is_silent = { Direction::ToClient },
    the_entry_is_silent = { Direction::ToTarget },
)]
fn a_link_that_goes_on_after_a_silence_keeps_its_calls(direction: Direction) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let setup = setup().await;
        let mut run = setup.call().await.unwrap();
        assert!(matches!(next(&mut run).await, Some(Frame::Head { .. })));
        setup.pause(direction);
        tokio::time::sleep(Duration::from_millis(PAUSE_MS)).await;
        setup.completes(run).await;
    });
}

/// Guards against a call of unknown outcome because its acceptance took long.
#[tokio::test]
async fn a_call_waits_for_an_acceptance_that_is_late() {
    let setup = setup().await;
    // Opens the connection.
    drop(setup.call().await.unwrap());
    setup.pause(Direction::Both);
    let mut run = setup.call().await.unwrap();
    assert!(matches!(next(&mut run).await, Some(Frame::Head { .. })));
    setup.completes(run).await;
}

/// Guards against new calls that wait for a connection that lost its state.
#[tokio::test]
async fn new_calls_avoid_a_silent_link_that_keeps_its_calls() {
    let setup = setup().await;
    let mut first = setup.call().await.unwrap();
    assert!(matches!(next(&mut first).await, Some(Frame::Head { .. })));
    setup.pause(Direction::Both);
    tokio::time::sleep(Duration::from_millis(PAUSE_MS + 500)).await;
    let mut second = setup.call().await.unwrap();
    assert!(matches!(next(&mut second).await, Some(Frame::Head { .. })));
    assert_eq!(setup.proxy.handle().counts().accepted, 2);
    drop(second);
    setup.completes(first).await;
}
