//! Estimates and classes of the speed of endpoints.

use base::Millis;
use pomeloslip_fleet::{
    Endpoint, EndpointQuery, EndpointRecord, EndpointSpeed, EndpointState,
    EndpointTable, LoadReport, Selection, ServiceSpeed, ServiceSpeeds,
    SpeedClass, SpeedEstimate, SpeedReports, SpeedSample,
};
use yare::parameterized;

const NOW: Millis = Millis::new(100_000);
const SLOTS: u32 = 8;

fn endpoint(id: &str) -> Endpoint {
    Endpoint::new(EndpointRecord {
        id: id.to_owned(),
        started_at: None,
        version: None,
        address: ([127, 0, 0, 1], 80).into(),
        service: "engines".to_owned(),
        failure_domain: "east".to_owned(),
        slots: SLOTS,
        state: EndpointState::Ready,
    })
}

fn sample(interval_us: u32, load: u32) -> SpeedSample {
    let span_us = u64::from(interval_us) * 10;
    SpeedSample::of_stream(11, span_us, load, None).expect("enough events")
}

fn report(slowdown_percent: Option<u32>) -> LoadReport {
    LoadReport {
        running: 0,
        waiting: 0,
        slots: SLOTS,
        slowdown_percent,
    }
}

/// Creates endpoints with these intervals and computes the median.
fn measured(intervals_us: &[u32]) -> (Vec<Endpoint>, ServiceSpeeds) {
    let endpoints: Vec<Endpoint> = (0..intervals_us.len())
        .map(|number| endpoint(&number.to_string()))
        .collect();
    for (endpoint, interval_us) in endpoints.iter().zip(intervals_us) {
        for _ in 0..10 {
            assert!(endpoint.record_sample(sample(*interval_us, 1), NOW));
        }
    }
    let speeds = ServiceSpeeds::new(EndpointSpeed::Always);
    speeds.of("engines").refresh(&endpoints, NOW);
    (endpoints, speeds)
}

fn class(
    speed: &ServiceSpeed,
    endpoint: &Endpoint,
    now: Millis,
) -> SpeedClass {
    speed.class_of(endpoint, 1, now)
}

#[parameterized(
    far_below = { SpeedClass::Usual, 500, SpeedClass::Fast },
    just_below_the_bound = { SpeedClass::Usual, 770, SpeedClass::Usual },
    passes_the_bound = { SpeedClass::Usual, 759, SpeedClass::Fast },
    stays_fast = { SpeedClass::Fast, 830, SpeedClass::Fast },
    no_longer_fast = { SpeedClass::Fast, 840, SpeedClass::Usual },
    becomes_slow = { SpeedClass::Usual, 1_313, SpeedClass::Slow },
    stays_slow = { SpeedClass::Slow, 1_190, SpeedClass::Slow },
    very_slow_at_once = { SpeedClass::Fast, 2_700, SpeedClass::VerySlow },
    fast_at_once = { SpeedClass::VerySlow, 400, SpeedClass::Fast },
)]
fn a_class_changes_beyond_its_bounds(
    before: SpeedClass,
    ratio_permille: u64,
    after: SpeedClass,
) {
    assert_eq!(before.with_ratio(ratio_permille), after);
}

/// Guards against constant speed that is not recognised.
#[test]
fn endpoints_are_classified_relative_to_the_median() {
    let (endpoints, speeds) = measured(&[12_000, 20_000, 21_000, 32_000]);
    let speed = speeds.of("engines");
    let classes = endpoints.iter().map(|e| class(&speed, e, NOW));
    let expected = [
        SpeedClass::Fast,
        SpeedClass::Usual,
        SpeedClass::Usual,
        SpeedClass::Slow,
    ];
    assert_eq!(classes.collect::<Vec<_>>(), expected);
}

/// Guards against an endpoint that attracts requests by claiming to be fast.
#[test]
fn a_reported_slowdown_only_makes_an_endpoint_slower() {
    let (endpoints, speeds) = measured(&[20_000, 20_000, 20_000]);
    let speed = speeds.of("engines");
    endpoints[0].record_load(report(Some(1)), NOW);
    endpoints[1].record_load(report(Some(250)), NOW);
    assert_eq!(class(&speed, &endpoints[0], NOW), SpeedClass::Usual);
    assert_eq!(class(&speed, &endpoints[1], NOW), SpeedClass::Slow);
}

/// Guards against avoiding an endpoint whose momentary slowdown has passed.
#[test]
fn a_reported_slowdown_expires() {
    let (endpoints, speeds) = measured(&[20_000, 20_000]);
    let speed = speeds.of("engines");
    endpoints[0].record_load(report(Some(400)), NOW);
    assert_eq!(class(&speed, &endpoints[0], NOW), SpeedClass::VerySlow);
    let later = NOW.saturating_add_ms(301);
    assert_eq!(class(&speed, &endpoints[0], later), SpeedClass::Usual);
}

/// Guards against a momentary slowdown that is taken for constant slowness.
#[test]
fn a_sample_during_a_slowdown_is_not_used() {
    let one = endpoint("a");
    let slow = SpeedSample::of_stream(11, 900_000, 1, Some(130));
    assert!(!one.record_sample(slow.expect("enough events"), NOW));
    assert_eq!(one.own_speed(NOW), None);
    let usual = SpeedSample::of_stream(11, 200_000, 1, Some(129));
    assert!(one.record_sample(usual.expect("enough events"), NOW));
}

/// Guards against an endpoint that is slow at all times, says so, and is never
/// measured because each of its reports counts as a momentary slowdown.
#[parameterized(
    slow = { 160, SpeedClass::Slow },
    fast = { 60, SpeedClass::Usual },
)]
fn a_constant_report_is_not_momentary(percent: u32, unmeasured: SpeedClass) {
    let (mut endpoints, speeds) = measured(&[20_000, 20_000, 20_000]);
    let one = endpoint("new");
    let speed = speeds.of("engines");
    one.record_load(report(Some(percent)), NOW);
    assert_eq!(class(&speed, &one, NOW), unmeasured);
    let later = NOW.saturating_add_ms(3_000);
    one.record_load(report(Some(percent)), later);
    let interval_us = 200 * u64::from(percent);
    let stream =
        SpeedSample::of_stream(11, interval_us * 10, 1, Some(percent));
    let stream = stream.expect("enough events");
    assert!(one.record_sample(stream, later));
    assert_eq!(one.expected_interval_us(later), Some(interval_us as u32));
    endpoints.push(one.clone());
    speed.refresh(&endpoints, later);
    let measured = match percent {
        160 => SpeedClass::Slow,
        _ => SpeedClass::Fast,
    };
    assert_eq!(class(&speed, &one, later), measured);
    let momentary = percent * 5 / 2;
    one.record_load(report(Some(momentary)), later);
    let stalled =
        SpeedSample::of_stream(11, interval_us * 25, 1, Some(momentary));
    assert!(!one.record_sample(stalled.expect("enough events"), later));
}

/// Guards against a single stalled stream that makes an endpoint very slow.
#[test]
fn one_sample_changes_an_estimate_by_a_factor_of_two_at_most() {
    let one = endpoint("a");
    one.record_sample(sample(20_000, 1), NOW);
    one.record_sample(sample(9_000_000, 1), NOW);
    assert_eq!(one.expected_interval_us(NOW), Some(40_000));
    one.record_sample(sample(1, 1), NOW);
    let after = one.expected_interval_us(NOW).expect("known");
    assert!(after >= 20_000, "{after}");
}

/// Guards against slowness under full load that is attributed to the endpoint
/// with few requests, and the reverse.
#[test]
fn the_two_levels_of_load_have_separate_averages() {
    let (endpoints, speeds) = measured(&[20_000, 20_000, 20_000]);
    let speed = speeds.of("engines");
    for _ in 0..10 {
        endpoints[0].record_sample(sample(60_000, SLOTS), NOW);
    }
    speed.refresh(&endpoints, NOW);
    assert_eq!(speed.class_of(&endpoints[0], 4, NOW), SpeedClass::Usual);
    assert_eq!(speed.class_of(&endpoints[0], 5, NOW), SpeedClass::VerySlow);
    assert_eq!(speed.class_of(&endpoints[1], 5, NOW), SpeedClass::Usual);
}

/// Guards against an endpoint that is avoided forever: it gets no requests
/// and therefore no samples that would show that it has recovered.
#[test]
fn an_estimate_without_new_samples_is_discarded() {
    let (endpoints, speeds) = measured(&[20_000, 20_000, 60_000]);
    let speed = speeds.of("engines");
    assert_eq!(class(&speed, &endpoints[2], NOW), SpeedClass::VerySlow);
    let later = NOW.saturating_add_ms(20_001);
    assert_eq!(class(&speed, &endpoints[2], later), SpeedClass::Usual);
}

/// Guards against a log line for each response of an endpoint whose header is
/// invalid, and against silence about its next incarnation.
#[test]
fn an_invalid_slowdown_is_noted_once_per_incarnation() {
    let one = endpoint("a");
    assert!(one.mark_slowdown_invalid());
    let listed_again = one.with_record(one.record().clone());
    assert!(!listed_again.mark_slowdown_invalid());
    assert!(endpoint("a").mark_slowdown_invalid());
}

/// Guards against the speed of an earlier process at the same address.
#[test]
fn a_new_incarnation_is_of_unknown_speed() {
    let (endpoints, speeds) = measured(&[20_000, 20_000, 60_000]);
    let record = EndpointRecord {
        started_at: Some(base::UnixMillis::new(5)),
        ..endpoints[2].record().clone()
    };
    let new = Endpoint::new(record);
    let speed = speeds.of("engines");
    assert_eq!(class(&speed, &new, NOW), SpeedClass::Usual);
}

#[parameterized(
    too_few_events = { 3, 60_000 },
    all_at_once = { 40, 0 },
    no_events = { 0, 0 },
)]
fn a_stream_without_measurable_intervals_gives_no_sample(
    events: u64,
    span_us: u64,
) {
    assert_eq!(SpeedSample::of_stream(events, span_us, 1, None), None);
}

#[parameterized(
    reported_and_seen = { EndpointSpeed::Reported, Some(100), true },
    reported_and_not_seen = { EndpointSpeed::Reported, None, false },
    always = { EndpointSpeed::Always, None, true },
    off = { EndpointSpeed::Off, Some(100), false },
)]
fn the_switch_decides_when_speed_matters(
    mode: EndpointSpeed,
    slowdown_percent: Option<u32>,
    is_active: bool,
) {
    let one = endpoint("a");
    one.record_load(report(slowdown_percent), NOW);
    let speed = ServiceSpeeds::new(mode).of("engines");
    speed.refresh([&one], NOW);
    assert_eq!(speed.is_active(NOW), is_active);
    let later = NOW.saturating_add_ms(60_001);
    speed.refresh([&one], later);
    assert_eq!(speed.is_active(later), mode == EndpointSpeed::Always);
}

/// Guards against false data of a worker misleading a front with samples.
#[parameterized(
    agrees = { 8, 25_000, 25_000 },
    contradicts = { 8, 50_000, 20_000 },
    contradicts_the_other_way = { 8, 9_000, 20_000 },
    few_own_samples = { 7, 50_000, 50_000 },
)]
fn a_combined_estimate_that_contradicts_own_samples_is_not_used(
    samples: u32,
    combined_us: u32,
    used_us: u32,
) {
    let one = endpoint("a");
    for _ in 0..samples {
        one.record_sample(sample(20_000, 1), NOW);
    }
    let combined = SpeedEstimate {
        low_us: Some(combined_us),
        high_us: None,
        samples: 30,
    };
    one.record_combined_speed(combined, NOW);
    assert_eq!(one.expected_interval_us(NOW), Some(used_us));
    let later = NOW.saturating_add_ms(10_001);
    assert_eq!(one.expected_interval_us(later), Some(20_000));
}

fn estimate(low_us: u32, samples: u32) -> SpeedEstimate {
    SpeedEstimate {
        low_us: Some(low_us),
        high_us: None,
        samples,
    }
}

/// Guards against one node with false data that determines the estimate.
#[test]
fn one_false_report_does_not_move_the_median() {
    let key = endpoint("a").incarnation_key();
    let mut reports = SpeedReports::default();
    for (node, low_us) in [("1", 20_000), ("2", 21_000), ("3", 22_000)] {
        reports.record(node, key, estimate(low_us, 32), NOW);
    }
    reports.record("false", key, estimate(1, u32::MAX), NOW);
    let combined = reports.combined(key, None, NOW).expect("reported");
    assert_eq!(combined.low_us, Some(20_000));
    let own = Some(estimate(22_000, 40));
    let combined = reports.combined(key, own, NOW).expect("reported");
    assert_eq!(combined.low_us, Some(21_000));
}

/// Guards against memory that grows with what other nodes send.
#[test]
fn the_number_of_reports_is_bounded() {
    let mut reports = SpeedReports::default();
    for number in 0..5_000 {
        let key = endpoint(&number.to_string()).incarnation_key();
        reports.record("front", key, estimate(1, 1), NOW);
    }
    assert_eq!(reports.len(), 1_024);
    let later = NOW.saturating_add_ms(10_001);
    let key = endpoint("new").incarnation_key();
    for _ in 0..1_024 {
        reports.record("front", key, estimate(1, 1), later);
    }
    assert_eq!(reports.len(), 1, "expired reports are removed");
}

fn chosen(
    table: &EndpointTable,
    selection: &Selection,
    affinity: u64,
) -> String {
    let query = EndpointQuery {
        service: "engines",
        failure_domain: "east",
        affinity,
        tried: &[],
        under_way: &[],
        queue_allowance: 1,
        binding: None,
    };
    let choice = table.choose(selection, &query, NOW).expect("an endpoint");
    choice.endpoint.record().id.clone()
}

/// Guards against a slow endpoint of the own share that is used while slots
/// of faster ones are free, and against all nodes taking the last free slots
/// of those.
#[parameterized(
    three_free = { 5, "0" },
    two_free = { 6, "3" },
)]
fn a_faster_class_takes_precedence_over_the_own_share(
    load: u32,
    expected: &str,
) {
    let (endpoints, speeds) = measured(&[12_000, 20_000, 20_000, 32_000]);
    for _ in 0..load {
        endpoints[0].begin_request();
    }
    for other in &endpoints[1..3] {
        (0..SLOTS).for_each(|_| other.begin_request());
    }
    let table = EndpointTable::new(endpoints);
    let own = |e: &Endpoint| e.record().id == "3";
    let selection = Selection::new("n", &table, own).with_speeds(&speeds);
    assert_eq!(chosen(&table, &selection, 7), expected);
}

/// Guards against other choices than before where endpoints are equally fast
/// or the feature is off.
#[parameterized(
    equal = { EndpointSpeed::Always, 0 },
    off = { EndpointSpeed::Off, 1_000 },
    not_reported = { EndpointSpeed::Reported, 1_000 },
)]
fn choices_are_the_same_without_differences(
    mode: EndpointSpeed,
    spread_us: u32,
) {
    let endpoints: Vec<Endpoint> =
        (0..54).map(|n| endpoint(&n.to_string())).collect();
    let mut random = 1;
    for (number, endpoint) in (0..).zip(&endpoints) {
        random = base::mix(random);
        (0..random % 10).for_each(|_| endpoint.begin_request());
        let interval_us = 20_000 + number * spread_us;
        endpoint.record_sample(sample(interval_us, 1), NOW);
    }
    let speeds = ServiceSpeeds::new(mode);
    speeds.of("engines").refresh(&endpoints, NOW);
    let table = EndpointTable::new(endpoints);
    let own = |e: &Endpoint| e.id_hash().is_multiple_of(9);
    let before = Selection::new("n", &table, own);
    let after = before.clone().with_speeds(&speeds);
    for affinity in 0..2_000 {
        assert_eq!(
            chosen(&table, &before, affinity),
            chosen(&table, &after, affinity),
        );
    }
}
