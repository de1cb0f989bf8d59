//! Requests that are sent as probes, to test whether they still crash
//! endpoints.

mod common;

use std::{net::SocketAddr, sync::Arc};

use base::SystemClock;
use common::{
    Act, Fixture, Scripted, fixture, read, request_with, route, valid_response,
};
use fleet::RouteKind;
use pomeloslip_pass::Inbound;
use quarantine::{Crash, CrashedEndpoint, Quarantine, QuarantineOptions};
use tokio::net::TcpListener;
use yare::parameterized;

/// A refusal whose endpoint states that it did not run the request.
const DECLINED: &str = "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-not-run: 1\r\n\
                        content-length: 0\r\n\r\n";

/// Time since the last crash, in milliseconds: a probe is due.
const QUIET_MS: u64 = 15_000;

#[derive(Clone, Copy, Debug)]
enum Held {
    Request,
    PromptPart,
}

fn request(id: &str) -> Inbound {
    let route = route(RouteKind::Idempotent);
    request_with(id, route, &[("x-prompt", "first:100,own:20")])
}

/// Lets crashes of endpoints hold a request, or the first part of its prompt.
fn hold(setup: Fixture, held: Held) -> Fixture {
    let clock = Arc::new(SystemClock::new());
    let quarantine = Quarantine::local(clock, QuarantineOptions::default());
    let request = request("any");
    let parts = request.part_keys("app");
    let crashes = match held {
        Held::Request => 3,
        Held::PromptPart => 4,
    };
    let last = quarantine.now().saturating_sub_ms(QUIET_MS);
    for number in 0..crashes {
        let ended_at = last.saturating_sub_ms(500 * (crashes - number));
        let crash = Crash {
            endpoint: CrashedEndpoint::new(number),
            began_at: ended_at.saturating_sub_ms(100),
            ended_at,
            resumed_after: 0,
            reached: 0,
        };
        match held {
            Held::Request => quarantine.record_crash(request.digest(), crash),
            Held::PromptPart => {
                quarantine.record_part_crash(&parts, &crash, Some(50));
            }
        }
    }
    setup.with_quarantine(quarantine)
}

async fn refusing_connections() -> SocketAddr {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
    listener.local_addr().expect("address")
}

/// Guards against holding a request because of its own probe, which was
/// offered to an endpoint that did not run it.
#[parameterized(
    part_and_no_connection = { Held::PromptPart, false },
    part_and_refusal = { Held::PromptPart, true },
    request_and_no_connection = { Held::Request, false },
    request_and_refusal = { Held::Request, true },
)]
#[test_macro(tokio::test)]
async fn a_probe_that_is_not_run_is_offered_elsewhere(
    held: Held,
    declines: bool,
) {
    let act = Act::Respond(DECLINED.to_owned());
    let full = Scripted::start(vec![act]).await;
    let first = match declines {
        true => full.address,
        false => refusing_connections().await,
    };
    let other =
        Scripted::start(vec![Act::Respond(valid_response("ok"))]).await;
    let setup = hold(fixture(&[first, other.address]), held);
    let response = setup.forwarder.forward(request("r1"), 1).await;
    assert_eq!(response.status(), 200);
    assert!(read(response).await.1.expect("whole").ends_with("ok"));
    assert_eq!(other.seen().len(), 1);
}

/// Guards against a probe that runs and is offered once more: the endpoint
/// closes the connection without a response.
#[parameterized(
    held_part = { Held::PromptPart },
    held_request = { Held::Request },
)]
#[test_macro(tokio::test)]
async fn a_probe_that_may_have_run_is_offered_once(held: Held) {
    let one = Scripted::start(vec![Act::Close]).await;
    let other =
        Scripted::start(vec![Act::Respond(valid_response("ok"))]).await;
    let setup = hold(fixture(&[one.address, other.address]), held);
    let response = setup.forwarder.forward(request("r1"), 1).await;
    assert_eq!(response.status(), 502);
    assert_eq!((one.seen().len(), other.seen().len()), (1, 0));
}
