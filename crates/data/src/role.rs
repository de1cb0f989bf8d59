use std::sync::Arc;

use conf::settings::DataSettings;
use error_stack::{Report, ResultExt};
use futures::future::{BoxFuture, FutureExt};
use store::{BlobId, Store, StoreError, StoreOptions};
use tokio::task::spawn_blocking;
use wire::{
    DataHandler,
    message::{Refusal, RefusalKind, StoreStat, StoredBlob},
};

use crate::DataError;

/// Serves data requests of other processes from a store on disk.
#[derive(Clone)]
pub struct DataRole {
    store: Store,
}

impl DataRole {
    /// Opens the data folder and logs any damage that is found.
    ///
    /// # Errors
    ///
    /// [`DataError::Folder`] if another process uses the folder or it cannot
    /// be read or written.
    pub fn open(settings: &DataSettings) -> Result<Self, Report<DataError>> {
        let options = StoreOptions::new(&settings.folder)
            .quota_bytes(settings.quota_bytes);
        let (store, report) =
            Store::open(options).change_context(DataError::Folder)?;
        if report.needs_repair() {
            log::warn!(report:?; "the data folder is damaged");
        }
        Ok(Self { store })
    }

    /// Returns the store.
    #[inline]
    pub fn store(&self) -> &Store {
        &self.store
    }
}

/// Runs blocking disk I/O on a separate thread.
async fn run_blocking<T: Send + 'static>(
    work: impl FnOnce() -> T + Send + 'static,
) -> Result<T, Refusal> {
    spawn_blocking(work)
        .await
        .map_err(|error| Refusal::new(RefusalKind::Failed, error.to_string()))
}

fn parse_id(id: &str) -> Result<BlobId, Refusal> {
    id.parse().map_err(|error: store::BlobIdError| {
        Refusal::new(RefusalKind::Invalid, error.to_string())
    })
}

fn to_refusal(report: Report<StoreError>) -> Refusal {
    let kind = match report.current_context() {
        StoreError::QuotaExceeded | StoreError::DiskFull => {
            RefusalKind::NoSpace
        }
        StoreError::ContentMismatch | StoreError::Corrupt => {
            RefusalKind::Conflict
        }
        StoreError::TooLarge | StoreError::CrcMismatch => RefusalKind::Invalid,
        _ => RefusalKind::Failed,
    };
    log::warn!(error:? = report; "the store rejects a request");
    Refusal::new(kind, report.to_string())
}

impl DataHandler for DataRole {
    fn put(
        &self,
        id: String,
        blob: StoredBlob,
    ) -> BoxFuture<'static, Result<(), Refusal>> {
        let store = self.store.clone();
        async move {
            let id = parse_id(&id)?;
            let put = move || store.put(&id, blob.bytes, blob.crc);
            run_blocking(put).await?.map(|_| ()).map_err(to_refusal)
        }
        .boxed()
    }

    fn get(
        &self,
        id: String,
    ) -> BoxFuture<'static, Result<Option<StoredBlob>, Refusal>> {
        let store = self.store.clone();
        async move {
            let id = parse_id(&id)?;
            let found = run_blocking(move || store.get(&id))
                .await?
                .map_err(to_refusal)?;
            Ok(found.map(|blob| StoredBlob {
                crc: blob.crc32,
                bytes: blob.bytes,
            }))
        }
        .boxed()
    }

    fn remove(&self, id: String) -> BoxFuture<'static, ()> {
        let store = self.store.clone();
        async move {
            let Ok(id) = parse_id(&id) else { return };
            if let Ok(Err(report)) =
                run_blocking(move || store.remove(&id)).await
            {
                log::warn!(error:? = report; "cannot remove a blob");
            }
        }
        .boxed()
    }

    fn stat(&self) -> BoxFuture<'static, StoreStat> {
        let store = self.store.clone();
        async move {
            let stat = run_blocking(move || store.stat()).await;
            let Ok(Ok(stat)) = stat else {
                return StoreStat::default();
            };
            StoreStat {
                blobs: stat.blobs,
                bytes: stat.bytes,
                quota_bytes: stat.quota_bytes,
            }
        }
        .boxed()
    }

    fn list(
        &self,
        after: String,
        limit: u32,
    ) -> BoxFuture<'static, Vec<String>> {
        let store = self.store.clone();
        async move {
            let after = parse_id(&after).ok();
            let listed = run_blocking(move || {
                store.list("", after.as_ref(), limit as usize)
            });
            let Ok(Ok(blobs)) = listed.await else {
                return vec![];
            };
            blobs.iter().map(|blob| blob.id.to_string()).collect()
        }
        .boxed()
    }
}

/// Wraps a role as a handler for a server.
pub(crate) fn handler(role: &DataRole) -> Arc<dyn DataHandler> {
    Arc::new(role.clone())
}
