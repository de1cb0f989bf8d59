//! Property tests of the event splitter: chunk boundaries do not matter.
//!
//! They guard against responses with partial, duplicated or missing events,
//! which occur if the boundary between two chunks of a connection is taken
//! for one between two events.

use pomeloslip_upstream::EventSplitter;
use proptest::{prelude::*, sample::Index, test_runner::RngSeed};

/// Generates cases from a fixed seed; `PROPERTY_FACTOR` multiplies their
/// number.
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

/// Pushes the chunks between the cuts and collects all events after each.
fn events(bytes: &[u8], cuts: &[usize]) -> (Vec<Vec<u8>>, bool) {
    let mut splitter = EventSplitter::default();
    let mut found = Vec::new();
    let mut from = 0;
    for to in cuts.iter().copied().chain([bytes.len()]) {
        splitter.push(&bytes[from..to]);
        from = to;
        while let Some(event) = splitter.next_event().expect("small events") {
            found.push(event.to_vec());
        }
    }
    (found, splitter.has_end_mark())
}

fn sorted(cuts: &[Index], len: usize) -> Vec<usize> {
    let mut at: Vec<_> = cuts.iter().map(|cut| cut.index(len + 1)).collect();
    at.sort_unstable();
    at
}

fn cuts() -> impl Strategy<Value = Vec<Index>> {
    prop::collection::vec(any::<Index>(), 0..20)
}

/// Generates a well-formed event without its blank line.
fn event() -> impl Strategy<Value = String> {
    prop_oneof![
        4 => "data: [^\r\n]{0,20}",
        1 => ": [a-z ]{0,9}",
        1 => "event: [a-z]{1,5}\ndata: [^\r\n]{0,9}",
        1 => Just("data: [DONE]".to_owned()),
    ]
}

proptest! {
    #![proptest_config(config(2_000))]

    #[test]
    fn chunk_boundaries_do_not_change_the_events(
        text in "[da: \\r\\n\\[\\]DONEä]{0,80}",
        cuts in cuts(),
    ) {
        let bytes = text.as_bytes();
        let whole = events(bytes, &[]);
        prop_assert_eq!(&events(bytes, &sorted(&cuts, bytes.len())), &whole);
        let each: Vec<usize> = (0..bytes.len()).collect();
        prop_assert_eq!(&events(bytes, &each), &whole);
    }

    #[test]
    fn each_whole_event_is_returned_once_and_no_partial_one(
        sent in prop::collection::vec(event(), 0..12),
        crlf: bool,
        cuts in cuts(),
        end: Index,
    ) {
        let end_line = if crlf { "\r\n" } else { "\n" };
        let wire: Vec<String> = sent
            .iter()
            .map(|event| format!("{event}\n\n").replace('\n', end_line))
            .collect();
        let bytes = wire.concat().into_bytes();
        // The connection ends here.
        let bytes = &bytes[..end.index(bytes.len() + 1)];
        let mut left = bytes.len();
        let arrived = wire.iter().take_while(|event| {
            let fits = event.len() <= left;
            left = left.saturating_sub(event.len());
            fits
        });
        let arrived: Vec<Vec<u8>> =
            arrived.map(|event| event.clone().into_bytes()).collect();
        let (found, has_end_mark) = events(bytes, &sorted(&cuts, bytes.len()));
        let done = arrived.iter().any(|e| e.starts_with(b"data: [DONE]"));
        prop_assert_eq!(found, arrived);
        prop_assert_eq!(has_end_mark, done);
    }
}
