//! A server of prepared answers and a way to run the binary against it.

#![allow(clippy::unwrap_used, dead_code)]

use std::{
    io::{BufRead, BufReader, Read, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    process::{Command, Output},
    sync::{Arc, Mutex},
    thread,
};

/// A request that the server has received.
#[derive(Clone, Debug)]
pub(crate) struct Received {
    pub(crate) method: String,
    pub(crate) path: String,
    pub(crate) head: String,
    pub(crate) body: String,
}

/// What the server does with a request.
pub(crate) enum Reply {
    /// Answers with a status, extra header lines and a body.
    Answer(u16, &'static str, String),
    /// Closes the connection without an answer.
    Cut,
}

pub(crate) fn json(status: u16, body: serde_json::Value) -> Reply {
    Reply::Answer(status, "", body.to_string())
}

/// Answers on a loopback port until the test ends.
pub(crate) struct Server {
    pub(crate) address: SocketAddr,
    received: Arc<Mutex<Vec<Received>>>,
}

impl Server {
    pub(crate) fn start(
        mut handler: impl FnMut(&Received) -> Reply + Send + 'static,
    ) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").unwrap();
        let address = listener.local_addr().unwrap();
        let received = Arc::new(Mutex::new(Vec::new()));
        let log = received.clone();
        thread::spawn(move || {
            for stream in listener.incoming() {
                let mut stream = stream.unwrap();
                let Some(request) = read(&stream) else {
                    continue;
                };
                log.lock().unwrap().push(request.clone());
                answer(&mut stream, handler(&request));
            }
        });
        Self { address, received }
    }

    /// Runs the binary against this server.
    pub(crate) fn run(&self, args: &[&str]) -> Ran {
        let server = format!("http://{}", self.address);
        let mut all = args.to_vec();
        all.extend(["--server", &server, "--key", "k-1"]);
        run(&all)
    }

    pub(crate) fn received(&self) -> Vec<Received> {
        self.received.lock().unwrap().clone()
    }
}

fn read(stream: &TcpStream) -> Option<Received> {
    let mut reader = BufReader::new(stream);
    let mut head = String::new();
    while !head.ends_with("\r\n\r\n") {
        if reader.read_line(&mut head).ok()? == 0 {
            return None;
        }
    }
    let length = head
        .lines()
        .filter_map(|line| line.split_once(": "))
        .find(|(name, _)| name.eq_ignore_ascii_case("content-length"))
        .map_or(0, |(_, value)| value.parse().unwrap());
    let mut body = vec![0; length];
    reader.read_exact(&mut body).ok()?;
    let mut first = head.split(' ');
    Some(Received {
        method: first.next()?.to_owned(),
        path: first.next()?.to_owned(),
        body: String::from_utf8(body).unwrap(),
        head,
    })
}

fn answer(stream: &mut TcpStream, reply: Reply) {
    if let Reply::Answer(status, headers, body) = reply {
        let length = body.len();
        let head = format!(
            "HTTP/1.1 {status} X\r\nConnection: close\r\n\
             Content-Length: {length}\r\n{headers}\r\n"
        );
        stream.write_all((head + &body).as_bytes()).unwrap();
    }
}

/// How a run of the binary ended.
#[derive(Debug)]
pub(crate) struct Ran {
    pub(crate) status: i32,
    pub(crate) stdout: String,
    pub(crate) stderr: String,
}

impl From<Output> for Ran {
    fn from(output: Output) -> Self {
        Self {
            status: output.status.code().unwrap(),
            stdout: String::from_utf8(output.stdout).unwrap(),
            stderr: String::from_utf8(output.stderr).unwrap(),
        }
    }
}

/// Runs the binary without a server in its environment.
pub(crate) fn run(args: &[&str]) -> Ran {
    Command::new(env!("CARGO_BIN_EXE_pomeloslip"))
        .args(args)
        .env_remove("POMELOSLIP_SERVER")
        .env_remove("POMELOSLIP_KEY")
        .output()
        .unwrap()
        .into()
}
