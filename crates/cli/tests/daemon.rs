//! The daemon with settings that are wrong.

#![allow(clippy::unwrap_used)]

use std::{
    fs,
    path::{Path, PathBuf},
    process::{Command, Output},
};

use base::{KeyDigest, Revision};
use conf::settings::Settings;
use rules::Config;
use yare::parameterized;

/// Ends the name of the settings file in what the daemon prints.
const FILE: &str = "settings.yaml";

fn daemon(args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pomeloslipd"))
        .args(args)
        .output()
        .unwrap()
}

fn example(name: &str) -> String {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let path = root.join("../../examples/settings").join(name);
    fs::read_to_string(path).unwrap()
}

fn text(bytes: &[u8]) -> &str {
    std::str::from_utf8(bytes).unwrap()
}

/// Runs the daemon on a settings file and returns what it prints of it.
fn refused(settings: &str, more: &[&str]) -> String {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE);
    fs::write(&path, settings).unwrap();
    let path = path.to_str().unwrap();
    let output = daemon(&[&["--settings", path], more].concat());
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert_eq!(text(&output.stdout), "");
    text(&output.stderr).replace(path, FILE)
}

#[parameterized(
    unknown_key = { "  connect_ms: 1000", "  conect_ms: 1000", "settings.yaml:42:3: timeouts.conect_ms: unknown key; did you mean \"connect_ms\"?\n" },
    wrong_type = { "connect_ms: 1000", "connect_ms: soon", "settings.yaml:42:15: timeouts.connect_ms: expected u64, found string \"soon\"\n" },
    out_of_range = { "connect_ms: 1000", "connect_ms: 0", "settings.yaml:42:15: timeouts.connect_ms: 0 is not in 1 to 60000\n" },
    wrong_word = { "level: info", "level: inof", "settings.yaml:44:14: log.level: unknown value \"inof\"; one of off, error, warn, info, debug, trace; did you mean \"info\"?\n" },
    missing_key = { "vm: entry-1\n", "", "settings.yaml:3:1: (document): missing key `vm`\n" },
    twice = { "vm: entry-1", "vm: entry-1\nvm: entry-2", "settings.yaml:5:1: vm: duplicate key, first given in line 4\n" },
    two_faults = { "listen: 127.0.0.1:18101\npeer_listen: 127.0.0.1:18151", "listen: 127.0.0.1\npeer_listen: 127.0.0.1", "settings.yaml:6:9: listen: \"127.0.0.1\" has no port; write IP:PORT, such as 10.0.0.1:8080\nsettings.yaml:7:14: peer_listen: \"127.0.0.1\" has no port; write IP:PORT, such as 10.0.0.1:8080\n" },
)]
fn broken_settings_name_the_place(old: &str, new: &str, printed: &str) {
    let entry = example("entry-1.yaml");
    assert!(entry.contains(old));
    let broken = entry.replacen(old, new, 1);
    assert_eq!(refused(&broken, &["--check"]), printed);
}

#[test]
fn broken_settings_start_nothing() {
    let broken = example("data-1.yaml").replace("folder:", "foldr:");
    let printed = refused(&broken, &[]);
    assert!(printed.contains("data.foldr: unknown key"), "{printed}");
    assert!(printed.contains("did you mean \"folder\"?"), "{printed}");
}

#[test]
fn a_secret_is_not_printed() {
    let broken = example("entry-1.yaml")
        .replace("[change-this-secret-of-the-example]", "[hidden]");
    let printed = refused(&broken, &["--check"]);
    assert!(printed.contains("peer_secrets"), "{printed}");
    assert!(!printed.contains("hidden"), "{printed}");
}

#[parameterized(
    entry = { "entry-1.yaml" },
    companion = { "companion-1.yaml" },
    data = { "data-1.yaml" },
)]
fn a_check_of_good_settings_ends_with_0(name: &str) {
    let folder = tempfile::tempdir().unwrap();
    let path = folder.path().join(FILE);
    fs::write(&path, example(name)).unwrap();
    let path = path.to_str().unwrap();
    let output = daemon(&["--settings", path, "--check"]);
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    assert_eq!(text(&output.stdout), format!("{path}: ok\n"));
    // Nothing is started, nothing is written.
    assert_eq!(fs::read_dir(folder.path()).unwrap().count(), 1);
}

#[parameterized(
    no_settings = { &["--check"], "--settings FILE is missing" },
    unknown_word = { &["--settings", "x", "--chek"], "--chek is unknown" },
    speed_unknown = {
        &["fleet", "front", "--endpoint-speed", "on"],
        "--endpoint-speed on is unknown: reported, always or off"
    },
    speed_missing = {
        &["fleet", "worker", "--endpoint-speed"],
        "--endpoint-speed"
    },
    no_such_file = { &["--settings", "/nowhere.yaml", "--check"], "/nowhere.yaml" },
)]
fn wrong_usage_ends_with_2(args: &[&str], printed: &str) {
    let output = daemon(args);
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    assert!(text(&output.stderr).contains(printed), "{output:?}");
    assert_eq!(text(&output.stdout), "");
}

/// Files in a folder of the examples, whoever adds them.
fn examples_in(folder: &str) -> Vec<PathBuf> {
    let root = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../examples");
    let all = fs::read_dir(root.join(folder)).unwrap();
    all.map(|entry| entry.unwrap().path()).collect()
}

#[test]
fn the_rules_among_the_examples_are_valid() {
    let all = examples_in("rules");
    assert!(!all.is_empty());
    for path in all {
        let output = Command::new(env!("CARGO_BIN_EXE_pomeloslip"))
            .args(["rules", "check", path.to_str().unwrap()])
            .output()
            .unwrap();
        assert_eq!(output.status.code(), Some(0), "{output:?}");
    }
}

#[test]
fn the_example_rules_fit_the_example_settings() {
    let rules = examples_in("rules");
    let rules = rules.iter().find(|path| path.ends_with("example.yaml"));
    let rules = fs::read_to_string(rules.unwrap()).unwrap();
    let config = Config::parse("example.yaml", &rules).unwrap();
    let compiled = config.compile(Revision::new(1));
    let entry = Settings::parse("entry", &example("entry-1.yaml")).unwrap();
    assert!(!entry.endpoints.is_empty());
    for endpoint in &entry.endpoints {
        let pool = compiled.pool_by_name(&endpoint.pool);
        assert!(pool.is_some(), "{endpoint:?}");
    }
    // The key that the comment tells is the customer's.
    let digest = KeyDigest::of_key("example-key-taevakorv");
    let customer = compiled.customer_by_key_digest(digest.as_bytes());
    assert_eq!(customer.unwrap().customer().as_str(), "taevakorv");
}

/// Guards against a misspelt option that leaves fair shares off without a
/// word.
#[parameterized(
    value = { &["--fair-shares", "yes"], "--fair-shares cannot be \"yes\": must be on or off" },
    no_value = { &["--fair-shares"], "--fair-shares" },
    no_file = { &["--customers"], "--customers" },
    misspelt = { &["--fair-share", "on"], "--fair-share is unknown" },
)]
fn broken_fleet_options_are_named(options: &[&str], printed: &str) {
    let output = daemon(&[&["fleet", "front"], options].concat());
    assert_eq!(output.status.code(), Some(2), "{output:?}");
    let errors = text(&output.stderr);
    assert!(errors.contains(printed), "{errors}");
}
