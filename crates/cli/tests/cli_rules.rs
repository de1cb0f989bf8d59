//! Checking and explaining a configuration without a server.

#![allow(clippy::unwrap_used)]

mod cli_common;

use std::fs;

use cli_common::{Ran, Server, json, run};
use serde_json::{Value, json as value};
use yare::parameterized;

const RULES: &str = "\
pools: [{pool: korv-lm, kind: engine, models: korv-lm}]
rules:
  - name: nightly
    when: {class: batch}
    then: {pool: korv-lm}
  - then: {shed: true}
";

const BROKEN: &str = "\
pools: [{pool: korv-lm, kind: engine, models: korv-lm}]
rules:
  - then: {pool: korv-ml}
  - whne: {class: batch}
    then: {shed: true}
";

fn run_on(text: &str, command: &str, args: &[&str]) -> (Ran, String) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("rules.yaml");
    fs::write(&path, text).unwrap();
    let path = path.to_str().unwrap();
    let ran = run(&[&["rules", command, path], args].concat());
    (ran, path.to_owned())
}

#[test]
fn a_valid_file_ends_with_0() {
    let (ran, path) = run_on(RULES, "check", &[]);
    assert_eq!(ran.status, 0, "{ran:?}");
    assert_eq!(ran.stdout, format!("{path} is valid\n"));
}

#[test]
fn each_fault_has_its_place_and_the_nearest_word() {
    let (ran, path) = run_on(BROKEN, "check", &[]);
    assert_eq!((ran.status, ran.stdout.as_str()), (1, ""));
    let place = format!("{path}:4:5: rules[1].whne: ");
    assert!(ran.stderr.contains(&place), "{}", ran.stderr);
    assert!(ran.stderr.contains("did you mean \"when\"?"));
    let last = ran.stderr.lines().last().unwrap();
    assert_eq!(last, "error: the configuration is not valid");

    let (ran, _) = run_on(BROKEN, "check", &["--json"]);
    let found: Value = serde_json::from_str(&ran.stdout).unwrap();
    assert_eq!((ran.status, &found["valid"]), (1, &value!(false)));
    let faults = found["errors"].as_array().unwrap();
    assert!(faults.iter().any(|fault| fault["nearest"] == "when"));
}

#[test]
fn an_unreadable_file_is_a_failure() {
    let ran = run(&["rules", "check", "/nonexistent/rules.yaml"]);
    assert_eq!(ran.status, 1);
    assert!(ran.stderr.starts_with("error: cannot read the file: "));
}

#[test]
fn apply_sends_nothing_that_is_not_valid() {
    let server = Server::start(|_| json(200, value!({"revision": 2})));
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("rules.yaml");
    fs::write(&path, BROKEN).unwrap();
    let path = path.to_str().unwrap();
    let ran = server.run(&["rules", "apply", path, "--expect", "1"]);
    assert_eq!(ran.status, 1);
    assert_eq!(server.received().len(), 0);
}

#[parameterized(
    first = { &["--sample", "class=batch"], "rule 1 decides; " },
    second = { &["--sample", "class=online"], "rule 2 decides; " },
    defaults = { &[], "rule 2 decides; " },
)]
fn the_first_rule_that_holds_decides(args: &[&str], start: &str) {
    let (ran, _) = run_on(RULES, "explain", args);
    assert_eq!(ran.status, 0, "{ran:?}");
    assert!(ran.stdout.starts_with(start), "{}", ran.stdout);
}

#[test]
fn the_live_configuration_is_explained_with_its_revision() {
    let server =
        Server::start(|_| json(200, value!({"revision": 41, "text": RULES})));
    let ran = server.run(&["rules", "explain", "--live"]);
    assert_eq!(ran.status, 0, "{ran:?}");
    let expected = "\
revision 41: rule 2 decides; refused: shed under load
rule 1 (nightly) does not hold
  class: wants batch, found online
rule 2 decides
";
    assert_eq!(ran.stdout, expected);
}

#[parameterized(
    key = { &["--sample", "clas=batch"], "did you mean \"class\"?" },
    both = { &["--live"], "give either a FILE or --live" },
    at = { &["--at", "noon"], "--at cannot be \"noon\"" },
)]
fn wrong_words_are_wrong_usage(args: &[&str], message: &str) {
    let (ran, _) = run_on(RULES, "explain", args);
    assert_eq!(ran.status, 2, "{ran:?}");
    assert!(ran.stderr.contains(message), "{}", ran.stderr);
}
