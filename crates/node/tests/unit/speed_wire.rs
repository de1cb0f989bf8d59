//! Validation of messages about the speed of endpoints.

use fleet::{Endpoint, EndpointRecord, EndpointState, IncarnationKey};
use fuzz::{altered_bytes, altered_json, config};
use jobs::ReportVersion;
use proptest::prelude::*;
use yare::parameterized;

use super::{
    MAX_COUNTS, MAX_INTERVAL_US, MAX_REPORT_SAMPLES, MAX_SENT_SPEEDS, Message,
    MessageError, SpeedEstimate, SpeedUpdate,
};
use crate::load::wire::{Kind, LoadUpdate};

fn incarnation() -> IncarnationKey {
    let endpoint = Endpoint::new(EndpointRecord {
        id: "e".to_owned(),
        started_at: None,
        version: None,
        address: ([127, 0, 0, 1], 80).into(),
        service: "engines".to_owned(),
        failure_domain: "east".to_owned(),
        slots: 8,
        state: EndpointState::Ready,
    });
    endpoint.incarnation_key()
}

fn update(speeds: usize) -> SpeedUpdate {
    let estimate = SpeedEstimate {
        low_us: Some(MAX_INTERVAL_US),
        high_us: Some(MAX_INTERVAL_US),
        samples: MAX_REPORT_SAMPLES,
    };
    let speeds = vec![(incarnation(), estimate); speeds];
    SpeedUpdate::new("front-1", ReportVersion::default(), &speeds)
}

#[test]
fn a_message_is_read_as_it_was_written() {
    let sent = update(2);
    match Message::decode(&sent.encode()).expect("a message") {
        Message::Speeds(read) => assert_eq!(read, sent),
        Message::Load(_) => panic!("not a load update"),
    }
}

/// Guards against load updates that are mistaken for the new kind.
#[test]
fn a_load_update_stays_one() {
    let version = ReportVersion::default();
    let sent = LoadUpdate::new(Kind::Own, "front-1", version, true, vec![]);
    let read = Message::decode(&sent.encode()).expect("a message");
    assert!(matches!(read, Message::Load(read) if read == sent));
}

/// Guards against nodes of an earlier version that apply a message whose
/// meaning they do not know.
#[test]
fn earlier_versions_refuse_the_message() {
    assert!(LoadUpdate::decode(&update(1).encode()).is_err());
}

#[test]
fn the_largest_message_fits_a_packet() {
    assert!(update(MAX_SENT_SPEEDS).encode().len() < 1_400);
    assert!(Message::decode(&update(MAX_COUNTS).encode()).is_ok());
}

/// Guards against numbers out of range, of which one makes the whole message
/// invalid.
#[parameterized(
    zero_interval = { "[[1,0,null,1]]" },
    interval_too_long = { "[[1,20,null,1],[2,null,10000001,1]]" },
    no_interval = { "[[1,null,null,1]]" },
    no_samples = { "[[1,20,null,0]]" },
    too_many_samples = { "[[1,20,null,33]]" },
    negative = { "[[1,-20,null,1]]" },
    fraction = { "[[1,2.5,null,1]]" },
    beyond_the_type = { "[[1,4294967296,null,1]]" },
    incomplete = { "[[1,20]]" },
)]
fn invalid_numbers_are_refused(speeds: &str) {
    let text = format!(
        r#"{{"version":1,"kind":"speeds","node":"f","stamp":
        {{"started_at":1,"number":1}},"speeds":{speeds}}}"#
    );
    let error = Message::decode(text.as_bytes()).err();
    assert!(matches!(error, Some(MessageError::Speeds(_))), "{error:?}");
}

#[parameterized(
    later_version = { r#""version":2,"kind":"speeds""# },
    additional_field = { r#""version":1,"kind":"speeds","more":1"# },
)]
fn other_formats_are_refused(head: &str) {
    let text = format!(
        r#"{{{head},"node":"f","stamp":{{"started_at":1,"number":1}},
        "speeds":[]}}"#
    );
    assert!(Message::decode(text.as_bytes()).is_err());
}

/// Guards against memory that grows with what other nodes send.
#[test]
fn more_endpoints_than_a_message_holds_are_refused() {
    assert!(Message::decode(&update(MAX_COUNTS + 1).encode()).is_err());
}

fn altered_update() -> impl Strategy<Value = Vec<u8>> {
    let text = String::from_utf8(update(2).encode()).expect("text");
    prop_oneof![
        3 => altered_json(&text),
        1 => altered_bytes(text.as_bytes()),
    ]
}

proptest! {
    #![proptest_config(config(3_000))]

    /// Guards against a datagram of another program that crashes a node or
    /// sets an estimate out of range.
    #[test]
    fn altered_messages_are_within_bounds_or_refused(
        bytes in altered_update(),
    ) {
        if let Ok(Message::Speeds(update)) = Message::decode(&bytes) {
            prop_assert!(update.speeds().count() <= MAX_COUNTS);
            for (_, estimate) in update.speeds() {
                let both = [estimate.low_us, estimate.high_us];
                let known: Vec<u32> = both.into_iter().flatten().collect();
                prop_assert!(!known.is_empty());
                prop_assert!(known.iter().all(|us| *us <= MAX_INTERVAL_US));
                prop_assert!(estimate.samples <= MAX_REPORT_SAMPLES);
            }
        }
    }
}
