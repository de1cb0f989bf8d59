use std::{sync::Arc, time::Duration};

use error_stack::Report;
use reqwest::{Response, Url};

use super::{
    convert,
    transport::{self, Attempts, Effect, Failure, Transport},
};
use crate::{
    KvError, KvFuture, WatchBatch, Watcher,
    json::{StreamMessage, WatchRequest, WatchResponse},
    mvcc::KeyRange,
};

const WATCH: &str = "v3/watch";

/// Maximum size of a watch message, in bytes; a larger one counts as a broken
/// stream.
const MAX_MESSAGE_BYTES: usize = 256 << 20;

/// A watch that uses one streaming call at a time.
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
                    check_not_canceled(&message)?;
                    if message.created {
                        continue;
                    }
                    let batch = convert::watch_batch(message);
                    // A message without changes reports progress. A watch that
                    // is reopened from there is less likely to hit a compacted
                    // revision.
                    let reached = batch.revision + 1;
                    self.next_revision = self.next_revision.max(reached);
                    if !batch.events.is_empty() {
                        return Ok(batch);
                    }
                }
                None => self.reopen().await?,
            }
        }
    }

    /// Reopens the watch after a period without messages.
    async fn reopen(&mut self) -> Result<(), Report<KvError>> {
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

/// Opens a stream and waits for the message that confirms the watch.
async fn open_stream(
    transport: &Transport,
    range: &KeyRange,
    from_revision: u64,
) -> Result<(Messages, WatchResponse), Report<KvError>> {
    let request = WatchRequest {
        create_request: convert::watch_request(range, from_revision),
    };
    let body = transport::encode(&request)?;
    let mut attempts = Attempts::new(transport, WATCH, Effect::None);
    while let Some((url, timeout)) = attempts.next() {
        let attempt = start_stream(transport, url, body.clone(), timeout);
        match transport::with_timeout(timeout, Effect::None, attempt).await {
            Ok(stream) => {
                attempts.succeeded();
                return Ok(stream);
            }
            Err(failure) => attempts.failed(failure)?,
        }
    }
    Err(attempts.into_report())
}

async fn start_stream(
    transport: &Transport,
    url: Url,
    body: Vec<u8>,
    timeout: Duration,
) -> Result<(Messages, WatchResponse), Failure> {
    let response = transport.post(url, body, Effect::None).await?;
    let mut messages = Messages::new(response);
    let first = messages.next(timeout).await.map_err(classify)?;
    let first =
        first.ok_or_else(|| Failure::Lost(Effect::None.lost_response()))?;
    check_not_canceled(&first).map_err(classify)?;
    Ok((messages, first))
}

/// Distinguishes an interrupted stream from a refusal by the key-value
/// service.
fn classify(report: Report<KvError>) -> Failure {
    match report.current_context() {
        KvError::NotDone => Failure::Lost(report),
        _ => Failure::Refused(report),
    }
}

fn check_not_canceled(message: &WatchResponse) -> Result<(), Report<KvError>> {
    if !message.canceled {
        return Ok(());
    }
    let error = match message.compact_revision.0 {
        0 => KvError::NotDone,
        _ => KvError::Compacted,
    };
    Err(Report::new(error).attach(message.cancel_reason.clone()))
}

/// Messages of a stream, one JSON object per line.
struct Messages {
    response: Response,
    buffer: Vec<u8>,
    /// Offset of the first byte that was not yet searched for a line end.
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

    /// Waits for a message; returns `None` after `idle` without one.
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
            if self.buffer.len() > MAX_MESSAGE_BYTES {
                return Err(ended("a message is too large"));
            }
        }
    }

    fn take_line(&mut self) -> Option<Vec<u8>> {
        let unsearched = &self.buffer[self.searched..];
        match unsearched.iter().position(|byte| *byte == b'\n') {
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

fn ended(reason: &str) -> Report<KvError> {
    Report::new(KvError::NotDone).attach(reason.to_owned())
}
