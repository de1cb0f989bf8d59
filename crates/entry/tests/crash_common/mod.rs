//! An engine that a call can crash and that restarts.
#![allow(dead_code)]

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicUsize, Ordering},
    },
    time::Duration,
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    sync::watch,
    task::JoinSet,
    time::sleep,
};

/// Time between a crash and the restart.
const RESTART_DELAY: Duration = Duration::from_millis(200);

/// Time between the head of a response and the crash.
const CRASH_DELAY: Duration = Duration::from_millis(30);

/// Time between two events of a response.
const EVENT_INTERVAL: Duration = Duration::from_millis(10);

/// Responds to each chat with events; a body with `[[crash]]` crashes the
/// engine with all of its connections.
pub(crate) struct CrashableEngine {
    crashes: Arc<AtomicUsize>,
    crash: watch::Sender<u64>,
}

impl CrashableEngine {
    pub(crate) async fn start(address: SocketAddr) -> Self {
        let crashes: Arc<AtomicUsize> = Arc::default();
        let (crash, mut crashed) = watch::channel(0_u64);
        let engine = Self {
            crashes: crashes.clone(),
            crash: crash.clone(),
        };
        let mut listener = TcpListener::bind(address).await.unwrap();
        tokio::spawn(async move {
            loop {
                let mut connections = JoinSet::new();
                loop {
                    tokio::select! {
                        _ = crashed.changed() => break,
                        Ok((stream, _)) = listener.accept() => {
                            connections.spawn(serve(stream, crash.clone()));
                        }
                    }
                }
                crashes.fetch_add(1, Ordering::SeqCst);
                drop(listener);
                drop(connections);
                sleep(RESTART_DELAY).await;
                listener = listen(address).await;
            }
        });
        engine
    }

    /// Crashes the engine, whatever it is running.
    pub(crate) fn crash(&self) {
        self.crash.send_modify(|count| *count += 1);
    }

    /// Returns the number of crashes.
    pub(crate) fn crashes(&self) -> usize {
        self.crashes.load(Ordering::SeqCst)
    }
}

async fn listen(address: SocketAddr) -> TcpListener {
    loop {
        match TcpListener::bind(address).await {
            Ok(listener) => return listener,
            Err(_) => sleep(EVENT_INTERVAL).await,
        }
    }
}

async fn serve(mut stream: TcpStream, crash: watch::Sender<u64>) {
    while let Some((head, body)) = read_message(&mut stream).await {
        let is_call = head.starts_with("POST ");
        let kind = match body.contains("\"stream\":true") {
            true => "text/event-stream",
            false => "application/json",
        };
        let head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: {kind}\r\n\
             transfer-encoding: chunked\r\n\r\n"
        );
        if stream.write_all(head.as_bytes()).await.is_err() {
            return;
        }
        if body.contains("[[crash]]") {
            sleep(CRASH_DELAY).await;
            crash.send_modify(|count| *count += 1);
            return std::future::pending().await;
        }
        let parts = match (is_call, kind) {
            (true, "text/event-stream") => events(),
            _ => vec!["{\"status\":\"ok\"}".to_owned()],
        };
        for part in parts {
            let chunk = format!("{:x}\r\n{part}\r\n", part.len());
            if stream.write_all(chunk.as_bytes()).await.is_err() {
                return;
            }
            sleep(EVENT_INTERVAL).await;
        }
        if stream.write_all(b"0\r\n\r\n").await.is_err() {
            return;
        }
    }
}

/// Number of content events of a response.
const CONTENT_EVENTS: usize = 30;

fn events() -> Vec<String> {
    let event = |text: &str| {
        format!(
            "data: {{\"id\":\"c\",\"created\":1,\"choices\":[{{\"index\":0,\
             \"delta\":{{\"content\":\"{text}\"}}}}]}}\n\n"
        )
    };
    let mut events: Vec<String> = (0..CONTENT_EVENTS)
        .map(|at| event(&format!("t{at} ")))
        .collect();
    events.push("data: [DONE]\n\n".to_owned());
    events
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
    let length = head.lines().find_map(|line| {
        let (name, value) = line.split_once(':')?;
        let is_length = name.eq_ignore_ascii_case("content-length");
        is_length.then(|| value.trim().to_owned())
    });
    let length = length.and_then(|text| text.parse().ok()).unwrap_or(0);
    let mut body = vec![0; length];
    stream.read_exact(&mut body).await.ok()?;
    Some((head, String::from_utf8_lossy(&body).into_owned()))
}
