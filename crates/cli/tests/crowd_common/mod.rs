//! Clients that do not stay inside the limits of the server, and the memory
//! and descriptors that they make its process use.

use std::{fs, net::SocketAddr, sync::Arc, time::Duration};

use tokio::{
    io::AsyncWriteExt,
    net::TcpStream,
    sync::Mutex,
    task::JoinSet,
    time::{sleep, timeout},
};

/// Time after which a client stops sending, if the server does not read.
const SEND_TIMEOUT: Duration = Duration::from_secs(20);

/// Size of the writes of a client.
const WRITE_BYTES: usize = 64 * 1024;

/// What the clients of a crowd send.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Sending {
    /// Complete requests on one connection, whose responses are not read.
    Whole { requests: usize },
    /// All but the last byte of a body in pieces of this size.
    Pieces(usize),
    /// All but the end of a body in chunks of this size.
    Chunks(usize),
    /// A body this many times the limit, whose length is announced.
    Announced(usize),
    /// A chunked body this many times the limit.
    Unannounced(usize),
    /// The start of a request head.
    Head,
}

/// A request as all clients of a crowd send it.
#[derive(Clone, Debug)]
pub(crate) struct Template {
    /// Method and target.
    pub(crate) target: String,
    /// Headers, each with its line end.
    pub(crate) headers: String,
    /// Name of the header that identifies a request.
    pub(crate) id_header: &'static str,
    /// The largest legal body.
    pub(crate) body: Arc<Vec<u8>>,
}

impl Template {
    fn head(&self, id: &str, framing: &str) -> Vec<u8> {
        format!(
            "{} HTTP/1.1\r\n{}{}: {id}\r\n{framing}\r\n",
            self.target, self.headers, self.id_header
        )
        .into_bytes()
    }

    fn sized_head(&self, id: &str, length: usize) -> Vec<u8> {
        self.head(id, &format!("content-length: {length}\r\n"))
    }

    fn chunked_head(&self, id: &str) -> Vec<u8> {
        self.head(id, "transfer-encoding: chunked\r\n")
    }
}

/// Connections that stay open until dropped.
#[derive(Default)]
pub(crate) struct Crowd {
    streams: Arc<Mutex<Vec<TcpStream>>>,
    sent: usize,
}

impl Crowd {
    /// Sends from `clients` connections at once, and returns when each client
    /// has sent everything or cannot send any more.
    pub(crate) async fn send(
        &mut self,
        address: SocketAddr,
        clients: usize,
        template: &Template,
        sending: Sending,
    ) {
        let mut tasks = JoinSet::new();
        for _ in 0..clients {
            self.sent += 1;
            let client = Client {
                id: format!("crowd-{}", self.sent),
                template: template.clone(),
                sending,
            };
            let streams = self.streams.clone();
            tasks.spawn(async move {
                let Ok(mut stream) = TcpStream::connect(address).await else {
                    return;
                };
                let sent = client.send(&mut stream);
                // A server may stop reading, or close the connection.
                let _ = timeout(SEND_TIMEOUT, sent).await;
                streams.lock().await.push(stream);
            });
        }
        tasks.join_all().await;
    }

    /// Closes all connections.
    pub(crate) async fn leave(&mut self) {
        self.streams.lock().await.clear();
    }
}

struct Client {
    id: String,
    template: Template,
    sending: Sending,
}

impl Client {
    async fn send(&self, stream: &mut TcpStream) -> std::io::Result<()> {
        let body = &self.template.body;
        match self.sending {
            Sending::Whole { requests } => {
                for number in 0..requests {
                    let id = format!("{}-{number}", self.id);
                    let head = self.template.sized_head(&id, body.len());
                    stream.write_all(&head).await?;
                    stream.write_all(body).await?;
                }
            }
            Sending::Pieces(size) => {
                let head = self.template.sized_head(&self.id, body.len());
                stream.write_all(&head).await?;
                for piece in body[..body.len() - 1].chunks(size) {
                    stream.write_all(piece).await?;
                }
            }
            Sending::Chunks(size) => {
                stream
                    .write_all(&self.template.chunked_head(&self.id))
                    .await?;
                let encoded = encode_chunks(body, size);
                stream.write_all(&encoded).await?;
            }
            Sending::Announced(times) => {
                let length = body.len() * times;
                let head = self.template.sized_head(&self.id, length);
                stream.write_all(&head).await?;
                for _ in 0..times {
                    stream.write_all(body).await?;
                }
            }
            Sending::Unannounced(times) => {
                stream
                    .write_all(&self.template.chunked_head(&self.id))
                    .await?;
                let encoded = encode_chunks(body, WRITE_BYTES);
                for _ in 0..times {
                    stream.write_all(&encoded).await?;
                }
            }
            Sending::Head => {
                let head = self.template.sized_head(&self.id, body.len());
                stream.write_all(&head[..head.len() / 2]).await?;
            }
        }
        Ok(())
    }
}

/// Returns a body in chunks, without the last, empty one.
fn encode_chunks(body: &[u8], size: usize) -> Vec<u8> {
    let mut encoded = Vec::new();
    for chunk in body.chunks(size) {
        encoded.extend_from_slice(format!("{:x}\r\n", chunk.len()).as_bytes());
        encoded.extend_from_slice(chunk);
        encoded.extend_from_slice(b"\r\n");
    }
    encoded
}

/// Returns the largest memory that a process has used, in bytes.
pub(crate) fn peak_memory_bytes(process: u32) -> u64 {
    let path = format!("/proc/{process}/status");
    let status = fs::read_to_string(path).expect("a running process");
    let line = status.lines().find(|line| line.starts_with("VmHWM:"));
    let number = line.and_then(|line| line.split_whitespace().nth(1));
    let kilobytes: u64 =
        number.and_then(|text| text.parse().ok()).expect("VmHWM");
    kilobytes * 1_024
}

/// Interval of looks at the processor time of a process, and the time that it
/// uses in one while it still reads what a crowd has sent.
const QUIET_INTERVAL: Duration = Duration::from_millis(500);
const BUSY_TICKS: u64 = 10;

/// Number of looks after which a process counts as quiet anyway.
const MAX_LOOKS: u32 = 120;

/// Waits until a process has read what it wants to read.
pub(crate) async fn wait_until_quiet(process: u32) {
    let mut known = processor_ticks(process);
    for _ in 0..MAX_LOOKS {
        sleep(QUIET_INTERVAL).await;
        let now = processor_ticks(process);
        if now - known < BUSY_TICKS {
            return;
        }
        known = now;
    }
}

fn processor_ticks(process: u32) -> u64 {
    let path = format!("/proc/{process}/stat");
    let stat = fs::read_to_string(path).expect("a running process");
    // The name, in parentheses, may contain spaces.
    let fields = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = fields.split_whitespace().collect();
    let ticks = fields[11..13].iter();
    ticks
        .map(|text| text.parse::<u64>().expect("a number"))
        .sum()
}

/// Returns the number of open descriptors of a process.
pub(crate) fn open_descriptors(process: u32) -> usize {
    let path = format!("/proc/{process}/fd");
    fs::read_dir(path).expect("a running process").count()
}

/// Time in which a server that is alive answers one of many attempts.
const ANSWER_LIMIT: Duration = Duration::from_secs(90);

/// Time that a client waits for one response.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(20);

/// Sends a request until it has this status.
pub(crate) async fn expect_status(
    status: u16,
    what: &str,
    mut request: impl FnMut(usize) -> reqwest::RequestBuilder,
) {
    let mut last = String::new();
    let attempts = async {
        for attempt in 0.. {
            let request = request(attempt).timeout(RESPONSE_TIMEOUT);
            last = match request.send().await {
                Ok(response) if response.status().as_u16() == status => {
                    match response.bytes().await {
                        Ok(_) => return,
                        Err(error) => format!("{error:?}"),
                    }
                }
                Ok(response) => format!("status {}", response.status()),
                Err(error) => format!("{error:?}"),
            };
            sleep(Duration::from_millis(200)).await;
        }
    };
    let answered = timeout(ANSWER_LIMIT, attempts).await.is_ok();
    assert!(answered, "{what}: no answer with {status}, last: {last}");
}
