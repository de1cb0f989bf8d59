//! Pushes configuration changes to peers and compares revisions with them.
//!
//! An entry that starts while the key-value service is down gets the newest
//! configuration from its peers, and an entry whose watch hangs undetected
//! still receives changes.

use std::{net::SocketAddr, sync::Arc};

use base::timer::Timer;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use quarantine::{CrashRecordUpdate, Quarantine};
use serde::{Deserialize, Serialize};
use spread::{Event, Message, Options, Propagator};
use tokio::task::JoinSet;
use wire::{Links, message::ConfigText};

use super::{Accepted, ConfigStore, Outgoing};
use crate::EntryError;

/// Tick interval of the propagator, in milliseconds.
const TICK_MS: u64 = 50;

/// Maximum number of messages awaiting a response. More of them mean that
/// peers hang; messages over the maximum count as failed.
const WAITING_MAX: usize = 256;

/// The message between entries. An older build reads the configuration
/// message and ignores the other fields.
#[derive(Deserialize, Serialize)]
struct Envelope {
    #[serde(flatten)]
    message: Message,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    held_requests: Vec<CrashRecordUpdate>,
}

/// Exchanges configuration messages with peers.
pub(crate) struct Neighbours {
    links: Links,
    addresses: Vec<SocketAddr>,
    quarantine: Quarantine,
}

impl Neighbours {
    pub(crate) fn new(
        links: Links,
        addresses: Vec<SocketAddr>,
        quarantine: Quarantine,
    ) -> Self {
        Self {
            links,
            addresses,
            quarantine,
        }
    }

    /// Exchanges messages with peers until the process exits.
    pub(crate) async fn work(self, store: Arc<ConfigStore>, timer: Timer) {
        let me = self.links.identity();
        let spread = Propagator::new(
            me.vm.clone(),
            me.failure_domain.clone(),
            self.addresses,
            Options::default(),
            timer.now(),
        );
        let mut outgoing = store.join(spread);
        let mut waiting = JoinSet::new();
        let mut tick = timer.subscribe_in_ms(TICK_MS);
        loop {
            tokio::select! {
                Some((peer, message)) = outgoing.recv() => {
                    if waiting.len() >= WAITING_MAX {
                        store.handle(Event::PeerFailed { peer });
                        continue;
                    }
                    let asker = Asker {
                        links: self.links.clone(),
                        quarantine: self.quarantine.clone(),
                    };
                    let store = store.clone();
                    waiting.spawn(converse(asker, (peer, message), store));
                }
                Some(_) = waiting.join_next() => {}
                _ = &mut tick => {
                    tick = timer.subscribe_in_ms(TICK_MS);
                    store.handle(Event::Tick);
                }
            }
        }
    }
}

/// Sends requests to peers.
struct Asker {
    links: Links,
    quarantine: Quarantine,
}

async fn converse(asker: Asker, to: Outgoing, store: Arc<ConfigStore>) {
    let peer = to.0;
    let event = match asker.ask(to).await {
        Ok(message) => Event::Response { peer, message },
        Err(report) => {
            log::debug!(error:? = report; "a peer does not respond");
            Event::PeerFailed { peer }
        }
    };
    store.handle(event);
}

impl Asker {
    async fn ask(
        &self,
        (peer, message): Outgoing,
    ) -> Result<Message, Report<EntryError>> {
        let question = Envelope {
            message: *message,
            held_requests: self.quarantine.updates(),
        };
        let question = serde_json::to_vec(&question)
            .change_context(EntryError::Config)?;
        let answer = self.links.compare(peer, question.into()).await;
        let answer = answer.change_context(EntryError::Config)?;
        let answer: Envelope = serde_json::from_slice(&answer)
            .change_context(EntryError::Config)
            .attach("cannot decode a peer's response")?;
        self.quarantine.apply_updates(answer.held_requests);
        Ok(answer.message)
    }
}

impl ConfigStore {
    /// Returns the response to a peer's message, or `None` if it cannot be
    /// decoded.
    pub(crate) fn compare(
        &self,
        question: &[u8],
        quarantine: &Quarantine,
    ) -> Option<Bytes> {
        let question: Envelope = match serde_json::from_slice(question) {
            Ok(question) => question,
            Err(error) => {
                log::warn!(error:%; "cannot decode a peer's message");
                return None;
            }
        };
        quarantine.apply_updates(question.held_requests);
        let reply = Envelope {
            message: self.handle(Event::Request(question.message))?,
            held_requests: quarantine.updates(),
        };
        serde_json::to_vec(&reply).ok().map(Bytes::from)
    }
}

/// Encodes a configuration for a peer process of an older build.
pub(crate) fn to_neighbour(accepted: &Accepted) -> Option<ConfigText> {
    let revision = accepted.revision;
    match serde_json::to_vec(accepted) {
        Ok(bytes) => Some(ConfigText {
            revision,
            bytes: bytes.into(),
        }),
        Err(error) => {
            log::error!(error:%; "cannot encode the configuration for a peer");
            None
        }
    }
}
