//! Restore of the buckets of a token server from the reports of fronts.

use base::{Customer, Millis};
use pomeloslip_limits::{
    CustomerHistory, Demand, RateLimit, SLOT_COUNT, ServerTimestamp,
    TokenEvent, TokenRequest, TokenServer, TokenServerOptions, Tolerance,
};
use yare::parameterized;

const ALLOWANCE: Tolerance = Tolerance {
    window_ms: 5_000,
    excess: 0.1,
    slack: 20,
};

const INCARNATION: u64 = 5;

/// On the clock of the server: later than new processes get initial tokens.
const ALLOTTED_MS: u64 = 10_000;

fn customer() -> Customer {
    "alama".parse().expect("a valid name")
}

fn limit(per_s: f64, burst: u32, version: u64) -> RateLimit {
    let limit = RateLimit::try_new(per_s, burst).expect("a valid limit");
    limit.with_version(version)
}

fn usual_limit() -> RateLimit {
    limit(20.0, 100, 1)
}

/// Tokens of a replica that counted nothing.
fn full() -> u32 {
    (ALLOWANCE.burst_tokens(usual_limit()) / 2.0) as u32
}

fn server() -> TokenServer {
    let options = TokenServerOptions::default();
    TokenServer::new("worker-1", INCARNATION, ALLOWANCE, options)
}

/// A message of one of two fronts that allots all slots.
fn allotting(front: &str, sequence: u64, at_ms: u64) -> TokenRequest {
    TokenRequest {
        front: front.to_owned(),
        incarnation: 1,
        sequence,
        lease_start: Some(ServerTimestamp {
            incarnation: INCARNATION,
            at_ms,
        }),
        slots: u16::MAX,
        fronts: 2,
        demands: Vec::new(),
        history: Vec::new(),
        history_slots: 0,
        incomplete_slots: 0,
    }
}

fn reporting(front: &str, sequence: u64, counts: &[u32]) -> TokenRequest {
    let history = CustomerHistory {
        customer: customer(),
        replica: 0,
        limit: usual_limit(),
        counts: counts.iter().map(|count| (0, *count)).collect(),
    };
    TokenRequest {
        history: vec![history],
        history_slots: u16::MAX,
        ..allotting(front, sequence, ALLOTTED_MS)
    }
}

/// Asks for many tokens, 10 ms after the reports.
fn granted(server: &mut TokenServer, limit: RateLimit) -> u32 {
    let demand = Demand {
        customer: customer(),
        replica: 0,
        limit,
        count: 1_000,
    };
    let request = TokenRequest {
        demands: vec![demand],
        ..allotting("front-1", 1_000, ALLOTTED_MS)
    };
    let now = Millis::new(ALLOTTED_MS + 10);
    let reply = server.handle(&request, now).expect("valid");
    reply.grants[0].granted
}

fn receive(server: &mut TokenServer, messages: &[TokenRequest]) {
    for message in messages {
        server.handle(message, Millis::new(ALLOTTED_MS));
    }
}

/// Guards against refusals below the limit after the loss of a server, and
/// against restored tokens while a front may have used any part of the limit.
#[parameterized(
    both_reported = {
        &[reporting("front-1", 1, &[4]), reporting("front-2", 1, &[2])], 6, true
    },
    nothing_was_admitted = {
        &[reporting("front-1", 1, &[]), reporting("front-2", 1, &[])], 0, true
    },
    one_is_missing = {
        &[reporting("front-1", 1, &[4]),
          allotting("front-2", 1, ALLOTTED_MS)],
        full(), false
    },
    one_is_young = {
        &[reporting("front-1", 1, &[4]), TokenRequest {
            incomplete_slots: u16::MAX,
            ..allotting("front-2", 1, ALLOTTED_MS)
        }],
        full(), false
    },
    one_has_released_its_share = {
        &[reporting("front-1", 1, &[4]), reporting("front-2", 1, &[2]),
          TokenRequest {
            slots: 0,
            ..allotting("front-2", 2, ALLOTTED_MS)
        }],
        full(), false
    },
    one_has_started_anew = {
        &[reporting("front-1", 1, &[4]), reporting("front-2", 1, &[2]),
          TokenRequest {
            incarnation: 2,
            ..allotting("front-2", 2, ALLOTTED_MS)
        }],
        full(), false
    },
    a_report_is_repeated = {
        &[reporting("front-1", 1, &[4]), reporting("front-1", 2, &[4]),
          reporting("front-2", 1, &[2])],
        6, true
    },
    a_report_arrives_twice_and_late = {
        &[reporting("front-1", 2, &[4]), reporting("front-1", 2, &[4]),
          reporting("front-1", 1, &[1]), reporting("front-2", 1, &[2])],
        6, true
    },
    more_was_admitted_than_the_limit = {
        &[reporting("front-1", 1, &[9_000]), reporting("front-2", 1, &[2])],
        full(), true
    },
)]
fn tokens_after_reports(
    messages: &[TokenRequest],
    missing: u32,
    is_restored: bool,
) {
    assert!(full() > 20);
    let mut server = server();
    receive(&mut server, messages);
    let found = granted(&mut server, usual_limit());
    // Ten milliseconds refill a tenth of a token.
    assert_eq!(found, full() - missing);
    let events = server.take_events();
    let restored = |event| matches!(event, TokenEvent::Restored { .. });
    assert_eq!(events.into_iter().any(restored), is_restored);
}

/// Guards against a limit that operators have lowered and that a restore
/// raises again: a front does not know the lower limit yet.
#[parameterized(
    known_to_the_front_that_asks = { 1, 2 },
    known_to_a_front_that_reports = { 2, 1 },
)]
fn a_lowered_limit_applies_to_restored_tokens(reported: u64, asked: u64) {
    let of_version = |version| match version {
        1 => usual_limit(),
        _ => limit(4.0, 4, version),
    };
    let mut server = server();
    let mut first = reporting("front-1", 1, &[]);
    first.history[0].limit = of_version(reported);
    receive(&mut server, &[first, reporting("front-2", 1, &[])]);
    let lower = ALLOWANCE.burst_tokens(of_version(2)) / 2.0;
    assert!(f64::from(full()) > lower + 1.0);
    let found = granted(&mut server, of_version(asked));
    assert!(f64::from(found) <= lower + 0.1, "{found}, at most {lower}");
}

/// Guards against tokens of a restored bucket that are still there although a
/// part of the shares has been counted elsewhere meanwhile.
#[test]
fn restored_tokens_end_with_the_shares() {
    let mut server = server();
    let messages =
        [reporting("front-1", 1, &[]), reporting("front-2", 1, &[])];
    receive(&mut server, &messages);
    let at = |ms| Millis::new(ALLOTTED_MS + ms);
    server.handle(&allotting("front-1", 2, ALLOTTED_MS), at(1));
    let released = TokenRequest {
        slots: 0,
        ..allotting("front-2", 2, ALLOTTED_MS)
    };
    server.handle(&released, at(2));
    server.handle(&allotting("front-2", 3, ALLOTTED_MS), at(3));
    assert!(granted(&mut server, usual_limit()) <= full() / 2);
}

#[parameterized(
    of_an_unknown_replica = {
        |request: &mut TokenRequest| request.history[0].replica = 2
    },
    of_a_slot_that_is_not_reported = {
        |request: &mut TokenRequest| request.history_slots = 0
    },
    of_a_slot_that_is_not_allotted = {
        |request: &mut TokenRequest| request.slots = 0
    },
    both_complete_and_not = {
        |request: &mut TokenRequest| request.incomplete_slots = 1
    },
    too_many_requests = {
        |request: &mut TokenRequest|
            request.history[0].counts = vec![(0, u32::MAX)]
    },
    too_old = {
        |request: &mut TokenRequest|
            request.history[0].counts = vec![(u64::MAX, 1)]
    },
    too_many_counts = {
        |request: &mut TokenRequest|
            request.history[0].counts = vec![(0, 1); 4_001]
    },
    too_many_customers = {
        |request: &mut TokenRequest|
            request.history = vec![request.history[0].clone(); 401]
    },
    a_rate_that_is_none = {
        |request: &mut TokenRequest| {
            let text = r#"{"per_s":-1.0,"burst":1,"version":1}"#;
            request.history[0].limit =
                serde_json::from_str(text).expect("decoded");
        }
    },
)]
fn out_of_range_reports_change_nothing(corrupt: fn(&mut TokenRequest)) {
    let mut server = server();
    let mut corrupted = reporting("front-1", 1, &[1]);
    corrupt(&mut corrupted);
    let now = Millis::new(ALLOTTED_MS);
    assert!(server.handle(&corrupted, now).is_none());
    let allotted = (0..SLOT_COUNT).map(|slot| server.allotted(slot));
    assert_eq!(allotted.sum::<f64>(), 0.0);
}
