//! The way of a request to its response, as the log lines with its id tell it.

mod common;

use std::sync::{Mutex, Once};

use common::{Act, Scripted, fixture, read, request, route, valid_response};
use fleet::RouteKind;
use log::{
    LevelFilter, Log, Metadata, Record,
    kv::{Error, Key, Value, VisitSource},
};
use yare::parameterized;

const DECLINED: &str = "HTTP/1.1 503 Full\r\nx-id: ID\r\nx-not-run: 1\r\n\
                        content-length: 0\r\n\r\n";

const UNPROVEN: &str =
    "HTTP/1.1 503 Full\r\nx-id: ID\r\ncontent-length: 0\r\n\r\n";

const MISPLACED: &str =
    "HTTP/1.1 503 Full\r\nx-id: r0\r\ncontent-length: 0\r\n\r\n";

/// Keeps all lines of the process; each test looks for those of its own ids.
struct Lines(Mutex<Vec<String>>);

static LINES: Lines = Lines(Mutex::new(Vec::new()));

struct Fields(String);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(
        &mut self,
        key: Key<'kvs>,
        value: Value<'kvs>,
    ) -> Result<(), Error> {
        self.0 += &format!(" {key}={value};");
        Ok(())
    }
}

impl Log for Lines {
    fn enabled(&self, _: &Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &Record<'_>) {
        let mut fields = Fields(format!("{}:", record.args()));
        // Formatting a field cannot fail.
        let _ = record.key_values().visit(&mut fields);
        self.0.lock().expect("lock").push(fields.0);
    }

    fn flush(&self) {}
}

/// Forwards a request to endpoints that act in turn, and returns its status and
/// its log lines. The ids of the requests of all tests differ.
async fn forward(
    id: &str,
    kind: RouteKind,
    acts: Vec<Vec<Act>>,
) -> (u16, Vec<String>) {
    static STARTED: Once = Once::new();
    STARTED.call_once(|| {
        log::set_max_level(LevelFilter::Info);
        log::set_logger(&LINES).expect("the first logger");
    });
    let mut endpoints = Vec::new();
    for acts in acts {
        endpoints.push(Scripted::start(acts).await);
    }
    let addresses: Vec<_> = endpoints.iter().map(|e| e.address).collect();
    let setup = fixture(&addresses);
    let request = request(id, route(kind));
    let response = setup.forwarder.forward(request, 1).await;
    let status = read(response).await.0;
    let field = format!(" request_id={id};");
    let lines = LINES.0.lock().expect("lock").clone();
    let own = lines.into_iter().filter(|line| line.contains(&field));
    (status, own.collect())
}

/// Returns the line with a message.
fn line<'a>(lines: &'a [String], message: &str) -> &'a str {
    let mut found = lines.iter().filter(|l| l.starts_with(message));
    let line = found.next().unwrap_or_else(|| panic!("{lines:#?}"));
    assert!(found.next().is_none(), "{lines:#?}");
    line
}

fn assert_fields(line: &str, fields: &[&str]) {
    for field in fields {
        assert!(line.contains(&format!(" {field};")), "{field}: {line}");
    }
}

/// Guards against a log that tells of an answered request neither whose status
/// its client got nor on which connection, and against a second line for it.
#[tokio::test]
async fn an_answered_request_has_one_line() {
    let acts = vec![vec![Act::Respond(valid_response("ok"))]];
    let (status, lines) = forward("a1", RouteKind::Stream, acts).await;
    assert_eq!((status, lines.len()), (200, 1), "{lines:#?}");
    let ended = line(&lines, "a request ended");
    let fields = [
        "status=200",
        "source=endpoint",
        "ran=unknown",
        "possible_runs=1",
    ];
    assert_fields(ended, &fields);
    assert!(ended.contains("#1;"), "a new connection: {ended}");
}

/// Guards against a failed offer of which the log does not tell what the
/// endpoint answered, on which connection, and what the client got then.
#[parameterized(
    unproven = { "b1", UNPROVEN, "status=503", "UnprovenRefusal(503)" },
    misplaced = { "b2", MISPLACED, "status=0", "WrongId" },
)]
#[test_macro(tokio::test)]
async fn a_lost_request_can_be_followed(
    id: &str,
    response: &str,
    status: &str,
    failure: &str,
) {
    let acts = vec![vec![Act::Respond(response.to_owned())]];
    let (given, lines) = forward(id, RouteKind::Stream, acts).await;
    assert_eq!(given, 502);
    let failed = line(&lines, "an offer to an endpoint failed");
    let failure = format!("failure={failure}");
    assert_fields(failed, &["offer=1", status, "ran=unknown", &failure]);
    assert!(failed.contains("#1;"), "{failed}");
    let node = [
        "status=502",
        "source=node",
        "ran=unknown",
        "possible_runs=1",
    ];
    assert_fields(line(&lines, "a request is not served"), &node);
    assert_fields(line(&lines, "a request ended"), &node);
}

/// Guards against offers that cannot be told apart.
#[tokio::test]
async fn each_offer_has_its_number_and_status() {
    let acts = vec![
        vec![Act::Respond(DECLINED.to_owned())],
        vec![Act::Respond(valid_response("ok"))],
    ];
    let (status, lines) = forward("c1", RouteKind::Stream, acts).await;
    assert_eq!(status, 200);
    let failed = line(&lines, "an offer to an endpoint failed");
    assert_fields(failed, &["offer=1", "status=503", "ran=no"]);
    let ended = line(&lines, "a request ended");
    assert_fields(ended, &["offers=2", "possible_runs=1"]);
}

/// Guards against a refusal of which the log does not tell the status.
#[tokio::test]
async fn a_refused_request_has_its_status() {
    let acts = vec![vec![Act::Respond(DECLINED.to_owned())]];
    let (status, lines) = forward("d1", RouteKind::Stream, acts).await;
    assert_eq!(status, 503);
    let node = ["status=503", "source=node", "ran=no", "possible_runs=0"];
    assert_fields(line(&lines, "a request is not served"), &node);
    assert_fields(line(&lines, "a request ended"), &node);
}

/// Guards against an endpoint's error that vanishes because the request is
/// sent elsewhere.
#[tokio::test]
async fn an_error_that_is_not_handed_on_has_a_line() {
    let error = valid_response("no").replace("200 OK", "500 Failed");
    let acts = vec![
        vec![Act::Respond(error)],
        vec![Act::Respond(valid_response("ok"))],
    ];
    let (status, lines) = forward("e1", RouteKind::Idempotent, acts).await;
    assert_eq!(status, 200);
    let left = line(&lines, "an endpoint's error is not handed on");
    assert_fields(left, &["endpoint=e0", "status=500"]);
    assert_fields(line(&lines, "a request ended"), &["possible_runs=2"]);
}
