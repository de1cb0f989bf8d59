//! Tests client and server over loopback sockets.
#![allow(clippy::unwrap_used)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use base::{Class, Incarnation, VersionKey};
use bytes::Bytes;
use futures::future::{BoxFuture, FutureExt};
use pomeloslip_wire::{
    CompanionHandler, FrameSender, Handlers, LinkError, LinkOptions, Links,
    RunReply, Secret, Secrets, Server, message::*, serve,
};

struct Echo {
    cancelled: Arc<AtomicBool>,
}

impl CompanionHandler for Echo {
    fn run(
        &self,
        request: Request,
        answer: FrameSender,
    ) -> BoxFuture<'static, Result<(), Refusal>> {
        let cancelled = self.cancelled.clone();
        async move {
            if request.path == "/full" {
                let refusal = Refusal::new(RefusalKind::Full, "no capacity");
                return Err(refusal.retry_after_ms(250));
            }
            tokio::spawn(async move {
                let head = Frame::Head {
                    status: 200,
                    headers: vec![],
                };
                answer.send(head).await.unwrap();
                if request.path == "/hang" {
                    answer.closed().await;
                    cancelled.store(true, Ordering::SeqCst);
                    return;
                }
                let chunks = if request.path == "/long" { 200 } else { 40 };
                for seq in 0..chunks {
                    let bytes = request.body.clone();
                    answer.send(Frame::Chunk { seq, bytes }).await.unwrap();
                }
                answer.send(Frame::End(whole(chunks))).await.unwrap();
            });
            Ok(())
        }
        .boxed()
    }

    fn load(&self) -> Load {
        Load {
            running: 3,
            endpoint_up: true,
            ..Load::default()
        }
    }

    fn order(&self, _: Order) -> BoxFuture<'static, Result<(), Refusal>> {
        let stale = Refusal::new(RefusalKind::StaleFence, "old");
        async { Err(stale) }.boxed()
    }
}

fn whole(chunks: u32) -> Outcome {
    let kind = OutcomeKind::Complete;
    Outcome {
        kind,
        ran: true,
        detail: String::new(),
        chunks,
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

fn secrets(texts: &[&str]) -> Secrets {
    let secret = |text: &&str| Secret::try_new(text).unwrap();
    Secrets::new(texts.iter().map(secret).collect())
}

async fn start(there: Secrets) -> (Server, Arc<AtomicBool>) {
    let cancelled = Arc::new(AtomicBool::new(false));
    let echo = Echo {
        cancelled: cancelled.clone(),
    };
    let handlers = Handlers {
        companion: Some(Arc::new(echo)),
        ..Handlers::default()
    };
    let listen: SocketAddr = "127.0.0.1:0".parse().unwrap();
    let server = serve(listen, identity("korv-1"), there, handlers);
    (server.await.unwrap(), cancelled)
}

fn links(here: Secrets) -> Links {
    let options = LinkOptions::new(identity("entry-1")).secrets(here);
    Links::start(options).unwrap()
}

fn request(path: &str) -> Request {
    Request {
        request_id: "r-1".parse().unwrap(),
        attempt: 0,
        customer: "taevakorv".parse().unwrap(),
        class: Class::Online,
        method: "POST".to_owned(),
        path: path.to_owned(),
        headers: vec![],
        body: Bytes::from_static(b"hello"),
        deadline_ms: 0,
        repeatable: true,
        resume_offset: 0,
        version: VersionKey::UNDECLARED,
        target: "korv-1".to_owned(),
    }
}

#[tokio::test]
async fn an_answer_arrives_whole_and_in_order() {
    let (server, _) = start(Secrets::default()).await;
    let links = links(Secrets::default());
    let reply = links.run(server.address(), request("/x")).await.unwrap();
    let RunReply::Accepted { mut run, load } = reply else {
        panic!("refused");
    };
    assert_eq!(load.running, 3);
    let head = Frame::Head {
        status: 200,
        headers: vec![],
    };
    assert_eq!(run.next().await, Some(head));
    for seq in 0..40 {
        let bytes = Bytes::from_static(b"hello");
        assert_eq!(run.next().await, Some(Frame::Chunk { seq, bytes }));
    }
    assert_eq!(run.next().await, Some(Frame::End(whole(40))));
}

#[tokio::test]
async fn a_refusal_has_a_kind_and_a_retry_delay() {
    let (server, _) = start(Secrets::default()).await;
    let links = links(Secrets::default());
    let reply = links.run(server.address(), request("/full")).await.unwrap();
    let RunReply::Refused { refusal, .. } = reply else {
        panic!("accepted");
    };
    assert_eq!(refusal.kind, RefusalKind::Full);
    assert_eq!(refusal.retry_after_ms, 250);
}

/// Guards against an engine that continues to generate after its caller
/// dropped the response: without a cancel message the companion would notice
/// only at its next chunk.
#[tokio::test]
async fn dropping_an_answer_cancels_the_call() {
    let (server, cancelled) = start(Secrets::default()).await;
    let links = links(Secrets::default());
    let reply = links.run(server.address(), request("/hang")).await.unwrap();
    drop(reply);
    while !cancelled.load(Ordering::SeqCst) {
        tokio::task::yield_now().await;
    }
}

#[tokio::test]
async fn a_stale_order_is_refused() {
    let (server, _) = start(Secrets::default()).await;
    let links = links(Secrets::default());
    let order = Order {
        fence: 1,
        kind: "load_model".to_owned(),
        body: Bytes::new(),
    };
    let error = links.order(server.address(), order).await.unwrap_err();
    let refused = LinkError::Refused(RefusalKind::StaleFence);
    assert_eq!(error.current_context(), &refused);
}

/// Guards against a refused connection that is reported as an unknown outcome
/// although nothing listens at the address; such a call can be retried even if
/// it is not idempotent.
#[tokio::test]
async fn a_refused_connection_is_known_as_not_sent() {
    let (server, _) = start(Secrets::default()).await;
    let address = server.address();
    server.stop().await;
    let links = links(Secrets::default());
    let error = links.run(address, request("/x")).await.unwrap_err();
    assert_eq!(error.current_context(), &LinkError::NotSent);
}

/// Guards against a reader that waits indefinitely for further frames when the
/// companion's process ends in the middle of a response.
#[tokio::test]
async fn a_lost_connection_ends_the_answer_without_its_end() {
    let (server, _) = start(Secrets::default()).await;
    let links = links(Secrets::default());
    let reply = links.run(server.address(), request("/hang")).await.unwrap();
    let RunReply::Accepted { mut run, .. } = reply else {
        panic!("refused");
    };
    run.next().await.unwrap();
    server.stop().await;
    assert_eq!(run.next().await, None);
}

const OLD: &str = "old-0123456789abcdef";
const NEW: &str = "new-0123456789abcdef";

#[yare::parameterized(
    same = { &[OLD], &[OLD], true },
    rotation_begun = { &[OLD], &[OLD, NEW], true },
    rotation_swapped = { &[OLD, NEW], &[NEW, OLD], true },
    other = { &[OLD], &[NEW], false },
    none_here = { &[], &[NEW], false },
)]
fn only_peers_with_a_shared_secret_are_served(
    here: &[&str],
    there: &[&str],
    served: bool,
) {
    let runtime = tokio::runtime::Runtime::new().unwrap();
    runtime.block_on(async {
        let (server, _) = start(secrets(there)).await;
        let links = links(secrets(here));
        let load = links.load(server.address()).await;
        assert_eq!(load.is_ok(), served, "{load:?}");
    });
}

/// Guards against truncated responses at a graceful shutdown: the handler has
/// sent its last frame, the caller reads slowly, and the server stops while
/// frames are still queued in it.
#[tokio::test]
async fn answers_are_open_until_they_are_delivered() {
    let (server, _) = start(Secrets::default()).await;
    let links = links(Secrets::default());
    assert_eq!(server.undelivered_responses(), 0);
    let reply = links.run(server.address(), request("/long")).await.unwrap();
    let RunReply::Accepted { mut run, .. } = reply else {
        panic!("refused");
    };
    assert_eq!(server.undelivered_responses(), 1);
    let mut frames = 0;
    while run
        .next()
        .await
        .is_some_and(|f| !matches!(f, Frame::End(_)))
    {
        frames += 1;
    }
    assert_eq!(frames, 201);
    while server.undelivered_responses() > 0 {
        tokio::task::yield_now().await;
    }
}
