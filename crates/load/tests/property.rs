//! Property tests of the event stream decoder: the chunk boundaries must not
//! change the decoded events.

use pomeloslip_load::{Decoder, Event};
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};
use serde_json::json;

/// Uses a fixed seed; `PROPERTY_FACTOR` multiplies the number of cases.
fn config(cases: u32) -> ProptestConfig {
    let factor = std::env::var("PROPERTY_FACTOR").ok();
    let factor = factor.and_then(|text| text.parse().ok()).unwrap_or(1);
    ProptestConfig {
        cases: cases.saturating_mul(factor),
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    }
}

fn decode(bytes: &[u8], cuts: &[Index]) -> Vec<Event> {
    let mut decoder = Decoder::default();
    let mut at: Vec<_> =
        cuts.iter().map(|cut| cut.index(bytes.len() + 1)).collect();
    at.sort_unstable();
    let mut found = Vec::new();
    let mut from = 0;
    for to in at.into_iter().chain([bytes.len()]) {
        found.extend(decoder.push(&bytes[from..to]));
        from = to;
    }
    found
}

fn cuts() -> impl Strategy<Value = Vec<Index>> {
    prop::collection::vec(any::<Index>(), 0..20)
}

/// A sent line and the event that it must be decoded as.
fn sent() -> impl Strategy<Value = (String, Option<Event>)> {
    let chat = ".{0,12}".prop_map(|text| {
        let data = json!({"choices": [{"delta": {"content": text}}]});
        (format!("data: {data}"), Some(Event::Text(text)))
    });
    let completion = ".{0,12}".prop_map(|text| {
        let data = json!({"choices": [{"text": text}]});
        (format!("data:{data}"), Some(Event::Text(text)))
    });
    let error = "[a-z]{1,9}".prop_map(|text| {
        let data = json!({"error": text});
        (format!("data: {data}"), Some(Event::Error(data)))
    });
    let comment = "[a-z ]{0,9}".prop_map(|text| (format!(": {text}"), None));
    let done = Just(("data: [DONE]".to_owned(), Some(Event::Done)));
    prop_oneof![4 => chat, 2 => completion, 1 => error, 1 => comment, 1 => done]
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn events_decode_regardless_of_chunk_boundaries(
        sent in prop::collection::vec(sent(), 0..10),
        crlf: bool,
        cuts in cuts(),
    ) {
        let end = if crlf { "\r\n\r\n" } else { "\n\n" };
        let lines = sent.iter().map(|(line, _)| format!("{line}{end}"));
        let bytes: String = lines.collect();
        let right: Vec<Event> =
            sent.iter().filter_map(|(_, event)| event.clone()).collect();
        prop_assert_eq!(decode(bytes.as_bytes(), &cuts), right);
    }

    /// A truncated or corrupted stream never decodes as done without the end
    /// marker.
    #[test]
    fn noise_decodes_regardless_of_chunk_boundaries(
        bytes in prop::collection::vec(
            prop_oneof![
                Just(b'\n'), Just(b'\r'), Just(b'd'), Just(b':'),
                Just(b'['), Just(b'{'), any::<u8>(),
            ],
            0..120,
        ),
        prefix in prop_oneof![Just(""), Just("data:"), Just("data: {")],
        cuts in cuts(),
    ) {
        let bytes = [prefix.as_bytes(), &bytes].concat();
        let whole = decode(&bytes, &[]);
        prop_assert_eq!(&decode(&bytes, &cuts), &whole);
        let mark = bytes.windows(6).any(|window| window == b"[DONE]");
        prop_assert!(mark || !whole.contains(&Event::Done));
    }
}
