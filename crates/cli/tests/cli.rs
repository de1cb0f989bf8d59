//! Exit statuses, help texts and messages of a wrong command line.

#![allow(clippy::unwrap_used)]

mod cli_common;

use cli_common::run;
use yare::parameterized;

#[parameterized(
    subcommand = { &["ruls"], "unknown subcommand \"ruls\"; did you mean \"rules\"?" },
    nested = { &["rules", "aply", "f"], "did you mean \"apply\"?" },
    far_off = { &["xyzzy"], "error: unknown subcommand \"xyzzy\"\n" },
    option = { &["rules", "apply", "f", "--expet", "1"], "--expect is missing" },
    near_option = { &["status", "--servr", "x"], "did you mean \"--server\"?" },
    no_value = { &["status", "--server"], "--server needs a value" },
    flag_as_value = { &["--key", "--json", "status"], "--key needs a value" },
    bad_number = { &["rules", "apply", "f", "--expect", "x"], "--expect cannot be \"x\"" },
    twice = { &["rules", "apply", "f", "--expect", "1", "--expect", "2"], "--expect is given twice" },
    too_many = { &["vm", "stop", "a", "b"], "unexpected argument \"b\"" },
    bad_name = { &["vm", "stop", "a/b"], "VM cannot be \"a/b\"" },
    no_server = { &["status"], "--server (or the variable POMELOSLIP_SERVER) is missing" },
    nothing = { &[], "SUBCOMMAND is missing" },
    group_only = { &["job"], "SUBCOMMAND is missing" },
    setting = { &["stand-in", "kv", "--set", "faults.slowms=1"], "did you mean \"slow_ms\"?" },
    setting_value = { &["stand-in", "engine", "--set", "max_running=x"], "max_running cannot be \"x\"" },
    due_and_window = { &["job", "start", "f", "--window", "1h", "--due", "2030-01-01T00:00:00Z"], "do not go together" },
    due = { &["job", "start", "f", "--due", "tomorrow"], "--due cannot be \"tomorrow\"" },
    range = { &["load", "--server", "http://127.0.0.1:1", "--model", "m", "--prompt-bytes", "9..1"], "it is empty" },
)]
fn wrong_usage_ends_with_2(args: &[&str], message: &str) {
    let ran = run(args);
    assert_eq!(ran.status, 2, "{ran:?}");
    assert!(ran.stderr.contains(message), "{}", ran.stderr);
    assert_eq!(ran.stdout, "");
}

const COMMANDS: [&str; 21] = [
    "rules check",
    "rules show",
    "rules diff",
    "rules edit",
    "rules apply",
    "rules explain",
    "job start",
    "job list",
    "job show",
    "job cancel",
    "job results",
    "vm stop",
    "status",
    "demo",
    "stand-in kv",
    "stand-in vms",
    "stand-in engine",
    "stand-in service",
    "stand-in weights",
    "load",
    "",
];

#[test]
fn each_subcommand_has_help() {
    for command in COMMANDS {
        let mut args: Vec<&str> = command.split_whitespace().collect();
        args.push("--help");
        let ran = run(&args);
        assert_eq!(ran.status, 0, "{command}: {ran:?}");
        let usage = format!("Usage: pomeloslip {command}");
        assert!(ran.stdout.contains(usage.trim_end()), "{}", ran.stdout);
        let status = "Exit status: 0 done, 1 failed, 2 wrong usage.";
        assert!(ran.stdout.contains(status), "{}", ran.stdout);
        let example = command.is_empty() || ran.stdout.contains("Example");
        assert!(example, "{command} has no example");
        let wide = ran.stdout.lines().find(|line| line.len() > 79);
        assert_eq!(wide, None, "{command}");
    }
}

#[test]
fn version_is_that_of_the_package() {
    let ran = run(&["--version"]);
    let expected = format!("pomeloslip {}\n", env!("CARGO_PKG_VERSION"));
    assert_eq!((ran.status, ran.stdout), (0, expected));
}

#[test]
fn errors_are_json_for_machines() {
    let ran = run(&["status", "--json", "--server", "http://127.0.0.1:1"]);
    assert_eq!(ran.status, 1);
    let error: serde_json::Value = serde_json::from_str(&ran.stderr).unwrap();
    let line = error["error"].as_str().unwrap();
    assert!(
        line.contains("cannot be reached, nothing was done"),
        "{line}"
    );
}

#[test]
fn a_failure_is_one_line_and_a_chain_on_demand() {
    let args = ["status", "--server", "http://127.0.0.1:1"];
    let ran = run(&args);
    assert_eq!(ran.stderr.lines().count(), 1, "{}", ran.stderr);
    let ran = run(&[&args[..], &["--verbose"]].concat());
    assert!(ran.stderr.lines().count() > 2, "{}", ran.stderr);
}

#[test]
fn stand_ins_show_their_settings() {
    for name in ["kv", "vms", "engine", "service", "weights"] {
        let args = ["stand-in", name, "--show-settings"];
        let ran = run(&[&args[..], &["--listen", "127.0.0.1:9"]].concat());
        assert_eq!(ran.status, 0, "{ran:?}");
        let settings: serde_json::Value =
            serde_json::from_str(&ran.stdout).unwrap();
        assert_eq!(settings["listen"], "127.0.0.1:9");
    }
}
