//! Tells neighbours what changes and compares with them.
//!
//! An entry that starts while the key-value service is down finds the
//! newest configuration here, and one whose watch hangs learns of a change
//! although it does not know that its watch hangs.

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

/// Pause between two ticks of the decisions, in milliseconds.
const TICK_MS: u64 = 50;

/// Messages that wait for their answer at once. More mean that neighbours
/// hang; those over it count as not answered.
const WAITING_MAX: usize = 256;

/// What goes from one entry to another. An older build reads the message
/// about the configuration and passes over the rest.
#[derive(Deserialize, Serialize)]
struct Envelope {
    #[serde(flatten)]
    message: Message,
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    held_requests: Vec<CrashRecordUpdate>,
}

/// Talks to neighbours.
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

    /// Talks to neighbours until the process ends.
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

/// Asks neighbours.
struct Asker {
    links: Links,
    quarantine: Quarantine,
}

async fn converse(asker: Asker, to: Outgoing, store: Arc<ConfigStore>) {
    let peer = to.0;
    let event = match asker.ask(to).await {
        Ok(message) => Event::Response { peer, message },
        Err(report) => {
            log::debug!(error:? = report; "a neighbour does not answer");
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
            .attach("a neighbour's answer is broken")?;
        self.quarantine.apply_updates(answer.held_requests);
        Ok(answer.message)
    }
}

impl ConfigStore {
    /// Answers a neighbour's message; `None` if it cannot be read.
    pub(crate) fn compare(
        &self,
        question: &[u8],
        quarantine: &Quarantine,
    ) -> Option<Bytes> {
        let question: Envelope = match serde_json::from_slice(question) {
            Ok(question) => question,
            Err(error) => {
                log::warn!(error:%; "a neighbour's message is broken");
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

/// Returns the bytes by which an entry tells a process of an older build
/// what it has.
pub(crate) fn to_neighbour(accepted: &Accepted) -> Option<ConfigText> {
    let revision = accepted.revision;
    match serde_json::to_vec(accepted) {
        Ok(bytes) => Some(ConfigText {
            revision,
            bytes: bytes.into(),
        }),
        Err(error) => {
            log::error!(error:%; "the configuration cannot be passed on");
            None
        }
    }
}
