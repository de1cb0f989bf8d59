//! Validation of quota datagrams.

use fuzz::{altered_bytes, altered_json, config};
use limits::{CustomerHistory, RateLimit, TokenRequest};
use proptest::prelude::*;
use share::{
    MAX_PAIRS, MAX_SERVICES_SENT, PairUse, RestUse, ServiceUse, UseHistogram,
    UseReport, UseServer, UseTotals,
};
use yare::parameterized;

use super::{DATAGRAM_BYTES, QuotaMessage, VERSION};

fn request() -> QuotaMessage {
    QuotaMessage::Request(TokenRequest {
        front: "front-1".to_owned(),
        incarnation: 1,
        sequence: 2,
        lease_start: None,
        slots: 3,
        fronts: 4,
        demands: Vec::new(),
        history: Vec::new(),
        history_slots: 0,
        incomplete_slots: 0,
    })
}

fn history(name: &str, counts: usize) -> CustomerHistory {
    let limit = RateLimit::try_new(999_999.0, 9_999_999);
    CustomerHistory {
        customer: name.parse().expect("a valid name"),
        replica: 1,
        limit: limit.expect("a valid limit").with_version(u64::MAX),
        counts: vec![(4_999, 9_999); counts],
    }
}

fn report(history: Vec<CustomerHistory>) -> QuotaMessage {
    let QuotaMessage::Request(request) = request() else {
        panic!("another message");
    };
    QuotaMessage::Request(TokenRequest {
        history,
        history_slots: 2,
        incomplete_slots: 1,
        ..request
    })
}

/// The fields of a message before there were reports.
#[derive(serde::Deserialize)]
#[serde(deny_unknown_fields)]
struct OldRequest {
    front: String,
    #[serde(rename = "incarnation")]
    _incarnation: u64,
    #[serde(rename = "number")]
    _sequence: u64,
    #[serde(rename = "lent_from")]
    _lease_start: Option<serde_json::Value>,
    #[serde(rename = "slots")]
    _slots: u16,
    #[serde(rename = "fronts")]
    _fronts: u32,
    #[serde(rename = "wants")]
    _demands: Vec<serde_json::Value>,
}

fn as_old_node(message: &QuotaMessage) -> Option<OldRequest> {
    let text = String::from_utf8(message.encode()).expect("text");
    let all: serde_json::Value = serde_json::from_str(&text).expect("JSON");
    serde_json::from_value(all["message"]["ask"].clone()).ok()
}

/// Guards against allotments that nodes of an older version refuse.
#[test]
fn old_nodes_read_messages_without_a_report() {
    let read = as_old_node(&request()).expect("all fields are known");
    assert_eq!(read.front, "front-1");
    assert!(as_old_node(&report(Vec::new())).is_none(), "dropped");
}

/// Guards against messages of an older version that new nodes refuse.
#[test]
fn messages_without_the_new_fields_are_read() {
    let text = r#"{"version":1,"message":{"ask":{"front":"front-1",
        "incarnation":1,"number":2,"lent_from":null,"slots":3,"fronts":4,
        "wants":[]}}}"#;
    let read = QuotaMessage::decode(text.as_bytes()).expect("a message");
    assert_eq!(read, request());
}

#[test]
fn a_report_is_read_as_it_was_written() {
    let message = report(vec![history("alama", 3)]);
    assert_eq!(
        QuotaMessage::decode(&message.encode()).expect("read"),
        message
    );
}

/// Guards against a report that a node receives only in part.
#[parameterized(
    many_customers = { 200, 1 },
    many_counts = { 1, 3_980 },
)]
fn the_largest_reports_fit_into_a_datagram(customers: usize, counts: usize) {
    let name = "a".repeat(128);
    let message = report(vec![history(&name, counts); customers]);
    let bytes = message.encode().len();
    assert!(bytes <= DATAGRAM_BYTES - 1_000, "{bytes}");
}

#[test]
fn a_message_is_read_as_it_was_written() {
    let read = QuotaMessage::decode(&request().encode()).expect("a message");
    assert_eq!(read, request());
    assert_eq!(read.sender(), "front-1");
}

#[test]
fn an_unverified_sender_pools_no_slots() {
    let message = report(vec![history("alama", 1)]);
    let QuotaMessage::Request(request) = message.without_allotments() else {
        panic!("another message");
    };
    assert_eq!((request.slots, request.sequence), (0, 2));
    assert!(!request.has_report());
}

#[parameterized(
    nothing = { "" },
    no_json = { "{" },
    no_message = { r#"{"version":1}"# },
    unknown_field = { r#"{"version":1,"message":{"ask":{"odd":1}}}"# },
    unknown_kind = { r#"{"version":1,"message":{"order":{}}}"# },
)]
fn invalid_messages_are_refused(text: &str) {
    assert!(QuotaMessage::decode(text.as_bytes()).is_err());
}

#[test]
fn another_version_is_refused() {
    let text = String::from_utf8(request().encode()).expect("text");
    let other = text.replace(
        &format!("\"version\":{VERSION}"),
        &format!("\"version\":{}", VERSION + 1),
    );
    assert_ne!(text, other);
    let error = QuotaMessage::decode(other.as_bytes()).expect_err("refused");
    assert_eq!(error.to_string(), "unsupported version 2");
}

fn use_report() -> UseReport {
    let pair = PairUse {
        service: "s".repeat(128),
        customer: "c".repeat(128).parse().expect("a name"),
        slots: 1_000_000,
        waiting: 1_000_000,
    };
    let rest = RestUse {
        service: "s".repeat(128),
        slots: 1_000_000,
        waiting: 1_000_000,
        customers: 1_000_000,
    };
    UseReport {
        front: "f".repeat(128),
        incarnation: u64::MAX,
        sequence: u64::MAX,
        in_use: vec![pair; MAX_PAIRS],
        rest: vec![rest; MAX_SERVICES_SENT],
    }
}

fn totals() -> UseTotals {
    let buckets = [(1_000_000_000, 1_000_000_000); 12];
    let text = serde_json::to_string(&buckets).expect("text");
    let histogram: UseHistogram = serde_json::from_str(&text).expect("valid");
    let service = ServiceUse {
        service: "s".repeat(128),
        histogram,
    };
    UseTotals {
        server: "w".repeat(128),
        to_incarnation: u64::MAX,
        sequence: u64::MAX,
        totals: vec![u32::MAX; MAX_PAIRS],
        largest: use_report().in_use,
        services: vec![service; MAX_SERVICES_SENT],
    }
}

/// Guards against a valid message that does not fit into a datagram.
#[test]
fn the_largest_messages_about_use_fit() {
    assert!(use_report().is_valid() && totals().is_valid());
    for message in [
        QuotaMessage::Use(use_report()),
        QuotaMessage::Totals(totals()),
    ] {
        let bytes = message.encode();
        assert!(bytes.len() < DATAGRAM_BYTES, "{}", bytes.len());
        let read = QuotaMessage::decode(&bytes).expect("a message");
        assert_eq!(read, message);
    }
}

fn altered_use() -> impl Strategy<Value = Vec<u8>> {
    let report = QuotaMessage::Use(use_report()).encode();
    let totals = QuotaMessage::Totals(totals()).encode();
    let text = |bytes| String::from_utf8(bytes).expect("text");
    prop_oneof![
        altered_json(&text(report.clone())),
        altered_json(&text(totals)),
        altered_bytes(&report),
    ]
}

fn altered_request() -> impl Strategy<Value = Vec<u8>> {
    let message = report(vec![history("alama", 2)]);
    let text = String::from_utf8(message.encode()).expect("text");
    prop_oneof![
        3 => altered_json(&text),
        1 => altered_bytes(text.as_bytes()),
    ]
}

proptest! {
    #![proptest_config(config(3_000))]

    /// Guards against a report that crashes a token server, or that is
    /// answered with numbers that a front refuses.
    #[test]
    fn altered_reports_are_refused_or_answered(bytes in altered_use()) {
        let mut server = UseServer::new("w1", Default::default());
        let now = Default::default();
        if let Ok(QuotaMessage::Use(altered)) = QuotaMessage::decode(&bytes)
            && let Some(answer) = server.handle(&altered, now)
        {
            prop_assert!(altered.is_valid() && answer.is_valid());
        }
    }

    /// Guards against a datagram of another program that crashes a node.
    #[test]
    fn altered_messages_are_decoded_or_refused(bytes in altered_request()) {
        if let Ok(message) = QuotaMessage::decode(&bytes) {
            let sender = message.sender().to_owned();
            let message = message.without_allotments();
            prop_assert_eq!(message.sender(), sender);
        }
    }
}
