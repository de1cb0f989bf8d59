//! An engine whose responses are controlled by the request bodies.

use std::{
    net::SocketAddr,
    ops::Range,
    sync::{Arc, Mutex},
    time::Duration,
};

use fleet::EndpointRecord;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::{interval, sleep},
};

/// An engine whose response depends on the body of the request. `N` sends N
/// events; `reject` and `fail` return an error status, and `unproven S N`
/// returns the status S and sends N events from the third run on; `cut N`
/// closes the connection once after N / 2 of N events; `silent` hangs after
/// the head;
/// `open N` sends N events with neither a length nor chunks, and `open N B`
/// closes the connection of the first run after B bytes of them; `pause M N`
/// is silent for M milliseconds after N / 2 of N events of the first run,
/// `pause-head M N` before its head, and `hang N` and `hang-head N` for good;
/// `crash N` stops the engine and closes all of its connections after N events, and
/// `open-crash N` does the same with neither a length nor chunks. A request
/// whose prompt has a shared part [`CRASHING_PART`] crashes the engine after its
/// head, whatever its body; at the path `/speak/1`, which has neither a length
/// nor chunks, inside the first event.
pub(crate) struct Engine {
    pub(crate) address: SocketAddr,
    /// Version of its software, which is also in the text of its events.
    version: &'static str,
    pub(crate) runs: Arc<Mutex<Vec<String>>>,
    /// Heads of the requests that ran.
    pub(crate) heads: Arc<Mutex<Vec<String>>>,
    crashed: watch::Sender<bool>,
}

impl Engine {
    pub(crate) async fn start() -> Self {
        Self::start_version(VERSION).await
    }

    /// Starts an engine of a software version.
    pub(crate) async fn start_version(version: &'static str) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let runs: Arc<Mutex<Vec<String>>> = Arc::default();
        let heads: Arc<Mutex<Vec<String>>> = Arc::default();
        let seen = (runs.clone(), heads.clone());
        let (crashed, crash) = watch::channel(false);
        let on_crash = crashed.clone();
        tokio::spawn(async move {
            let mut connections = JoinSet::new();
            let mut ended = crash;
            loop {
                tokio::select! {
                    _ = ended.wait_for(|crashed| *crashed) => return,
                    Ok((stream, _)) = listener.accept() => {
                        let crash = on_crash.clone();
                        let seen = seen.clone();
                        connections
                            .spawn(engine(stream, version, seen, crash));
                    }
                }
            }
        });
        Self {
            address,
            version,
            runs,
            heads,
            crashed,
        }
    }

    /// Stops the engine, which then refuses connections.
    pub(crate) fn crash(&self) {
        self.crashed.send_replace(true);
    }

    pub(crate) fn has_crashed(&self) -> bool {
        *self.crashed.borrow()
    }

    /// Returns the number of requests that started to run.
    pub(crate) fn run_count(&self) -> usize {
        self.runs.lock().expect("lock").len()
    }

    pub(crate) fn record(&self, id: &str) -> EndpointRecord {
        EndpointRecord {
            id: id.to_owned(),
            started_at: None,
            version: self.version.parse().ok(),
            address: self.address,
            service: "engines".to_owned(),
            failure_domain: "east".to_owned(),
            slots: 4,
            state: fleet::EndpointState::Ready,
        }
    }
}

/// Software version of engines that are started without one.
const VERSION: &str = "e";

/// Id of a part of a prompt that crashes the engine as it begins to respond.
pub(crate) const CRASHING_PART: &str = "bad0";

/// Reports whether a prompt has the part that crashes engines.
fn has_crashing_part(head: &str) -> bool {
    let prompt = header(head, "x-prompt").unwrap_or_default();
    let mut parts = prompt.split(',');
    parts.any(|part| part.split(':').next() == Some(CRASHING_PART))
}

/// Runs of an item that end with a status that promises that it did not run.
const UNPROVEN_RUNS: usize = 2;

/// Delay between the last event of a poison request and the crash of the
/// engine.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Interval between two events of a response.
const EVENT_INTERVAL: Duration = Duration::from_millis(2);

type Lines = Arc<Mutex<Vec<String>>>;

async fn engine(
    mut stream: TcpStream,
    version: &'static str,
    (runs, heads): (Lines, Lines),
    crash: watch::Sender<bool>,
) {
    while let Some((head, body)) = read_message(&mut stream).await {
        let id = header(&head, "x-id").unwrap_or_default();
        let after = header(&head, "x-resume");
        let after: u32 = after.and_then(|a| a.parse().ok()).unwrap_or(0);
        let mut words = body.split(' ');
        let word = match has_crashing_part(&head) {
            true => "crash".to_owned(),
            false => words.next().unwrap_or_default().to_owned(),
        };
        let cut = word == "cut" && after == 0;
        let number = match word.as_str() {
            "open" => words.next().unwrap_or("0"),
            "cut" => words.next().unwrap_or("1"),
            "pause" | "pause-head" => words.nth(1).unwrap_or("0"),
            "unproven" => words.nth(1).unwrap_or("0"),
            "hang" | "hang-head" => words.next().unwrap_or("0"),
            "crash" if has_crashing_part(&head) => "0",
            "crash" => words.next().unwrap_or("0"),
            other => other,
        };
        let runs_before = {
            let runs = runs.lock().expect("lock");
            let of_id = format!("{id}:");
            runs.iter().filter(|run| run.starts_with(&of_id)).count()
        };
        let is_first = runs_before == 0;
        // Load requests have no id and are not recorded as runs.
        if !id.is_empty() {
            runs.lock().expect("lock").push(format!("{id}:{after}"));
            heads.lock().expect("lock").push(head.clone());
        }
        let status = match word.as_str() {
            "reject" => "422 Never",
            "fail" => "500 Failed",
            "unproven" if runs_before < UNPROVEN_RUNS => {
                body.split(' ').nth(1).unwrap_or("503")
            }
            _ => "200 OK",
        };
        let number = match status {
            "200 OK" => number,
            _ => "0",
        };
        if word == "open" {
            let last = number.parse().unwrap_or(0);
            let cut = words.next().filter(|_| is_first && after == 0);
            let cut = cut.and_then(|bytes| bytes.parse().ok());
            return send_until_close(
                &mut stream,
                &id,
                version,
                after..last,
                cut,
            )
            .await;
        }
        if has_crashing_part(&head) && head.starts_with("POST /speak/") {
            let first = after..after + 1;
            send_until_close(&mut stream, &id, version, first, Some(8)).await;
            sleep(CRASH_DELAY).await;
            crash.send_replace(true);
            return std::future::pending().await;
        }
        if word == "open-crash" {
            let last: u32 =
                words.next().and_then(|n| n.parse().ok()).unwrap_or(0);
            let events = after..after + last;
            send_until_close(&mut stream, &id, version, events, None).await;
            sleep(CRASH_DELAY).await;
            crash.send_replace(true);
            return std::future::pending().await;
        }
        let silence = Silence::of(&body).filter(|_| is_first);
        if let Some(silence) = silence
            && silence.before_head
        {
            silence.wait().await;
        }
        let head = format!(
            "HTTP/1.1 {status}\r\nx-id: {id}\r\nx-seal: s\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        if word == "silent" {
            return std::future::pending().await;
        }
        let crashes = word == "crash";
        let last: u32 = number.parse().unwrap_or(0);
        // A resumed run crashes after the same number of further events.
        let last = if crashes { after + last } else { last };
        // An interval instead of sleeps, so that a response takes equally long
        // on a busy machine.
        let mut pace = interval(EVENT_INTERVAL);
        for event in after + 1..=last {
            let text = text_of(version, event);
            let chunk = format!("{:x}\r\n{text}\r\n", text.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            if cut && event == last / 2 {
                return;
            }
            let pauses = silence.filter(|silence| !silence.before_head);
            if let Some(silence) = pauses
                && event == last / 2
            {
                silence.wait().await;
            }
            pace.tick().await;
        }
        if crashes {
            sleep(CRASH_DELAY).await;
            crash.send_replace(true);
            return std::future::pending().await;
        }
        if stream.write_all(b"0\r\n\r\n").await.is_err() {
            return;
        }
    }
}

/// A silence of an engine on an open connection.
#[derive(Clone, Copy)]
struct Silence {
    before_head: bool,
    /// Duration; for good if none.
    lasts_ms: Option<u64>,
}

impl Silence {
    /// Returns the silence that the body of a request asks for.
    fn of(body: &str) -> Option<Self> {
        let (word, numbers) = body.split_once(' ')?;
        let first = numbers.split(' ').next()?;
        let lasts_ms = match word {
            "pause" | "pause-head" => Some(first.parse().ok()?),
            "hang" | "hang-head" => None,
            _ => return None,
        };
        Some(Self {
            before_head: word.ends_with("-head"),
            lasts_ms,
        })
    }

    async fn wait(self) {
        match self.lasts_ms {
            Some(ms) => sleep(Duration::from_millis(ms)).await,
            None => std::future::pending().await,
        }
    }
}

/// Sends a stream whose end is that of its connection, or its first bytes.
async fn send_until_close(
    stream: &mut TcpStream,
    id: &str,
    version: &str,
    events: Range<u32>,
    cut: Option<usize>,
) {
    let events = events.map(|before| text_of(version, before + 1));
    let mut body = events.collect::<String>();
    body.truncate(cut.unwrap_or(body.len()));
    let head = format!(
        "HTTP/1.1 200 OK\r\nx-id: {id}\r\nx-seal: s\r\n\
         content-type: text/event-stream\r\n\r\n"
    );
    // The caller may have left.
    let _ = stream.write_all((head + &body).as_bytes()).await;
}

/// Returns an event as an engine of the usual version sends it.
pub(crate) fn event_text(event: u32) -> String {
    text_of(VERSION, event)
}

fn text_of(version: &str, event: u32) -> String {
    format!("id: {event}\ndata: {version}{event}\n\n")
}

async fn read_message(stream: &mut TcpStream) -> Option<(String, String)> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte).await.ok()? == 0 {
            return None;
        }
        bytes.push(byte[0]);
    }
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let length = header(&head, "content-length").unwrap_or_default();
    let mut body = vec![0; length.parse().unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}

fn header(head: &str, name: &str) -> Option<String> {
    head.lines().find_map(|line| {
        let (key, value) = line.split_once(": ")?;
        key.eq_ignore_ascii_case(name)
            .then(|| value.trim().to_owned())
    })
}
