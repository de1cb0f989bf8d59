//! Changes how a stand-in delivers its answers.
//!
//! The HTTP library behind the stand-ins gives every answer a length or
//! chunks, and ends it whole. Real servers also send answers with neither,
//! which end with their connection, and break off any answer at any byte. A
//! [`Reframer`] stands in front of a stand-in, or of any HTTP/1.1 server that
//! answers one request after the other, and delivers its answers so.
//!
//! # Example
//!
//! ```
//! use pomeloslip_standin::{
//!     delivery::{AnswerFraming, Delivery, Reframer},
//!     service::{PlainAnswer, PlainService, PlainServiceSettings},
//! };
//!
//! # tokio::runtime::Runtime::new()?.block_on(async {
//! let settings = PlainServiceSettings::default();
//! let service = PlainService::start(settings).await.unwrap();
//! let reframer = Reframer::start(service.address()).await.unwrap();
//! reframer.set(Delivery {
//!     framing: AnswerFraming::UntilClose,
//!     ..Delivery::default()
//! });
//! let url = format!("http://{}/x", reframer.address());
//! let reply = reqwest::get(url).await.unwrap();
//! assert!(!reply.headers().contains_key("content-length"));
//! assert!(!reply.headers().contains_key("transfer-encoding"));
//! let answer: PlainAnswer = reply.json().await.unwrap();
//! assert_eq!(answer, PlainAnswer::of("GET", "/x", b""));
//! # });
//! # Ok::<(), std::io::Error>(())
//! ```

use std::{
    io,
    net::{Ipv4Addr, SocketAddr},
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use error_stack::{Report, ResultExt};
use serde::{Deserialize, Serialize};
use tokio::{
    io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader},
    net::{
        TcpListener, TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    task::JoinHandle,
    time::timeout,
};

use crate::StandinError;

/// How a stand-in marks the end of an answer.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum AnswerFraming {
    /// As the stand-in does by itself.
    #[default]
    AsIs,
    /// By a length in the head; the answer is sent once it is whole.
    Length,
    /// By a last chunk.
    Chunked,
    /// By the end of the connection.
    UntilClose,
}

/// How a stand-in ends a connection in the middle of an answer.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
#[serde(rename_all = "kebab-case")]
pub enum BreakOff {
    /// In order, as the operating system does for a process that ends.
    #[default]
    Close,
    /// By a reset.
    Reset,
    /// In order, after the mark of a complete answer; with a length, that of
    /// the bytes that are sent.
    MarkComplete,
}

/// How a stand-in delivers its answers; the default changes nothing.
#[derive(Clone, Debug, Default, Eq, PartialEq, Deserialize, Serialize)]
#[serde(default, deny_unknown_fields)]
pub struct Delivery {
    /// Start of the paths whose answers are delivered so; all others are
    /// delivered as they are.
    pub path_prefix: String,
    /// How the end of an answer is marked.
    pub framing: AnswerFraming,
    /// Bytes of the body after which an answer is broken off; none for whole
    /// answers. An answer of exactly this length is whole.
    pub break_after_bytes: Option<u64>,
    /// How an answer is broken off.
    pub break_off: BreakOff,
}

/// A server that delivers the answers of another one; it stops when dropped.
#[derive(Debug)]
pub struct Reframer {
    address: SocketAddr,
    delivery: Arc<Mutex<Delivery>>,
    task: JoinHandle<()>,
}

impl Reframer {
    /// Starts a server in front of another one, on a free port.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if no port can be bound.
    pub async fn start(
        target: SocketAddr,
    ) -> Result<Self, Report<StandinError>> {
        let any = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        Self::start_at(any, target).await
    }

    /// Starts a server at an address.
    ///
    /// # Errors
    ///
    /// [`StandinError::Listen`] if the address cannot be bound.
    pub async fn start_at(
        listen: SocketAddr,
        target: SocketAddr,
    ) -> Result<Self, Report<StandinError>> {
        let listener = TcpListener::bind(listen)
            .await
            .change_context(StandinError::Listen)?;
        let address =
            listener.local_addr().change_context(StandinError::Listen)?;
        let delivery: Arc<Mutex<Delivery>> = Arc::default();
        let shared = delivery.clone();
        let task = tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, target, shared.clone()));
            }
        });
        Ok(Self {
            address,
            delivery,
            task,
        })
    }

    /// Returns the address that callers connect to.
    #[inline]
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Sets how answers are delivered whose head has not been sent yet.
    pub fn set(&self, delivery: Delivery) {
        *self.delivery.lock().unwrap_or_else(PoisonError::into_inner) =
            delivery;
    }
}

impl Drop for Reframer {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Time for which a connection stays open after its last answer was closed,
/// so that unread bytes of the caller do not turn the close into a reset.
const LINGER: Duration = Duration::from_secs(5);

/// Serves one connection of a caller by one connection to the target.
async fn serve(
    caller: TcpStream,
    target: SocketAddr,
    delivery: Arc<Mutex<Delivery>>,
) {
    let Ok(server) = TcpStream::connect(target).await else {
        return;
    };
    let (server_reader, server_writer) = server.into_split();
    let (caller_reader, caller_writer) = caller.into_split();
    let mut connection = Connection {
        requests: BufReader::new(caller_reader),
        server_writer,
        server: BufReader::new(server_reader),
        caller: caller_writer,
    };
    let end = loop {
        match connection.serve_next(&delivery).await {
            Ok(Next::Another) => {}
            Ok(Next::Reset) => break Next::Reset,
            // Either side has ended the connection, or this one does.
            Ok(Next::Close) | Err(_) => break Next::Close,
        }
    };
    connection.end(end).await;
}

/// What becomes of a connection after an answer.
enum Next {
    Another,
    Close,
    Reset,
}

/// How the target marked the end of an answer.
enum Source {
    Length(u64),
    Chunked,
}

struct Connection {
    requests: BufReader<OwnedReadHalf>,
    server_writer: OwnedWriteHalf,
    server: BufReader<OwnedReadHalf>,
    caller: OwnedWriteHalf,
}

impl Connection {
    /// Passes the next request on and delivers its answer.
    async fn serve_next(
        &mut self,
        delivery: &Mutex<Delivery>,
    ) -> io::Result<Next> {
        let path = self.pass_on_request().await?;
        let head = read_head(&mut self.server).await?;
        let delivery = delivery
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone();
        let delivery = match path.starts_with(&delivery.path_prefix) {
            true => delivery,
            false => Delivery::default(),
        };
        let body = Body::new(source(&head), delivery);
        match body.delivery.framing {
            AnswerFraming::Length => self.deliver_at_once(&head, body).await,
            _ => self.deliver(&head, body).await,
        }
    }

    /// Reads a request, passes it on and returns its path.
    async fn pass_on_request(&mut self) -> io::Result<String> {
        let head = read_head(&mut self.requests).await?;
        let mut source = source(&head);
        let mut body = Vec::new();
        while let Some(part) =
            read_part(&mut self.requests, &mut source).await?
        {
            body.extend_from_slice(&part);
        }
        let length = format!("content-length: {}\r\n", body.len());
        let bytes = [delivered_head(&head, &length), body].concat();
        self.server_writer.write_all(&bytes).await?;
        let request_line = head.first().map(String::as_str);
        let path = request_line.and_then(|line| line.split(' ').nth(1));
        Ok(path.unwrap_or_default().to_owned())
    }

    async fn deliver(
        &mut self,
        head: &[String],
        mut body: Body,
    ) -> io::Result<Next> {
        let head = delivered_head(head, &body.framing_header());
        self.caller.write_all(&head).await?;
        while let Some(bytes) = self.next_part(&mut body).await? {
            let (part, is_last) = body.take(bytes);
            let framed = body.frame(&part);
            self.caller.write_all(&framed).await?;
            if is_last {
                return self.break_off(&body).await;
            }
        }
        self.end_answer(&body).await
    }

    /// Reads the next bytes of an answer while its caller waits for it.
    async fn next_part(
        &mut self,
        body: &mut Body,
    ) -> io::Result<Option<Vec<u8>>> {
        tokio::select! {
            part = read_part(&mut self.server, &mut body.source) => part,
            () = has_left(&mut self.requests) => {
                Err(io::ErrorKind::ConnectionAborted.into())
            }
        }
    }

    async fn deliver_at_once(
        &mut self,
        head: &[String],
        mut body: Body,
    ) -> io::Result<Next> {
        let mut whole = Vec::new();
        while let Some(bytes) = self.next_part(&mut body).await? {
            whole.extend_from_slice(&bytes);
        }
        let length = whole.len();
        let (part, is_broken) = body.take(whole);
        let announced = match body.delivery.break_off {
            BreakOff::MarkComplete => part.len(),
            _ => length,
        };
        let head =
            delivered_head(head, &format!("content-length: {announced}\r\n"));
        self.caller.write_all(&head).await?;
        self.caller.write_all(&part).await?;
        match is_broken {
            true => self.break_off(&body).await,
            false => Ok(Next::Another),
        }
    }

    async fn break_off(&mut self, body: &Body) -> io::Result<Next> {
        match body.delivery.break_off {
            BreakOff::Close => Ok(Next::Close),
            BreakOff::Reset => Ok(Next::Reset),
            BreakOff::MarkComplete => {
                self.end_answer(body).await?;
                Ok(Next::Close)
            }
        }
    }

    async fn end_answer(&mut self, body: &Body) -> io::Result<Next> {
        if body.delivery.framing == AnswerFraming::UntilClose {
            return Ok(Next::Close);
        }
        if body.is_chunked() {
            self.caller.write_all(b"0\r\n\r\n").await?;
        }
        Ok(Next::Another)
    }

    async fn end(mut self, end: Next) {
        if let Next::Reset = end {
            let stream: &TcpStream = self.caller.as_ref();
            let _ = stream.set_zero_linger();
            // Dropping this half would end the connection in order.
            self.caller.forget();
            return;
        }
        let _ = self.caller.shutdown().await;
        let _ = timeout(LINGER, has_left(&mut self.requests)).await;
    }
}

/// Waits until the caller closes its side of the connection.
async fn has_left(requests: &mut BufReader<OwnedReadHalf>) {
    if let Ok([_, ..]) = requests.fill_buf().await {
        // The caller has sent its next request.
        std::future::pending::<()>().await;
    }
}

async fn read_head(
    reader: &mut BufReader<OwnedReadHalf>,
) -> io::Result<Vec<String>> {
    let mut lines = Vec::new();
    loop {
        let line = read_line(reader).await?;
        if line.is_empty() {
            return Ok(lines);
        }
        lines.push(line);
    }
}

async fn read_line(
    reader: &mut BufReader<OwnedReadHalf>,
) -> io::Result<String> {
    let mut line = String::new();
    if reader.read_line(&mut line).await? == 0 {
        return Err(io::ErrorKind::UnexpectedEof.into());
    }
    Ok(line.trim_end_matches(['\r', '\n']).to_owned())
}

/// Reads the next bytes of a body; `None` marks its end.
async fn read_part(
    reader: &mut BufReader<OwnedReadHalf>,
    source: &mut Source,
) -> io::Result<Option<Vec<u8>>> {
    match source {
        Source::Length(0) => Ok(None),
        Source::Length(left) => {
            let size = (*left).min(MAX_PART_BYTES);
            let bytes = read_exact(reader, size).await?;
            *left -= size;
            Ok(Some(bytes))
        }
        Source::Chunked => {
            let line = read_line(reader).await?;
            let size = u64::from_str_radix(&line, 16)
                .map_err(|_| io::ErrorKind::InvalidData)?;
            let bytes = read_exact(reader, size).await?;
            read_line(reader).await?;
            Ok((size > 0).then_some(bytes))
        }
    }
}

/// Largest part of a body that is read at once.
const MAX_PART_BYTES: u64 = 64 << 10;

async fn read_exact(
    reader: &mut BufReader<OwnedReadHalf>,
    size: u64,
) -> io::Result<Vec<u8>> {
    let mut bytes = vec![0; size as usize];
    reader.read_exact(&mut bytes).await?;
    Ok(bytes)
}

/// The body of an answer on its way.
struct Body {
    source: Source,
    delivery: Delivery,
    /// Bytes that may still be delivered.
    left: Option<u64>,
}

impl Body {
    fn new(source: Source, delivery: Delivery) -> Self {
        Self {
            source,
            left: delivery.break_after_bytes,
            delivery,
        }
    }

    /// Cuts bytes at the point where the answer is broken off; returns them
    /// and whether they are cut.
    fn take(&mut self, mut bytes: Vec<u8>) -> (Vec<u8>, bool) {
        let Some(left) = &mut self.left else {
            return (bytes, false);
        };
        let is_cut = bytes.len() as u64 > *left;
        bytes.truncate(*left as usize);
        *left -= bytes.len() as u64;
        (bytes, is_cut)
    }

    fn is_chunked(&self) -> bool {
        match self.delivery.framing {
            AnswerFraming::AsIs => matches!(self.source, Source::Chunked),
            framing => framing == AnswerFraming::Chunked,
        }
    }

    fn framing_header(&self) -> String {
        match (self.delivery.framing, &self.source) {
            (AnswerFraming::AsIs, Source::Length(length)) => {
                format!("content-length: {length}\r\n")
            }
            _ if self.is_chunked() => {
                "transfer-encoding: chunked\r\n".to_owned()
            }
            _ => String::new(),
        }
    }

    fn frame(&self, part: &[u8]) -> Vec<u8> {
        if part.is_empty() || !self.is_chunked() {
            return part.to_vec();
        }
        let mut framed = format!("{:x}\r\n", part.len()).into_bytes();
        framed.extend_from_slice(part);
        framed.extend_from_slice(b"\r\n");
        framed
    }
}

/// Returns the head with another framing.
fn delivered_head(lines: &[String], framing: &str) -> Vec<u8> {
    let mut head = String::new();
    let kept = lines.iter().filter(|line| !is_framing(line));
    for line in kept {
        head.push_str(line);
        head.push_str("\r\n");
    }
    head.push_str(framing);
    head.push_str("\r\n");
    head.into_bytes()
}

fn is_framing(line: &str) -> bool {
    let name = line.split(':').next().unwrap_or_default();
    name.eq_ignore_ascii_case("content-length")
        || name.eq_ignore_ascii_case("transfer-encoding")
}

/// Returns how a head marks the end of its body; with neither a length nor
/// chunks, the body is empty.
fn source(head: &[String]) -> Source {
    let value = |name: &str| {
        head.iter().find_map(|line| {
            let (key, value) = line.split_once(':')?;
            key.eq_ignore_ascii_case(name).then(|| value.trim())
        })
    };
    match value("transfer-encoding") {
        Some(_) => Source::Chunked,
        None => {
            let length = value("content-length");
            Source::Length(length.and_then(|n| n.parse().ok()).unwrap_or(0))
        }
    }
}
