//! Prints the log lines of a test's nodes when the test fails.

use std::sync::Once;

use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{Error, Key, Value, VisitSource},
};

struct Printer;

/// Formats the fields of a log record.
struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), Error> {
        self.0 += &format!(" {key}={value}");
        Ok(())
    }
}

impl Log for Printer {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = Fields(String::new());
        // Formatting a field cannot fail.
        let _ = record.key_values().visit(&mut fields);
        println!("{} {}{}", record.target(), record.args(), fields.0);
    }

    fn flush(&self) {}
}

/// Enables logging to stdout, which the test harness captures and prints for
/// failed tests.
pub(crate) fn start() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        log::set_max_level(LevelFilter::Info);
        let _ = log::set_logger(&Printer);
    });
}
