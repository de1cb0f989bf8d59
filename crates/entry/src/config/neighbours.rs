//! Compares the configuration with neighbours.
//!
//! An entry that starts while the key-value service is down finds the
//! newest configuration here, and one whose watch hangs learns of a change
//! although it does not know that its watch hangs.

use std::{net::SocketAddr, sync::Arc};

use base::timer::Timer;
use error_stack::{Report, ResultExt};
use wire::{Links, message::ConfigText};

use super::{Accepted, ConfigStore};
use crate::EntryError;

/// Pause between two questions, in milliseconds. Neighbours are asked in
/// turn; one question is about 200 bytes.
const ASK_MS: u64 = 1_000;

/// Pause before the first configuration was found, in milliseconds.
const ASK_FIRST_MS: u64 = 100;

/// Asks neighbours for newer configurations.
pub(crate) struct Neighbours {
    links: Links,
    addresses: Vec<SocketAddr>,
    next: usize,
}

impl Neighbours {
    pub(crate) fn new(links: Links, addresses: Vec<SocketAddr>) -> Self {
        // Entries that start together do not all ask the same one first.
        let next = rand::random_range(0..addresses.len().max(1));
        Self {
            links,
            addresses,
            next,
        }
    }

    /// Asks one neighbour after the other until the process ends.
    pub(crate) async fn work(mut self, store: Arc<ConfigStore>, timer: Timer) {
        if self.addresses.is_empty() {
            return;
        }
        loop {
            if let Err(report) = self.ask(&store).await {
                log::debug!(error:? = report; "a neighbour does not answer");
            }
            let pause_ms = match store.current() {
                Some(_) => ASK_MS,
                None => ASK_FIRST_MS,
            };
            timer.subscribe_in_ms(pause_ms).await;
        }
    }

    async fn ask(
        &mut self,
        store: &ConfigStore,
    ) -> Result<(), Report<EntryError>> {
        let address = self.addresses[self.next];
        self.next = (self.next + 1) % self.addresses.len();
        let have = store.revision();
        let answer = self.links.config(address, have).await;
        let answer = answer.change_context(EntryError::Config)?;
        if let Some(newer) = answer {
            store.offer(accepted(&newer)?)?;
        }
        Ok(())
    }
}

/// Returns the bytes by which an entry tells a neighbour what it has.
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

fn accepted(text: &ConfigText) -> Result<Accepted, Report<EntryError>> {
    let accepted: Accepted = serde_json::from_slice(&text.bytes)
        .change_context(EntryError::Config)
        .attach("a neighbour's configuration is broken")?;
    // The revision stands twice on the way; a mismatch is a damaged message.
    let same = accepted.revision == text.revision;
    match same {
        true => Ok(accepted),
        false => Err(Report::new(EntryError::Config)
            .attach("a neighbour's configuration contradicts itself")),
    }
}
