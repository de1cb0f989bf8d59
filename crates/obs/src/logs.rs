//! JSON line logs on stderr that never block a request.
//!
//! Each line has `ts` (RFC 3339 in UTC, with milliseconds), `level`, `target`,
//! `message` and all key-value pairs of its record:
//!
//! ```
//! let request_id = "r-1";
//! log::info!(request_id, customer = "alama"; "the request is refused");
//! ```

use std::{
    collections::HashSet,
    io::{self, Write},
    panic,
    sync::{
        Arc,
        atomic::{AtomicU64, AtomicUsize, Ordering},
        mpsc::{self, Receiver, Sender, SyncSender},
    },
    thread,
    time::Duration,
};

use error_stack::{Report, ResultExt, fmt::ColorMode};
use flexi_logger::{
    DeferredNow, LogSpecification, Logger, LoggerHandle, writers::LogWriter,
};
use indexmap::IndexMap;
use log::{
    Record,
    kv::{self, Key, Value, VisitSource, VisitValue},
};
use serde::ser::{Serialize, SerializeMap, Serializer};

use crate::{LogSettings, ObsError};

const TS_FORMAT: &str = "%Y-%m-%dT%H:%M:%S%.3fZ";
const RESERVED_KEYS: [&str; 4] = ["ts", "level", "target", "message"];

/// Starts the logger of this process on stderr.
///
/// Keep the guard until the process ends; dropping it flushes the queued
/// lines.
///
/// # Errors
///
/// [`ObsError::Logs`] if a logger is already running or the thread cannot be
/// started.
pub fn start(settings: &LogSettings) -> Result<LogGuard, Report<ObsError>> {
    start_to(settings, Box::new(io::stderr()))
}

/// Starts the logger of this process on any output.
///
/// # Errors
///
/// As for [`start`].
pub fn start_to(
    settings: &LogSettings,
    output: Box<dyn Write + Send>,
) -> Result<LogGuard, Report<ObsError>> {
    // Reports are logged as text inside a JSON line, where ANSI escape codes
    // would only be noise.
    Report::set_color_mode(ColorMode::None);
    let lines = Arc::new(LineQueue::start(settings, output)?);
    let handle = Logger::with(specification(settings))
        .log_to_writer(Box::new(QueueWriter(lines.clone())))
        .start()
        .change_context(ObsError::Logs)?;
    Ok(LogGuard {
        lines,
        _handle: handle,
    })
}

/// Logs each panic as a JSON line instead of plain text on stderr.
///
/// The line has the message and the source location. The thread unwinds as
/// usual. Call this once, after [`start`].
pub fn log_panics() {
    panic::set_hook(Box::new(|info| {
        let payload = info.payload();
        let message = payload
            .downcast_ref::<&str>()
            .copied()
            .or_else(|| payload.downcast_ref().map(String::as_str))
            .unwrap_or("no message");
        let location = info.location().map(ToString::to_string);
        let location = location.as_deref().unwrap_or("unknown");
        log::error!(target: "panic", location; "{message}");
    }));
}

fn specification(settings: &LogSettings) -> LogSpecification {
    let mut builder = LogSpecification::builder();
    builder.default(settings.level.filter());
    for (target, level) in &settings.targets {
        builder.module(target, level.filter());
    }
    builder.build()
}

/// Keeps the logger running; see [`start`].
#[must_use = "dropping the guard ends the log"]
pub struct LogGuard {
    lines: Arc<LineQueue>,
    _handle: LoggerHandle,
}

impl LogGuard {
    /// Waits until all queued lines are written, for at most
    /// [`LogSettings::flush_timeout_ms`]; reports whether they were.
    pub fn flush(&self) -> bool {
        self.lines.flush()
    }

    /// Returns the number of lines that were dropped because the output was
    /// too slow.
    pub fn dropped_lines(&self) -> u64 {
        self.lines.dropped.load(Ordering::Relaxed)
    }
}

impl Drop for LogGuard {
    fn drop(&mut self) {
        self.flush();
    }
}

enum Message {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

/// Bounded queue to the thread that writes the lines.
///
/// Without the queue every thread that logs would block in its write when the
/// reader of the stderr pipe stalls, including the threads that serve
/// requests: all latencies would grow at once while the endpoints are idle.
/// The queue is bounded in bytes. Lines beyond the bound are dropped and
/// counted, and the count is logged when the reader resumes.
struct LineQueue {
    sender: Sender<Message>,
    queued_bytes: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
    queue_bytes: usize,
    flush_timeout: Duration,
    fields: IndexMap<String, String>,
}

impl LineQueue {
    fn start(
        settings: &LogSettings,
        output: Box<dyn Write + Send>,
    ) -> Result<Self, Report<ObsError>> {
        let (sender, receiver) = mpsc::channel();
        let queued_bytes = Arc::new(AtomicUsize::new(0));
        let dropped = Arc::new(AtomicU64::new(0));
        let writer = OutputThread {
            receiver,
            queued_bytes: queued_bytes.clone(),
            dropped: dropped.clone(),
            reported_dropped: 0,
            output,
        };
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || writer.run())
            .change_context(ObsError::Logs)?;
        Ok(Self {
            sender,
            queued_bytes,
            dropped,
            queue_bytes: settings.queue_bytes,
            flush_timeout: Duration::from_millis(settings.flush_timeout_ms),
            fields: settings.fields.clone(),
        })
    }

    fn push(&self, line: Vec<u8>) {
        let bytes = line.len();
        let before = self.queued_bytes.fetch_add(bytes, Ordering::Relaxed);
        let fits = before + bytes <= self.queue_bytes;
        if !fits || self.sender.send(Message::Line(line)).is_err() {
            self.queued_bytes.fetch_sub(bytes, Ordering::Relaxed);
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }

    fn flush(&self) -> bool {
        let (done, wait) = mpsc::sync_channel(1);
        self.sender.send(Message::Flush(done)).is_ok()
            && wait.recv_timeout(self.flush_timeout).is_ok()
    }
}

struct QueueWriter(Arc<LineQueue>);

impl LogWriter for QueueWriter {
    fn write(
        &self,
        now: &mut DeferredNow,
        record: &Record<'_>,
    ) -> io::Result<()> {
        let mut line = Vec::with_capacity(256);
        write_line(&mut line, now, record, &self.0.fields)?;
        self.0.push(line);
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        self.0.flush();
        Ok(())
    }
}

struct OutputThread {
    receiver: Receiver<Message>,
    queued_bytes: Arc<AtomicUsize>,
    dropped: Arc<AtomicU64>,
    reported_dropped: u64,
    output: Box<dyn Write + Send>,
}

impl OutputThread {
    /// Writes lines until all senders are dropped. Errors of the output, for
    /// example a closed pipe, cannot be reported anywhere; its lines are lost.
    fn run(mut self) {
        while let Ok(message) = self.receiver.recv() {
            match message {
                Message::Line(line) => self.write(&line),
                Message::Flush(done) => {
                    let _ = self.output.flush();
                    let _ = done.try_send(());
                }
            }
        }
    }

    fn write(&mut self, line: &[u8]) {
        let _ = self.output.write_all(line);
        self.queued_bytes.fetch_sub(line.len(), Ordering::Relaxed);
        let dropped = self.dropped.load(Ordering::Relaxed);
        if dropped > self.reported_dropped {
            let _ = self.report_dropped(dropped - self.reported_dropped);
            self.reported_dropped = dropped;
        }
    }

    fn report_dropped(&mut self, lines: u64) -> io::Result<()> {
        let mut line = Vec::new();
        let message = format_args!("log lines were dropped");
        let values = [("dropped_lines", lines)];
        let record = Record::builder()
            .level(log::Level::Warn)
            .target(module_path!())
            .args(message)
            .key_values(&values)
            .build();
        let mut now = DeferredNow::new();
        write_line(&mut line, &mut now, &record, &IndexMap::new())?;
        self.output.write_all(&line)
    }
}

/// Writes a record as one JSON object and a line feed.
///
/// `fields` follow the key-value pairs of the record. A key that occurs again
/// is skipped, so that no object has duplicate keys; so is a pair with a
/// reserved key.
///
/// # Errors
///
/// The errors of the output.
pub fn write_line(
    output: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
    fields: &IndexMap<String, String>,
) -> io::Result<()> {
    let line = Line {
        ts: now.now_utc_owned().format(TS_FORMAT).to_string(),
        record,
        fields,
    };
    serde_json::to_writer(&mut *output, &line)?;
    output.write_all(b"\n")
}

struct Line<'a> {
    ts: String,
    record: &'a Record<'a>,
    fields: &'a IndexMap<String, String>,
}

impl Serialize for Line<'_> {
    fn serialize<S: Serializer>(
        &self,
        serializer: S,
    ) -> Result<S::Ok, S::Error> {
        let record = self.record;
        let mut map = serializer.serialize_map(None)?;
        map.serialize_entry("ts", &self.ts)?;
        map.serialize_entry("level", record.level().as_str())?;
        map.serialize_entry("target", record.target())?;
        map.serialize_entry("message", record.args())?;
        let mut visitor = KeyValueVisitor {
            seen: HashSet::new(),
            map: &mut map,
            error: None,
        };
        // The visitor cannot return an error of the serialiser, so the error
        // is stored in the visitor.
        let _ = record.key_values().visit(&mut visitor);
        if let Some(error) = visitor.error {
            return Err(error);
        }
        let seen = visitor.seen;
        for (key, value) in self.fields {
            if !is_reserved(key) && !seen.contains(key) {
                map.serialize_entry(key, value)?;
            }
        }
        map.end()
    }
}

fn is_reserved(key: &str) -> bool {
    RESERVED_KEYS.contains(&key)
}

struct KeyValueVisitor<'a, M: SerializeMap> {
    seen: HashSet<String>,
    map: &'a mut M,
    error: Option<M::Error>,
}

impl<'kvs, M: SerializeMap> VisitSource<'kvs> for KeyValueVisitor<'_, M> {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), kv::Error> {
        let key = key.as_str();
        if is_reserved(key) || !self.seen.insert(key.to_owned()) {
            return Ok(());
        }
        let mut json = Json(serde_json::Value::Null);
        value.visit(&mut json)?;
        if let Err(error) = self.map.serialize_entry(key, &json.0) {
            self.error = Some(error);
            return Err(kv::Error::msg("the line cannot be written"));
        }
        Ok(())
    }
}

/// Converts a value of a record to a JSON value.
struct Json(serde_json::Value);

impl<'v> VisitValue<'v> for Json {
    fn visit_any(&mut self, value: Value<'_>) -> Result<(), kv::Error> {
        self.0 = value.to_string().into();
        Ok(())
    }

    fn visit_null(&mut self) -> Result<(), kv::Error> {
        self.0 = serde_json::Value::Null;
        Ok(())
    }

    fn visit_u64(&mut self, value: u64) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_i64(&mut self, value: i64) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_f64(&mut self, value: f64) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_bool(&mut self, value: bool) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }

    fn visit_str(&mut self, value: &str) -> Result<(), kv::Error> {
        self.0 = value.into();
        Ok(())
    }
}
