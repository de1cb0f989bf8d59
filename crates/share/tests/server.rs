//! Sums over fronts at a server, and the validation of messages.

use std::sync::Arc;

use base::{Customer, Millis};
use pomeloslip_share::{
    FrontShares, MAX_PAIRS, PairUse, RestUse, SHARD_COUNT, ServiceSlots,
    ShareBasis, TermsTable, UseReport, UseServer, UseTotals, VALID_MS,
};
use yare::parameterized;

fn name(text: &str) -> Customer {
    text.parse().expect("a name")
}

fn pair(customer: &str, slots: u32) -> PairUse {
    PairUse {
        service: "llm".to_owned(),
        customer: name(customer),
        slots,
        waiting: 0,
    }
}

fn report(front: &str, sequence: u64, in_use: Vec<PairUse>) -> UseReport {
    UseReport {
        front: front.to_owned(),
        incarnation: 5,
        sequence,
        in_use,
        rest: Vec::new(),
    }
}

fn server() -> UseServer {
    UseServer::new("w1", Arc::new(TermsTable::default()))
}

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Guards against counts that grow with each report of the same front.
#[test]
fn a_report_replaces_the_earlier_one() {
    let mut server = server();
    for sequence in 1..=3 {
        let report = report("f1", sequence, vec![pair("alama", 4)]);
        let totals = server.handle(&report, at(sequence)).expect("valid");
        assert_eq!(totals.totals, [4]);
        assert_eq!(totals.services[0].histogram.demand(), 4);
    }
}

/// Guards against a repeated or reordered datagram that restores old counts.
#[parameterized(
    repeated = { 5, 2 },
    reordered = { 5, 1 },
    earlier_process = { 4, 9 },
)]
fn an_old_report_is_refused(incarnation: u64, sequence: u64) {
    let mut server = server();
    let newest = report("f1", 2, vec![pair("alama", 4)]);
    server.handle(&newest, at(0)).expect("valid");
    let old = UseReport {
        incarnation,
        ..report("f1", sequence, vec![pair("alama", 400)])
    };
    assert!(server.handle(&old, at(1)).is_none());
    let other = report("f2", 1, vec![pair("alama", 1)]);
    assert_eq!(server.handle(&other, at(2)).expect("valid").totals, [5]);
}

/// Guards against customers that stay over their share because a front that
/// was lost still counts.
#[test]
fn a_report_expires() {
    let mut server = server();
    let lost = report("f1", 1, vec![pair("alama", 4)]);
    server.handle(&lost, at(0)).expect("valid");
    let total = |server: &mut UseServer, sequence, now| {
        let report = report("f2", sequence, vec![pair("alama", 1)]);
        server.handle(&report, at(now)).expect("valid").totals[0]
    };
    assert_eq!(total(&mut server, 1, VALID_MS), 5);
    assert_eq!(total(&mut server, 2, VALID_MS + 1), 1);
}

/// Guards against unbounded memory when nodes report invented customers, and
/// against the eviction of a large customer for a small one.
#[test]
fn the_smallest_customers_are_evicted() {
    let mut server = server();
    server
        .handle(&report("large", 1, vec![pair("large", 500)]), at(0))
        .expect("valid");
    for front in 0..400 {
        let in_use = (0..MAX_PAIRS).map(|n| {
            let slots = 1 + (front as u32 + n as u32) % 50;
            pair(&format!("c{front}-{n}"), slots)
        });
        let report = report(&format!("f{front}"), 1, in_use.collect());
        server.handle(&report, at(0)).expect("valid");
    }
    assert_eq!(server.len(), 1_024);
    let one = report("one", 1, vec![pair("large", 1)]);
    assert_eq!(server.handle(&one, at(0)).expect("valid").totals, [501]);
    let after = report("one", 2, Vec::new());
    server.handle(&after, at(VALID_MS + 1)).expect("valid");
    assert!(server.is_empty());
}

#[parameterized(
    no_front = { UseReport { front: String::new(), ..report("", 1, vec![]) } },
    no_slots = { report("f1", 1, vec![pair("alama", 0)]) },
    too_many_slots = { report("f1", 1, vec![pair("alama", 1_000_001)]) },
    too_many_pairs = { report("f1", 1, vec![pair("alama", 1); 9]) },
    rest_without_customers = {
        UseReport {
            rest: vec![RestUse {
                service: "llm".to_owned(),
                slots: 1,
                waiting: 0,
                customers: 0,
            }],
            ..report("f1", 1, vec![])
        }
    },
    long_name = {
        UseReport {
            rest: vec![RestUse {
                service: "x".repeat(129),
                slots: 1,
                waiting: 0,
                customers: 1,
            }],
            ..report("f1", 1, vec![])
        }
    },
)]
fn a_report_out_of_range_is_refused(report: UseReport) {
    assert!(server().handle(&report, at(0)).is_none());
}

#[test]
fn empty_fields_are_omitted() {
    let text = serde_json::to_string(&report("f1", 1, Vec::new()));
    assert_eq!(
        text.expect("text"),
        r#"{"front":"f1","incarnation":5,"sequence":1}"#
    );
}

const SLOTS: ServiceSlots = ServiceSlots { all: 10, own: 5 };

fn front(customers: &[(&str, u32)]) -> FrontShares {
    let terms = Arc::new(TermsTable::default());
    let mut front = FrontShares::new("f1", 5, |_| 3, terms);
    for (customer, slots) in customers {
        for _ in 0..*slots {
            front.begin("llm", &name(customer));
        }
    }
    front
}

fn one_server() -> [Option<String>; SHARD_COUNT] {
    std::array::from_fn(|shard| (shard == 3).then(|| "w1".to_owned()))
}

/// Guards against decisions that use outdated counts of other fronts, and
/// against counting the own requests twice.
#[test]
fn the_counts_of_others_are_used_while_they_are_new() {
    let mut front = front(&[("alama", 3), ("small", 1)]);
    let mut server = server();
    let others = vec![pair("alama", 9), pair("other", 2)];
    server
        .handle(&report("f2", 1, others), at(0))
        .expect("valid");
    let (to, report) = front.reports(one_server()).remove(0);
    let answer = server.handle(&report, at(0)).expect("valid");
    assert!(front.receive(&to, &answer, at(10)));
    front.begin("llm", &name("alama"));
    let state = |now| front.state("llm", &name("alama"), SLOTS, at(now));
    let new = state(20);
    assert_eq!((new.slots, new.basis), (13, ShareBasis::Fleet(10)));
    assert!(new.is_over());
    let old = state(11 + VALID_MS);
    assert_eq!((old.slots, old.basis), (4, ShareBasis::Own));
    assert!(!old.is_over());
}

/// Guards against the refusal of all customers at a front that has no
/// endpoints of its own.
#[test]
fn a_front_without_own_slots_limits_nobody() {
    let front = front(&[("alama", 9), ("small", 1)]);
    let slots = ServiceSlots { all: 10, own: 0 };
    let state = front.state("llm", &name("alama"), slots, at(0));
    assert_eq!((state.level, state.is_over()), (None, false));
}

/// Guards against a limit that serves nobody: a single customer may fill the
/// queues of the endpoints, as without shares.
#[test]
fn a_customer_that_is_alone_is_not_limited() {
    let alone = front(&[("alama", 50)]);
    let state = alone.state("llm", &name("alama"), SLOTS, at(0));
    assert!(!state.is_over());
    let both = front(&[("alama", 50), ("small", 1)]);
    let state = both.state("llm", &name("alama"), SLOTS, at(0));
    assert!(state.is_over());
}

/// Guards against a customer that seems to use nothing at a front at which it
/// has no request when the report is sent, and uses many slots by others.
#[test]
fn the_largest_customers_are_known_to_all_fronts() {
    let mut front = front(&[("small", 6)]);
    let mut server = server();
    let others = vec![pair("alama", 20), pair("other", 2)];
    server
        .handle(&report("f2", 1, others), at(0))
        .expect("valid");
    let (to, report) = front.reports(one_server()).remove(0);
    let answer = server.handle(&report, at(0)).expect("valid");
    assert!(front.receive(&to, &answer, at(10)));
    let state = front.state("llm", &name("alama"), SLOTS, at(20));
    assert_eq!(state.slots, 20);
    assert!(state.is_over());
}

/// Guards against a server that sends numbers that a front cannot use.
#[parameterized(
    too_few_totals = { |a: &mut UseTotals| a.totals.clear(), false },
    too_many_largest = { |a: &mut UseTotals| {
        a.largest = vec![pair("alama", 1); 9];
    }, false },
    largest_without_slots = { |a: &mut UseTotals| {
        a.largest = vec![pair("alama", 0)];
    }, false },
    too_many_totals = { |a: &mut UseTotals| a.totals = vec![1; 9], false },
    long_name = { |a: &mut UseTotals| {
        a.services[0].service = "x".repeat(129);
    }, false },
    sums_out_of_range = { |a: &mut UseTotals| {
        let pairs: Vec<(u64, u64)> = vec![(1, 1_000_000_001); 12];
        let text = serde_json::to_string(&pairs).expect("text");
        a.services[0].histogram =
            serde_json::from_str(&text).expect("a histogram");
    }, false },
    other_process = { |a: &mut UseTotals| a.to_incarnation = 4, true },
    earlier_report = { |a: &mut UseTotals| a.sequence = 0, true },
    other_server = { |a: &mut UseTotals| a.server = "w2".to_owned(), true },
)]
fn an_unusable_answer_changes_nothing(
    change: fn(&mut UseTotals),
    is_in_range: bool,
) {
    let mut front = front(&[("alama", 3)]);
    let (to, report) = front.reports(one_server()).remove(0);
    let mut answer = server().handle(&report, at(0)).expect("valid");
    change(&mut answer);
    assert_eq!(front.receive(&to, &answer, at(0)), is_in_range);
    let state = front.state("llm", &name("alama"), SLOTS, at(0));
    assert_eq!(state.basis, ShareBasis::Own);
}

/// Guards against reports that leave out or repeat slots.
#[test]
fn the_largest_are_named_and_the_others_summed() {
    let customers: Vec<(String, u32)> =
        (1..=20).map(|n| (format!("c{n}"), n)).collect();
    let customers: Vec<(&str, u32)> = customers
        .iter()
        .map(|(name, n)| (name.as_str(), *n))
        .collect();
    let mut front = front(&customers);
    let (_, report) = front.reports(one_server()).remove(0);
    let named: Vec<u32> = report.in_use.iter().map(|p| p.slots).collect();
    assert_eq!(named, [20, 19, 18, 17, 16, 15, 14, 13]);
    let rest = &report.rest[0];
    assert_eq!((rest.slots, rest.customers), (78, 12));
    assert!(report.is_valid());
}
