//! Companions whose reports contradict themselves about a call that they took.
#![allow(clippy::unwrap_used)]

mod forward_common;

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use base::{Incarnation, VersionKey};
use bytes::Bytes;
use forward_common::{call, chat, entry, platform, with_companion};
use futures::future::{BoxFuture, FutureExt};
use pomeloslip_entry::Entry;
use serde_json::Value;
use standin::kv::KvServiceHandle;
use wire::{
    CompanionHandler, FrameSender, Handlers, Secrets, Server,
    message::{
        Frame, Header, Identity, Load, Order, Outcome, OutcomeKind, Refusal,
        Request,
    },
    serve,
};
use yare::parameterized;

/// A companion that takes each call and sends these frames.
struct Scripted {
    taken: Arc<AtomicU32>,
    frames: Vec<Frame>,
}

impl CompanionHandler for Scripted {
    fn run(
        &self,
        _: Request,
        answer: FrameSender,
    ) -> BoxFuture<'static, Result<(), Refusal>> {
        self.taken.fetch_add(1, Ordering::SeqCst);
        let frames = self.frames.clone();
        tokio::spawn(async move {
            for frame in frames {
                let _ = answer.send(frame).await;
            }
        });
        async { Ok(()) }.boxed()
    }

    fn load(&self) -> Load {
        Load {
            endpoint_up: true,
            version: VersionKey::UNDECLARED,
            ..Load::default()
        }
    }

    fn order(&self, _: Order) -> BoxFuture<'static, Result<(), Refusal>> {
        async { Ok(()) }.boxed()
    }
}

struct Ground {
    entry: Entry,
    taken: Arc<AtomicU32>,
    _companions: Vec<Server>,
    _platform: KvServiceHandle,
}

impl Ground {
    async fn start(then: &str, frames: Vec<Frame>) -> Self {
        let platform = platform(then).await;
        let taken = Arc::new(AtomicU32::new(0));
        let mut companions = Vec::new();
        let mut lines = "endpoints:\n".to_owned();
        for at in 0..2 {
            let scripted = Scripted {
                taken: taken.clone(),
                frames: frames.clone(),
            };
            let server = companion(at, scripted).await;
            let name = format!("korv-lm-{at}");
            lines += &with_companion(&name, server.address());
            companions.push(server);
        }
        let entry = entry(&platform, &lines).await;
        Self {
            entry,
            taken,
            _companions: companions,
            _platform: platform,
        }
    }
}

async fn companion(at: u64, scripted: Scripted) -> Server {
    let handlers = Handlers {
        companion: Some(Arc::new(scripted)),
        ..Handlers::default()
    };
    let identity = Identity {
        role: "companion".to_owned(),
        vm: format!("vm-{at}").parse().unwrap(),
        incarnation: Incarnation::new(at + 1),
        failure_domain: "tallinn-a".parse().unwrap(),
    };
    let listen = "127.0.0.1:0".parse().unwrap();
    let server = serve(listen, identity, Secrets::default(), handlers).await;
    server.unwrap()
}

fn head() -> Frame {
    Frame::Head {
        status: 200,
        headers: vec![Header {
            name: "content-length".to_owned(),
            value: "18".to_owned(),
        }],
    }
}

fn end(kind: OutcomeKind, chunks: u32) -> Frame {
    Frame::End(Outcome {
        kind,
        ran: false,
        detail: "scripted".to_owned(),
        chunks,
    })
}

fn comment() -> Frame {
    let bytes = Bytes::from_static(b": wait\n\n");
    Frame::Chunk { seq: 0, bytes }
}

/// Guards against a second run, and a promise, of a call that may run only
/// once: a companion says that it did not run, and what else it says shows
/// that it may have.
#[parameterized(
    after_a_head = {
        vec![head(), end(OutcomeKind::NotSent, 0)], "unknown", 1
    },
    after_a_comment = {
        vec![head(), comment(), end(OutcomeKind::NotSent, 1)], "unknown", 1
    },
    counts_chunks = { vec![end(OutcomeKind::NotSent, 1)], "unknown", 1 },
    complete = { vec![end(OutcomeKind::Complete, 0)], "unknown", 1 },
    truncated = { vec![end(OutcomeKind::Truncated, 0)], "unknown", 1 },
    broken = { vec![end(OutcomeKind::Broken, 0)], "unknown", 1 },
    timed_out = { vec![end(OutcomeKind::TimedOut, 0)], "unknown", 1 },
    cancelled = { vec![end(OutcomeKind::Cancelled, 0)], "unknown", 1 },
    crashed = { vec![end(OutcomeKind::Crashed, 0)], "unknown", 1 },
    not_sent = { vec![end(OutcomeKind::NotSent, 0)], "no", 2 },
)]
#[test_macro(tokio::test(flavor = "multi_thread"))]
async fn a_contradiction_counts_as_possibly_run(
    frames: Vec<Frame>,
    ran: &str,
    taken: u32,
) {
    let ground = Ground::start(", repeatable: false", frames).await;
    let body = chat("may I fly");
    let reply = call(&ground.entry, "/v1/chat/completions", &body).await;
    let status = reply.status().as_u16();
    let problem: Value = reply.json().await.unwrap();
    assert_eq!(problem["ran"], ran, "{problem}");
    assert_eq!(ground.taken.load(Ordering::SeqCst), taken);
    assert_eq!(status == 503, ran == "no", "{problem}");
}
