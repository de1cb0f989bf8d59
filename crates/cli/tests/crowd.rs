//! Starts the OpenAI interface as a process, lets clients call it that do not
//! stay inside the limits, and checks that the process lives within the memory
//! of its machine and still serves others.

mod crowd_common;

use std::{
    io::{BufRead, BufReader},
    net::SocketAddr,
    process::{Child, Command, Stdio},
    sync::{Arc, Mutex, PoisonError},
};

use crowd_common::{
    Crowd, Sending, Template, expect_status, open_descriptors,
    peak_memory_bytes, wait_until_quiet,
};
use yare::parameterized;

/// Memory of the machine, as in the settings of the demo.
const MEMORY_BYTES: u64 = 512_000_000;

/// Descriptors that the process may have open.
const DESCRIPTORS: usize = 1_024;

/// Largest legal body of a call, as in the settings of the demo.
const BODY_BYTES: usize = 8 << 20;

/// Size of an uploaded file, which spans several chunks.
const FILE_BYTES: usize = 4 << 20;

/// Size of a line of an uploaded file, just below the limit of an item.
const LINE_BYTES: usize = 1_000_000;

const KEY: &str = "demo-key-taevakorv";

/// What the clients of a crowd call.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Call {
    Chat,
    Batch,
    File,
}

const BOUNDARY: &str = "crowd-boundary";

impl Call {
    fn template(self) -> Template {
        let (path, kind, body) = match self {
            Call::Chat => ("chat/completions", JSON, chat_body()),
            Call::Batch => ("batches", JSON, batch_body()),
            Call::File => ("files", FORM, file_body()),
        };
        Template {
            target: format!("POST /v1/{path}"),
            headers: format!(
                "host: localhost\r\nauthorization: Bearer {KEY}\r\n\
                 content-type: {kind}\r\n"
            ),
            id_header: "x-request-id",
            body: Arc::new(body),
        }
    }
}

const JSON: &str = "application/json";
const FORM: &str = "multipart/form-data; boundary=crowd-boundary";

/// Returns a text between two others that is `length` bytes long in all.
fn filled(before: &str, after: &str, length: usize) -> Vec<u8> {
    let filler = "x".repeat(length - before.len() - after.len());
    format!("{before}{filler}{after}").into_bytes()
}

fn chat_body() -> Vec<u8> {
    let before = r#"{"model":"korv-lm","max_tokens":4,"messages":[
        {"role":"user","content":"long"}],"user":""#;
    filled(before, r#""}"#, BODY_BYTES)
}

fn batch_body() -> Vec<u8> {
    let before = r#"{"input_file_id":"file-00112233445566778899aabbccddeeff",
        "endpoint":"/v1/chat/completions","metadata":{"note":""#;
    filled(before, r#""}}"#, BODY_BYTES)
}

fn file_line(id: usize, length: usize) -> Vec<u8> {
    let before = format!(
        r#"{{"custom_id":"{id}","method":"POST","url":"/v1/chat/completions",
"body":{{"model":"korv-lm","max_tokens":1,"messages":[{{"role":"user",
"content":""#
    );
    filled(&before.replace('\n', ""), "\"}]}}\n", length)
}

fn form(lines: &[Vec<u8>]) -> Vec<u8> {
    let field = "content-disposition: form-data; name=";
    let mut body = format!(
        "--{BOUNDARY}\r\n{field}\"purpose\"\r\n\r\nbatch\r\n\
         --{BOUNDARY}\r\n{field}\"file\"; filename=\"a.jsonl\"\r\n\r\n"
    )
    .into_bytes();
    body.extend(lines.concat());
    body.extend(format!("\r\n--{BOUNDARY}--\r\n").into_bytes());
    body
}

fn file_body() -> Vec<u8> {
    let lines: Vec<Vec<u8>> = (0..FILE_BYTES / LINE_BYTES)
        .map(|id| file_line(id, LINE_BYTES))
        .collect();
    form(&lines)
}

/// The demo as a process of its own.
struct DemoProcess {
    child: Child,
    address: SocketAddr,
    http: reqwest::Client,
    crowd: Crowd,
}

impl DemoProcess {
    /// Starts `CROWD_DEMO`, or the program of this package.
    fn start() -> Self {
        let path = std::env::var_os("CROWD_DEMO")
            .unwrap_or_else(|| env!("CARGO_BIN_EXE_pomeloslip").into());
        let mut child = Command::new(path)
            .args(["demo", "--listen", "127.0.0.1:0"])
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("started");
        let output = child.stdout.take().expect("a pipe");
        let mut lines = BufReader::new(output).lines();
        let address = lines.find_map(|line| {
            let line = line.ok()?;
            line.strip_prefix("ready: http://")?.parse().ok()
        });
        // The process would end at a write to a closed pipe.
        std::thread::spawn(move || lines.for_each(drop));
        Self {
            child,
            address: address.expect("an address"),
            http: reqwest::Client::builder()
                .no_proxy()
                .build()
                .expect("client"),
            crowd: Crowd::default(),
        }
    }

    fn check_process(&mut self, when: &str) {
        let ended = self.child.try_wait().expect("status");
        assert!(ended.is_none(), "{when}: the process has ended");
        let peak = peak_memory_bytes(self.child.id());
        let descriptors = open_descriptors(self.child.id());
        println!("{when}: {peak} bytes, {descriptors} open");
        assert!(peak <= MEMORY_BYTES, "{when}: {peak} bytes used");
        assert!(descriptors <= DESCRIPTORS, "{when}: {descriptors} open");
    }

    async fn check_call(&self, what: &str, call: Call, body: &[u8]) {
        let path = match call {
            Call::Chat => "chat/completions",
            Call::Batch => "batches",
            Call::File => "files",
        };
        let kind = if call == Call::File { FORM } else { JSON };
        let url = format!("http://{}/v1/{path}", self.address);
        expect_status(200, what, |_| {
            self.http
                .post(&url)
                .bearer_auth(KEY)
                .header("content-type", kind)
                .body(body.to_vec())
        })
        .await;
    }

    async fn check_service(&self, when: &str) {
        let chat = br#"{"model":"korv-lm","max_tokens":4,
            "messages":[{"role":"user","content":"ordinary"}]}"#;
        self.check_call(when, Call::Chat, chat).await;
        let file = form(&[file_line(0, 400)]);
        self.check_call(when, Call::File, &file).await;
    }

    async fn check_largest(&self) {
        let chat = chat_body();
        self.check_call("the largest chat", Call::Chat, &chat).await;
        let file = file_body();
        self.check_call("a large file", Call::File, &file).await;
    }

    /// Checks everything while the connections are open and after their end.
    async fn check(mut self) {
        wait_until_quiet(self.child.id()).await;
        self.check_process("beside");
        self.check_service("beside").await;
        self.check_process("served");
        self.crowd.leave().await;
        self.check_service("after").await;
        self.check_largest().await;
        self.check_process("after");
    }
}

impl Drop for DemoProcess {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Runs a test apart from the others of this file.
fn run_alone(test: impl Future<Output = ()>) {
    static ALONE: Mutex<()> = Mutex::new(());
    let _alone = ALONE.lock().unwrap_or_else(PoisonError::into_inner);
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .worker_threads(2)
        .enable_all()
        .build()
        .expect("runtime");
    runtime.block_on(test);
}

/// Size of a body that is larger than all socket buffers.
const LONG_BYTES: usize = 20 << 20;

/// Guards against refusals that callers lose which still send.
#[parameterized(
    upload_without_key = { "files", FORM, "other", 401 },
    upload_of_a_long_line = { "files", FORM, KEY, 422 },
    chat_without_key = { "chat/completions", JSON, "other", 401 },
    chat_too_long = { "chat/completions", JSON, KEY, 413 },
    batch_without_key = { "batches", JSON, "other", 401 },
    batch_too_long = { "batches", JSON, KEY, 413 },
)]
fn a_refused_caller_gets_the_response(
    path: &str,
    kind: &str,
    key: &str,
    status: u16,
) {
    run_alone(async {
        let demo = DemoProcess::start();
        let long = vec![b'x'; LONG_BYTES];
        let body = if kind == FORM { form(&[long]) } else { long };
        let response = demo
            .http
            .post(format!("http://{}/v1/{path}", demo.address))
            .bearer_auth(key)
            .header("content-type", kind)
            .body(body)
            .send()
            .await
            .expect("a response");
        assert_eq!(response.status().as_u16(), status);
    });
}

/// Guards against callers whose bodies use up the memory of an entry.
#[parameterized(
    whole_chats = { 100, Call::Chat, Sending::Whole { requests: 1 } },
    pipelined_chats = { 50, Call::Chat, Sending::Whole { requests: 4 } },
    chats_in_pieces = { 150, Call::Chat, Sending::Pieces(16_384) },
    chats_in_large_chunks = { 150, Call::Chat, Sending::Chunks(1 << 20) },
    chats_in_small_chunks = { 100, Call::Chat, Sending::Chunks(256) },
    chats_announced_too_long = { 50, Call::Chat, Sending::Announced(50) },
    chats_too_long = { 100, Call::Chat, Sending::Unannounced(4) },
    whole_batches = { 100, Call::Batch, Sending::Whole { requests: 1 } },
    batches_in_pieces = { 150, Call::Batch, Sending::Pieces(16_384) },
    batches_in_large_chunks = { 150, Call::Batch, Sending::Chunks(1 << 20) },
    batches_in_small_chunks = { 100, Call::Batch, Sending::Chunks(256) },
    batches_announced_too_long = { 50, Call::Batch, Sending::Announced(50) },
    batches_too_long = { 100, Call::Batch, Sending::Unannounced(4) },
    whole_files = { 200, Call::File, Sending::Whole { requests: 1 } },
    files_in_pieces = { 400, Call::File, Sending::Pieces(16_384) },
    files_in_large_chunks = { 400, Call::File, Sending::Chunks(1 << 20) },
    files_in_small_chunks = { 100, Call::File, Sending::Chunks(256) },
    files_announced_too_long = { 20, Call::File, Sending::Announced(150) },
    heads = { 600, Call::Chat, Sending::Head },
    files_too_long = { 20, Call::File, Sending::Unannounced(150) },
)]
fn the_process_stays_within_its_machine(
    clients: usize,
    call: Call,
    sending: Sending,
) {
    run_alone(async {
        let mut demo = DemoProcess::start();
        let template = call.template();
        let address = demo.address;
        demo.crowd.send(address, clients, &template, sending).await;
        demo.check().await;
    });
}
