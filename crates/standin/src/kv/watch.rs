//! Streams of changes, one JSON object a line.

use std::sync::Arc;

use ::kv::{
    json::{
        Blob, Event, EventKind, KeyValue, StreamMessage, WatchCreateRequest,
        WatchResponse,
    },
    mvcc::{Change, KeyRange, StoreError},
};
use tokio::sync::watch;

use super::{
    calls,
    core::{Core, Signal},
    faults::WatchFault,
};

/// One open watch; it is counted as open until it is dropped.
pub(super) struct OpenWatch {
    core: Arc<Core>,
    request: WatchCreateRequest,
    range: KeyRange,
    next_revision: u64,
    signal: watch::Receiver<Signal>,
    breaks: u64,
    stage: Stage,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Stage {
    Begin,
    Running,
    Over,
}

impl OpenWatch {
    pub(super) fn begin(
        core: &Arc<Core>,
        request: WatchCreateRequest,
    ) -> Self {
        let (next_revision, signal) = core.begin_watch(&request);
        let range =
            KeyRange::new(request.key.0.clone(), request.range_end.0.clone());
        let breaks = signal.borrow().breaks;
        Self {
            core: Arc::clone(core),
            request,
            range,
            next_revision,
            signal,
            breaks,
            stage: Stage::Begin,
        }
    }

    /// Returns the next line, `None` at the end of the stream.
    pub(super) async fn next(&mut self) -> Option<Vec<u8>> {
        let message = match self.stage {
            Stage::Over => return None,
            Stage::Begin => {
                self.stage = Stage::Running;
                WatchResponse {
                    header: self.core.header(),
                    created: true,
                    ..WatchResponse::default()
                }
            }
            Stage::Running => self.wait().await?,
        };
        self.core.slow_down().await;
        let mut line =
            serde_json::to_vec(&StreamMessage::Result(message)).ok()?;
        line.push(b'\n');
        self.core.count_sent(line.len());
        Some(line)
    }

    async fn wait(&mut self) -> Option<WatchResponse> {
        loop {
            // The signal is marked as seen before the log is read, so that
            // a change in between wakes the next wait.
            let breaks = self.signal.borrow_and_update().breaks;
            let is_broken = self.core.faults().watch == WatchFault::Break;
            if is_broken || breaks != self.breaks {
                self.stage = Stage::Over;
                return None;
            }
            match self.core.changes(&self.range, self.next_revision) {
                Ok((reached, changes)) => {
                    self.next_revision = self.next_revision.max(reached + 1);
                    if !changes.is_empty() {
                        return Some(self.message(changes));
                    }
                }
                Err(error) => {
                    self.stage = Stage::Over;
                    return Some(self.canceled(error));
                }
            }
            let change = self.signal.changed();
            match tokio::time::timeout(self.core.progress_every(), change)
                .await
            {
                Ok(changed) => changed.ok()?,
                // Sent unasked too, for only a message that cannot be
                // delivered shows that the caller has gone.
                Err(_) => return Some(self.progress()),
            }
        }
    }

    fn message(&self, changes: Vec<Change>) -> WatchResponse {
        let events = changes.into_iter().map(|change| Event {
            kind: match change.current {
                Some(_) => EventKind::Put,
                None => EventKind::Delete,
            },
            kv: match change.current {
                Some(record) => calls::key_value(record),
                None => KeyValue {
                    key: Blob(change.key),
                    mod_revision: change.revision.into(),
                    ..KeyValue::default()
                },
            },
            prev_kv: change
                .previous
                .filter(|_| self.request.prev_kv)
                .map(calls::key_value),
        });
        WatchResponse {
            events: events.collect(),
            header: self.core.header(),
            ..WatchResponse::default()
        }
    }

    /// Tells the revision up to which all changes were sent.
    fn progress(&self) -> WatchResponse {
        let mut header = self.core.header();
        let reached = (self.next_revision - 1).into();
        header.revision = header.revision.min(reached);
        WatchResponse {
            header,
            ..WatchResponse::default()
        }
    }

    fn canceled(&self, error: StoreError) -> WatchResponse {
        WatchResponse {
            header: self.core.header(),
            canceled: true,
            compact_revision: self.core.compacted_revision().into(),
            cancel_reason: format!("etcdserver: {error}"),
            ..WatchResponse::default()
        }
    }
}

impl Drop for OpenWatch {
    fn drop(&mut self) {
        self.core.end_watch();
    }
}
