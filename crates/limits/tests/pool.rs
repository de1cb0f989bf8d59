//! Handling of stale, duplicate and invalid messages by token servers.

use base::Millis;
use pomeloslip_limits::{
    Demand, RateLimit, SLOT_COUNT, ServerTimestamp, TokenRequest, TokenServer,
    TokenServerOptions, Tolerance,
};
use yare::parameterized;

const ALLOWANCE: Tolerance = Tolerance {
    window_ms: 5_000,
    excess: 0.1,
    slack: 20,
};

const INCARNATION: u64 = 5;

fn server() -> TokenServer {
    let options = TokenServerOptions::default();
    TokenServer::new("worker-1", INCARNATION, ALLOWANCE, options)
}

fn request(sequence: u64) -> TokenRequest {
    TokenRequest {
        front: "front-1".to_owned(),
        incarnation: 1,
        sequence,
        lease_start: None,
        slots: 0,
        fronts: 1,
        demands: Vec::new(),
        history: Vec::new(),
        history_slots: 0,
        incomplete_slots: 0,
    }
}

fn allotting(sequence: u64, from: ServerTimestamp) -> TokenRequest {
    TokenRequest {
        lease_start: Some(from),
        slots: u16::MAX,
        ..request(sequence)
    }
}

fn demand(limit: RateLimit, count: u32) -> Demand {
    Demand {
        customer: "alama".parse().expect("a valid name"),
        replica: 0,
        limit,
        count,
    }
}

fn limit(per_s: f64, burst: u32, version: u64) -> RateLimit {
    let limit = RateLimit::try_new(per_s, burst).expect("a valid limit");
    limit.with_version(version)
}

fn allotted(server: &TokenServer) -> f64 {
    (0..SLOT_COUNT).map(|slot| server.allotted(slot)).sum()
}

#[test]
fn an_allotment_ends_with_its_lease() {
    let mut server = server();
    let timestamp = ServerTimestamp {
        incarnation: INCARNATION,
        at_ms: 1_000,
    };
    let reply = server.handle(&allotting(1, timestamp), Millis::new(1_100));
    assert!(reply.expect("valid").accepted);
    assert_eq!(
        allotted(&server),
        SLOT_COUNT as f64 / 2.0,
        "half of each limit"
    );
    // The lease starts at the timestamp, not at the arrival of the message.
    server.handle(&request(0), Millis::new(1_499));
    assert!(allotted(&server) > 0.0);
    let other = TokenRequest {
        front: "front-2".to_owned(),
        ..request(1)
    };
    server.handle(&other, Millis::new(1_500));
    assert_eq!(allotted(&server), 0.0);
}

/// Guards against a share that is counted twice: a message from an earlier
/// time or from another process arrives and is mistaken for a current
/// allotment.
#[parameterized(
    of_another_process = { ServerTimestamp { incarnation: 4, at_ms: 990 } },
    of_the_future = {
        ServerTimestamp { incarnation: INCARNATION, at_ms: 9_000 }
    },
    older_than_a_lease = {
        ServerTimestamp { incarnation: INCARNATION, at_ms: 1 }
    },
)]
fn an_invalid_timestamp_allots_nothing(timestamp: ServerTimestamp) {
    let mut server = server();
    server.handle(&allotting(1, timestamp), Millis::new(2_000));
    assert_eq!(allotted(&server), 0.0);
}

#[test]
fn a_duplicate_or_overtaken_message_is_not_applied() {
    let mut server = server();
    let timestamp = ServerTimestamp {
        incarnation: INCARNATION,
        at_ms: 1_000,
    };
    let now = Millis::new(1_010);
    assert!(server.handle(&allotting(7, timestamp), now).is_some());
    assert!(server.handle(&request(8), now).is_some(), "released");
    assert!(
        server.handle(&allotting(7, timestamp), now).is_none(),
        "a replay"
    );
    assert!(
        server.handle(&allotting(6, timestamp), now).is_none(),
        "late"
    );
    assert_eq!(allotted(&server), 0.0);
    // A message of a seemingly earlier process gets a response, but allots
    // nothing while messages of the other process arrive.
    let former_process = TokenRequest {
        incarnation: 0,
        ..allotting(9, timestamp)
    };
    assert!(
        !server
            .handle(&former_process, now)
            .expect("answered")
            .accepted
    );
    assert_eq!(allotted(&server), 0.0);
}

#[parameterized(
    no_fronts = { |request: &mut TokenRequest| request.fronts = 0 },
    too_many_fronts = {
        |request: &mut TokenRequest| request.fronts = u32::MAX
    },
    unknown_replica = {
        |request: &mut TokenRequest| request.demands[0].replica = 2
    },
    too_many_requests = {
        |request: &mut TokenRequest| request.demands[0].count = u32::MAX
    },
    too_many_customers = {
        |request: &mut TokenRequest|
            request.demands = vec![request.demands[0].clone(); 9]
    },
    a_rate_that_is_none = {
        |request: &mut TokenRequest| {
            let text = r#"{"per_s":-1.0,"burst":1,"version":1}"#;
            request.demands[0].limit =
                serde_json::from_str(text).expect("decoded");
        }
    },
)]
fn out_of_range_messages_change_nothing(corrupt: fn(&mut TokenRequest)) {
    let mut server = server();
    let timestamp = ServerTimestamp {
        incarnation: INCARNATION,
        at_ms: 1_000,
    };
    let mut corrupted = allotting(1, timestamp);
    corrupted.demands = vec![demand(limit(1.0, 1, 1), 1)];
    corrupt(&mut corrupted);
    assert!(server.handle(&corrupted, Millis::new(1_010)).is_none());
    assert_eq!(allotted(&server), 0.0);
    // The invalid message did not use up the sequence number.
    assert!(server.handle(&request(1), Millis::new(1_020)).is_some());
}

/// Guards against a customer that is served by a limit that operators have
/// lowered: one front has the new configuration, another one does not, and the
/// limit received last is applied.
#[test]
fn an_older_limit_does_not_raise_a_lower_one() {
    let mut server = server();
    let mut sequence = 0;
    let mut count = |limit: RateLimit, at_ms: u64| {
        sequence += 1;
        let timestamp = ServerTimestamp {
            incarnation: INCARNATION,
            at_ms,
        };
        let request = TokenRequest {
            demands: vec![demand(limit, 10_000)],
            ..allotting(sequence, timestamp)
        };
        let reply = server.handle(&request, Millis::new(at_ms));
        reply.expect("valid").grants[0].granted
    };
    let (old, new) = (limit(1_000.0, 1_000, 1), limit(10.0, 10, 2));
    for step in 0..20 {
        count(old, 10_000 + step * 500);
    }
    assert!(
        count(old, 20_500) > 200,
        "half of the tokens of half a second"
    );
    assert!(
        count(new, 21_000) <= 10,
        "half of the burst of the lower limit"
    );
    assert!(
        count(old, 21_500) <= 6,
        "the limit of the later version applies"
    );
}
