use std::{sync::Arc, time::Duration};

use error_stack::Report;
use reqwest::{Response, Url};

use super::{
    convert,
    transport::{self, Effect, Failure, Transport, Turns},
};
use crate::{
    KvError, KvFuture, WatchBatch, Watcher,
    json::{StreamMessage, WatchRequest, WatchResponse},
    mvcc::KeyRange,
};

const WATCH: &str = "v3/watch";

/// Largest message of a watch; more is taken for a broken stream.
const MESSAGE_MAX_BYTES: usize = 256 << 20;

/// A watch over one streaming call at a time.
pub(super) struct EtcdWatcher {
    transport: Arc<Transport>,
    range: KeyRange,
    next_revision: u64,
    messages: Messages,
}

impl EtcdWatcher {
    pub(super) async fn open(
        transport: Arc<Transport>,
        range: KeyRange,
        from_revision: u64,
    ) -> Result<Self, Report<KvError>> {
        let (messages, created) =
            open_stream(&transport, &range, from_revision).await?;
        let next_revision = match from_revision {
            0 => created.header.revision.get_u64() + 1,
            _ => from_revision,
        };
        Ok(Self {
            transport,
            range,
            next_revision,
            messages,
        })
    }

    async fn wait(&mut self) -> Result<WatchBatch, Report<KvError>> {
        loop {
            let idle = self.transport.watch_idle;
            match self.messages.next(idle).await? {
                Some(message) => {
                    check(&message)?;
                    if message.created {
                        continue;
                    }
                    let batch = convert::watch_batch(message);
                    // A message without changes tells progress; a renewal
                    // from there is less likely to be compacted.
                    let reached = batch.revision + 1;
                    self.next_revision = self.next_revision.max(reached);
                    if !batch.events.is_empty() {
                        return Ok(batch);
                    }
                }
                None => self.renew().await?,
            }
        }
    }

    /// Opens the watch anew after a silence.
    async fn renew(&mut self) -> Result<(), Report<KvError>> {
        let (messages, _) =
            open_stream(&self.transport, &self.range, self.next_revision)
                .await?;
        self.messages = messages;
        Ok(())
    }
}

impl Watcher for EtcdWatcher {
    fn next(&mut self) -> KvFuture<'_, WatchBatch> {
        Box::pin(self.wait())
    }
}

/// Opens a stream and waits for the message that the watch has begun.
async fn open_stream(
    transport: &Transport,
    range: &KeyRange,
    from_revision: u64,
) -> Result<(Messages, WatchResponse), Report<KvError>> {
    let request = WatchRequest {
        create_request: convert::watch_request(range, from_revision),
    };
    let body = transport::encode(&request)?;
    let mut turns = Turns::new(transport, WATCH, Effect::None);
    while let Some((url, within)) = turns.next() {
        let open = begin(transport, url, body.clone(), within);
        match transport::limit(within, Effect::None, open).await {
            Ok(begun) => {
                turns.answered();
                return Ok(begun);
            }
            Err(failure) => turns.failed(failure)?,
        }
    }
    Err(turns.into_report())
}

async fn begin(
    transport: &Transport,
    url: Url,
    body: Vec<u8>,
    within: Duration,
) -> Result<(Messages, WatchResponse), Failure> {
    let response = transport.post(url, body, Effect::None).await?;
    let mut messages = Messages::new(response);
    let first = messages.next(within).await.map_err(sort)?;
    let first = first.ok_or_else(|| Failure::Lost(Effect::None.lost()))?;
    check(&first).map_err(sort)?;
    Ok((messages, first))
}

/// Tells an interrupted stream from one that the service refuses.
fn sort(report: Report<KvError>) -> Failure {
    match report.current_context() {
        KvError::NotDone => Failure::Lost(report),
        _ => Failure::Refused(report),
    }
}

fn check(message: &WatchResponse) -> Result<(), Report<KvError>> {
    if !message.canceled {
        return Ok(());
    }
    let error = match message.compact_revision.0 {
        0 => KvError::NotDone,
        _ => KvError::Compacted,
    };
    Err(Report::new(error).attach(message.cancel_reason.clone()))
}

/// Messages of a stream, one JSON object a line.
struct Messages {
    response: Response,
    buffer: Vec<u8>,
    /// Start of the bytes that were not searched for a line end.
    searched: usize,
}

impl Messages {
    fn new(response: Response) -> Self {
        Self {
            response,
            buffer: Vec::new(),
            searched: 0,
        }
    }

    /// Waits for a message, `None` after a silence of `idle`.
    async fn next(
        &mut self,
        idle: Duration,
    ) -> Result<Option<WatchResponse>, Report<KvError>> {
        loop {
            if let Some(line) = self.take_line() {
                return parse(&line).map(Some);
            }
            let chunk = self.response.chunk();
            match tokio::time::timeout(idle, chunk).await {
                Err(_) => return Ok(None),
                Ok(Ok(Some(chunk))) => self.buffer.extend_from_slice(&chunk),
                Ok(Ok(None)) => return Err(ended("the watch has ended")),
                Ok(Err(error)) => return Err(ended(&error.to_string())),
            }
            if self.buffer.len() > MESSAGE_MAX_BYTES {
                return Err(ended("a message is too large"));
            }
        }
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let fresh = &self.buffer[self.searched..];
        match fresh.iter().position(|byte| *byte == b'\n') {
            Some(at) => {
                let end = self.searched + at + 1;
                self.searched = 0;
                Some(self.buffer.drain(..end).collect())
            }
            None => {
                self.searched = self.buffer.len();
                None
            }
        }
    }
}

fn parse(line: &[u8]) -> Result<WatchResponse, Report<KvError>> {
    match serde_json::from_slice(line) {
        Ok(StreamMessage::Result(message)) => Ok(message),
        Ok(StreamMessage::Error(body)) => {
            Err(transport::refusal(&body, Effect::None))
        }
        Err(error) => Err(ended(&error.to_string())),
    }
}

fn ended(why: &str) -> Report<KvError> {
    Report::new(KvError::NotDone).attach(why.to_owned())
}
