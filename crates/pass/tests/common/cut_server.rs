//! A server that breaks off its responses after a number of bytes.

// Each test uses a part of it.
#![allow(dead_code)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::Semaphore,
    task::{AbortHandle, JoinSet},
};

/// How a server breaks off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum BreakOff {
    /// It closes the connection in order.
    Close,
    /// It resets the connection.
    Reset,
}

/// Whether a response breaks off on a new connection or on a kept one.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(crate) enum Connection {
    New,
    /// The connection has carried a complete response before.
    Kept,
}

/// All pairs of a connection and its end.
pub(crate) const ENDS: [(Connection, BreakOff); 4] = [
    (Connection::New, BreakOff::Close),
    (Connection::New, BreakOff::Reset),
    (Connection::Kept, BreakOff::Close),
    (Connection::Kept, BreakOff::Reset),
];

/// A response whose head is cut.
#[derive(Clone, Debug)]
pub(crate) struct CutResponse {
    pub(crate) name: String,
    /// The head with its blank line, after any interim responses.
    pub(crate) head: String,
    pub(crate) body: String,
    /// Whether the whole head without a body is a complete response.
    pub(crate) is_whole_if_empty: bool,
}

/// Returns responses of each framing and content; `common` holds the header
/// lines that all of them have.
pub(crate) fn cut_responses(common: &str) -> Vec<CutResponse> {
    let contents = [
        ("plain", "text/plain", "plain bytes"),
        ("json", "application/json", r#"{"a": ["b"]}"#),
        ("events", "text/event-stream", "id: 1\ndata: a\n\n"),
    ];
    let mut responses = Vec::new();
    for (content, content_type, body) in contents {
        let length = format!("content-length: {}\r\n", body.len());
        let chunks = format!("{:x}\r\n{body}\r\n0\r\n\r\n", body.len());
        let framings = [
            ("length", length.as_str(), body),
            ("chunks", "transfer-encoding: chunked\r\n", &chunks),
            ("until close", "", body),
        ];
        for (framing, line, body) in framings {
            responses.push(CutResponse {
                name: format!("{content}, {framing}"),
                head: format!(
                    "HTTP/1.1 200 OK\r\n{common}\
                     content-type: {content_type}\r\n{line}\r\n"
                ),
                body: body.to_owned(),
                is_whole_if_empty: framing == "until close"
                    && content == "plain",
            });
        }
    }
    let variants: Vec<CutResponse> =
        responses.iter().flat_map(variants_of).collect();
    responses.extend(variants);
    responses
}

/// Returns a response in other versions and with other line ends, and after
/// interim responses.
fn variants_of(response: &CutResponse) -> Vec<CutResponse> {
    let variant = |name: &str, head: String| CutResponse {
        name: format!("{}, {name}", response.name),
        head,
        ..response.clone()
    };
    let head = &response.head;
    match response.name.as_str() {
        "plain, length" => vec![
            variant("HTTP/1.0", head.replace("HTTP/1.1", "HTTP/1.0")),
            variant("line feeds", head.replace("\r\n", "\n")),
            variant("100", format!("HTTP/1.1 100 Continue\r\n\r\n{head}")),
            variant(
                "an empty header",
                head.replace("content-type", "x-empty:\r\ncontent-type"),
            ),
        ],
        "json, length" => {
            let zeros = head.replace("length: ", "length: 00");
            vec![variant("more digits", zeros)]
        }
        "events, chunks" => vec![
            variant("line feeds", head.replace("\r\n", "\n")),
            variant(
                "103",
                format!("HTTP/1.1 103 Early\r\nlink: </a>\r\n\r\n{head}"),
            ),
        ],
        "json, until close" | "plain, until close" => vec![
            variant("HTTP/1.0", head.replace("HTTP/1.1", "HTTP/1.0")),
            variant("line feeds", head.replace("\r\n", "\n")),
        ],
        _ => Vec::new(),
    }
}

/// A response that a server sends.
#[derive(Clone, Debug)]
enum Reply {
    /// The server keeps the connection open after it.
    Whole(String),
    /// The server breaks off after it.
    BrokenOff(Vec<u8>, BreakOff),
}

/// A server on a loopback port, which listens until it is dropped.
pub(crate) struct CutServer {
    pub(crate) address: SocketAddr,
    replies: Arc<Mutex<Vec<Reply>>>,
    requests: Arc<Mutex<Vec<usize>>>,
    listener: AbortHandle,
}

impl CutServer {
    pub(crate) async fn start() -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let replies: Arc<Mutex<Vec<Reply>>> = Arc::default();
        let requests: Arc<Mutex<Vec<usize>>> = Arc::default();
        let (next, seen) = (replies.clone(), requests.clone());
        let accept = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, next.clone(), seen.clone()));
            }
        });
        Self {
            address,
            replies,
            requests,
            listener: accept.abort_handle(),
        }
    }

    /// Answers all further requests with these bytes and breaks off.
    pub(crate) fn break_off(&self, bytes: &[u8], break_off: BreakOff) {
        let reply = Reply::BrokenOff(bytes.to_vec(), break_off);
        *self.replies.lock().expect("lock") = vec![reply];
    }

    /// Answers the next request with a complete response, and keeps its
    /// connection.
    pub(crate) fn complete_next(&self, response: String) {
        let reply = Reply::Whole(response);
        self.replies.lock().expect("lock").push(reply);
    }

    /// Returns, for each request since the last call, how many its connection
    /// had carried.
    pub(crate) fn take_requests(&self) -> Vec<usize> {
        std::mem::take(&mut self.requests.lock().expect("lock"))
    }
}

impl Drop for CutServer {
    fn drop(&mut self) {
        self.listener.abort();
    }
}

async fn serve(
    mut stream: TcpStream,
    replies: Arc<Mutex<Vec<Reply>>>,
    requests: Arc<Mutex<Vec<usize>>>,
) {
    let _ = stream.set_nodelay(true);
    let mut count = 0;
    while read_request(&mut stream).await.is_some() {
        count += 1;
        requests.lock().expect("lock").push(count);
        let reply = {
            let mut replies = replies.lock().expect("lock");
            match replies.len() {
                0 | 1 => replies.last().cloned(),
                _ => replies.pop(),
            }
        };
        match reply {
            Some(Reply::Whole(text)) => {
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Some(Reply::BrokenOff(bytes, break_off)) => {
                let _ = stream.write_all(&bytes).await;
                if break_off == BreakOff::Reset {
                    let _ = stream.set_zero_linger();
                }
                return;
            }
            None => return,
        }
    }
}

/// Reads a request with its body, so that a close does not become a reset.
async fn read_request(stream: &mut TcpStream) -> Option<()> {
    let mut head = Vec::new();
    while !head.ends_with(b"\r\n\r\n") {
        head.push(stream.read_u8().await.ok()?);
    }
    let head = String::from_utf8_lossy(&head).to_ascii_lowercase();
    let length = head
        .lines()
        .find_map(|line| line.strip_prefix("content-length:"));
    let length = length.and_then(|length| length.trim().parse().ok());
    let mut body = vec![0; length.unwrap_or(0)];
    stream.read_exact(&mut body).await.ok()?;
    Some(())
}

/// Number of responses that a test tries at the same time.
const CONCURRENT_RESPONSES: usize = 32;

/// Runs a check of each response on each connection and with each end.
pub(crate) async fn each_end<F>(
    responses: Vec<CutResponse>,
    check: impl Fn(CutResponse, Connection, BreakOff) -> F,
) where
    F: Future<Output = ()> + Send + 'static,
{
    let permits = Arc::new(Semaphore::new(CONCURRENT_RESPONSES));
    let mut checks = JoinSet::new();
    for response in responses {
        for (connection, break_off) in ENDS {
            let permits = permits.clone();
            let check = check(response.clone(), connection, break_off);
            checks.spawn(async move {
                let _permit = permits.acquire().await.expect("open");
                check.await;
            });
        }
    }
    while let Some(checked) = checks.join_next().await {
        checked.expect("the check of a response failed");
    }
}
