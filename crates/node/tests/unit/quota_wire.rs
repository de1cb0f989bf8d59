//! Which datagrams about limits are heeded.

use limits::TokenRequest;
use yare::parameterized;

use super::{QuotaMessage, VERSION};

fn ask() -> QuotaMessage {
    QuotaMessage::Ask(TokenRequest {
        front: "front-1".to_owned(),
        incarnation: 1,
        sequence: 2,
        lease_start: None,
        slots: 3,
        fronts: 4,
        demands: Vec::new(),
    })
}

#[test]
fn a_message_is_read_as_it_was_written() {
    let read = QuotaMessage::decode(&ask().encode()).expect("a message");
    assert_eq!(read, ask());
    assert_eq!(read.sender(), "front-1");
}

#[test]
fn nothing_is_lent_by_a_sender_that_cannot_be_checked() {
    let QuotaMessage::Ask(ask) = ask().without_parts() else {
        panic!("another message");
    };
    assert_eq!((ask.slots, ask.sequence), (0, 2));
}

#[parameterized(
    nothing = { "" },
    no_json = { "{" },
    no_message = { r#"{"version":1}"# },
    unknown_field = { r#"{"version":1,"message":{"ask":{"odd":1}}}"# },
    unknown_kind = { r#"{"version":1,"message":{"order":{}}}"# },
)]
fn what_is_no_message_is_refused(text: &str) {
    assert!(QuotaMessage::decode(text.as_bytes()).is_err());
}

#[test]
fn another_version_is_refused() {
    let text = String::from_utf8(ask().encode()).expect("text");
    let other = text.replace(
        &format!("\"version\":{VERSION}"),
        &format!("\"version\":{}", VERSION + 1),
    );
    assert_ne!(text, other);
    let error = QuotaMessage::decode(other.as_bytes()).expect_err("refused");
    assert_eq!(error.to_string(), "of version 2");
}
