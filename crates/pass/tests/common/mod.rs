//! A scripted endpoint and a forwarder that sends requests to it.

// Each test uses a part of it.
#![allow(dead_code)]

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex},
    time::{Duration, Instant},
};

use access::{Admitted, KeyHeaders};
use base::{Snapshot, SystemClock};
use bytes::Bytes;
use fleet::{
    Endpoint, EndpointRecord, EndpointState, EndpointTable, Route, RouteKind,
    Selection,
};
use http::{HeaderName, Request, Response};
use http_body_util::BodyExt;
use pomeloslip_pass::{
    Counters, DirectoryView, FairShares, Forwarder, ForwarderOptions,
    HeaderNames, Inbound, Pool, ResponseBody, RunObserver, StreamOrigins,
};
use quarantine::Quarantine;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

/// The reaction of an endpoint to the next request.
#[derive(Clone, Debug)]
pub(crate) enum Act {
    /// Writes these bytes, with `ID` replaced by the request's id, and keeps
    /// the connection open.
    Respond(String),
    /// Writes these bytes and closes the connection.
    RespondAndClose(String),
    /// Closes the connection without writing any bytes.
    Close,
    /// Writes nothing until the client disconnects.
    Silent,
    /// Performs steps, and keeps the connection open.
    Paced(Vec<Step>),
}

/// One step of a response.
#[derive(Clone, Debug)]
pub(crate) enum Step {
    /// Writes these bytes, with `ID` replaced by the request's id.
    Write(String),
    /// Falls silent for a number of milliseconds; ends the response if the
    /// client disconnects meanwhile.
    Pause(u64),
}

/// An endpoint on a loopback port.
pub(crate) struct Scripted {
    pub address: SocketAddr,
    pub requests: Arc<Mutex<Vec<String>>>,
    /// Number of connections that the client closed during a silent act.
    pub disconnects: Arc<Mutex<u32>>,
}

impl Scripted {
    /// Performs the acts in the order in which requests arrive on any
    /// connection; the last act is repeated.
    pub(crate) async fn start(acts: Vec<Act>) -> Self {
        let listener = TcpListener::bind("127.0.0.1:0").await.expect("bind");
        let address = listener.local_addr().expect("address");
        let requests: Arc<Mutex<Vec<String>>> = Arc::default();
        let disconnects: Arc<Mutex<u32>> = Arc::default();
        let (seen, disconnected) = (requests.clone(), disconnects.clone());
        tokio::spawn(async move {
            loop {
                let Ok((stream, _)) = listener.accept().await else {
                    return;
                };
                let (acts, seen) = (acts.clone(), seen.clone());
                tokio::spawn(serve(stream, acts, seen, disconnected.clone()));
            }
        });
        Self {
            address,
            requests,
            disconnects,
        }
    }

    pub(crate) fn seen(&self) -> Vec<String> {
        self.requests.lock().expect("lock").clone()
    }
}

async fn serve(
    mut stream: TcpStream,
    acts: Vec<Act>,
    seen: Arc<Mutex<Vec<String>>>,
    disconnects: Arc<Mutex<u32>>,
) {
    while let Some(request) = read_request(&mut stream).await {
        let id = header(&request, "x-id").unwrap_or_default();
        let number = {
            let mut seen = seen.lock().expect("lock");
            seen.push(request);
            seen.len() - 1
        };
        let act = acts.get(number).or(acts.last()).cloned();
        match act {
            Some(Act::Respond(text)) => {
                let text = text.replace("ID", &id);
                if stream.write_all(text.as_bytes()).await.is_err() {
                    return;
                }
            }
            Some(Act::RespondAndClose(text)) => {
                let text = text.replace("ID", &id);
                let _ = stream.write_all(text.as_bytes()).await;
                return;
            }
            Some(Act::Silent) => {
                let mut byte = [0];
                let _ = stream.read(&mut byte).await;
                *disconnects.lock().expect("lock") += 1;
                return;
            }
            Some(Act::Paced(steps)) => {
                if perform(&mut stream, &steps, &id).await.is_none() {
                    *disconnects.lock().expect("lock") += 1;
                    return;
                }
            }
            Some(Act::Close) | None => return,
        }
    }
}

/// Performs steps; returns `None` if the client disconnects.
async fn perform(
    stream: &mut TcpStream,
    steps: &[Step],
    id: &str,
) -> Option<()> {
    for step in steps {
        match step {
            Step::Write(text) => {
                let text = text.replace("ID", id);
                stream.write_all(text.as_bytes()).await.ok()?;
            }
            Step::Pause(ms) => {
                let mut byte = [0];
                let pause = Duration::from_millis(*ms);
                let read = timeout(pause, stream.read(&mut byte)).await;
                if matches!(read, Ok(Ok(0) | Err(_))) {
                    return None;
                }
            }
        }
    }
    Some(())
}

async fn read_request(stream: &mut TcpStream) -> Option<String> {
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
    Some(head + &String::from_utf8_lossy(&body))
}

/// Returns the value of a header in the text of a request.
pub(crate) fn header(request: &str, name: &str) -> Option<String> {
    request.lines().find_map(|line| {
        let (key, value) = line.split_once(": ")?;
        (key.eq_ignore_ascii_case(name)).then(|| value.trim().to_owned())
    })
}

/// Header names that no platform uses.
pub(crate) fn names() -> HeaderNames {
    let name = HeaderName::from_static;
    HeaderNames {
        request_id: name("x-id"),
        deadline_ms: name("x-deadline"),
        resume_after: name("x-resume"),
        resumes: name("x-resumes"),
        seal: name("x-seal"),
        target: name("x-target"),
        not_executed: name("x-not-run"),
        load: name("x-load"),
        prompt_parts: name("x-prompt"),
        keys: KeyHeaders {
            credential: name("x-key"),
            customer: name("x-customer"),
        },
    }
}

/// A forwarder and the objects that tests inspect.
pub(crate) struct Fixture {
    pub forwarder: Arc<Forwarder>,
    pub counters: Arc<Counters>,
    pub endpoints: Vec<Endpoint>,
    pub view: Arc<Snapshot<DirectoryView>>,
    pub pool: Arc<Pool>,
}

impl Fixture {
    /// Finds the origins of streams in another store.
    pub(crate) fn with_origins(self, origins: Arc<dyn StreamOrigins>) -> Self {
        let forwarder = Arc::into_inner(self.forwarder).expect("not shared");
        Self {
            forwarder: Arc::new(forwarder.with_origins(origins)),
            ..self
        }
    }

    /// Limits customers to their shares; all endpoints belong to the own
    /// share of the node.
    pub(crate) fn with_fair_shares(self) -> Self {
        let clock = Arc::new(SystemClock::new());
        let counters = self.counters.clone();
        let shares = FairShares::new("n1", 1, |_| 0, clock, counters);
        let table = self.view.load().table.clone();
        let selection = Selection::new("n1", &table, |_| true);
        let forwarder = Arc::into_inner(self.forwarder).expect("not shared");
        let forwarder = forwarder
            .with_selection(Arc::new(Snapshot::new(selection)))
            .with_fair_shares(Arc::new(shares));
        Self {
            forwarder: Arc::new(forwarder),
            ..self
        }
    }

    /// Holds requests back that crash endpoints.
    pub(crate) fn with_quarantine(self, quarantine: Quarantine) -> Self {
        let forwarder = Arc::into_inner(self.forwarder).expect("not shared");
        Self {
            forwarder: Arc::new(forwarder.with_quarantine(quarantine)),
            ..self
        }
    }

    /// Reports the outcomes of runs to an observer.
    pub(crate) fn with_run_observer(
        self,
        observer: Arc<dyn RunObserver>,
    ) -> Self {
        let forwarder = Arc::into_inner(self.forwarder).expect("not shared");
        Self {
            forwarder: Arc::new(forwarder.with_run_observer(observer)),
            ..self
        }
    }
}

/// Creates a forwarder to some endpoints; the first is preferred.
pub(crate) fn fixture(addresses: &[SocketAddr]) -> Fixture {
    let usual = |address: &SocketAddr| (*address, "app", "v1");
    fixture_of(&addresses.iter().map(usual).collect::<Vec<_>>())
}

/// Creates a forwarder to endpoints of services and software versions; an
/// empty version is unknown.
pub(crate) fn fixture_of(all: &[(SocketAddr, &str, &str)]) -> Fixture {
    let endpoints: Vec<Endpoint> = all
        .iter()
        .enumerate()
        .map(|(at, (address, service, version))| {
            Endpoint::new(EndpointRecord {
                id: format!("e{at}"),
                started_at: None,
                version: version.parse().ok(),
                address: *address,
                service: (*service).to_owned(),
                failure_domain: match at {
                    0 => "near".to_owned(),
                    _ => "far".to_owned(),
                },
                slots: 4,
                state: EndpointState::Ready,
            })
        })
        .collect();
    let view = DirectoryView {
        table: Arc::new(EndpointTable::new(endpoints.clone())),
        revision: 1,
    };
    let view = Arc::new(Snapshot::new(view));
    let counters = Arc::new(Counters::default());
    let pool = Pool::default().with_request_id(names().request_id);
    let pool = Arc::new(pool);
    let forwarder = Forwarder::new(
        names(),
        ForwarderOptions::default(),
        "near",
        view.clone(),
        pool.clone(),
        Arc::new(SystemClock::new()),
        counters.clone(),
    );
    Fixture {
        forwarder: Arc::new(forwarder),
        counters,
        endpoints,
        view,
        pool,
    }
}

/// Creates a route of a kind with long timeouts and two attempts.
pub(crate) fn route(kind: RouteKind) -> Route {
    Route::new("r", "a.example", "/", "app")
        .with_kind(kind)
        .with_times(5_000, 1_000)
        .with_max_attempts(2)
}

/// Creates a request with an id.
pub(crate) fn request(id: &str, route: Route) -> Inbound {
    request_with(id, route, &[])
}

/// Creates a request that resumes a stream that an earlier attempt began.
pub(crate) fn resuming(
    id: &str,
    route: Route,
    after: &str,
    first: &str,
) -> Inbound {
    request_with(id, route, &[("x-resume", after), ("x-resumes", first)])
}

/// Creates a request with additional headers.
pub(crate) fn request_with(
    id: &str,
    route: Route,
    headers: &[(&str, &str)],
) -> Inbound {
    inbound(id, route, headers, Bytes::from_static(b"the body"))
}

/// Creates a request with a body and the longest deadline.
pub(crate) fn request_with_body(
    id: &str,
    route: Route,
    body: Bytes,
) -> Inbound {
    inbound(id, route, &[("x-deadline", "60000")], body)
}

/// Creates a request of a customer with additional headers.
pub(crate) fn request_of(
    customer: &str,
    id: &str,
    route: Route,
    headers: &[(&str, &str)],
) -> Inbound {
    let body = Bytes::from_static(b"the body");
    inbound_of(customer, id, route, headers, body)
}

fn inbound(
    id: &str,
    route: Route,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Inbound {
    inbound_of("alama", id, route, headers, body)
}

fn inbound_of(
    customer: &str,
    id: &str,
    route: Route,
    headers: &[(&str, &str)],
    body: Bytes,
) -> Inbound {
    let mut builder = Request::builder();
    for (name, value) in headers {
        builder = builder.header(*name, *value);
    }
    let request = builder
        .method("POST")
        .uri("/p/q?x=1&y=%20")
        .header("host", "a.example")
        .header("x-id", id)
        .header("x-deadline", "4000")
        .header("x-other", "kept")
        .header("connection", "keep-alive, x-hop")
        .header("x-hop", "1")
        .body(())
        .expect("request");
    let (parts, ()) = request.into_parts();
    let admitted = Admitted::item(customer.parse().ok());
    let now = Instant::now();
    Inbound::new(parts, body, Arc::new(route), &names(), now, admitted)
}

/// Reads a response to its end: its status, and its body or the error.
pub(crate) async fn read(
    response: Response<ResponseBody>,
) -> (u16, Result<String, String>) {
    let status = response.status().as_u16();
    let body = response.into_body().collect().await;
    let body = body
        .map(|body| String::from_utf8_lossy(&body.to_bytes()).into_owned())
        .map_err(|error| error.to_string());
    (status, body)
}

/// Waits until `condition` returns true.
pub(crate) async fn until(mut condition: impl FnMut() -> bool) {
    let wait = async {
        while !condition() {
            sleep(Duration::from_millis(5)).await;
        }
    };
    timeout(Duration::from_secs(10), wait)
        .await
        .expect("in time");
}

/// Returns a complete, valid response.
pub(crate) fn valid_response(body: &str) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
         content-length: {}\r\n\r\n{body}",
        body.len()
    )
}

/// Returns the response head of a stream.
pub(crate) fn stream_head() -> String {
    "HTTP/1.1 200 OK\r\nx-id: ID\r\nx-seal: s\r\n\
     content-type: text/event-stream\r\ntransfer-encoding: chunked\r\n\r\n"
        .to_owned()
}

/// Returns an HTTP chunk with a text.
pub(crate) fn chunk(text: &str) -> String {
    format!("{:x}\r\n{text}\r\n", text.len())
}
