//! Stand-ins run as processes until a signal, with the load against one.

#![allow(clippy::unwrap_used)]

mod cli_common;

use std::{
    io::{BufRead, BufReader},
    process::{Child, Command, Stdio},
};

use cli_common::run;
use serde_json::Value;
use yare::parameterized;

/// A stand-in that is killed if a test fails before it is stopped.
struct StandIn {
    child: Child,
    ready: String,
}

impl StandIn {
    fn start(args: &[&str]) -> Self {
        let mut child = Command::new(env!("CARGO_BIN_EXE_pomeloslip"))
            .arg("stand-in")
            .args(args)
            .stdout(Stdio::piped())
            .spawn()
            .unwrap();
        let mut ready = String::new();
        let stdout = child.stdout.take().unwrap();
        BufReader::new(stdout).read_line(&mut ready).unwrap();
        Self { child, ready }
    }

    fn stop(mut self, signal: &str) -> i32 {
        let pid = self.child.id().to_string();
        let sent = Command::new("kill").args([signal, &pid]).status();
        assert!(sent.unwrap().success());
        self.child.wait().unwrap().code().unwrap()
    }
}

impl Drop for StandIn {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

#[parameterized(
    kv = { "kv", "-TERM" },
    vms = { "vms", "-INT" },
    engine = { "engine", "-TERM" },
    service = { "service", "-INT" },
    weights = { "weights", "-TERM" },
)]
fn a_stand_in_says_its_address_and_ends_at_a_signal(name: &str, signal: &str) {
    let stand_in = StandIn::start(&[name]);
    let start = format!("{name} ready at http://127.0.0.1:");
    let port = stand_in.ready.strip_prefix(&start).unwrap();
    assert_ne!(port.trim().parse::<u16>().unwrap(), 0);
    assert_eq!(stand_in.stop(signal), 0);
}

#[test]
fn a_load_is_verified_and_reported() {
    let settings = ["engine", "--json", "--set", "base_step_ms=0.1"];
    let engine = StandIn::start(&settings);
    let ready: Value = serde_json::from_str(&engine.ready).unwrap();
    let server = format!("http://{}", ready["address"].as_str().unwrap());
    let args = [
        "load",
        "--model=korv-lm",
        "--streams=2",
        "--for-s=0.2",
        "--jobs=1",
        "--items=20",
        "--direct",
        "--server",
        &server,
    ];
    let ran = run(&[&args[..], &["--json"]].concat());
    assert_eq!(ran.status, 0, "{ran:?}");
    let report: Value = serde_json::from_str(&ran.stdout).unwrap();
    assert_eq!(report["batch"]["right"], 20);
    assert_eq!(report["online"]["wrong"], 0);
    let ran = run(&args);
    let line = "every answer right and once: yes\n";
    assert!(ran.stdout.ends_with(line), "{}", ran.stdout);
    assert_eq!(ran.stderr, "", "nobody watches the progress");
}
