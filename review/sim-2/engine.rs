//! A stand-in of a replica that generates streams of events.

use std::{
    io::{self, Write},
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{self, Done, Request, respond},
    record::Record,
};

/// How an engine answers.
#[derive(Clone, Copy)]
pub struct Pace {
    /// Number of events of a stream.
    pub events: u64,
    /// Time before the first event of a run, for which the request waits in
    /// the engine's queue.
    pub first: Duration,
    /// Time between two events.
    pub gap: Duration,
}

pub struct Shared {
    id: String,
    pace: Pace,
    running: AtomicU64,
    record: Record,
}

/// An engine; clones share it.
#[derive(Clone)]
pub struct Engine {
    pub shared: Arc<Shared>,
    pub address: SocketAddr,
    pub service: &'static str,
    pub zone: &'static str,
}

/// Number of requests that an engine runs at once.
pub const SLOTS: u64 = 8;

impl Engine {
    /// Starts an engine of a service in a zone.
    pub fn start(
        id: &str,
        service: &'static str,
        zone: &'static str,
        pace: Pace,
        record: &Record,
    ) -> io::Result<Self> {
        let listener = TcpListener::bind("127.0.0.1:0")?;
        let address = listener.local_addr()?;
        let shared = Arc::new(Shared {
            id: id.to_owned(),
            pace,
            running: AtomicU64::new(0),
            record: record.clone(),
        });
        let serving = shared.clone();
        http::serve(listener, move |request, stream| {
            serving.handle(request, stream)
        });
        Ok(Self {
            shared,
            address,
            service,
            zone,
        })
    }

    /// Returns the key of the engine's entry in the store.
    pub fn key(&self) -> String {
        format!("servers/{}", self.shared.id)
    }

    /// Returns the number of requests that the engine has now.
    pub fn running(&self) -> u64 {
        self.shared.running.load(Ordering::Relaxed)
    }

    /// Returns the engine's entry in the store.
    pub fn entry(&self, seq: u64) -> String {
        format!(
            "{{\"service\":\"{}\",\"address\":\"{}\",\"zone\":\"{}\",\
             \"version\":\"v1\",\"slots\":{SLOTS},\"state\":\"ready\",\
             \"cold_left_ms\":0,\"stage\":\"hybrid\",\"models\":[{{\
             \"name\":\"m\",\"version\":1,\"adapters\":[]}}],\
             \"seq\":{seq}}}",
            self.service, self.address, self.zone
        )
    }
}

impl Shared {
    fn load(&self) -> String {
        let running = self.running.load(Ordering::Relaxed);
        format!("x-pomeloslip-replica-load: {running},0,{SLOTS}\r\n")
    }

    fn handle(
        &self,
        request: Request,
        stream: &mut TcpStream,
    ) -> io::Result<Done> {
        if request.method == "GET" {
            return self.status(&request, stream);
        }
        let id = request.header("x-pomeloslip-attempt-id").to_owned();
        let head = format!(
            "x-pomeloslip-attempt-id: {id}\r\n{}",
            self.load()
        );
        let target = request.header("x-pomeloslip-target-replica");
        if !target.is_empty() && target != self.id {
            let head = format!("{head}x-pomeloslip-not-executed: 1\r\n");
            return respond(stream, 421, &head, b"");
        }
        if self.running.load(Ordering::Relaxed) >= SLOTS {
            let head = format!("{head}x-pomeloslip-not-executed: 1\r\n");
            return respond(stream, 503, &head, b"");
        }
        self.running.fetch_add(1, Ordering::Relaxed);
        let result = self.run(&request, &id, &head, stream);
        self.running.fetch_sub(1, Ordering::Relaxed);
        result
    }

    fn status(
        &self,
        request: &Request,
        stream: &mut TcpStream,
    ) -> io::Result<Done> {
        let running = self.running.load(Ordering::Relaxed);
        let json = "content-type: application/json\r\n";
        match request.path.as_str() {
            "/-/report" => respond(
                stream,
                200,
                json,
                format!(
                    "{{\"stage\":\"hybrid\",\"models\":[{{\"name\":\"m\",\
                     \"version\":1,\"adapters\":[]}}],\"busy\":false,\
                     \"seq\":0,\"queue_depth\":0,\"in_flight\":{running},\
                     \"kv_used\":0,\"kv_total\":90000,\"handles\":0}}"
                )
                .as_bytes(),
            ),
            _ => {
                let head = format!(
                    "x-pomeloslip-replica-id: {}\r\n{}",
                    self.id,
                    self.load()
                );
                respond(stream, 200, &head, b"ok")
            }
        }
    }

    fn run(
        &self,
        request: &Request,
        id: &str,
        head: &str,
        stream: &mut TcpStream,
    ) -> io::Result<Done> {
        let after: u64 =
            request.header("last-event-id").parse().unwrap_or(0);
        self.record.line(&format!(
            "engine {}: gets {id} ({} {}, {} bytes) after event {after}",
            self.id,
            request.method,
            request.path,
            request.body.len()
        ));
        let mut head = format!(
            "HTTP/1.1 200 OK\r\ncontent-type: text/event-stream\r\n\
             transfer-encoding: chunked\r\n\
             x-pomeloslip-response-seal: seal-{id}\r\n{head}\r\n"
        );
        for event in after + 1..=self.pace.events {
            let wait = match event == after + 1 {
                true => self.pace.first,
                false => self.pace.gap,
            };
            if is_closed_within(stream, wait) {
                self.record.line(&format!(
                    "engine {}: {id} is dropped before event {event}",
                    self.id
                ));
                return Ok(Done::Close);
            }
            let data = format!("id: {event}\ndata: {id}-{event}\n\n");
            let chunk = format!("{:x}\r\n{data}\r\n", data.len());
            stream.write_all(format!("{head}{chunk}").as_bytes())?;
            head.clear();
        }
        stream.write_all(format!("{head}0\r\n\r\n").as_bytes())?;
        self.record
            .line(&format!("engine {}: {id} is complete", self.id));
        Ok(Done::Kept)
    }
}

/// Waits, and reports whether the other side has closed the connection.
fn is_closed_within(stream: &mut TcpStream, time: Duration) -> bool {
    let until = Instant::now() + time;
    let mut byte = [0; 1];
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if left < Duration::from_millis(1) {
            let _ = stream.set_read_timeout(None);
            return false;
        }
        if stream.set_read_timeout(Some(left)).is_err() {
            return true;
        }
        match stream.peek(&mut byte) {
            Ok(0) => return true,
            Ok(_) => thread::sleep(left),
            Err(error)
                if matches!(
                    error.kind(),
                    io::ErrorKind::WouldBlock | io::ErrorKind::TimedOut
                ) => {}
            Err(_) => return true,
        }
    }
}

