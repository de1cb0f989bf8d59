//! Responses that break off in their head, as readers of this crate see them.

mod common;
#[path = "common/cut_server.rs"]
mod cut_server;

use bytes::Bytes;
use common::{
    Fixture, chunk, fixture, read, request, route, stream_head, until,
    valid_response,
};
use cut_server::{
    BreakOff, Connection, CutResponse, CutServer, cut_responses, each_end,
};
use fleet::{Endpoint, RouteKind};
use http::{Request, header::HOST};
use pomeloslip_pass::{CallOutcome, Pool};
use yare::parameterized;

const ANSWER: &str = "id: 1\ndata: sound\n\n";

/// A connection that is returned to the pool may not be ready yet, so that the
/// next request opens another one; number of times that a test tries anew.
const MAX_TRIES: usize = 200;

/// Returns the responses to the request `r1`.
fn responses() -> Vec<CutResponse> {
    cut_responses("x-id: r1\r\nx-seal: 3e1b.07\r\n")
}

/// What the caller of a front gets.
#[derive(Debug)]
struct Outcome {
    status: u16,
    body: Result<String, String>,
    /// Number of requests at the other, sound endpoint.
    elsewhere: usize,
}

/// An endpoint that breaks off, and a sound one.
struct Endpoints {
    kind: RouteKind,
    connection: Connection,
    broken: CutServer,
    sound: CutServer,
}

impl Endpoints {
    async fn start(kind: RouteKind, connection: Connection) -> Self {
        let whole = valid_response(ANSWER).replace("ID", "r1");
        let sound = CutServer::start().await;
        sound.break_off(whole.as_bytes(), BreakOff::Close);
        Self {
            kind,
            connection,
            broken: CutServer::start().await,
            sound,
        }
    }

    /// Forwards a request to the endpoint that breaks off after some bytes.
    async fn forward(&self, bytes: &[u8], break_off: BreakOff) -> Outcome {
        self.broken.break_off(bytes, break_off);
        for _ in 0..MAX_TRIES {
            let setup = fixture(&[self.broken.address, self.sound.address]);
            if self.connection == Connection::Kept {
                self.keep_connection(&setup).await;
            }
            self.broken.take_requests();
            self.sound.take_requests();
            let request = request("r1", route(self.kind));
            let answer = setup.forwarder.forward(request, 1).await;
            let (status, body) = read(answer).await;
            let sent = self.broken.take_requests();
            assert_eq!(sent.len(), 1, "sent once");
            if (sent[0] > 1) == (self.connection == Connection::Kept) {
                let elsewhere = self.sound.take_requests().len();
                return Outcome {
                    status,
                    body,
                    elsewhere,
                };
            }
        }
        panic!("no connection was kept");
    }

    async fn keep_connection(&self, setup: &Fixture) {
        let response = valid_response(ANSWER).replace("ID", "r0");
        self.broken.complete_next(response);
        let first = request("r0", route(self.kind));
        let first = read(setup.forwarder.forward(first, 1).await).await;
        assert_eq!(first, (200, Ok(ANSWER.to_owned())));
        until(|| setup.endpoints[0].in_flight() == 0).await;
    }
}

/// Guards against a success with an empty or short body that looks complete:
/// an endpoint breaks off inside the head of its response.
#[parameterized(
    at_most_once = { RouteKind::AtMostOnce, false },
    stream = { RouteKind::Stream, false },
    idempotent = { RouteKind::Idempotent, true },
    resumable = { RouteKind::ResumableStream, true },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_cut_head_is_no_answer(kind: RouteKind, may_repeat: bool) {
    each_end(responses(), |response, connection, break_off| async move {
        let endpoints = Endpoints::start(kind, connection).await;
        for cut in 0..response.head.len() {
            let bytes = &response.head.as_bytes()[..cut];
            let outcome = endpoints.forward(bytes, break_off).await;
            let name = &response.name;
            let case = format!("{name}, {break_off:?}, {cut}: {outcome:?}");
            if may_repeat {
                assert_eq!(outcome.status, 200, "{case}");
                assert_eq!(outcome.body.as_deref(), Ok(ANSWER), "{case}");
            } else {
                assert_eq!(outcome.status, 502, "{case}");
            }
            assert_eq!(outcome.elsewhere, usize::from(may_repeat), "{case}");
        }
    })
    .await;
}

/// Guards against an empty body that looks complete: an endpoint breaks off
/// right after the head of its response.
#[parameterized(
    at_most_once = { RouteKind::AtMostOnce },
    idempotent = { RouteKind::Idempotent },
    stream = { RouteKind::Stream },
    resumable = { RouteKind::ResumableStream },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_head_without_its_body_is_incomplete(kind: RouteKind) {
    each_end(responses(), |response, connection, break_off| async move {
        let endpoints = Endpoints::start(kind, connection).await;
        let bytes = response.head.as_bytes();
        let outcome = endpoints.forward(bytes, break_off).await;
        let name = &response.name;
        let case = format!("{name}, {break_off:?}: {outcome:?}");
        let body = outcome.body.as_deref();
        if kind == RouteKind::ResumableStream {
            assert_eq!((body, outcome.elsewhere), (Ok(ANSWER), 1), "{case}");
            return;
        }
        assert_eq!(outcome.elsewhere, 0, "{case}");
        // A response may have no length and end with its connection, but not
        // with a reset.
        let is_close = break_off == BreakOff::Close;
        if response.is_whole_if_empty && is_close {
            assert_eq!(body, Ok(""), "{case}");
        } else {
            assert!(body.is_err() || outcome.status == 502, "{case}");
        }
    })
    .await;
}

/// Guards against a stream that ends early and looks complete: the endpoint
/// at which it goes on breaks off inside the head of its response.
#[tokio::test(flavor = "multi_thread", worker_threads = 4)]
async fn a_cut_head_does_not_end_a_resumed_stream() {
    each_end(responses(), |response, connection, break_off| async move {
        // The first endpoint breaks off as well, so that none is kept.
        if connection == Connection::Kept {
            return;
        }
        let first = CutServer::start().await;
        let part = stream_head() + &chunk("id: 1\ndata: a\n\n");
        let part = part.replace("ID", "r1");
        first.break_off(part.as_bytes(), BreakOff::Close);
        let next = CutServer::start().await;
        // Whether a whole head without a length and a body ends a stream is
        // tested with complete responses.
        let is_open = response.name.contains("until close");
        let is_end = is_open && break_off == BreakOff::Close;
        let cuts = response.head.len() + usize::from(!is_end);
        for cut in 0..cuts {
            next.break_off(&response.head.as_bytes()[..cut], break_off);
            let setup = fixture(&[first.address, next.address]);
            let request = request("r1", route(RouteKind::ResumableStream));
            let answer = setup.forwarder.forward(request, 1).await;
            let (status, body) = read(answer).await;
            let name = &response.name;
            let case = format!("{name}, {break_off:?}, {cut}: {body:?}");
            assert_eq!(status, 200, "{case}");
            assert!(body.is_err(), "{case}");
            assert_eq!(next.take_requests(), [1], "{case}");
        }
    })
    .await;
}

/// How a node reads the answer of a server.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Reader {
    Call,
    CallServer,
    Fetch,
}

impl Reader {
    /// Returns the body of the answer; a request that counts as not sent fails
    /// the test.
    async fn read(self, pool: &Pool, server: &Endpoint) -> Option<Bytes> {
        let host = server.record().address.to_string();
        let call = Request::get("/state").header(HOST, host);
        let call = call.body(Bytes::new()).expect("a request");
        let outcome = match self {
            Reader::Call => pool.call(server, call, 1_000).await,
            Reader::CallServer => pool.call_server(server, call, 1_000).await,
            Reader::Fetch => return pool.fetch(server, call, 1_000).await,
        };
        match outcome {
            CallOutcome::Answered(_, body) => Some(body),
            CallOutcome::Broken => None,
            CallOutcome::NotSent => panic!("the request was read"),
        }
    }

    /// Calls a server that breaks off after some bytes.
    async fn read_part(
        self,
        server: &CutServer,
        connection: Connection,
        bytes: &[u8],
        break_off: BreakOff,
    ) -> Option<Bytes> {
        server.break_off(bytes, break_off);
        for _ in 0..MAX_TRIES {
            let setup = fixture(&[server.address]);
            let endpoint = &setup.endpoints[0];
            if connection == Connection::Kept {
                let first = "HTTP/1.1 200 OK\r\ncontent-length: 2\r\n\r\nok";
                server.complete_next(first.to_owned());
                let answer = self.read(&setup.pool, endpoint).await;
                assert_eq!(answer.as_deref(), Some(&b"ok"[..]));
            }
            server.take_requests();
            let answer = self.read(&setup.pool, endpoint).await;
            let sent = server.take_requests();
            assert_eq!(sent.len(), 1, "sent once");
            if (sent[0] > 1) == (connection == Connection::Kept) {
                return answer;
            }
        }
        panic!("no connection was kept");
    }
}

/// Guards against an answer of another node, or of the key-value service, that
/// is used although its server broke off inside or right after its head.
#[parameterized(
    call = { Reader::Call },
    call_server = { Reader::CallServer },
    fetch = { Reader::Fetch },
)]
#[test_macro(tokio::test(flavor = "multi_thread", worker_threads = 4))]
async fn a_cut_head_is_no_answer_to_a_call(reader: Reader) {
    let responses = cut_responses("x-other: 1\r\n");
    each_end(responses, |response, connection, break_off| async move {
        let server = CutServer::start().await;
        for cut in 0..=response.head.len() {
            let bytes = &response.head.as_bytes()[..cut];
            let answer = reader
                .read_part(&server, connection, bytes, break_off)
                .await;
            let is_whole = reader == Reader::CallServer
                && response.is_whole_if_empty
                && cut == response.head.len()
                && break_off == BreakOff::Close;
            let want = is_whole.then(Bytes::new);
            let name = &response.name;
            assert_eq!(answer, want, "{name}, {break_off:?}, {cut}");
        }
    })
    .await;
}
