//! Format of the log lines and behaviour with a stalled output.

#![allow(clippy::unwrap_used)]

use std::{
    io::{self, Write},
    sync::{
        Arc, Mutex,
        mpsc::{Receiver, Sender, channel},
    },
};

use flexi_logger::DeferredNow;
use indexmap::IndexMap;
use log::{Level, Record, kv::Value};
use pomeloslip_obs::{
    LogLevel, LogSettings,
    logs::{self, write_line},
};
use serde_json::Value as Json;
use yare::parameterized;

fn line(pairs: &[(&str, Value<'_>)], fields: &[(&str, &str)]) -> Json {
    let fields: IndexMap<String, String> = fields
        .iter()
        .map(|(key, value)| ((*key).to_owned(), (*value).to_owned()))
        .collect();
    let mut output = Vec::new();
    let mut now = DeferredNow::new();
    let source: Vec<_> = pairs.iter().map(|(k, v)| (*k, v.clone())).collect();
    let record = Record::builder()
        .level(Level::Warn)
        .target("pomeloslip_entry::route")
        .args(format_args!("refused \"x\"\n"))
        .key_values(&source)
        .build();
    write_line(&mut output, &mut now, &record, &fields).unwrap();
    let text = String::from_utf8(output).unwrap();
    assert_eq!(text.matches('\n').count(), 1, "{text}");
    serde_json::from_str(&text).unwrap()
}

#[test]
fn a_line_has_its_own_fields_and_all_key_values() {
    let pairs = [
        ("request_id", Value::from("r-1")),
        ("waited_ms", Value::from(12_u64)),
        ("drift_ms", Value::from(-3_i64)),
        ("load", Value::from(0.5)),
        ("ran", Value::from(false)),
    ];
    let line = line(&pairs, &[("vm", "vm-7"), ("role", "entry")]);
    assert_eq!(line["level"], "WARN");
    assert_eq!(line["target"], "pomeloslip_entry::route");
    assert_eq!(line["message"], "refused \"x\"\n");
    assert_eq!(line["request_id"], "r-1");
    assert_eq!(line["waited_ms"], 12);
    assert_eq!(line["drift_ms"], -3);
    assert_eq!(line["load"], 0.5);
    assert_eq!(line["ran"], false);
    assert_eq!(line["vm"], "vm-7");
    assert_eq!(line["role"], "entry");
    let ts = line["ts"].as_str().unwrap();
    let shape: String = ts
        .chars()
        .map(|c| if c.is_ascii_digit() { '0' } else { c })
        .collect();
    assert_eq!(shape, "0000-00-00T00:00:00.000Z");
}

#[parameterized(
    own_key = { "message", "mine", "refused \"x\"\n" },
    field_key = { "vm", "vm-9", "vm-9" },
)]
fn a_key_is_written_once(key: &str, value: &str, expected: &str) {
    let pairs = [(key, Value::from(value)), (key, Value::from("again"))];
    let line = line(&pairs, &[("vm", "vm-7")]);
    assert_eq!(line[key], expected);
    assert_eq!(line.as_object().unwrap().len(), 5);
}

#[test]
fn settings_refuse_unknown_keys() {
    let text = r#"{"level": "debug", "levle": "info"}"#;
    assert!(serde_json::from_str::<LogSettings>(text).is_err());
    let settings: LogSettings =
        serde_json::from_str(r#"{"level": "debug"}"#).unwrap();
    assert_eq!(settings.level, LogLevel::Debug);
}

/// An output whose first write blocks until the test unblocks it.
struct BlockingOutput {
    blocked: Sender<()>,
    unblock: Receiver<()>,
    has_blocked: bool,
    text: Arc<Mutex<Vec<u8>>>,
}

impl Write for BlockingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        if !self.has_blocked {
            self.has_blocked = true;
            self.blocked.send(()).unwrap();
            self.unblock.recv().unwrap();
        }
        self.text.lock().unwrap().extend_from_slice(bytes);
        Ok(bytes.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Guards against requests that all stall while the endpoints are idle. The
/// reader of stderr stalls, the pipe fills, and each thread that logs blocks
/// if it writes on the thread of the request. With the output blocked no
/// thread may wait, the lines beyond the bound are dropped and counted, and
/// the count is logged.
#[test]
fn a_stalled_output_drops_and_counts_lines() {
    let (blocked, in_write) = channel();
    let (unblock, wait) = channel();
    let text = Arc::new(Mutex::new(Vec::new()));
    let output = BlockingOutput {
        blocked,
        unblock: wait,
        has_blocked: false,
        text: text.clone(),
    };
    let settings = LogSettings {
        queue_bytes: 2_000,
        flush_timeout_ms: 60_000,
        ..LogSettings::default()
    };
    let guard = logs::start_to(&settings, Box::new(output)).unwrap();
    log::info!(request_id = "r-0"; "first");
    in_write.recv().unwrap();
    for n in 1..100 {
        log::info!(n; "more");
    }
    log::debug!("below the level");
    let dropped = guard.dropped_lines();
    assert!((1..100).contains(&dropped), "{dropped}");
    unblock.send(()).unwrap();
    assert!(guard.flush());
    logs::log_panics();
    let panicked = std::thread::spawn(|| panic!("out of {}", "luck"));
    assert!(panicked.join().is_err());
    drop(std::panic::take_hook());
    assert!(guard.flush());

    let text = String::from_utf8(text.lock().unwrap().clone()).unwrap();
    let lines: Vec<Json> = text
        .lines()
        .map(|line| serde_json::from_str(line).unwrap())
        .collect();
    assert_eq!(lines[0]["request_id"], "r-0");
    assert_eq!(lines[1]["dropped_lines"], dropped);
    let last = lines.last().unwrap();
    assert_eq!(last["message"], "out of luck");
    let location = last["location"].as_str().unwrap();
    assert!(location.contains("tests/logs.rs:"), "{location}");
    assert_eq!(lines.len() as u64, 102 - dropped);
    assert!(logs::start(&settings).is_err(), "one logger a process");
}
