//! An engine that runs each call and answers with a status of its own.

use std::{
    net::SocketAddr,
    sync::{
        Arc,
        atomic::{AtomicU32, Ordering},
    },
};

use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
};

/// Text in each response, which callers must not get.
pub(crate) const ENGINE_TEXT: &str = "said by the engine";

/// What an engine sends after it ran a call.
#[derive(Clone, Debug)]
pub(crate) struct Reply {
    pub(crate) status: u16,
    pub(crate) headers: String,
}

impl Reply {
    pub(crate) fn status(status: u16) -> Self {
        let headers = String::new();
        Self { status, headers }
    }
}

/// An engine that counts the calls that it ran.
pub(crate) struct StatusEngine {
    pub(crate) address: SocketAddr,
    runs: Arc<AtomicU32>,
}

impl StatusEngine {
    pub(crate) async fn start(reply: Reply) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.unwrap();
        let address = listener.local_addr().unwrap();
        let runs = Arc::new(AtomicU32::new(0));
        let counted = runs.clone();
        tokio::spawn(async move {
            while let Ok((stream, _)) = listener.accept().await {
                tokio::spawn(serve(stream, counted.clone(), reply.clone()));
            }
        });
        Self { address, runs }
    }

    pub(crate) fn url(&self) -> String {
        format!("http://{}", self.address)
    }

    pub(crate) fn runs(&self) -> u32 {
        self.runs.load(Ordering::SeqCst)
    }
}

async fn serve(mut stream: TcpStream, runs: Arc<AtomicU32>, reply: Reply) {
    while let Some(request) = read_request(&mut stream).await {
        let head = match request.starts_with("GET /health") {
            true => "HTTP/1.1 200 OK\r\n".to_owned(),
            false => {
                runs.fetch_add(1, Ordering::SeqCst);
                let Reply { status, headers } = &reply;
                format!("HTTP/1.1 {status} X\r\n{headers}")
            }
        };
        let body = format!("{{\"text\": \"{ENGINE_TEXT}\"}}");
        let reply = format!(
            "{head}content-type: application/json\r\n\
             content-length: {}\r\n\r\n{body}",
            body.len()
        );
        if stream.write_all(reply.as_bytes()).await.is_err() {
            return;
        }
    }
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
    let mut request = Vec::new();
    loop {
        request.push(stream.read_u8().await.ok()?);
        let text = String::from_utf8_lossy(&request);
        let Some((head, body)) = text.split_once("\r\n\r\n") else {
            continue;
        };
        let head = head.to_lowercase();
        let length = head.lines().find_map(|line| {
            line.strip_prefix("content-length:")?.trim().parse().ok()
        });
        if body.len() >= length.unwrap_or(0) {
            return Some(text.into_owned());
        }
    }
}
