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
const MAX_IN_FLIGHT: usize = 256;

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
pub(crate) struct ConfigPeers {
    links: Links,
    addresses: Vec<SocketAddr>,
    quarantine: Quarantine,
}

impl ConfigPeers {
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
    pub(crate) async fn run(self, store: Arc<ConfigStore>, timer: Timer) {
        let identity = self.links.identity();
        let propagator = Propagator::new(
            identity.vm.clone(),
            identity.failure_domain.clone(),
            self.addresses,
            Options::default(),
            timer.now(),
        );
        let mut outgoing = store.join(propagator);
        let mut in_flight = JoinSet::new();
        let mut tick = timer.subscribe_in_ms(TICK_MS);
        loop {
            tokio::select! {
                Some((peer, message)) = outgoing.recv() => {
                    if in_flight.len() >= MAX_IN_FLIGHT {
                        store.handle(Event::PeerFailed { peer });
                        continue;
                    }
                    let client = PeerClient {
                        links: self.links.clone(),
                        quarantine: self.quarantine.clone(),
                    };
                    let store = store.clone();
                    in_flight.spawn(exchange(client, (peer, message), store));
                }
                Some(_) = in_flight.join_next() => {}
                _ = &mut tick => {
                    tick = timer.subscribe_in_ms(TICK_MS);
                    store.handle(Event::Tick);
                }
            }
        }
    }
}

/// Sends requests to peers.
struct PeerClient {
    links: Links,
    quarantine: Quarantine,
}

async fn exchange(client: PeerClient, to: Outgoing, store: Arc<ConfigStore>) {
    let peer = to.0;
    let event = match client.request(to).await {
        Ok(message) => Event::Response { peer, message },
        Err(report) => {
            log::debug!(error:? = report; "a peer does not respond");
            Event::PeerFailed { peer }
        }
    };
    store.handle(event);
}

impl PeerClient {
    async fn request(
        &self,
        (peer, message): Outgoing,
    ) -> Result<Message, Report<EntryError>> {
        let request = Envelope {
            message: *message,
            held_requests: self.quarantine.updates(),
        };
        let request =
            serde_json::to_vec(&request).change_context(EntryError::Config)?;
        let response = self.links.compare(peer, request.into()).await;
        let response = response.change_context(EntryError::Config)?;
        let response: Envelope = serde_json::from_slice(&response)
            .change_context(EntryError::Config)
            .attach("cannot decode a peer's response")?;
        self.quarantine.apply_updates(response.held_requests);
        Ok(response.message)
    }
}

impl ConfigStore {
    /// Returns the response to a peer's message, or `None` if it cannot be
    /// decoded.
    pub(crate) fn compare(
        &self,
        request: &[u8],
        quarantine: &Quarantine,
    ) -> Option<Bytes> {
        let request: Envelope = match serde_json::from_slice(request) {
            Ok(request) => request,
            Err(error) => {
                log::warn!(error:%; "cannot decode a peer's message");
                return None;
            }
        };
        quarantine.apply_updates(request.held_requests);
        let response = Envelope {
            message: self.handle(Event::Request(request.message))?,
            held_requests: quarantine.updates(),
        };
        serde_json::to_vec(&response).ok().map(Bytes::from)
    }
}

/// Encodes a configuration for a peer process of an older build.
pub(crate) fn encode_for_peer(accepted: &Accepted) -> Option<ConfigText> {
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
