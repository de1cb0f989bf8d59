//! Keeps a second replica of each blob in another failure domain.
//!
//! When a data VM is lost, one replica remains of each blob that it held. The
//! data VM with that replica detects this by comparing its list of blobs page
//! by page with the data VM that should hold the other replica, and copies the
//! missing blobs. Damaged blobs are restored from the other replica in the
//! same cycle.
//!
//! Rejected: a registry of replicas in the key-value service. It would cost a
//! write per blob and could itself disagree with the content of a disk.

use base::{FailureDomain, VmId, stable_hash, timer::Timer};
use conf::settings::DataVm;
use error_stack::{Report, ResultExt};
use store::{BlobId, Store};
use tokio::task::spawn_blocking;
use wire::{Links, message::StoredBlob};

use crate::DataError;

/// Number of ids compared in one step.
const PAGE_IDS: usize = 256;

/// Pause between steps that copy nothing, in milliseconds. With pages of 256
/// ids of about 40 bytes this is 10 KB per second.
const IDLE_PAUSE_MS: u64 = 1_000;

/// Pause after a failed step, in milliseconds.
const RETRY_PAUSE_MS: u64 = 5_000;

/// Result of one repair step.
#[derive(Clone, Copy, Debug, Default, Eq, PartialEq)]
pub struct RepairStep {
    /// Number of blobs that were compared.
    pub compared: usize,
    /// Number of blobs that were copied to other data VMs.
    pub copied: usize,
    /// Number of damaged blobs that were restored from another data VM.
    pub restored: usize,
    /// Whether the last blob was reached; the next step starts over.
    pub complete: bool,
}

/// Repairs the replicas of the blobs in one store.
pub struct Repair {
    store: Store,
    links: Links,
    failure_domain: FailureDomain,
    vm: VmId,
    peers: Vec<DataVm>,
    after: Option<BlobId>,
}

impl Repair {
    /// Creates the repair of the store on `vm`, which is in `failure_domain`.
    pub fn new(
        store: Store,
        links: Links,
        vm: VmId,
        failure_domain: FailureDomain,
        peers: Vec<DataVm>,
    ) -> Self {
        Self {
            store,
            links,
            failure_domain,
            vm,
            peers,
            after: None,
        }
    }

    /// Repairs until the returned future is dropped; spawned once.
    pub async fn run(mut self, timer: Timer) {
        if self.peers.is_empty() {
            return;
        }
        loop {
            let pause_ms = match self.step().await {
                Ok(step) if step.copied + step.restored > 0 => {
                    let RepairStep {
                        copied, restored, ..
                    } = step;
                    log::info!(copied, restored; "blobs repaired");
                    0
                }
                Ok(_) => IDLE_PAUSE_MS,
                Err(report) => {
                    log::warn!(error:? = report; "repair step failed");
                    RETRY_PAUSE_MS
                }
            };
            timer.subscribe_in_ms(pause_ms).await;
        }
    }

    /// Restores damaged blobs, then compares one page of blobs and copies the
    /// missing replicas.
    ///
    /// # Errors
    ///
    /// [`DataError::Store`] if the local store fails, [`DataError::Peer`] if a
    /// request to a data VM fails; the next step retries the same page.
    pub async fn step(&mut self) -> Result<RepairStep, Report<DataError>> {
        let restored = self.restore_damaged().await?;
        let page = self.local_page().await?;
        let mut copied = 0;
        for peer in self.peers.clone() {
            let local_ids: Vec<&BlobId> = page
                .iter()
                .filter(|id| self.replica_target(id) == Some(&peer.vm))
                .collect();
            copied += self.copy_missing(&peer, &local_ids).await?;
        }
        let complete = page.len() < PAGE_IDS;
        self.after = if complete { None } else { page.last().cloned() };
        Ok(RepairStep {
            compared: page.len(),
            copied,
            restored,
            complete,
        })
    }

    /// Returns the data VM that should hold the other replica of a local blob:
    /// the first one in another failure domain, in the order in which entries
    /// place blobs.
    fn replica_target(&self, id: &BlobId) -> Option<&VmId> {
        let others = self.peers.iter().filter(|peer| {
            peer.failure_domain != self.failure_domain && peer.vm != self.vm
        });
        others
            .min_by_key(|peer| stable_hash(&[id.as_str(), peer.vm.as_str()]))
            .map(|peer| &peer.vm)
    }

    async fn local_page(&self) -> Result<Vec<BlobId>, Report<DataError>> {
        let store = self.store.clone();
        let after = self.after.clone();
        let list = move || store.list("", after.as_ref(), PAGE_IDS);
        let page = run_blocking(list).await?;
        Ok(page.into_iter().map(|blob| blob.id).collect())
    }

    async fn copy_missing(
        &self,
        peer: &DataVm,
        local_ids: &[&BlobId],
    ) -> Result<usize, Report<DataError>> {
        let (Some(first), Some(last)) = (local_ids.first(), local_ids.last())
        else {
            return Ok(0);
        };
        let remote_ids = self.list_remote(peer, first, last).await?;
        let missing = local_ids.iter().filter(|id| {
            remote_ids
                .binary_search_by(|remote_id| {
                    remote_id.as_str().cmp(id.as_str())
                })
                .is_err()
        });
        let mut copied = 0;
        for id in missing {
            copied += usize::from(self.copy(peer, id).await?);
        }
        Ok(copied)
    }

    /// Lists a peer's ids from `first` to `last`, both included.
    async fn list_remote(
        &self,
        peer: &DataVm,
        first: &BlobId,
        last: &BlobId,
    ) -> Result<Vec<String>, Report<DataError>> {
        let mut all: Vec<String> = Vec::new();
        let mut after = listing_start(first);
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
        let blob_id = id.clone();
        // The blob was removed since it was listed, so there is nothing to
        // copy.
        let Some(blob) = run_blocking(move || store.get(&blob_id)).await?
        else {
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

    /// Restores damaged blobs from peers that have an intact replica.
    async fn restore_damaged(&self) -> Result<usize, Report<DataError>> {
        let store = self.store.clone();
        let damaged =
            run_blocking(move || store.quarantined(None, PAGE_IDS)).await?;
        let mut restored = 0;
        for id in damaged {
            restored += usize::from(self.restore(&id).await?);
        }
        Ok(restored)
    }

    async fn restore(&self, id: &BlobId) -> Result<bool, Report<DataError>> {
        for peer in &self.peers {
            let read = self.links.get_blob(peer.address, id.to_string());
            // If a peer is down or its replica is damaged too, the next peer
            // may still have an intact one.
            let Ok(Some(blob)) = read.await else { continue };
            let store = self.store.clone();
            let blob_id = id.clone();
            run_blocking(move || store.put(&blob_id, blob.bytes, blob.crc))
                .await?;
            return Ok(true);
        }
        log::error!(blob = id.as_str(); "no intact replica is left");
        Ok(false)
    }
}

/// Returns a string that sorts before an id, for a listing that starts after
/// this string and must include the id.
fn listing_start(id: &BlobId) -> String {
    let text = id.as_str();
    text[..text.len() - 1].trim_end_matches('/').to_owned()
}

async fn run_blocking<T: Send + 'static>(
    work: impl FnOnce() -> Result<T, Report<store::StoreError>> + Send + 'static,
) -> Result<T, Report<DataError>> {
    spawn_blocking(work)
        .await
        .change_context(DataError::Store)?
        .change_context(DataError::Store)
}
