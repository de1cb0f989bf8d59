//! Tests batch load against a fake of the files and batches API.

use std::sync::{
    Arc,
    atomic::{AtomicU32, Ordering},
};

use pomeloslip_load::{BatchReport, Plan, run};
use rocket::{
    Config, FromForm, Shutdown, State,
    config::{LogLevel, Shutdown as ShutdownConfig},
    data::{Limits, ToByteUnit},
    fairing::AdHoc,
    form::Form,
    fs::TempFile,
    http::Status,
    serde::json::Json,
};
use serde_json::{Value, json};
use standin::answer;
use tokio::{io::AsyncReadExt, sync::oneshot};
use yare::parameterized;

/// Fault of the fake.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Fault {
    None,
    Twice,
    Swapped,
    Omitted,
    Foreign,
    Failed,
    FailureAnswered,
    Expired,
}

struct Fake {
    fault: Fault,
    input: std::sync::Mutex<String>,
    creations: AtomicU32,
}

#[derive(FromForm)]
struct Upload<'r> {
    purpose: String,
    file: TempFile<'r>,
}

#[rocket::post("/v1/files", data = "<upload>")]
async fn upload(
    fake: &State<Arc<Fake>>,
    upload: Form<Upload<'_>>,
) -> Json<Value> {
    assert_eq!(upload.purpose, "batch");
    let mut text = String::new();
    let mut file = upload.file.open().await.expect("the part opens");
    let read = file.read_to_string(&mut text).await;
    read.expect("the part is UTF-8");
    *fake.input.lock().expect("no panic") = text;
    Json(json!({"id": "file-in"}))
}

/// Refuses the first call like an overloaded server.
#[rocket::post("/v1/batches", data = "<body>")]
fn create(
    fake: &State<Arc<Fake>>,
    body: Json<Value>,
) -> (Status, Json<Value>) {
    assert_eq!(body["input_file_id"], "file-in");
    if fake.creations.fetch_add(1, Ordering::SeqCst) == 0 {
        let problem = json!({"type": "/problems/busy", "ran": "no"});
        return (Status::ServiceUnavailable, Json(problem));
    }
    (
        Status::Ok,
        Json(json!({"id": "batch-1", "status": "validating"})),
    )
}

#[rocket::get("/v1/batches/batch-1")]
fn poll(fake: &State<Arc<Fake>>) -> Json<Value> {
    let polls = fake.creations.fetch_add(1, Ordering::SeqCst);
    let status = match fake.fault {
        _ if polls < 4 => "in_progress",
        Fault::Expired => "expired",
        _ => "completed",
    };
    Json(json!({
        "id": "batch-1",
        "status": status,
        "output_file_id": "file-out",
        "error_file_id": "file-err",
    }))
}

#[rocket::get("/v1/files/<file>/content")]
fn content(fake: &State<Arc<Fake>>, file: &str) -> String {
    let input = fake.input.lock().expect("no panic").clone();
    let items: Vec<Value> = input
        .lines()
        .map(|line| serde_json::from_str(line).expect("is JSON"))
        .collect();
    let fails = |item: &Value| item.to_string().contains("[[fail]]");
    let lines = if file == "file-err" {
        let failed = items.iter().filter(|item| fails(item));
        fake.errors(failed.collect())
    } else {
        let done = items.iter().filter(|item| !fails(item));
        fake.output(done.collect())
    };
    lines.iter().map(|line| format!("{line}\n")).collect()
}

impl Fake {
    fn output(&self, items: Vec<&Value>) -> Vec<Value> {
        let mut lines: Vec<Value> = items.iter().map(|i| done(i)).collect();
        match self.fault {
            Fault::Twice => lines.push(lines[0].clone()),
            Fault::Swapped => {
                let id = lines[0]["custom_id"].take();
                lines[0]["custom_id"] = lines[1]["custom_id"].take();
                lines[1]["custom_id"] = id;
            }
            Fault::Omitted | Fault::Expired => drop(lines.remove(0)),
            Fault::Foreign => lines.push(json!({"custom_id": "other"})),
            Fault::Failed => {
                lines[0]["response"] = json!({
                    "status_code": 500,
                    "body": {"error": {"type": "server_error"}},
                });
            }
            Fault::FailureAnswered => {
                lines.push(json!({
                    "custom_id": "job-0-item-0",
                    "response": {"status_code": 200},
                }));
            }
            Fault::None => {}
        }
        lines
    }

    fn errors(&self, items: Vec<&Value>) -> Vec<Value> {
        let failed = items.iter().map(|item| {
            json!({
                "custom_id": item["custom_id"],
                "error": {"code": "cannot_complete"},
            })
        });
        failed.collect()
    }
}

fn done(item: &Value) -> Value {
    let body = &item["body"];
    let prompt = answer::prompt_of_chat(&body["messages"]);
    let max_tokens = body["max_tokens"].as_u64().expect("is a number");
    let model = body["model"].as_str().expect("is text");
    let text = answer::text(model, &prompt, max_tokens as u32);
    let choice = json!({"message": {"content": text}});
    json!({
        "custom_id": item["custom_id"],
        "response": {"status_code": 200, "body": {"choices": [choice]}},
    })
}

async fn start(fault: Fault) -> (String, Shutdown) {
    let fake = Arc::new(Fake {
        fault,
        input: Default::default(),
        creations: AtomicU32::new(0),
    });
    let (send, port) = oneshot::channel();
    let send = std::sync::Mutex::new(Some(send));
    let size = 8.mebibytes();
    let config = Config {
        port: 0,
        log_level: LogLevel::Off,
        limits: Limits::default()
            .limit("bytes", size)
            .limit("data-form", size),
        shutdown: ShutdownConfig {
            ctrlc: false,
            ..ShutdownConfig::default()
        },
        ..Config::release_default()
    };
    let rocket = rocket::custom(config)
        .manage(fake)
        .mount("/", rocket::routes![upload, create, poll, content])
        .attach(AdHoc::on_liftoff("port", move |rocket| {
            let send = send.lock().expect("no panic").take();
            let _ = send.expect("once").send(rocket.config().port);
            Box::pin(async {})
        }))
        .ignite()
        .await
        .expect("the fake ignites");
    let shutdown = rocket.shutdown();
    tokio::spawn(rocket.launch());
    let port = port.await.expect("the fake listens");
    (format!("http://127.0.0.1:{port}"), shutdown)
}

fn none(_: &mut BatchReport) {}

#[parameterized(
    right = { Fault::None, none },
    twice = { Fault::Twice, |r| { r.right -= 1; r.duplicated = 1; } },
    swapped = { Fault::Swapped, |r| { r.right -= 2; r.wrong = 2; } },
    omitted = { Fault::Omitted, |r| { r.right -= 1; r.missing = 1; } },
    foreign = { Fault::Foreign, |r| r.foreign = 1 },
    failed = { Fault::Failed, |r| r.right -= 1 },
    answered_twice = {
        Fault::FailureAnswered, |r| { r.right -= 1; r.duplicated = 1; }
    },
    expired = { Fault::Expired, |r| {
        r.right -= 1;
        r.unfinished = 1;
        r.jobs_completed = 0;
        r.jobs_unfinished = 1;
    } },
)]
#[test_macro(tokio::test)]
async fn each_item_is_checked(fault: Fault, change: fn(&mut BatchReport)) {
    let (target, shutdown) = start(fault).await;
    let plan = Plan::new(&target, "korv-lm")
        .batch(1, 200)
        .fail_percent(10)
        .poll_ms(1)
        .seed(2);
    let report = run(&plan, |_| {}).await.expect("the load runs");
    shutdown.notify();
    let batch = &report.batch;
    let mut expected = BatchReport {
        jobs: 1,
        jobs_completed: 1,
        items: 200,
        right: 200 - batch.failed_as_asked,
        failed_as_asked: batch.failed_as_asked,
        failed: batch.failed.clone(),
        refused: batch.refused.clone(),
        job: batch.job,
        items_per_s: batch.items_per_s,
        ..BatchReport::default()
    };
    change(&mut expected);
    assert_eq!(*batch, expected);
    assert!((5..50).contains(&batch.failed_as_asked));
    assert_eq!(batch.refused[0].kind, "/problems/busy");
    assert_eq!(batch.refused[0].ran, "no");
    let failed = usize::from(fault == Fault::Failed);
    assert_eq!(batch.failed.len(), failed);
}
