//! A panic while one writer commits the batch of others.
//!
//! Guards against all later puts hanging after a group commit leader panics,
//! which happens if no other writer becomes the leader.

mod common;

use std::{
    io,
    panic::{AssertUnwindSafe, catch_unwind},
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
};

use pomeloslip_store::{
    FileLayer, LayerFile, LockGuard, PutOutcome, Store, StoreOptions,
    sim::SimDisk,
};

use crate::common::{get, put};

/// A disk whose next sync panics on request.
#[derive(Clone, Debug)]
struct PanickingDisk {
    disk: SimDisk,
    panics: Arc<AtomicBool>,
}

#[derive(Debug)]
struct PanickingFile {
    file: Box<dyn LayerFile>,
    panics: Arc<AtomicBool>,
}

impl PanickingDisk {
    fn wrap(&self, file: Box<dyn LayerFile>) -> Box<dyn LayerFile> {
        let panics = self.panics.clone();
        Box::new(PanickingFile { file, panics })
    }
}

impl FileLayer for PanickingDisk {
    fn lock(&self) -> io::Result<LockGuard> {
        self.disk.lock()
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.disk.list()
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn LayerFile>> {
        Ok(self.wrap(self.disk.open(name)?))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn LayerFile>> {
        Ok(self.wrap(self.disk.create(name)?))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        self.disk.rename(from, to)
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        self.disk.remove(name)
    }

    fn sync_folder(&self) -> io::Result<()> {
        self.disk.sync_folder()
    }
}

impl LayerFile for PanickingFile {
    fn len(&self) -> io::Result<u64> {
        self.file.len()
    }

    fn read_exact_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<()> {
        self.file.read_exact_at(buffer, offset)
    }

    fn write_all_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        self.file.write_all_at(bytes, offset)
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.file.set_len(len)
    }

    fn sync(&self) -> io::Result<()> {
        assert!(
            !self.panics.swap(false, Ordering::Relaxed),
            "injected sync panic"
        );
        self.file.sync()
    }
}

#[test]
fn later_puts_go_on_after_a_panic() {
    let disk = PanickingDisk {
        disk: SimDisk::new(1),
        panics: Arc::default(),
    };
    let options = StoreOptions::with_layer(disk.clone());
    let (store, _) = Store::open(options.clone()).expect("opens");
    assert_eq!(put(&store, "a", b"1"), Ok(PutOutcome::Stored));
    disk.panics.store(true, Ordering::Relaxed);
    let panicked = catch_unwind(AssertUnwindSafe(|| put(&store, "b", b"2")));
    assert!(panicked.is_err());
    assert_eq!(get(&store, "b"), Ok(None));
    assert_eq!(put(&store, "b", b"2"), Ok(PutOutcome::Stored));
    drop(store);
    disk.disk.crash();
    let (store, report) = Store::open(options).expect("opens");
    assert_eq!(report.blobs, 2);
    assert_eq!(get(&store, "b"), Ok(Some(b"2".to_vec())));
}
