//! Blobs on data VMs, as two copies in different failure domains.

use base::stable_hash;
use bytes::Bytes;
use conf::settings::DataVm;
use error_stack::{Report, ResultExt};
use futures::future::join_all;
use wire::{Links, message::StoredBlob};

use crate::{EntryError, batch::Chunk};

/// Copies that must be on disk before a write is acknowledged.
const COPIES: usize = 2;

/// Writes and reads blobs on the data VMs.
pub(crate) struct Blobs {
    links: Links,
    data_vms: Vec<DataVm>,
}

impl Blobs {
    pub(crate) fn new(links: Links, data_vms: Vec<DataVm>) -> Self {
        Self { links, data_vms }
    }

    /// Stores a blob on two data VMs in different failure domains.
    ///
    /// One copy would be lost with its VM right after the acknowledgement;
    /// two in one failure domain would be lost with the domain.
    pub(crate) async fn put(
        &self,
        id: String,
        bytes: Bytes,
        items: u32,
    ) -> Result<Chunk, Report<EntryError>> {
        let crc = crc32fast::hash(&bytes);
        let ranked = self.ranked_vms(&id);
        let mut stored_on: Vec<&DataVm> = Vec::new();
        let mut next = ranked.iter();
        let mut last_error = None;
        while stored_on.len() < COPIES {
            // Both copies are written concurrently; a failed one is retried
            // on the next data VM of another failure domain.
            let mut round: Vec<&DataVm> = Vec::new();
            while stored_on.len() + round.len() < COPIES {
                let is_domain_used = |vm: &DataVm| {
                    stored_on
                        .iter()
                        .chain(&round)
                        .any(|other| other.failure_domain == vm.failure_domain)
                };
                match next.by_ref().find(|vm| !is_domain_used(vm)) {
                    Some(vm) => round.push(vm),
                    None => break,
                }
            }
            if round.is_empty() {
                let report = Report::new(EntryError::Storage)
                    .attach("too few data VMs stored the blob");
                return Err(match last_error {
                    Some(cause) => report.attach(format!("{cause:?}")),
                    None => report,
                });
            }
            let puts = round.iter().map(|vm| {
                let blob = StoredBlob {
                    bytes: bytes.clone(),
                    crc,
                };
                self.links.put_blob(vm.address, id.clone(), blob)
            });
            for (vm, stored) in round.iter().zip(join_all(puts).await) {
                match stored {
                    Ok(()) => stored_on.push(vm),
                    Err(report) => last_error = Some(report),
                }
            }
        }
        let length = bytes.len() as u64;
        Ok(Chunk {
            blob: id,
            bytes: length,
            crc,
            items,
        })
    }

    /// Reads a blob from the first data VM that has an intact copy.
    pub(crate) async fn get(
        &self,
        chunk: &Chunk,
    ) -> Result<Bytes, Report<EntryError>> {
        let mut last_error = None;
        for vm in self.ranked_vms(&chunk.blob) {
            let read = self.links.get_blob(vm.address, chunk.blob.clone());
            match read.await {
                Ok(Some(blob)) if is_intact(chunk, &blob) => {
                    return Ok(blob.bytes);
                }
                Ok(_) => {}
                Err(report) => last_error = Some(report),
            }
        }
        let missing = || format!("no intact copy of {}", chunk.blob);
        match last_error {
            Some(report) => Err(report),
            None => {
                return Err(Report::new(EntryError::Storage))
                    .attach_with(missing);
            }
        }
        .change_context(EntryError::Storage)
        .attach_with(missing)
    }

    /// Orders the data VMs by rendezvous hashing, so that every entry finds a
    /// blob without a lookup.
    fn ranked_vms(&self, id: &str) -> Vec<&DataVm> {
        let mut ranked: Vec<&DataVm> = self.data_vms.iter().collect();
        ranked.sort_by_key(|vm| rendezvous_hash(id, vm));
        ranked
    }
}

fn rendezvous_hash(id: &str, vm: &DataVm) -> u64 {
    stable_hash(&[id, vm.vm.as_str()])
}

fn is_intact(chunk: &Chunk, blob: &StoredBlob) -> bool {
    blob.bytes.len() as u64 == chunk.bytes
        && crc32fast::hash(&blob.bytes) == chunk.crc
}
