//! Every order in which the messages about two streams can be lost or arrive
//! late and their holders can restart.
//!
//! A front begins the stream `first` at version v1, another one a stream of an
//! equal request at version v2. Each of them sends its origin to both holders.
//! The client of `first` resumes it at a third front, which asks both holders.

use base::Millis;
use pomeloslip_origins::{
    Answer, HOLDERS, Lookup, Origin, OriginTable, StreamId, StreamKey,
    StreamKeys, Verdict,
};

const LIFETIME_MS: u64 = 10_000;

/// When a message of a front reaches a holder.
#[derive(Clone, Copy, Debug)]
enum Arrival {
    InTime,
    /// After the holder has answered.
    Late,
    Never,
}

const ARRIVALS: [Arrival; 3] =
    [Arrival::InTime, Arrival::Late, Arrival::Never];

/// When a holder loses its memory.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Restart {
    Never,
    /// After the origin of the first stream and before that of the second.
    Between,
    /// After both.
    After,
}

const RESTARTS: [Restart; 3] =
    [Restart::Never, Restart::Between, Restart::After];

/// What becomes of one holder's messages.
#[derive(Clone, Copy, Debug)]
struct HolderFate {
    first: Arrival,
    second: Arrival,
    restart: Restart,
    /// Whether its answer reaches the third front.
    answers: bool,
}

fn fates() -> Vec<HolderFate> {
    let mut all = Vec::new();
    for first in ARRIVALS {
        for second in ARRIVALS {
            for restart in RESTARTS {
                for answers in [true, false] {
                    all.push(HolderFate {
                        first,
                        second,
                        restart,
                        answers,
                    });
                }
            }
        }
    }
    all
}

fn keys(attempt: &str) -> StreamKeys {
    StreamKeys {
        attempt: StreamKey::of_attempt("alama", attempt),
        // Equal requests have equal contents.
        content: StreamKey::of_attempt("alama", "content"),
    }
}

fn origin(version: &str) -> Origin {
    Origin::began_at("llm", version.parse().expect("a version"))
}

/// Returns the answer of a holder to the question for a stream.
fn answer(fate: HolderFate, stream: StreamId) -> Answer {
    let now = Millis::new(0);
    let mut table = OriginTable::default();
    let record = |table: &mut OriginTable, arrival, attempt, version| {
        if matches!(arrival, Arrival::InTime) {
            for key in keys(attempt).all() {
                table.record(key, origin(version), LIFETIME_MS, now);
            }
        }
    };
    record(&mut table, fate.first, "first", "v1");
    if fate.restart == Restart::Between {
        table = OriginTable::default();
    }
    record(&mut table, fate.second, "second", "v2");
    if fate.restart == Restart::After {
        table = OriginTable::default();
    }
    match table.find(stream.key(), now) {
        Some(origin) => Answer::Known(origin.clone()),
        None => Answer::Unknown,
    }
}

fn verdict(fates: [HolderFate; HOLDERS], stream: StreamId) -> Verdict {
    let mut lookup = Lookup::new(stream, HOLDERS);
    for (holder, fate) in fates.into_iter().enumerate() {
        if !fate.answers {
            continue;
        }
        if let Some(verdict) = lookup.receive(holder, answer(fate, stream)) {
            return verdict;
        }
    }
    lookup.time_out()
}

fn version(verdict: &Verdict) -> Option<&str> {
    match verdict {
        Verdict::Known(found) => Some(found.binding().version().as_str()),
        Verdict::Unknown | Verdict::Unreachable => None,
    }
}

fn all_orders() -> impl Iterator<Item = [HolderFate; HOLDERS]> {
    let one = fates().into_iter();
    one.flat_map(|one| fates().into_iter().map(move |two| [one, two]))
}

/// Guards against a stream that goes on at another version: its client names
/// the attempt that began it, and no other stream has that name.
#[test]
fn a_named_stream_goes_on_at_its_version_or_not_at_all() {
    let stream = StreamId::Attempt(keys("first").attempt);
    let mut known = 0;
    for order in all_orders() {
        let verdict = verdict(order, stream);
        let version = version(&verdict);
        assert!(matches!(version, None | Some("v1")), "{order:?}");
        known += usize::from(version.is_some());
    }
    assert!(known > 0);
}

/// Guards against the assumption that the holders decide for a client that does
/// not name the attempt: they find the origin of the equal request, and only
/// that, in exactly the orders in which none of them knows of the first stream.
/// A front therefore also asks which versions were in service.
#[test]
fn the_holders_of_an_unnamed_stream_may_know_another_one_only() {
    let stream = StreamId::Content(keys("first").content);
    let knows_first = |fate: &HolderFate| {
        matches!(fate.first, Arrival::InTime) && fate.restart == Restart::Never
    };
    let mut other = 0;
    for order in all_orders() {
        let verdict = verdict(order, stream);
        if version(&verdict) == Some("v2") {
            assert!(!order.iter().any(knows_first), "{order:?}");
            other += 1;
        }
    }
    assert!(other > 0);
}
