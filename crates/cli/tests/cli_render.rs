//! Differences, places of faults and loosely read status pages.

use pomeloslip::{
    client::{ConfigFault, Problem},
    render::{diff_lines, fault, status},
};
use serde_json::{Value, json};
use yare::parameterized;

#[parameterized(
    same = { "a\n", "a\n", "" },
    empty = { "", "a\n", "+a\n" },
    all_gone = { "a\nb\n", "", "-a\n-b\n" },
    replaced = { "a\nb\nc\n", "a\nx\nc\n", " a\n-b\n+x\n c\n" },
    moved = { "a\nb\nc\n", "b\nc\na\n", "-a\n b\n c\n+a\n" },
    far_lines = {
        "1\n2\n3\n4\n5\n6\n7\n8\n9\n", "1\n2\n3\n4\nx\n6\n7\n8\n9\n",
        "...\n 2\n 3\n 4\n-5\n+x\n 6\n 7\n 8\n...\n",
    },
    two_changes = {
        "a\n2\n3\n4\n5\n6\n7\n8\n9\nb\n", "A\n2\n3\n4\n5\n6\n7\n8\n9\nB\n",
        "-a\n+A\n 2\n 3\n 4\n...\n 7\n 8\n 9\n-b\n+B\n",
    },
)]
fn differences(old: &str, new: &str, expected: &str) {
    assert_eq!(diff_lines(old, new), expected);
}

#[test]
fn a_fault_has_its_place_first() {
    let found = ConfigFault {
        line: 3,
        column: 7,
        key: "rules[0].then".to_owned(),
        message: "is empty".to_owned(),
        nearest: None,
    };
    let text = fault("rules.yaml", &found);
    assert_eq!(text, "rules.yaml:3:7: rules[0].then: is empty");
}

#[parameterized(
    plain_text = { "no\nroute", "502 error: no route" },
    empty = { "", "502 error" },
    other_json = { "[1]", "502 error: [1]" },
    type_only = { r#"{"type": "/problems/x"}"#, "502 /problems/x" },
)]
fn any_body_becomes_a_problem(body: &str, expected: &str) {
    assert_eq!(Problem::from_body(502, None, body).to_string(), expected);
}

#[parameterized(
    no_object = { json!(1), "1\n" },
    list = {
        json!({"endpoints": [{"name": "e-1", "up": true}]}),
        "endpoints: 1\n  name=e-1 up=true\n",
    },
    unknown_metrics = {
        json!({"metrics": {"shape": "newer"}}),
        "metrics:\n  shape: newer\n",
    },
)]
fn a_page_of_any_shape_is_shown(page: Value, expected: &str) {
    assert_eq!(status(&page), expected);
}
