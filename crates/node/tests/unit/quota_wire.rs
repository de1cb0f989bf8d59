//! Validation of quota datagrams.

use fuzz::{altered_bytes, altered_json, config};
use limits::TokenRequest;
use proptest::prelude::*;
use yare::parameterized;

use super::{QuotaMessage, VERSION};

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

#[test]
fn a_message_is_read_as_it_was_written() {
    let read = QuotaMessage::decode(&request().encode()).expect("a message");
    assert_eq!(read, request());
    assert_eq!(read.sender(), "front-1");
}

#[test]
fn an_unverified_sender_pools_no_slots() {
    let QuotaMessage::Request(request) = request().without_allotments() else {
        panic!("another message");
    };
    assert_eq!((request.slots, request.sequence), (0, 2));
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

fn altered_request() -> impl Strategy<Value = Vec<u8>> {
    let text = String::from_utf8(request().encode()).expect("text");
    prop_oneof![
        3 => altered_json(&text),
        1 => altered_bytes(text.as_bytes()),
    ]
}

proptest! {
    #![proptest_config(config(3_000))]

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
