//! Parsing of the load header.

use yare::parameterized;

use super::{Slowdown, parse_load_report};

/// Guards against a header with an invalid slowdown whose other numbers are
/// lost, so that the load of the endpoint is not known.
#[parameterized(
    three_numbers = { "1,2,8", None, Slowdown::Missing },
    usual = { "1, 2, 8, 100", Some(100), Slowdown::Valid },
    slow = { "1,2,8,250", Some(250), Slowdown::Valid },
    claims_to_be_fast = { "1,2,8,1", Some(1), Slowdown::Valid },
    largest = { "1,2,8,10000", Some(10_000), Slowdown::Valid },
    zero = { "1,2,8,0", None, Slowdown::Invalid },
    too_large = { "1,2,8,10001", None, Slowdown::Invalid },
    beyond_the_type = { "1,2,8,99999999999", None, Slowdown::Invalid },
    negative = { "1,2,8,-100", None, Slowdown::Invalid },
    fraction = { "1,2,8,1.5", None, Slowdown::Invalid },
    text = { "1,2,8,slow", None, Slowdown::Invalid },
    empty = { "1,2,8,", None, Slowdown::Invalid },
    further_numbers = { "1,2,8,120,7", Some(120), Slowdown::Valid },
)]
fn the_first_three_numbers_are_independent_of_the_fourth(
    text: &str,
    slowdown_percent: Option<u32>,
    expected: Slowdown,
) {
    let (report, slowdown) = parse_load_report(text).expect("three numbers");
    assert_eq!((report.running, report.waiting, report.slots), (1, 2, 8));
    assert_eq!(report.slowdown_percent, slowdown_percent);
    assert_eq!(slowdown, expected);
}

#[parameterized(
    two_numbers = { "1,2" },
    not_a_number = { "1,x,8,100" },
    nothing = { "" },
)]
fn a_header_without_three_numbers_is_not_a_report(text: &str) {
    assert!(parse_load_report(text).is_none());
}
