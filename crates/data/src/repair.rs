//! Keeps a second copy of each blob in another failure domain.
//!
//! When a data VM is lost, the blobs that it held have one copy left. The
//! holder of that copy notices, because it compares its list page by page
//! with the data VM that should hold the other one, and copies what is
//! missing. A damaged blob is fetched back in the same way.
//!
//! Rejected: a registry of copies in the key-value service, which would cost
//! a write for each blob and could itself be wrong about a disk.

use base::{FailureDomain, VmId, stable_hash, timer::Timer};
use conf::settings::DataVm;
use error_stack::{Report, ResultExt};
use store::{BlobId, Store};
use tokio::task::spawn_blocking;
use wire::{Links, message::StoredBlob};

use crate::DataError;

/// Ids compared in one step.
const PAGE_IDS: usize = 256;

/// Pause between steps while nothing is missing, in milliseconds. With pages
/// of 256 ids of about 40 bytes this is 10 KB a second.
const PAUSE_MS: u64 = 1_000;

/// Pause after a step that failed, in milliseconds.
const FAILED_PAUSE_MS: u64 = 5_000;

/// What one step did.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct Step {
    /// Blobs that were compared.
    pub compared: usize,
    /// Blobs that were copied to another data VM.
    pub copied: usize,
    /// Damaged blobs that were fetched back.
    pub restored: usize,
    /// Set when the last blob was reached; the next step starts over.
    pub complete: bool,
}

/// Compares and copies.
pub struct Repair {
    store: Store,
    links: Links,
    here: FailureDomain,
    vm: VmId,
    peers: Vec<DataVm>,
    after: Option<BlobId>,
}

impl Repair {
    /// Makes the repair of the store on `vm`, which lies in `here`.
    pub fn new(
        store: Store,
        links: Links,
        vm: VmId,
        here: FailureDomain,
        peers: Vec<DataVm>,
    ) -> Self {
        Self {
            store,
            links,
            here,
            vm,
            peers,
            after: None,
        }
    }

    /// Repairs until the returned future is dropped; spawned once.
    pub async fn work(mut self, timer: Timer) {
        if self.peers.is_empty() {
            return;
        }
        loop {
            let pause_ms = match self.step().await {
                Ok(step) if step.copied + step.restored > 0 => {
                    let Step {
                        copied, restored, ..
                    } = step;
                    log::info!(copied, restored; "blobs repaired");
                    0
                }
                Ok(_) => PAUSE_MS,
                Err(report) => {
                    log::warn!(error:? = report; "cannot repair");
                    FAILED_PAUSE_MS
                }
            };
            timer.subscribe_in_ms(pause_ms).await;
        }
    }

    /// Compares one page and repairs what it finds.
    ///
    /// # Errors
    ///
    /// [`DataError::Store`] if the own disk fails, [`DataError::Peer`] if a
    /// data VM does not answer; the next step tries the same page again.
    pub async fn step(&mut self) -> Result<Step, Report<DataError>> {
        let restored = self.restore_damaged().await?;
        let page = self.own_page().await?;
        let mut copied = 0;
        for peer in self.peers.clone() {
            let due: Vec<&BlobId> = page
                .iter()
                .filter(|id| self.second_home(id) == Some(&peer.vm))
                .collect();
            copied += self.copy_missing(&peer, &due).await?;
        }
        let complete = page.len() < PAGE_IDS;
        self.after = if complete { None } else { page.last().cloned() };
        Ok(Step {
            compared: page.len(),
            copied,
            restored,
            complete,
        })
    }

    /// Returns the data VM that should hold the other copy of an own blob:
    /// the first of another failure domain in the order in which entries
    /// place blobs.
    fn second_home(&self, id: &BlobId) -> Option<&VmId> {
        let others = self.peers.iter().filter(|peer| {
            peer.failure_domain != self.here && peer.vm != self.vm
        });
        others
            .min_by_key(|peer| stable_hash(&[id.as_str(), peer.vm.as_str()]))
            .map(|peer| &peer.vm)
    }

    async fn own_page(&self) -> Result<Vec<BlobId>, Report<DataError>> {
        let store = self.store.clone();
        let after = self.after.clone();
        let list = move || store.list("", after.as_ref(), PAGE_IDS);
        let page = on_disk(list).await?;
        Ok(page.into_iter().map(|blob| blob.id).collect())
    }

    async fn copy_missing(
        &self,
        peer: &DataVm,
        due: &[&BlobId],
    ) -> Result<usize, Report<DataError>> {
        let (Some(first), Some(last)) = (due.first(), due.last()) else {
            return Ok(0);
        };
        let theirs = self.listed(peer, first, last).await?;
        let missing = due.iter().filter(|id| {
            theirs
                .binary_search_by(|their| their.as_str().cmp(id.as_str()))
                .is_err()
        });
        let mut copied = 0;
        for id in missing {
            copied += usize::from(self.copy(peer, id).await?);
        }
        Ok(copied)
    }

    /// Lists a peer's ids from `first` to `last`, both included.
    async fn listed(
        &self,
        peer: &DataVm,
        first: &BlobId,
        last: &BlobId,
    ) -> Result<Vec<String>, Report<DataError>> {
        let mut all: Vec<String> = Vec::new();
        let mut after = before(first);
        loop {
            let limit = PAGE_IDS as u32;
            let page = self
                .links
                .list_blobs(peer.address, after, limit)
                .await
                .change_context(DataError::Peer)
                .attach_with(|| format!("listing {}", peer.vm))?;
            let is_end = page.len() < PAGE_IDS;
            let past = page.iter().any(|id| id.as_str() > last.as_str());
            after = page.last().cloned().unwrap_or_default();
            all.extend(page);
            if is_end || past {
                return Ok(all);
            }
        }
    }

    async fn copy(
        &self,
        peer: &DataVm,
        id: &BlobId,
    ) -> Result<bool, Report<DataError>> {
        let store = self.store.clone();
        let own = id.clone();
        // Removed or found damaged since it was listed: nothing to copy.
        let Some(blob) = on_disk(move || store.get(&own)).await? else {
            return Ok(false);
        };
        let blob = StoredBlob {
            bytes: blob.bytes,
            crc: blob.crc32,
        };
        self.links
            .put_blob(peer.address, id.to_string(), blob)
            .await
            .change_context(DataError::Peer)
            .attach_with(|| format!("copying {id} to {}", peer.vm))?;
        Ok(true)
    }

    /// Fetches damaged blobs back from whoever has them whole.
    async fn restore_damaged(&self) -> Result<usize, Report<DataError>> {
        let store = self.store.clone();
        let damaged =
            on_disk(move || store.quarantined(None, PAGE_IDS)).await?;
        let mut restored = 0;
        for id in damaged {
            restored += usize::from(self.restore(&id).await?);
        }
        Ok(restored)
    }

    async fn restore(&self, id: &BlobId) -> Result<bool, Report<DataError>> {
        for peer in &self.peers {
            let read = self.links.get_blob(peer.address, id.to_string());
            // A peer that is down or whose copy is damaged too is no reason
            // to give up; the next may have it.
            let Ok(Some(blob)) = read.await else { continue };
            let store = self.store.clone();
            let own = id.clone();
            on_disk(move || store.put(&own, blob.bytes, blob.crc)).await?;
            return Ok(true);
        }
        log::error!(blob = id.as_str(); "no whole copy is left");
        Ok(false)
    }
}

/// Returns a text that sorts before an id and after all shorter ones that
/// matter: listing is exclusive, and the id itself must be in the list.
fn before(id: &BlobId) -> String {
    let text = id.as_str();
    text[..text.len() - 1].trim_end_matches('/').to_owned()
}

async fn on_disk<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, Report<store::StoreError>> + Send + 'static,
) -> Result<T, Report<DataError>> {
    spawn_blocking(work)
        .await
        .change_context(DataError::Store)?
        .change_context(DataError::Store)
}
