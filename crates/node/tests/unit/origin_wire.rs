//! Validation of messages about origins.

use fleet::{EndpointRecord, EndpointState};
use fuzz::{altered_bytes, altered_json, config};
use origins::{Origin, StreamKey, StreamKeys};
use proptest::prelude::*;
use yare::parameterized;

use super::{FORMAT, OriginMessage, decode, encode};

fn keys() -> StreamKeys {
    StreamKeys {
        attempt: StreamKey::of_attempt("alama", "a1"),
        content: StreamKey::of_attempt("alama", "a2"),
    }
}

fn record() -> OriginMessage {
    OriginMessage::Record {
        keys: keys(),
        origin: Origin::began_at("engines", "v1".parse().expect("a version")),
        lifetime_ms: 5_000,
    }
}

fn endpoint() -> EndpointRecord {
    EndpointRecord {
        id: "e1".to_owned(),
        started_at: None,
        version: "v1".parse().ok(),
        address: ([127, 0, 0, 1], 80).into(),
        service: "engines".to_owned(),
        failure_domain: "east".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
    }
}

fn found(origin: Option<Origin>) -> OriginMessage {
    OriginMessage::Found {
        stream: keys().attempt,
        ticket: u64::MAX,
        origin,
    }
}

#[parameterized(
    stored = { record() },
    at_an_endpoint = { found(Some(Origin::of(&endpoint()))) },
    uncertain = { found(Some(Origin::Uncertain)) },
    unknown = { found(None) },
)]
fn a_message_is_read_as_it_was_written(message: OriginMessage) {
    let (node, read) =
        decode(&encode("front-1", &message)).expect("a message");
    assert_eq!((node.as_str(), read), ("front-1", message));
}

/// Guards against datagrams that do not fit one packet.
#[test]
fn a_record_with_the_longest_names_fits_a_packet() {
    let record = OriginMessage::Record {
        keys: keys(),
        origin: Origin::of(&EndpointRecord {
            id: "e".repeat(200),
            version: "v".repeat(128).parse().ok(),
            service: "s".repeat(200),
            ..endpoint()
        }),
        lifetime_ms: u64::MAX,
    };
    assert!(encode(&"n".repeat(200), &record).len() < 1_400);
}

/// Guards against streams that cannot be resumed during a roll-out because the
/// messages of earlier releases name no endpoint.
#[test]
fn a_message_of_an_earlier_release_is_read() {
    let text = r#"{"format":1,"node":"a","message":{"record":{"keys":
        {"attempt":1,"content":2},"origin":{"bound":{"service":"engines",
        "version":"v1"}},"lifetime_ms":1}}}"#;
    let (_, message) = decode(text.as_bytes()).expect("a message");
    let OriginMessage::Record { origin, .. } = message else {
        panic!("{message:?}");
    };
    let v1 = "v1".parse().expect("a version");
    assert_eq!(origin, Origin::began_at("engines", v1));
}

#[parameterized(
    nothing = { "" },
    no_json = { "{" },
    no_message = { r#"{"format":1,"node":"a"}"# },
    no_version = { r#"{"format":1,"node":"a","message":{"record":{"keys":{"attempt":1,"content":2},
        "origin":{"bound":{"service":"e","version":""}},"lifetime_ms":1}}}"# },
    number = { r#"{"format":1,"node":"a","message":{"record":{"keys":{"attempt":1,"content":2},
        "origin":{"bound":{"service":"e","version":1}},"lifetime_ms":1}}}"# },
    unknown_kind = { r#"{"format":1,"node":"a","message":{"forget":{}}}"# },
)]
fn invalid_messages_are_refused(text: &str) {
    assert!(decode(text.as_bytes()).is_err());
}

#[test]
fn another_format_is_refused() {
    let text = String::from_utf8(encode("a", &record())).expect("text");
    let other = text.replace(
        &format!("\"format\":{FORMAT}"),
        &format!("\"format\":{}", FORMAT + 1),
    );
    assert_ne!(text, other);
    let error = decode(other.as_bytes()).expect_err("refused");
    assert_eq!(error.to_string(), "unsupported format 2");
}

fn altered_record() -> impl Strategy<Value = Vec<u8>> {
    let text = String::from_utf8(encode("a", &record())).expect("text");
    prop_oneof![
        3 => altered_json(&text),
        1 => altered_bytes(text.as_bytes()),
    ]
}

proptest! {
    #![proptest_config(config(2_000))]

    /// Guards against a node that panics, or stores an origin without a
    /// version, because a datagram is altered.
    #[test]
    fn altered_messages_can_be_used_or_are_refused(bytes in altered_record()) {
        if let Ok((_, OriginMessage::Record { origin, .. })) = decode(&bytes) {
            let is_bound = origin.binding().is_some();
            prop_assert_eq!(is_bound, !origin.version_text().is_empty());
        }
    }
}
