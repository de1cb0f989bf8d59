//! Every problem of a document has a location and names its key.

use std::{collections::BTreeMap, io::Write};

use pomeloslip_conf::{
    Check, ConfError, Findings, MAX_DOCUMENT_BYTES, MAX_PROBLEMS, OneOrMany,
    UniqueNames, parse, parse_checked, read,
};
use proptest::{prelude::*, test_runner::RngSeed};
use serde::Deserialize;
use yare::parameterized;

#[derive(Debug, Default, Deserialize, PartialEq)]
#[serde(rename_all = "snake_case")]
enum Color {
    #[default]
    Red,
    Blue,
}

// Without `deny_unknown_fields`, since unknown keys are rejected regardless.
#[derive(Debug, Default, Deserialize, PartialEq)]
struct Pool {
    name: String,
    #[serde(default)]
    models: Vec<String>,
    #[serde(default)]
    slots: Option<u8>,
    #[serde(default)]
    color: OneOrMany<Color>,
}

#[derive(Debug, Default, Deserialize, PartialEq)]
struct Doc {
    #[serde(default)]
    pools: Vec<Pool>,
    #[serde(default)]
    timeout_ms: u64,
    #[serde(default)]
    share: f64,
    #[serde(default)]
    on: bool,
    #[serde(default)]
    extra: BTreeMap<String, i32>,
    #[serde(default)]
    default_pool: String,
}

impl Check for Doc {
    fn check(&self, findings: &mut Findings<'_>) {
        findings.check_range("timeout_ms", self.timeout_ms, 0, 1_000);
        let mut names = UniqueNames::default();
        for (index, pool) in self.pools.iter().enumerate() {
            let path = findings.item_path("pools", index);
            names.add(&format!("{path}.name"), &pool.name, findings);
        }
        let known = self.pools.iter().map(|pool| pool.name.as_str());
        let known: Vec<&str> = known.collect();
        let default_pool = self.default_pool.as_str();
        if !default_pool.is_empty() && !known.contains(&default_pool) {
            let path = "default_pool";
            findings.report_unknown(path, "pool", default_pool, known);
        }
    }
}

fn errors(text: &str) -> ConfError {
    let report = parse_checked::<Doc>("f", text).expect_err("an error");
    report.current_context().clone()
}

#[parameterized(
    unknown = { "timeot_ms: 1", "f:1:1: timeot_ms: unknown key; did you mean \"timeout_ms\"?" },
    unknown_deep = { "pools:\n- name: a\n  modles: []", "f:3:3: pools[0].modles: unknown key; did you mean \"models\"?" },
    unknown_far = { "pools:\n- name: a\n  zzz: 1", "f:3:3: pools[0].zzz: unknown key; one of name, models, slots, color" },
    missing = { "pools:\n  - models: [x]", "f:2:5: pools[0]: missing key `name`" },
    wrong_type = { "timeout_ms: soon", "f:1:13: timeout_ms: expected u64, found string \"soon\"" },
    quoted_number = { "timeout_ms: \"5\"", "f:1:13: timeout_ms: expected u64, found string \"5\"" },
    negative = { "timeout_ms: -5", "f:1:13: timeout_ms: expected u64, found integer `-5`" },
    fraction = { "timeout_ms: 0.5", "f:1:13: timeout_ms: expected u64, found floating point `0.5`" },
    too_large_for_type = { "pools: [{name: a, slots: 256}]", "f:1:26: pools[0].slots: expected u8, found integer `256`" },
    list_for_number = { "timeout_ms: [1]", "f:1:13: timeout_ms: expected u64, found a list" },
    number_for_list = { "pools: 3", "f:1:8: pools: expected a sequence, found integer `3`" },
    word_for_mapping = { "just words", "f:1:1: (document): expected struct Doc, found string \"just words\"" },
    boolean_for_text = { "pools: [{name: true}]", "f:1:16: pools[0].name: expected a string, found boolean `true`" },
    nothing_for_text = { "pools:\n- name:\n", "f:2:3: pools[0].name: expected a string, found unit value" },
    yes_is_no_boolean = { "on: yes", "f:1:5: on: expected a boolean, found string \"yes\"" },
    in_a_map = { "extra: {a.b: x}", "f:1:14: extra[\"a.b\"]: expected i32, found string \"x\"" },
    word_of_enum = { "pools: [{name: a, color: blu}]", "f:1:26: pools[0].color: unknown value \"blu\"; one of red, blue; did you mean \"blue\"?" },
    word_in_list = { "pools: [{name: a, color: [red, x]}]", "f:1:32: pools[0].color[1]: unknown value \"x\"; one of red, blue" },
    duplicate_key = { "on: true\nshare: 1\non: false", "f:3:1: on: duplicate key, first given in line 1" },
    empty = { "", "f:1:1: (document): is empty" },
    only_comments = { "# nothing\n\n", "f:1:1: (document): is empty" },
    null_document = { "~", "f:1:1: (document): is empty" },
    two_documents = { "on: true\n---\non: false\n", "f:2:1: (document): a second document begins; only one is allowed" },
    open_list = { "pools: [a\nb: 3", "f:2:2: pools[0]: not valid YAML: illegal placement of ':' indicator" },
    alias = { "share: &a 1\n", "f:1:8: share: anchors are not supported" },
    tag = { "share: !x 1\n", "f:1:8: share: the tag !x is not supported" },
    list_as_key = { "? [a]\n: 1\n", "f:1:3: (document): a key must be a scalar" },
    after_wide_characters = { "extra: {äö: õ}", "f:1:13: extra[\"äö\"]: expected i32, found string \"õ\"" },
    range = { "on: true\ntimeout_ms: 1001", "f:2:13: timeout_ms: 1001 is not in 0 to 1000" },
    twice = { "pools: [{name: a}, {name: a}]", "f:1:27: pools[1].name: \"a\" is also in pools[0].name" },
    undefined = { "pools: [{name: korv}]\ndefault_pool: krov", "f:2:15: default_pool: unknown pool \"krov\"; did you mean \"korv\"?" },
)]
fn one_problem(text: &str, line: &str) {
    assert_eq!(errors(text).to_string(), line);
}

#[parameterized(
    names_like_numbers = { "pools: [{name: 7}, {name: 1e3}]", &["7", "1e3"] },
    quoted = { "pools: [{name: 'true'}, {name: \"\"}]", &["true", ""] },
    block = { "pools:\n- name: |\n    a\n", &["a\n"] },
    json = { "{\"pools\": [{\"name\": \"a\", \"color\": \"red\"}]}", &["a"] },
)]
fn names_are_accepted(text: &str, names: &[&str]) {
    let doc: Doc = parse("f", text).expect("valid");
    let found = doc.pools.iter().map(|pool| pool.name.as_str());
    assert!(found.eq(names.iter().copied()));
}

#[parameterized(
    plain = { "share: 1", 1.0 },
    exponent = { "share: 1.5e3", 1_500.0 },
    negative = { "share: -0.5", -0.5 },
    hexadecimal = { "share: 0x10", 16.0 },
)]
fn numbers_are_accepted(text: &str, share: f64) {
    assert_eq!(parse::<Doc>("f", text).expect("valid").share, share);
}

#[test]
fn left_out_option_is_none() {
    let doc: Doc = parse("f", "pools: [{name: a, slots: }]").unwrap();
    assert_eq!(doc.pools[0].slots, None);
}

/// Guards against reporting only the first error of serde, so that operators
/// had to submit the file once per error.
#[test]
fn all_problems_at_once_and_in_order() {
    let text = "\
pools:
  - name: a
    slots: many
  - models: [x]
  - name: [b]
    zoom: 1
  - name: a
timeout_ms: 5000
default_pool: c
share: wide
";
    let lines: Vec<String> =
        errors(text).problems().map(|p| p.to_string()).collect();
    assert_eq!(
        lines,
        [
            "f:3:12: pools[0].slots: expected u8, found string \"many\"",
            "f:4:5: pools[1]: missing key `name`",
            "f:5:11: pools[2].name: expected a string, found a list",
            "f:6:5: pools[2].zoom: unknown key; one of name, models, \
             slots, color",
            "f:7:11: pools[3].name: \"a\" is also in pools[0].name",
            "f:8:13: timeout_ms: 5000 is not in 0 to 1000",
            "f:9:15: default_pool: unknown pool \"c\"",
            "f:10:8: share: expected f64, found string \"wide\"",
        ]
    );
}

#[test]
fn problems_are_bounded() {
    let text: String = (0..50).map(|n| format!("key{n}: 1\n")).collect();
    assert_eq!(errors(&text).problems().count(), MAX_PROBLEMS);
}

#[test]
fn getters_and_json() {
    let error = errors("on: yes\ntimeot_ms: 1");
    let json = serde_json::to_value(&error).expect("serializable");
    assert_eq!(
        json,
        serde_json::json!([
            {
                "file": "f", "line": 1, "column": 5, "key": "on",
                "message": "expected a boolean, found string \"yes\"",
            },
            {
                "file": "f", "line": 2, "column": 1, "key": "timeot_ms",
                "message": "unknown key", "nearest": "timeout_ms",
            },
        ])
    );
    assert_eq!((error.file(), error.line(), error.column()), ("f", 1, 5));
    assert_eq!((error.key(), error.nearest()), ("on", None));
    assert!(error.message().starts_with("expected a boolean"));
}

fn file(bytes: &[u8]) -> tempfile::NamedTempFile {
    let mut file = tempfile::NamedTempFile::new().expect("a file");
    file.write_all(bytes).expect("written");
    file
}

fn read_error(bytes: &[u8]) -> ConfError {
    let file = file(bytes);
    let report = read::<Doc>(file.path()).expect_err("an error");
    report.current_context().clone()
}

#[test]
fn file_that_is_not_utf8() {
    let error = read_error(b"on: true\nshare: \xff1\n");
    assert_eq!((error.line(), error.column()), (2, 8));
    assert_eq!(error.message(), "is not UTF-8");
}

#[test]
fn file_that_is_too_long() {
    let mut bytes = b"on: true\n".to_vec();
    bytes.resize(MAX_DOCUMENT_BYTES, b'#');
    assert!(read::<Doc>(file(&bytes).path()).is_ok());
    bytes.push(b'#');
    let error = read_error(&bytes);
    assert_eq!(error.line(), 2);
    assert_eq!(error.message(), "is longer than 1048576 bytes");
    bytes[20] = 0xff;
    assert_eq!(read_error(&bytes).message(), error.message());
}

#[test]
fn file_that_is_not_there() {
    let report = read::<Doc>("no/such/file").expect_err("an error");
    let error = report.current_context();
    assert_eq!((error.line(), error.column()), (0, 0));
    let line = error.to_string();
    assert!(line.starts_with("no/such/file: (document): cannot be read: "));
}

#[parameterized(
    block = { "- ", "", "nested more than 32 levels deep" },
    flow = { "[", "]", "not valid YAML: recursion limit exceeded" },
)]
fn deep_nesting_is_refused(open: &str, close: &str, message: &str) {
    let (open, close) = (open.repeat(500), close.repeat(500));
    let error = errors(&format!("pools:\n  {open}{close}"));
    assert_eq!((error.line(), error.message()), (2, message));
}

proptest! {
    #![proptest_config(ProptestConfig {
        rng_seed: RngSeed::Fixed(1),
        failure_persistence: None,
        ..ProptestConfig::default()
    })]

    /// Parsing terminates for any text, and each problem is located inside it.
    #[test]
    fn problems_have_locations(text in "[ a-z:\\[\\]{},\"'\n#&*!|>~?0-9-]{0,80}") {
        if let Err(report) = parse_checked::<Doc>("f", &text) {
            let lines = text.split('\n').count() as u32;
            for problem in report.current_context().problems() {
                prop_assert!((1..=lines).contains(&problem.line()));
                prop_assert!(problem.column() >= 1);
            }
        }
    }
}
