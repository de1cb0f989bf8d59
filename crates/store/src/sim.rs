//! In-memory disk that simulates crashes, a full disk, I/O errors and bit rot.
//!
//! Like a real disk, it caches writes until they are synced. A crash keeps a
//! random subset of the unsynced changes: each write may be lost, torn or
//! kept, independent of the others; of the creations, renames and deletions a
//! random prefix is kept. The same seed and the same calls produce the same
//! disk.

use std::{
    any::Any,
    collections::BTreeMap,
    io,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use crate::layer::{FileLayer, LayerFile, LockGuard};

/// Writes are torn at multiples of this size, and sometimes at any byte.
const SECTOR_BYTES: u64 = 512;

type Inode = u64;

#[derive(Clone, Debug)]
enum FileOp {
    Write { offset: u64, bytes: Vec<u8> },
    SetLen(u64),
}

impl FileOp {
    fn apply(&self, content: &mut Vec<u8>) {
        match self {
            FileOp::Write { offset, bytes } => {
                let start = *offset as usize;
                let end = start + bytes.len();
                if content.len() < end {
                    content.resize(end, 0);
                }
                content[start..end].copy_from_slice(bytes);
            }
            FileOp::SetLen(len) => content.resize(*len as usize, 0),
        }
    }
}

#[derive(Clone, Debug, Default)]
struct SimFile {
    content: Vec<u8>,
    synced: Vec<u8>,
    unsynced: Vec<FileOp>,
}

#[derive(Clone, Debug)]
enum FolderOp {
    Add(String, Inode),
    Rename(String, String),
    Remove(String),
}

impl FolderOp {
    fn apply(&self, names: &mut BTreeMap<String, Inode>) {
        match self {
            FolderOp::Add(name, inode) => {
                names.insert(name.clone(), *inode);
            }
            FolderOp::Rename(from, to) => {
                if let Some(inode) = names.remove(from) {
                    names.insert(to.clone(), inode);
                }
            }
            FolderOp::Remove(name) => {
                names.remove(name);
            }
        }
    }
}

#[derive(Debug, Default)]
struct Disk {
    files: BTreeMap<Inode, SimFile>,
    names: BTreeMap<String, Inode>,
    synced_names: BTreeMap<String, Inode>,
    unsynced: Vec<FolderOp>,
    next_inode: Inode,
    /// Incremented by each crash, which invalidates all handles from before.
    incarnation: u64,
    is_locked: bool,
    random: u64,
    changes: u64,
    syncs: u64,
    fails_after: Option<u64>,
    failing_syncs: u32,
    capacity_bytes: Option<u64>,
}

impl Disk {
    /// Returns a pseudorandom number (SplitMix64).
    fn random(&mut self) -> u64 {
        self.random = self.random.wrapping_add(0x9e37_79b9_7f4a_7c15);
        let mut mixed = self.random;
        mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
        mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
        mixed ^ (mixed >> 31)
    }

    /// Counts a change; returns an error once the disk has failed.
    fn count_change(&mut self) -> io::Result<()> {
        self.changes += 1;
        self.check_alive()
    }

    fn check_alive(&self) -> io::Result<()> {
        match self.fails_after {
            Some(limit) if self.changes > limit => {
                Err(io::Error::other("the simulated disk has failed"))
            }
            _ => Ok(()),
        }
    }

    fn used_bytes(&self) -> u64 {
        let named = self.names.values();
        let files = named.filter_map(|inode| self.files.get(inode));
        files.map(|file| file.content.len() as u64).sum()
    }

    /// Returns how many of `growth` additional bytes fit on the disk.
    fn available_bytes(&self, growth: u64) -> u64 {
        let capacity = self.capacity_bytes.unwrap_or(u64::MAX);
        growth.min(capacity.saturating_sub(self.used_bytes()))
    }

    fn crash(&mut self) {
        let kept = self.random() % (self.unsynced.len() as u64 + 1);
        let ops = std::mem::take(&mut self.unsynced);
        for op in &ops[..kept as usize] {
            op.apply(&mut self.synced_names);
        }
        self.names = self.synced_names.clone();
        let inodes: Vec<Inode> = self.names.values().copied().collect();
        self.files.retain(|inode, _| inodes.contains(inode));
        for inode in inodes {
            let mut file = self.files.remove(&inode).unwrap_or_default();
            for op in std::mem::take(&mut file.unsynced) {
                if let Some(op) = self.surviving_op(op) {
                    op.apply(&mut file.synced);
                }
            }
            file.content = file.synced.clone();
            self.files.insert(inode, file);
        }
        self.incarnation += 1;
        self.is_locked = false;
        self.fails_after = None;
        self.failing_syncs = 0;
        self.capacity_bytes = None;
    }

    /// Returns the part of an unsynced change that survives a crash.
    fn surviving_op(&mut self, op: FileOp) -> Option<FileOp> {
        match (self.random() % 4, op) {
            (0, _) => None,
            (1, FileOp::Write { offset, mut bytes }) => {
                let mut kept_bytes = self.random() % (bytes.len() as u64 + 1);
                if !self.random().is_multiple_of(4) {
                    kept_bytes -= kept_bytes % SECTOR_BYTES;
                }
                bytes.truncate(kept_bytes as usize);
                Some(FileOp::Write { offset, bytes })
            }
            (_, op) => Some(op),
        }
    }
}

/// In-memory disk; clones share their state.
///
/// # Example
///
/// ```
/// use pomeloslip_store::{FileLayer, sim::SimDisk};
///
/// # fn main() -> std::io::Result<()> {
/// let disk = SimDisk::new(7);
/// let file = disk.create("a")?;
/// file.write_all_at(b"synced", 0)?;
/// file.sync()?;
/// disk.sync_folder()?;
/// file.write_all_at(b"!", 6)?;
/// disk.crash();
/// let content = disk.content("a").unwrap_or_default();
/// assert!(content.starts_with(b"synced"));
/// assert!(file.sync().is_err());
/// # Ok(())
/// # }
/// ```
#[derive(Clone, Debug)]
pub struct SimDisk(Arc<Mutex<Disk>>);

impl SimDisk {
    /// Creates an empty disk; the seed determines the outcome of crashes.
    pub fn new(seed: u64) -> Self {
        let disk = Disk {
            random: seed,
            ..Disk::default()
        };
        Self(Arc::new(Mutex::new(disk)))
    }

    fn disk(&self) -> MutexGuard<'_, Disk> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Simulates a power failure and restart: some of the unsynced changes are
    /// lost, all handles are invalid, the lock is released and no fault is
    /// configured.
    pub fn crash(&self) {
        self.disk().crash();
    }

    /// Lets `count` more changes succeed, after which every call fails until
    /// the next crash.
    pub fn fail_after(&self, count: u64) {
        let mut disk = self.disk();
        disk.fails_after = Some(disk.changes + count);
    }

    /// Reports whether the disk has failed.
    pub fn has_failed(&self) -> bool {
        self.disk().check_alive().is_err()
    }

    /// Returns the number of changes requested so far.
    pub fn changes(&self) -> u64 {
        self.disk().changes
    }

    /// Returns the number of file syncs requested so far.
    pub fn syncs(&self) -> u64 {
        self.disk().syncs
    }

    /// Makes the next `count` syncs fail. As on Linux, the unsynced data is
    /// then treated as clean although it never reaches the disk.
    pub fn fail_syncs(&self, count: u32) {
        self.disk().failing_syncs = count;
    }

    /// Limits the total size of all files; `None` means no limit.
    pub fn set_capacity_bytes(&self, capacity: Option<u64>) {
        self.disk().capacity_bytes = capacity;
    }

    /// Returns the total size of all files.
    pub fn used_bytes(&self) -> u64 {
        self.disk().used_bytes()
    }

    /// Returns the names of all files, in order.
    pub fn names(&self) -> Vec<String> {
        self.disk().names.keys().cloned().collect()
    }

    /// Returns the content of a file.
    pub fn content(&self, name: &str) -> Option<Vec<u8>> {
        let disk = self.disk();
        let inode = disk.names.get(name)?;
        Some(disk.files.get(inode)?.content.clone())
    }

    /// Replaces the content of a file, both cached and durable, without its
    /// users noticing. Does nothing if there is no such file.
    pub fn set_content(&self, name: &str, content: Vec<u8>) {
        let mut disk = self.disk();
        let inode = disk.names.get(name).copied();
        let file = inode.and_then(|inode| disk.files.get_mut(&inode));
        if let Some(file) = file {
            file.synced = content.clone();
            file.content = content;
            file.unsynced.clear();
        }
    }
}

impl FileLayer for SimDisk {
    fn lock(&self) -> io::Result<LockGuard> {
        let mut disk = self.disk();
        if disk.is_locked {
            return Err(io::ErrorKind::WouldBlock.into());
        }
        disk.is_locked = true;
        let guard = SimLock {
            disk: self.clone(),
            incarnation: disk.incarnation,
        };
        let guard: Box<dyn Any + Send + Sync> = Box::new(guard);
        Ok(guard)
    }

    fn list(&self) -> io::Result<Vec<String>> {
        self.disk().check_alive()?;
        Ok(self.names())
    }

    fn open(&self, name: &str) -> io::Result<Box<dyn LayerFile>> {
        let disk = self.disk();
        disk.check_alive()?;
        let inode = disk.names.get(name).copied();
        let inode = inode.ok_or(io::ErrorKind::NotFound)?;
        Ok(Box::new(SimHandle {
            disk: self.clone(),
            inode,
            incarnation: disk.incarnation,
        }))
    }

    fn create(&self, name: &str) -> io::Result<Box<dyn LayerFile>> {
        let mut disk = self.disk();
        disk.count_change()?;
        let old = disk.names.get(name).copied();
        let inode = old.unwrap_or(disk.next_inode);
        if let Some(file) = disk.files.get_mut(&inode) {
            file.unsynced.push(FileOp::SetLen(0));
            file.content.clear();
        } else {
            disk.next_inode += 1;
            disk.files.insert(inode, SimFile::default());
            disk.names.insert(name.to_owned(), inode);
            disk.unsynced.push(FolderOp::Add(name.to_owned(), inode));
        }
        Ok(Box::new(SimHandle {
            disk: self.clone(),
            inode,
            incarnation: disk.incarnation,
        }))
    }

    fn rename(&self, from: &str, to: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_change()?;
        if !disk.names.contains_key(from) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let op = FolderOp::Rename(from.to_owned(), to.to_owned());
        op.apply(&mut disk.names);
        disk.unsynced.push(op);
        Ok(())
    }

    fn remove(&self, name: &str) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_change()?;
        if !disk.names.contains_key(name) {
            return Err(io::ErrorKind::NotFound.into());
        }
        let op = FolderOp::Remove(name.to_owned());
        op.apply(&mut disk.names);
        disk.unsynced.push(op);
        Ok(())
    }

    fn sync_folder(&self) -> io::Result<()> {
        let mut disk = self.disk();
        disk.count_change()?;
        disk.synced_names = disk.names.clone();
        disk.unsynced.clear();
        Ok(())
    }
}

struct SimLock {
    disk: SimDisk,
    incarnation: u64,
}

impl Drop for SimLock {
    fn drop(&mut self) {
        let mut disk = self.disk.disk();
        if disk.incarnation == self.incarnation {
            disk.is_locked = false;
        }
    }
}

#[derive(Debug)]
struct SimHandle {
    disk: SimDisk,
    inode: Inode,
    incarnation: u64,
}

impl SimHandle {
    fn with<T>(
        &self,
        work: impl FnOnce(&mut Disk, &mut SimFile) -> io::Result<T>,
    ) -> io::Result<T> {
        let mut disk = self.disk.disk();
        if disk.incarnation != self.incarnation {
            return Err(io::Error::other("the handle is from before a crash"));
        }
        let Some(mut file) = disk.files.remove(&self.inode) else {
            return Err(io::ErrorKind::NotFound.into());
        };
        let result = work(&mut disk, &mut file);
        disk.files.insert(self.inode, file);
        result
    }
}

impl LayerFile for SimHandle {
    fn len(&self) -> io::Result<u64> {
        self.with(|disk, file| {
            disk.check_alive()?;
            Ok(file.content.len() as u64)
        })
    }

    fn read_exact_at(&self, buffer: &mut [u8], offset: u64) -> io::Result<()> {
        self.with(|disk, file| {
            disk.check_alive()?;
            let rest = file.content.get(offset as usize..);
            let bytes = rest.and_then(|rest| rest.get(..buffer.len()));
            let bytes = bytes.ok_or(io::ErrorKind::UnexpectedEof)?;
            buffer.copy_from_slice(bytes);
            Ok(())
        })
    }

    fn write_all_at(&self, bytes: &[u8], offset: u64) -> io::Result<()> {
        self.with(|disk, file| {
            disk.count_change()?;
            let len = file.content.len() as u64;
            let growth = (offset + bytes.len() as u64).saturating_sub(len);
            // `used_bytes` does not include this file, which `with` has taken
            // out of the map.
            let available =
                disk.available_bytes(len + growth).saturating_sub(len);
            let fits = bytes.len() as u64 - (growth - available.min(growth));
            let op = FileOp::Write {
                offset,
                bytes: bytes[..fits as usize].to_vec(),
            };
            op.apply(&mut file.content);
            file.unsynced.push(op);
            if fits < bytes.len() as u64 {
                return Err(io::ErrorKind::StorageFull.into());
            }
            Ok(())
        })
    }

    fn set_len(&self, len: u64) -> io::Result<()> {
        self.with(|disk, file| {
            disk.count_change()?;
            let old = file.content.len() as u64;
            if len > old && disk.available_bytes(len) < len {
                return Err(io::ErrorKind::StorageFull.into());
            }
            let op = FileOp::SetLen(len);
            op.apply(&mut file.content);
            file.unsynced.push(op);
            Ok(())
        })
    }

    fn sync(&self) -> io::Result<()> {
        self.with(|disk, file| {
            disk.count_change()?;
            disk.syncs += 1;
            let ops = std::mem::take(&mut file.unsynced);
            if disk.failing_syncs > 0 {
                disk.failing_syncs -= 1;
                return Err(io::Error::other("the simulated sync failed"));
            }
            for op in &ops {
                op.apply(&mut file.synced);
            }
            Ok(())
        })
    }
}
