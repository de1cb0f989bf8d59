//! What error reports cost.

#![allow(clippy::unwrap_used)]

use std::process::Command;

/// Symptom: an entry at rest holds 223 MB instead of 15 and spends 0.2 s of
/// processor time at its start. Sequence: RUST_BACKTRACE is set in its
/// environment; the first call to a process that is not up yet fails and
/// the report is written to the log. Cause: reports captured a backtrace,
/// and printing it loads all of the binary's debug information.
#[test]
fn reports_carry_no_backtrace() {
    let folder = tempfile::tempdir().unwrap();
    let occupied = folder.path().join("occupied");
    std::fs::write(&occupied, "a file, no folder").unwrap();
    let settings = folder.path().join("data.yaml");
    let text = format!(
        "\
role: data
vm: data-1
failure_domain: tallinn-a
listen: 127.0.0.1:0
peer_listen: 127.0.0.1:0
data: {{folder: {}}}
",
        occupied.display()
    );
    std::fs::write(&settings, text).unwrap();
    let output = Command::new(env!("CARGO_BIN_EXE_pomeloslipd"))
        .arg("--settings")
        .arg(&settings)
        .env("RUST_BACKTRACE", "1")
        .output()
        .unwrap();
    let said = String::from_utf8(output.stderr).unwrap();
    assert_eq!(output.status.code(), Some(1), "{said}");
    assert!(said.contains("data folder"), "{said}");
    assert!(!said.contains("backtrace"), "{said}");
}
