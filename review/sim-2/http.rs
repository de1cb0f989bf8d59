//! HTTP/1.1 over blocking sockets: one thread a connection.

use std::{
    io::{self, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::Arc,
    thread,
    time::{Duration, Instant},
};

/// A request that has arrived.
#[derive(Clone, Debug)]
pub struct Request {
    pub method: String,
    pub path: String,
    pub query: String,
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Request {
    pub fn header(&self, name: &str) -> &str {
        header(&self.headers, name)
    }

    /// Returns a value of the query, decoded.
    pub fn query(&self, name: &str) -> String {
        let pair = self.query.split('&').find_map(|pair| {
            let (key, value) = pair.split_once('=')?;
            (key == name).then(|| decode_percent(value))
        });
        pair.unwrap_or_default()
    }
}

fn header<'a>(headers: &'a [(String, String)], name: &str) -> &'a str {
    let found = headers.iter().find(|(key, _)| key == name);
    found.map_or("", |(_, value)| value)
}

fn decode_percent(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let hex = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3));
        let byte =
            hex.flatten().and_then(|hex| u8::from_str_radix(hex, 16).ok());
        decoded.push(byte.unwrap_or(bytes[at]));
        at += if byte.is_some() { 3 } else { 1 };
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Reads bytes up to the end of a head.
fn read_head(stream: &mut TcpStream) -> io::Result<Option<String>> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n\r\n") {
        if stream.read(&mut byte)? == 0 {
            return Ok(None);
        }
        bytes.push(byte[0]);
    }
    Ok(Some(String::from_utf8_lossy(&bytes).into_owned()))
}

fn parse_headers(head: &str) -> Vec<(String, String)> {
    let lines = head.lines().skip(1);
    let pairs = lines.filter_map(|line| line.split_once(':'));
    pairs
        .map(|(k, v)| (k.trim().to_ascii_lowercase(), v.trim().to_owned()))
        .collect()
}

fn read_body(
    stream: &mut TcpStream,
    headers: &[(String, String)],
) -> io::Result<Vec<u8>> {
    if header(headers, "transfer-encoding").contains("chunked") {
        let mut body = Vec::new();
        loop {
            let size = read_line(stream)?;
            let size = usize::from_str_radix(size.trim(), 16)
                .map_err(|_| io::Error::other("chunk size"))?;
            let mut chunk = vec![0; size];
            stream.read_exact(&mut chunk)?;
            read_line(stream)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend(chunk);
        }
    }
    let length = header(headers, "content-length").parse().unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body)?;
    Ok(body)
}

fn read_line(stream: &mut TcpStream) -> io::Result<String> {
    let mut bytes = Vec::new();
    let mut byte = [0; 1];
    while !bytes.ends_with(b"\r\n") {
        stream.read_exact(&mut byte)?;
        bytes.push(byte[0]);
    }
    Ok(String::from_utf8_lossy(&bytes).into_owned())
}

/// Reads the next request of a connection; `None` at its end.
pub fn read_request(stream: &mut TcpStream) -> io::Result<Option<Request>> {
    let Some(head) = read_head(stream)? else {
        return Ok(None);
    };
    let headers = parse_headers(&head);
    let mut words = head.split(' ');
    let method = words.next().unwrap_or_default().to_owned();
    let target = words.next().unwrap_or_default();
    let (path, query) = target.split_once('?').unwrap_or((target, ""));
    let body = read_body(stream, &headers)?;
    Ok(Some(Request {
        method,
        path: path.to_owned(),
        query: query.to_owned(),
        headers,
        body,
    }))
}

/// What a handler has done with a connection.
pub enum Done {
    /// The response is written and the connection stays open.
    Kept,
    /// The connection is to be closed.
    Close,
}

/// Serves the connections of a listener, each in a thread.
pub fn serve(
    listener: TcpListener,
    handler: impl Fn(Request, &mut TcpStream) -> io::Result<Done>
    + Send
    + Sync
    + 'static,
) {
    let handler = Arc::new(handler);
    thread::spawn(move || {
        for stream in listener.incoming() {
            let Ok(mut stream) = stream else { continue };
            let handler = handler.clone();
            thread::spawn(move || {
                let _ = stream.set_nodelay(true);
                while let Ok(Some(request)) = read_request(&mut stream) {
                    match handler(request, &mut stream) {
                        Ok(Done::Kept) => {}
                        _ => return,
                    }
                }
            });
        }
    });
}

/// Writes a response with a length.
pub fn respond(
    stream: &mut TcpStream,
    status: u16,
    headers: &str,
    body: &[u8],
) -> io::Result<Done> {
    let mut bytes = format!(
        "HTTP/1.1 {status} X\r\ncontent-length: {}\r\n{headers}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    Ok(Done::Kept)
}

/// The response to a call of a client.
#[derive(Clone, Debug)]
pub struct Response {
    pub status: u16,
    pub body: Vec<u8>,
}

/// Makes a call on a new connection. An error means that no complete response
/// has arrived in time.
pub fn call(
    address: SocketAddr,
    method: &str,
    target: &str,
    headers: &str,
    body: &[u8],
    timeout: Duration,
) -> io::Result<Response> {
    let started = Instant::now();
    let mut stream =
        TcpStream::connect_timeout(&address, Duration::from_secs(1))?;
    stream.set_nodelay(true)?;
    let left = timeout.saturating_sub(started.elapsed());
    stream.set_read_timeout(Some(left.max(Duration::from_millis(1))))?;
    let mut bytes = format!(
        "{method} {target} HTTP/1.1\r\nhost: a.example\r\n\
         content-length: {}\r\nconnection: close\r\n{headers}\r\n",
        body.len()
    )
    .into_bytes();
    bytes.extend_from_slice(body);
    stream.write_all(&bytes)?;
    let head = read_head(&mut stream)?;
    let head = head.ok_or_else(|| io::Error::other("closed"))?;
    let headers = parse_headers(&head);
    let status = head.split(' ').nth(1).and_then(|s| s.parse().ok());
    let body = read_body(&mut stream, &headers)?;
    Ok(Response {
        status: status.ok_or_else(|| io::Error::other("status"))?,
        body,
    })
}
