//! Rate limits, concurrency limits, shares and retry budgets.

use base::{Customer, Millis};
use pomeloslip_limits::{
    ConcurrencyLimit, EntryCount, FleetLimits, LimitShare, LimitTable,
    RetryBudget, TokenBucket,
};
use yare::parameterized;

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

fn take_count(bucket: &mut TokenBucket, now: Millis, tries: u32) -> u32 {
    (0..tries).filter(|_| bucket.try_take(now).is_ok()).count() as u32
}

#[parameterized(
    burst_only = { 10.0, 5, 0, 5 },
    half_a_second = { 10.0, 5, 500, 5 },
    one_token = { 10.0, 5, 100, 1 },
    just_before = { 10.0, 5, 99, 0 },
    never_over_the_burst = { 10.0, 5, 3_600_000, 5 },
    burst_of_zero_is_one = { 10.0, 0, 0, 1 },
)]
fn bucket_refills(rate: f64, burst: u32, wait_ms: u64, expected: u32) {
    let mut bucket = TokenBucket::new(rate, burst, at(0));
    let first = take_count(&mut bucket, at(0), 100);
    if wait_ms == 0 {
        assert_eq!(first, expected);
    } else {
        assert_eq!(take_count(&mut bucket, at(wait_ms), 100), expected);
    }
}

/// Guards against a customer with a low rate that gets less than its rate when
/// it sends requests often: each refusal refills a fraction of a token, and
/// rounding the fraction down loses it.
#[test]
fn frequent_refusals_lose_no_tokens() {
    // A burst of 2, since a full bucket of 1 drops what exceeds one token.
    let mut bucket = TokenBucket::new(0.7, 2, at(0));
    let admitted = (0..=100_000)
        .filter(|ms| bucket.try_take(at(*ms)).is_ok())
        .count();
    assert_eq!(admitted, 72);
}

#[test]
fn retry_delay_is_exactly_long_enough() {
    let mut bucket = TokenBucket::new(3.0, 1, at(0));
    bucket.try_take(at(0)).unwrap();
    let wait_ms = bucket.try_take(at(10)).unwrap_err().retry_after_ms();
    assert!(bucket.clone().try_take(at(10 + wait_ms - 1)).is_err());
    assert!(bucket.try_take(at(10 + wait_ms)).is_ok());
}

#[test]
fn bucket_survives_odd_input() {
    for rate in [0.0, -1.0, f64::NAN] {
        let mut bucket = TokenBucket::new(rate, 1, at(5));
        assert!(bucket.try_take(at(0)).is_ok());
        let refused = bucket.try_take(at(u64::MAX)).unwrap_err();
        assert_eq!(refused.retry_after_ms(), 3_600_000);
    }
    let mut fast = TokenBucket::new(f64::INFINITY, u32::MAX, at(0));
    assert_eq!(fast.available(at(u64::MAX)), u32::MAX);
}

#[test]
fn changed_rate_is_no_second_burst() {
    let mut bucket = TokenBucket::new(1.0, 10, at(0));
    assert_eq!(take_count(&mut bucket, at(0), 20), 10);
    bucket.set(5.0, 20, at(0));
    assert_eq!(take_count(&mut bucket, at(0), 20), 0);
    assert_eq!(take_count(&mut bucket, at(1_000), 20), 5);
    bucket.refund();
    assert_eq!(take_count(&mut bucket, at(1_000), 20), 1);
}

#[test]
fn slots_are_freed_and_limits_change() {
    let limit = ConcurrencyLimit::new(2);
    let first = limit.try_acquire().unwrap();
    let second = limit.try_acquire().unwrap();
    assert!(limit.try_acquire().is_err());
    limit.set(1);
    drop(first);
    assert!(limit.try_acquire().is_err());
    drop(second);
    assert_eq!(limit.running(), 0);
    assert!(limit.try_acquire().is_ok());
}

#[test]
fn concurrency_limit_holds_over_threads() {
    let limit = ConcurrencyLimit::new(3);
    std::thread::scope(|scope| {
        for _ in 0..4 {
            scope.spawn(|| {
                for _ in 0..1_000 {
                    let permit = limit.try_acquire();
                    assert!(limit.running() <= 3);
                    drop(permit);
                }
            });
        }
    });
    assert_eq!(limit.running(), 0);
}

#[parameterized(
    alone = { 1, 100, 100 },
    two = { 2, 100, 60 },
    many = { 340, 1_900, 7 },
    more_entries_than_places = { 340, 10, 1 },
    nothing_stays_nothing = { 4, 0, 0 },
    no_entry_known = { 0, 100, 100 },
)]
fn share_of_a_count(entries: u32, total: u32, expected: u32) {
    assert_eq!(LimitShare::new(entries).count(total), expected);
}

#[test]
fn shares_add_up_to_the_documented_bound() {
    let share = LimitShare::new(8);
    let total = 8.0 * share.rate(1_000.0);
    assert!((total - 1_200.0).abs() < 1e-6, "{total}");
    let exact = share.with_overcommit(0.0);
    assert!((8.0 * exact.rate(1_000.0) - 1_000.0).abs() < 1e-6);
}

/// Guards against a customer that gets twice its limit during a restart of
/// entries: the lagging list no longer contains an entry that still serves,
/// and if the count decreases at once, the others use its share too.
#[test]
fn entry_count_falls_slowly_and_rises_at_once() {
    let mut count = EntryCount::new(4, 30_000);
    count.observe(2, at(0));
    count.observe(3, at(10_000));
    assert_eq!(count.get(), 4);
    count.observe(2, at(30_000));
    assert_eq!(count.get(), 3, "the maximum seen since then");
    count.observe(2, at(31_000));
    count.observe(9, at(32_000));
    assert_eq!(count.get(), 9);
    count.observe(0, at(33_000));
    count.observe(0, at(63_000));
    assert_eq!(count.get(), 1);
}

#[parameterized(
    quiet_hour = { 0, 3 },
    few = { 10, 5 },
    many = { 1_000, 203 },
)]
fn retry_budget(requests: u32, expected: usize) {
    let mut budget = RetryBudget::new(0.2, 3, 10_000);
    for _ in 0..requests {
        budget.record_request(at(0));
    }
    let allowed = (0..10_000).filter(|_| budget.try_retry(at(0))).count();
    assert_eq!(allowed, expected);
}

#[test]
fn retry_budget_slides() {
    let mut budget = RetryBudget::new(0.5, 0, 10_000);
    for _ in 0..10 {
        budget.record_request(at(500));
    }
    assert!((0..5).all(|_| budget.try_retry(at(9_999))));
    assert!(!budget.try_retry(at(9_999)));
    // The requests have left the window; the retries of slot 9 have not.
    assert!(!budget.try_retry(at(10_500)));
    budget.record_request(at(30_000));
    budget.record_request(at(30_000));
    assert!(budget.try_retry(at(30_000)));
    assert!(!budget.try_retry(at(u64::MAX)));
}

/// Guards against a rising number of attempts while responses decline: every
/// request fails, and retries are unlimited.
#[test]
fn brown_out_adds_a_bounded_load() {
    let mut budget = RetryBudget::new(0.1, 2, 10_000);
    let mut attempts = 0;
    for ms in 0..60_000 {
        budget.record_request(at(ms));
        attempts += 1;
        attempts += (0..3).filter(|_| budget.try_retry(at(ms))).count();
    }
    let max = 60_000 + 6_000 + 7 * (2 + 100);
    assert!(attempts <= max, "{attempts} attempts");
}

fn customer(name: &str) -> Customer {
    name.parse().expect("a valid name")
}

#[test]
fn table_keeps_rows_over_a_change() {
    let (one, two) = (customer("one"), customer("two"));
    let limits = |concurrent, rate| FleetLimits {
        requests_per_s: rate,
        burst: None,
        concurrent,
    };
    let mut table = LimitTable::new(LimitShare::new(1));
    let before = [
        (&one, limits(Some(2), None)),
        (&two, limits(None, Some(3.0))),
    ];
    table.configure(before, at(0));
    let key = table.key(&one).unwrap();
    let gone = table.key(&two).unwrap();
    assert!((0..3).all(|_| table.try_admit(gone, at(0)).is_ok()));
    let refused = table.try_admit(gone, at(0)).unwrap_err();
    assert_eq!(refused.retry_after_ms(), 334);
    let admission = table.try_admit(key, at(0)).unwrap();
    table.configure([(&one, limits(Some(1), None))], at(1));
    assert_eq!(table.key(&one), Some(key));
    assert_eq!(table.running(key), Some(1));
    assert!(table.try_admit(key, at(1)).is_err());
    assert!(table.try_admit(gone, at(1)).is_err());
    drop(admission);
    assert!(table.try_admit(key, at(1)).is_ok());
}

/// Guards against a customer whose rate is used up by requests that did not
/// run: if the token is take_count first, it is lost when no slot is free.
#[test]
fn refusal_for_concurrency_takes_no_token() {
    let one = customer("one");
    let limits = FleetLimits {
        requests_per_s: Some(1.0),
        burst: Some(2),
        concurrent: Some(1),
    };
    let mut table = LimitTable::new(LimitShare::new(1));
    table.configure([(&one, limits)], at(0));
    let key = table.key(&one).unwrap();
    let running = table.try_admit(key, at(0)).unwrap();
    assert!((0..5).all(|_| table.try_admit(key, at(0)).is_err()));
    drop(running);
    assert!(table.try_admit(key, at(0)).is_ok());
    assert!(table.try_admit(key, at(0)).is_err());
    assert_eq!(table.running(key), Some(0), "the slot was freed");
}

#[test]
fn table_follows_the_number_of_entries() {
    let one = customer("one");
    let limits = FleetLimits {
        concurrent: Some(10),
        ..FleetLimits::default()
    };
    let mut table = LimitTable::new(LimitShare::new(1));
    table.configure([(&one, limits)], at(0));
    table.set_share(LimitShare::new(10), at(0));
    let key = table.key(&one).unwrap();
    let running: Vec<_> = (0..10)
        .filter_map(|_| table.try_admit(key, at(0)).ok())
        .collect();
    assert_eq!(running.len(), 2);
}
