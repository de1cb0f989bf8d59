//! Calls of the command line against a server of prepared answers.

#![allow(clippy::unwrap_used)]

mod cli_common;

use std::fs;

use cli_common::{Ran, Received, Reply, Server, json};
use serde_json::{Value, json as value};
use tempfile::TempDir;
use yare::parameterized;

const RULES: &str = "rules: []\n";

fn file(text: &str) -> (TempDir, String) {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("input");
    fs::write(&path, text).unwrap();
    let path = path.to_str().unwrap().to_owned();
    (dir, path)
}

fn config_server() -> Server {
    Server::start(|_| json(200, value!({"revision": 41, "text": "a: 1\n"})))
}

fn batch(status: &str) -> Value {
    value!({
        "id": "batch_1", "object": "batch", "status": status,
        "created_at": 1_700_000_000, "expires_at": 1_700_086_400,
        "output_file_id": "file_out", "error_file_id": null,
        "request_counts": {"total": 3, "completed": 2, "failed": 1},
    })
}

#[test]
fn show_prints_the_text_alone() {
    let server = config_server();
    let ran = server.run(&["rules", "show"]);
    assert_eq!((ran.status, ran.stdout.as_str()), (0, "a: 1\n"));
    assert_eq!(ran.stderr, "revision 41\n");
    let request = &server.received()[0];
    assert_eq!(request.path, "/admin/config");
    assert!(request.head.contains("Bearer k-1"), "{}", request.head);
    let ran = server.run(&["rules", "show", "--json", "--revision", "7"]);
    let shown: Value = serde_json::from_str(&ran.stdout).unwrap();
    assert_eq!(shown["revision"], 41);
    assert_eq!(server.received()[1].path, "/admin/config/7");
}

#[test]
fn history_shows_times_and_no_texts() {
    let server = Server::start(|_| {
        let item = value!({
            "revision": 9, "text": RULES,
            "accepted_unix_ms": 1_700_000_000_000_i64,
        });
        json(200, value!([item]))
    });
    let ran = server.run(&["rules", "show", "--history", "5"]);
    let expected = "revision  accepted\n       9  2023-11-14T22:13:20Z\n";
    assert_eq!((ran.status, ran.stdout.as_str()), (0, expected));
    let path = &server.received()[0].path;
    assert_eq!(path, "/admin/config/history?limit=5");
}

#[test]
fn diff_compares_with_the_revision_in_force() {
    let (_dir, path) = file("a: 2\n");
    let args = ["rules", "diff", &path, "--text"];
    let ran = config_server().run(&args);
    assert_eq!((ran.status, ran.stdout.as_str()), (0, "-a: 1\n+a: 2\n"));
    assert_eq!(ran.stderr, "changes revision 41\n");

    let server =
        Server::start(|_| json(200, value!({"revision": 41, "text": RULES})));
    let (_dir, path) = file("# A comment.\nrules: [then: {shed: true}]\n");
    let ran = server.run(&["rules", "diff", &path]);
    assert_eq!(ran.status, 0, "{ran:?}");
    assert!(ran.stdout.starts_with("+ rule "), "{}", ran.stdout);
    let (_dir, path) = file("# A comment.\nrules: []\n");
    let ran = server.run(&["rules", "diff", &path]);
    assert_eq!(
        (ran.stdout.as_str(), &*ran.stderr),
        ("", "same as revision 41\n")
    );
}

#[test]
fn edit_writes_a_new_file_and_says_how_to_apply() {
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("new");
    let out = path.to_str().unwrap();
    let server = config_server();
    let ran = server.run(&["rules", "edit", "--out", out]);
    assert_eq!(ran.status, 0, "{ran:?}");
    let next = format!("pomeloslip rules apply {out} --expect 41\n");
    assert!(ran.stdout.contains(&next), "{}", ran.stdout);
    assert_eq!(fs::read_to_string(&path).unwrap(), "a: 1\n");
    // An edit in progress is not overwritten.
    fs::write(&path, "mine").unwrap();
    assert_eq!(server.run(&["rules", "edit", "--out", out]).status, 1);
    assert_eq!(fs::read_to_string(&path).unwrap(), "mine");
}

fn apply(server: &Server) -> Ran {
    let (_dir, path) = file(RULES);
    server.run(&["rules", "apply", &path, "--expect", "41"])
}

#[test]
fn apply_sends_the_expected_revision() {
    let server = Server::start(|_| json(200, value!({"revision": 42})));
    let ran = apply(&server);
    assert_eq!(ran.status, 0, "{ran:?}");
    assert_eq!(ran.stdout, "revision 42 is accepted\n");
    let sent: Value =
        serde_json::from_str(&server.received()[0].body).unwrap();
    assert_eq!(sent["expect_revision"], 41);
    assert_eq!(sent["text"], RULES);
    assert!(!sent["operation_id"].as_str().unwrap().is_empty());
}

#[test]
fn apply_shows_the_difference_to_a_faster_editor() {
    let server = Server::start(|_| {
        let problem = value!({
            "type": "/problems/conflict", "title": "another revision",
            "current_revision": 44, "diff": "-a\n+b\n", "ran": "no",
        });
        json(409, problem)
    });
    let ran = apply(&server);
    assert_eq!((ran.status, ran.stdout.as_str()), (1, ""));
    assert_eq!(
        ran.stderr,
        "-a\n+b\nerror: cannot apply the configuration: 409 another \
         revision (it did not run; revision 44 is in force)\n"
    );
}

#[test]
fn apply_shows_the_place_of_each_fault() {
    let server = Server::start(|_| {
        let fault = value!({
            "line": 3, "column": 5, "key": "rules[0].whne",
            "message": "unknown key", "nearest": "when",
        });
        json(422, value!({"title": "invalid", "errors": [fault]}))
    });
    let ran = apply(&server);
    assert_eq!(ran.status, 1);
    let place = ":3:5: rules[0].whne: unknown key; did you mean \"when\"?";
    assert!(ran.stderr.contains(place), "{}", ran.stderr);
}

/// Symptom: an operator applies a change, sees a failure and applies it
/// again; the second is refused though nobody else edits.
/// Sequence: the entry commits the change, its answer is lost.
/// Cause: the failure looked as if nothing had been done. Here the command
/// asks again under the same operation id and learns that it is accepted.
#[test]
fn apply_asks_again_under_the_same_id_after_a_lost_answer() {
    let mut calls = 0;
    let server = Server::start(move |_| {
        calls += 1;
        match calls {
            1 => Reply::Cut,
            2 => json(503, value!({"title": "lost", "ran": "unknown"})),
            _ => json(200, value!({"revision": 42})),
        }
    });
    let ran = apply(&server);
    assert_eq!(ran.status, 0, "{ran:?}");
    let bodies: Vec<String> =
        server.received().into_iter().map(|r| r.body).collect();
    assert_eq!(bodies.len(), 3);
    assert!(bodies.iter().all(|body| *body == bodies[0]));
}

#[test]
fn apply_says_that_the_outcome_is_unknown() {
    let server = Server::start(|_| Reply::Cut);
    let ran = apply(&server);
    assert_eq!(ran.status, 1);
    assert!(
        ran.stderr.contains("may have taken effect"),
        "{}",
        ran.stderr
    );
    assert!(ran.stderr.contains("operation id "), "{}", ran.stderr);
}

#[parameterized(
    not_run = { "no", "it did not run; retry after 3 s" },
    perhaps = { "unknown", "it may have run; retry after 3 s" },
)]
fn a_refusal_says_whether_it_ran(ran: &str, message: &str) {
    let body = value!({"title": "no room", "ran": ran}).to_string();
    let server = Server::start(move |_| {
        Reply::Answer(503, "Retry-After: 3\r\n", body.clone())
    });
    let output = server.run(&["job", "list"]);
    assert_eq!(output.status, 1);
    let line = format!("503 no room ({message})");
    assert!(output.stderr.contains(&line), "{}", output.stderr);
    let output = server.run(&["job", "list", "--json"]);
    let error: Value = serde_json::from_str(&output.stderr).unwrap();
    assert_eq!(error["problem"]["ran"], ran);
}

fn job_server(request: &Received) -> Reply {
    match request.path.as_str() {
        "/v1/files" => json(200, value!({"id": "file_in"})),
        "/v1/files/file_out/content" => {
            Reply::Answer(200, "", "{\"n\":1}\n".to_owned())
        }
        "/v1/batches?limit=20" => json(
            200,
            value!({"data": [batch("completed")], "has_more": true}),
        ),
        _ => json(200, batch("in_progress")),
    }
}

#[test]
fn start_uploads_and_starts() {
    let (_dir, path) = file("{\"custom_id\":\"a\"}\n");
    let server = Server::start(job_server);
    let args = [
        "job",
        "start",
        &path,
        "--due",
        "2030-05-01T04:30:00Z",
        "--idempotency-key",
        "night-1",
        "--set",
        "team=ground",
    ];
    let ran = server.run(&args);
    assert_eq!(ran.status, 0, "{ran:?}");
    assert!(ran.stdout.contains("in_progress"), "{}", ran.stdout);
    let [upload, start] = &server.received()[..] else {
        panic!("two calls");
    };
    assert!(upload.body.contains("{\"custom_id\":\"a\"}"));
    assert!(upload.body.contains("name=\"purpose\"\r\n\r\nbatch"));
    assert!(start.head.contains("night-1"), "{}", start.head);
    let sent: Value = serde_json::from_str(&start.body).unwrap();
    let expected = value!({
        "input_file_id": "file_in",
        "endpoint": "/v1/chat/completions",
        "completion_window": "24h",
        "metadata": {"team": "ground", "due_at": "2030-05-01T04:30:00Z"},
    });
    assert_eq!(sent, expected);
}

#[test]
fn list_shows_counts_and_times() {
    let ran = Server::start(job_server).run(&["job", "list"]);
    let row = "batch_1  completed     2       1      3  2023-11-14T22:13:20Z";
    assert!(ran.stdout.contains(row), "{}", ran.stdout);
    assert_eq!(ran.stderr, "more: --after batch_1\n");
}

#[test]
fn results_go_to_a_new_file() {
    let server = Server::start(job_server);
    let ran = server.run(&["job", "results", "batch_1"]);
    assert_eq!((ran.status, ran.stdout.as_str()), (0, "{\"n\":1}\n"));
    let dir = tempfile::tempdir().unwrap();
    let path = dir.path().join("out");
    let out = path.to_str().unwrap();
    let args = ["job", "results", "batch_1", "--out", out];
    assert_eq!(server.run(&args).status, 0);
    assert_eq!(fs::read_to_string(&path).unwrap(), "{\"n\":1}\n");
    assert_eq!(server.run(&args).status, 1, "the file exists");
    let ran = server.run(&["job", "results", "batch_1", "--errors"]);
    assert_eq!(ran.status, 1);
    assert!(ran.stderr.contains("no failed items yet"), "{}", ran.stderr);
}

#[parameterized(
    cancel = { &["job", "cancel", "batch_1"], "/v1/batches/batch_1/cancel" },
    stop = { &["vm", "stop", "vm-1"], "/admin/vms/vm-1/stop" },
)]
fn stops_are_posted(args: &[&str], path: &str) {
    let server = Server::start(job_server);
    assert_eq!(server.run(args).status, 0);
    let request = &server.received()[0];
    assert_eq!((request.method.as_str(), &*request.path), ("POST", path));
}

#[test]
fn status_shows_the_histograms() {
    let server = Server::start(|_| {
        let metrics = obs::Metrics::default();
        let customer = "alama".parse().unwrap();
        let class = base::Class::Online;
        metrics.record(obs::Series::TotalMs, &customer, class, 9);
        let table = metrics.snapshot();
        json(200, value!({"revision": 7, "metrics": table}))
    });
    let ran = server.run(&["status"]);
    assert!(ran.stdout.starts_with("revision: 7\n"), "{}", ran.stdout);
    let row = "total_ms  alama   online      1    9    9    9      9    9";
    assert!(ran.stdout.contains(row), "{}", ran.stdout);
}
