//! The calls, and what their callers learn.

use std::{net::SocketAddr, time::Duration};

use error_stack::{Report, ResultExt};
use load::{Decoder, Event};
use pomeloslip_bench::BenchError;
use reqwest::{Client, RequestBuilder, Response};
use serde_json::{Value, json};
use standin::{answer, service::PlainAnswer};

use crate::world::{KEY, MODEL, SERVICE};

/// Time after which a call counts as neither answered nor refused: the
/// deadline of the rules and a wide margin for a busy machine.
const LIMIT: Duration = Duration::from_secs(60);

/// Calls of which one reads its stream slowly, if any does.
const SLOW_EVERY: u64 = 4;

/// What a call is.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub(crate) enum Kind {
    /// May not be repeated and carries no key.
    Plain,
    /// May not be repeated and carries a key.
    Keyed,
    /// A chat with its answer in one piece.
    Chat,
    /// A chat with its answer as a stream.
    Stream,
}

impl Kind {
    pub(crate) fn of(number: u64) -> Self {
        match number % 6 {
            0 => Kind::Plain,
            3 => Kind::Keyed,
            1 | 4 => Kind::Chat,
            _ => Kind::Stream,
        }
    }

    pub(crate) fn name(self) -> &'static str {
        match self {
            Kind::Plain => "not repeatable",
            Kind::Keyed => "not repeatable, key",
            Kind::Chat => "chat",
            Kind::Stream => "chat, stream",
        }
    }
}

/// What a caller learns of one send.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Ord, PartialOrd)]
pub(crate) enum Learned {
    /// The right answer, whole.
    Right,
    /// Refused: it did not run.
    NotRun,
    /// It may have run.
    Unknown,
    /// The answer broke off, and the caller can tell.
    BrokenOff,
    /// An answer that is not that of this call.
    Wrong,
    /// Half an answer that looks whole.
    Half,
    /// Neither an answer nor a refusal came in time.
    Nothing,
    /// A refusal that does not say whether the call ran.
    Unsaid,
}

/// Sends calls, one after the other.
pub(crate) struct Sender {
    client: Client,
    tokens: u32,
    pause: Duration,
}

/// What came back for one send.
pub(crate) struct Reply {
    pub(crate) learned: Learned,
    pub(crate) detail: String,
}

impl Reply {
    fn new(learned: Learned, detail: impl Into<String>) -> Self {
        Self {
            learned,
            detail: detail.into(),
        }
    }
}

impl Sender {
    /// Asks for answers of so many tokens; some readers of streams pause
    /// after each piece.
    pub(crate) fn try_new(
        tokens: u32,
        pause: Duration,
    ) -> Result<Self, Report<BenchError>> {
        let client = Client::builder().timeout(LIMIT).build();
        let client = client.change_context(BenchError::Call)?;
        Ok(Self {
            client,
            tokens,
            pause,
        })
    }

    pub(crate) async fn send(
        &self,
        entry: SocketAddr,
        number: u64,
        id: &str,
        kind: Kind,
    ) -> Reply {
        let base = format!("http://{entry}");
        match kind {
            Kind::Plain | Kind::Keyed => {
                let path = format!("/rebook/{number}");
                let body = format!("seat of {id} [[slow {}]]", number % 200);
                let url = format!("{base}/svc/{SERVICE}{path}");
                let mut call = self.client.post(url).body(body.clone());
                if kind == Kind::Keyed {
                    call = call.header("Idempotency-Key", id);
                }
                let call = call.header("X-Call-Id", id);
                let expected = PlainAnswer::of("POST", &path, body.as_bytes());
                learn(call, async |reply| plain(reply, &expected).await).await
            }
            Kind::Chat | Kind::Stream => {
                let stream = kind == Kind::Stream;
                let messages = json!([{"role": "user", "content": id}]);
                let prompt = answer::prompt_of_chat(&messages);
                let expected = answer::text(MODEL, &prompt, self.tokens);
                let body = json!({
                    "model": MODEL,
                    "messages": messages,
                    "max_tokens": self.tokens,
                    "stream": stream,
                });
                let url = format!("{base}/v1/chat/completions");
                let call = self.client.post(url).json(&body);
                let pause = match number % SLOW_EVERY {
                    0 => self.pause,
                    _ => Duration::ZERO,
                };
                learn(call, async |reply| match stream {
                    true => events(reply, &expected, pause).await,
                    false => chat(reply, &expected).await,
                })
                .await
            }
        }
    }
}

async fn learn(
    call: RequestBuilder,
    read: impl AsyncFnOnce(Response) -> Reply,
) -> Reply {
    match call.bearer_auth(KEY).send().await {
        Ok(reply) if reply.status().is_success() => read(reply).await,
        Ok(reply) => refusal(reply).await,
        // The caller's own connection to the entry has no faults.
        Err(error) => broken(&error),
    }
}

fn broken(error: &reqwest::Error) -> Reply {
    let learned = match error {
        error if error.is_connect() => Learned::NotRun,
        error if error.is_timeout() => Learned::Nothing,
        _ => Learned::BrokenOff,
    };
    Reply::new(learned, format!("{error:?}"))
}

async fn refusal(reply: Response) -> Reply {
    let status = reply.status();
    let problem: Value = match reply.json().await {
        Ok(problem) => problem,
        Err(error) => return broken(&error),
    };
    let learned = match problem["ran"].as_str() {
        Some("no") => Learned::NotRun,
        Some("unknown") => Learned::Unknown,
        _ => Learned::Unsaid,
    };
    Reply::new(learned, format!("{status}: {problem}"))
}

async fn chat(reply: Response, expected: &str) -> Reply {
    let bytes = match reply.bytes().await {
        Ok(bytes) => bytes,
        Err(error) => return broken(&error),
    };
    let Ok(json) = serde_json::from_slice::<Value>(&bytes) else {
        let text = String::from_utf8_lossy(&bytes);
        return Reply::new(Learned::Half, text);
    };
    let found = &json["choices"][0]["message"]["content"];
    match found.as_str() == Some(expected) {
        true => Reply::new(Learned::Right, ""),
        false => Reply::new(Learned::Wrong, json.to_string()),
    }
}

async fn events(
    mut reply: Response,
    expected: &str,
    pause: Duration,
) -> Reply {
    let mut decoder = Decoder::default();
    let mut text = String::new();
    let mut whole = false;
    loop {
        let bytes = match reply.chunk().await {
            Ok(Some(bytes)) => bytes,
            Ok(None) => break,
            Err(error) => return broken(&error),
        };
        if !pause.is_zero() {
            tokio::time::sleep(pause).await;
        }
        for event in decoder.push(&bytes) {
            match event {
                Event::Text(piece) => text.push_str(&piece),
                Event::Done => whole = true,
                Event::Error(error) => {
                    let detail = error.to_string();
                    return Reply::new(Learned::BrokenOff, detail);
                }
            }
        }
    }
    match (whole, text == expected) {
        (true, true) => Reply::new(Learned::Right, ""),
        (false, _) if expected.starts_with(&text) => {
            Reply::new(Learned::Half, text)
        }
        _ => Reply::new(Learned::Wrong, text),
    }
}

async fn plain(reply: Response, expected: &PlainAnswer) -> Reply {
    let bytes = match reply.bytes().await {
        Ok(bytes) => bytes,
        Err(error) => return broken(&error),
    };
    match serde_json::from_slice::<PlainAnswer>(&bytes) {
        Ok(found) if found == *expected => Reply::new(Learned::Right, ""),
        Ok(found) => Reply::new(Learned::Wrong, format!("{found:?}")),
        Err(_) => Reply::new(Learned::Half, String::from_utf8_lossy(&bytes)),
    }
}
