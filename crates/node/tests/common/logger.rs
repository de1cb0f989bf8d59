//! The log lines of the nodes of a test, which a failed test prints.

use std::sync::Once;

use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{Error, Key, Value, VisitSource},
};

struct Printer;

/// Writes the fields of a line behind its message.
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

/// Turns the log on. Its lines are captured with a test's output, and so
/// are seen where one fails.
pub(crate) fn start() {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        log::set_max_level(LevelFilter::Info);
        let _ = log::set_logger(&Printer);
    });
}
