//! Which statuses callers get for requests that may have run.

use pomeloslip_execution::{Evidence, PossibleRuns, Ran, promises_not_run};
use yare::parameterized;

const PROMISES: [u16; 4] = [408, 421, 429, 503];

/// Guards against a promise that a request did not run although it may have.
#[test]
fn no_request_that_may_have_run_gets_a_promise() {
    for status in 100..600 {
        let given = Ran::Unknown.status(status);
        assert!(!promises_not_run(given), "{status} became {given}");
        assert_eq!(given == status, !PROMISES.contains(&status));
        assert_eq!(Ran::No.status(status), status);
    }
}

/// Guards against a status of an endpoint that is taken for its statement that
/// the request did not run.
#[test]
fn a_status_alone_is_no_evidence() {
    for status in 100..600 {
        let evidence = Evidence::of_response(status, false);
        assert_eq!(evidence, Evidence::MayHaveRun);
        assert_eq!(
            evidence.contradicts(status),
            PROMISES.contains(&status),
            "{status}"
        );
    }
}

/// Guards against a response that contradicts itself: a success whose endpoint
/// states that it did not run the request.
#[parameterized(
    ok = { 200 },
    accepted = { 202 },
    no_content = { 204 },
)]
fn a_success_is_not_a_refusal(status: u16) {
    let evidence = Evidence::of_response(status, true);
    assert_eq!(evidence.ran(), Ran::Unknown);
}

/// Guards against a refusal after several offers of which one may have run.
#[parameterized(
    first = { 0 },
    middle = { 2 },
    last = { 3 },
)]
fn one_possible_run_among_refusals_decides(lost: usize) {
    let runs = PossibleRuns::default();
    for at in 0..4 {
        let offered = runs.begin();
        offered.mark_sent();
        offered.settle(match at == lost {
            true => Evidence::MayHaveRun,
            false => Evidence::Declined,
        });
    }
    assert_eq!(runs.count(), 1);
    assert_eq!(runs.ran(), Ran::Unknown);
}

/// Guards against a cancelled search that hides the copy that it has sent.
#[test]
fn a_dropped_copy_counts_once_it_was_sent() {
    let runs = PossibleRuns::default();
    let search = runs.clone();
    drop(search.begin());
    assert_eq!(runs.ran(), Ran::No);
    let offered = search.begin();
    offered.mark_sent();
    drop((offered, search));
    assert_eq!(runs.ran(), Ran::Unknown);
}

/// Guards against another spelling in problem documents, which callers read.
#[test]
fn the_names_of_problem_documents_stay() {
    let json = serde_json::to_string(&[Ran::No, Ran::Unknown]);
    assert_eq!(json.expect("names"), r#"["no","unknown"]"#);
    assert_eq!(Ran::Unknown.to_string(), "unknown");
}
