//! What holders and fronts take of messages that are not what they should be.

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

fn holder() -> TokenServer {
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
    }
}

fn lending(sequence: u64, from: ServerTimestamp) -> TokenRequest {
    TokenRequest {
        lease_start: Some(from),
        slots: u16::MAX,
        ..request(sequence)
    }
}

fn demand(limit: RateLimit, count: u32) -> Demand {
    Demand {
        customer: "alama".parse().expect("a name"),
        replica: 0,
        limit,
        count,
    }
}

fn limit(per_s: f64, burst: u32, version: u64) -> RateLimit {
    let limit = RateLimit::try_new(per_s, burst).expect("a cap");
    limit.with_version(version)
}

fn lent(holder: &TokenServer) -> f64 {
    (0..SLOT_COUNT).map(|slot| holder.allotted(slot)).sum()
}

#[test]
fn what_is_lent_ends_with_its_lease() {
    let mut holder = holder();
    let timestamp = ServerTimestamp {
        incarnation: INCARNATION,
        at_ms: 1_000,
    };
    let reply = holder.handle(&lending(1, timestamp), Millis::new(1_100));
    assert!(reply.expect("valid").accepted);
    assert_eq!(lent(&holder), SLOT_COUNT as f64 / 2.0, "half of each cap");
    // From the timestamp on, not from the arrival of the message.
    holder.handle(&request(0), Millis::new(2_499));
    assert!(lent(&holder) > 0.0);
    let other = TokenRequest {
        front: "front-2".to_owned(),
        ..request(1)
    };
    holder.handle(&other, Millis::new(2_500));
    assert_eq!(lent(&holder), 0.0);
}

/// Symptom: a part is counted twice. Events: a message of an earlier time or
/// of another process arrives. Cause: it was taken for what is lent now.
#[parameterized(
    of_another_process = { ServerTimestamp { incarnation: 4, at_ms: 990 } },
    of_the_future = { ServerTimestamp { incarnation: INCARNATION, at_ms: 9_000 } },
    older_than_a_lease = { ServerTimestamp { incarnation: INCARNATION, at_ms: 1 } },
)]
fn a_stamp_that_proves_nothing_lends_nothing(timestamp: ServerTimestamp) {
    let mut holder = holder();
    holder.handle(&lending(1, timestamp), Millis::new(2_000));
    assert_eq!(lent(&holder), 0.0);
}

#[test]
fn a_message_that_was_answered_or_overtaken_is_not_heeded() {
    let mut holder = holder();
    let timestamp = ServerTimestamp {
        incarnation: INCARNATION,
        at_ms: 1_000,
    };
    let now = Millis::new(1_010);
    assert!(holder.handle(&lending(7, timestamp), now).is_some());
    assert!(holder.handle(&request(8), now).is_some(), "released");
    assert!(
        holder.handle(&lending(7, timestamp), now).is_none(),
        "a replay"
    );
    assert!(holder.handle(&lending(6, timestamp), now).is_none(), "late");
    assert_eq!(lent(&holder), 0.0);
    // A process that seems to be an earlier one is answered, and lends
    // nothing while the other one is heard.
    let former = TokenRequest {
        incarnation: 0,
        ..lending(9, timestamp)
    };
    assert!(!holder.handle(&former, now).expect("answered").accepted);
    assert_eq!(lent(&holder), 0.0);
}

#[parameterized(
    no_fronts = { |request: &mut TokenRequest| request.fronts = 0 },
    too_many_fronts = { |request: &mut TokenRequest| request.fronts = u32::MAX },
    unknown_seat = { |request: &mut TokenRequest| request.demands[0].replica = 2 },
    too_many_requests = { |request: &mut TokenRequest| request.demands[0].count = u32::MAX },
    too_many_customers = {
        |request: &mut TokenRequest| request.demands = vec![request.demands[0].clone(); 9]
    },
    a_rate_that_is_none = {
        |request: &mut TokenRequest| {
            let text = r#"{"per_s":-1.0,"burst":1,"version":1}"#;
            request.demands[0].limit = serde_json::from_str(text).expect("decoded");
        }
    },
)]
fn numbers_that_cannot_be_change_nothing(spoil: fn(&mut TokenRequest)) {
    let mut holder = holder();
    let timestamp = ServerTimestamp {
        incarnation: INCARNATION,
        at_ms: 1_000,
    };
    let mut spoiled = lending(1, timestamp);
    spoiled.demands = vec![demand(limit(1.0, 1, 1), 1)];
    spoil(&mut spoiled);
    assert!(holder.handle(&spoiled, Millis::new(1_010)).is_none());
    assert_eq!(lent(&holder), 0.0);
    // The sequence was not used up either.
    assert!(holder.handle(&request(1), Millis::new(1_020)).is_some());
}

/// Symptom: a customer is served by a limit that operators have lowered.
/// Events: one front has the new configuration and another one has not.
/// Cause: the limit that was heard last was taken.
#[test]
fn an_older_cap_does_not_raise_a_lower_one() {
    let mut holder = holder();
    let mut sequence = 0;
    let mut count = |limit: RateLimit, at_ms: u64| {
        sequence += 1;
        let timestamp = ServerTimestamp {
            incarnation: INCARNATION,
            at_ms,
        };
        let request = TokenRequest {
            demands: vec![demand(limit, 10_000)],
            ..lending(sequence, timestamp)
        };
        let reply = holder.handle(&request, Millis::new(at_ms));
        reply.expect("valid").grants[0].granted
    };
    let (old, new) = (limit(1_000.0, 1_000, 1), limit(10.0, 10, 2));
    for step in 0..20 {
        count(old, 10_000 + step * 500);
    }
    assert!(
        count(old, 20_500) > 200,
        "half of what half a second brings"
    );
    assert!(
        count(new, 21_000) <= 10,
        "half of the stock of the lower cap"
    );
    assert!(
        count(old, 21_500) <= 6,
        "the cap of the later version holds"
    );
}
