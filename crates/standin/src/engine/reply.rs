use std::{io::Cursor, time::Duration};

use bytes::Bytes;
use futures::{Stream, StreamExt, stream};
use rocket::{
    Request,
    http::{ContentType, Header, Status},
    response::{Responder, Response, Result, stream::ReaderStream},
};
use serde::Serialize;
use serde_json::json;

use super::{
    api::{ErrorBody, Form, Usage, unix_seconds},
    core::Ticket,
    scheduler::{Phase, Progress},
};

/// Blank that a whole answer sends while it is being made; JSON allows it
/// before a value.
const BLANK: &[u8] = b" ";

/// Comment that a stream sends while there is no token.
const COMMENT: &[u8] = b": keep-alive\n\n";

/// What every answer of this engine ends with: the limit was reached.
const FINISH_REASON: &str = "length";

type Bodies = stream::BoxStream<'static, Bytes>;

enum Body {
    Whole(Vec<u8>),
    Made(Bodies),
}

/// A response of the engine.
pub(super) struct Reply {
    status: Status,
    content_type: ContentType,
    body: Body,
    close: bool,
}

impl Reply {
    pub(super) fn json(status: Status, value: &impl Serialize) -> Self {
        Self {
            status,
            content_type: ContentType::JSON,
            body: Body::Whole(serde_json::to_vec(value).unwrap_or_default()),
            close: false,
        }
    }

    pub(super) fn text(text: String) -> Self {
        Self {
            status: Status::Ok,
            content_type: ContentType::Plain,
            body: Body::Whole(text.into_bytes()),
            close: false,
        }
    }

    pub(super) fn error(
        status: Status,
        kind: &'static str,
        code: Option<&'static str>,
        message: impl Into<String>,
    ) -> Self {
        Self::json(status, &ErrorBody::new(kind, code, message))
    }

    pub(super) fn lines(
        lines: impl Stream<Item = Bytes> + Send + 'static,
    ) -> Self {
        Self {
            status: Status::Ok,
            content_type: ContentType::new("application", "x-ndjson"),
            body: Body::Made(lines.boxed()),
            close: false,
        }
    }

    /// Gives an answer, as a stream or whole.
    pub(super) fn answer(answer: Answer, ticket: Ticket) -> Self {
        let close = answer.cut;
        if answer.stream {
            return Self {
                status: Status::Ok,
                content_type: ContentType::EventStream,
                body: Body::Made(answer.into_events(ticket)),
                close,
            };
        }
        let progress = ticket.progress();
        let body = if progress.phase == Phase::Complete {
            Body::Whole(answer.whole(progress))
        } else {
            Body::Made(answer.into_whole(ticket))
        };
        Self {
            status: Status::Ok,
            content_type: ContentType::JSON,
            body,
            close,
        }
    }
}

impl<'r> Responder<'r, 'static> for Reply {
    fn respond_to(self, _: &'r Request<'_>) -> Result<'static> {
        let mut response = match self.body {
            Body::Whole(bytes) => {
                let mut response = Response::new();
                response.set_sized_body(bytes.len(), Cursor::new(bytes));
                response
            }
            Body::Made(bodies) => {
                let mut response = Response::new();
                let bodies = bodies.map(Cursor::new);
                response.set_streamed_body(ReaderStream::from(bodies));
                response
            }
        };
        response.set_status(self.status);
        response.set_header(self.content_type);
        if self.close {
            response.set_header(Header::new("Connection", "close"));
        }
        Ok(response)
    }
}

/// An answer before it is written.
#[derive(Debug)]
pub(super) struct Answer {
    pub(super) form: Form,
    pub(super) id: String,
    pub(super) model: String,
    pub(super) stream: bool,
    pub(super) include_usage: bool,
    /// Tokens to give; without those that an earlier call gave.
    pub(super) tokens: Vec<String>,
    pub(super) prompt_tokens: u32,
    /// The answer will end early.
    pub(super) cut: bool,
    pub(super) keep_alive_ms: u64,
}

enum Next {
    Silent,
    Grown(Progress),
}

async fn next(ticket: &mut Ticket, seen: u32, keep_alive_ms: u64) -> Next {
    let keep_alive = Duration::from_millis(keep_alive_ms.max(1));
    loop {
        let more = ticket.more_than(seen);
        match tokio::time::timeout(keep_alive, more).await {
            Ok(progress) => return Next::Grown(progress),
            Err(_) if ticket.core().is_stalled() => {}
            Err(_) => return Next::Silent,
        }
    }
}

impl Answer {
    fn usage(&self, progress: Progress) -> Usage {
        Usage::new(
            self.prompt_tokens,
            progress.produced,
            progress.cached_tokens,
        )
    }

    fn whole(&self, progress: Progress) -> Vec<u8> {
        let text = self.tokens.concat();
        let choice = match self.form {
            Form::Chat => json!({
                "index": 0,
                "message": {"role": "assistant", "content": text},
                "finish_reason": FINISH_REASON,
            }),
            Form::Completion => json!({
                "index": 0,
                "text": text,
                "finish_reason": FINISH_REASON,
            }),
        };
        let body = json!({
            "id": self.id,
            "object": self.form.object(false),
            "created": unix_seconds(),
            "model": self.model,
            "choices": [choice],
            "usage": self.usage(progress),
        });
        body.to_string().into_bytes()
    }

    fn into_whole(self, ticket: Ticket) -> Bodies {
        let state = Some((self, ticket));
        stream::unfold(state, |state| async {
            let (answer, mut ticket) = state?;
            let all = answer.tokens.len() as u32;
            let keep_alive_ms = answer.keep_alive_ms;
            // Nothing is sent for a part of the tokens.
            let seen = all.saturating_sub(1);
            match next(&mut ticket, seen, keep_alive_ms).await {
                Next::Silent => {
                    let state = Some((answer, ticket));
                    Some((Bytes::from_static(BLANK), state))
                }
                Next::Grown(progress) => {
                    let mut body = answer.whole(progress);
                    if progress.phase == Phase::Cut {
                        body.truncate(body.len() / 2);
                    }
                    Some((body.into(), None))
                }
            }
        })
        .boxed()
    }

    fn into_events(self, ticket: Ticket) -> Bodies {
        let state = Some((Events::new(self), ticket));
        stream::unfold(state, |state| async {
            let (mut events, mut ticket) = state?;
            let seen = events.sent;
            let keep_alive_ms = events.answer.keep_alive_ms;
            match next(&mut ticket, seen, keep_alive_ms).await {
                Next::Silent => {
                    let state = Some((events, ticket));
                    Some((Bytes::from_static(COMMENT), state))
                }
                Next::Grown(progress) => {
                    let bytes = events.write(progress);
                    let going = progress.phase == Phase::Going;
                    Some((bytes, going.then_some((events, ticket))))
                }
            }
        })
        .boxed()
    }
}

/// Writes an answer as server-sent events, one token each.
struct Events {
    answer: Answer,
    head: String,
    sent: u32,
}

impl Events {
    fn new(answer: Answer) -> Self {
        let head = json!({
            "id": answer.id,
            "object": answer.form.object(true),
            "created": unix_seconds(),
            "model": answer.model,
        })
        .to_string();
        Self {
            // The closing brace goes; each event adds its choices.
            head: head[..head.len() - 1].to_owned(),
            answer,
            sent: 0,
        }
    }

    fn write(&mut self, progress: Progress) -> Bytes {
        let mut out = String::new();
        let until = progress.produced.max(self.sent) as usize;
        for index in self.sent as usize..until.min(self.answer.tokens.len()) {
            self.push_token(&mut out, index);
        }
        self.sent = progress.produced.max(self.sent);
        if progress.phase == Phase::Complete {
            self.push_end(&mut out, progress);
        }
        out.into()
    }

    /// Writes one token by hand: it needs no escapes, and this is what an
    /// engine under load does most.
    fn push_token(&self, out: &mut String, index: usize) {
        let token = &self.answer.tokens[index];
        out.push_str("data: ");
        out.push_str(&self.head);
        out.push_str(",\"choices\":[{\"index\":0,");
        match self.answer.form {
            Form::Chat => {
                out.push_str("\"delta\":{");
                if index == 0 {
                    out.push_str("\"role\":\"assistant\",");
                }
                out.push_str("\"content\":\"");
                out.push_str(token);
                out.push_str("\"}");
            }
            Form::Completion => {
                out.push_str("\"text\":\"");
                out.push_str(token);
                out.push('"');
            }
        }
        out.push_str(",\"finish_reason\":null}]}\n\n");
    }

    fn push_end(&self, out: &mut String, progress: Progress) {
        let choice = match self.answer.form {
            Form::Chat => json!({
                "index": 0, "delta": {}, "finish_reason": FINISH_REASON,
            }),
            Form::Completion => json!({
                "index": 0, "text": "", "finish_reason": FINISH_REASON,
            }),
        };
        let mut push = |choices: String, rest: &str| {
            out.push_str("data: ");
            out.push_str(&self.head);
            out.push_str(",\"choices\":[");
            out.push_str(&choices);
            out.push(']');
            out.push_str(rest);
            out.push_str("}\n\n");
        };
        push(choice.to_string(), "");
        if self.answer.include_usage {
            let usage = json!(self.answer.usage(progress));
            push(String::new(), &format!(",\"usage\":{usage}"));
        }
        out.push_str("data: [DONE]\n\n");
    }
}
