//! Compares on-disk layouts for write-once blobs.
//!
//! `cargo bench -p pomeloslip-store --bench layouts [-- --small]` prints the
//! synced puts per second of each layout for 1, 8 and 64 writers, and their
//! ratio to the layout of one file per blob in the same run. Each figure is
//! the median of three rounds.

use std::{
    collections::VecDeque,
    error::Error,
    fs::{self, File},
    io::Write,
    path::{Path, PathBuf},
    sync::{
        Condvar, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU64, Ordering},
    },
    thread,
    time::{Duration, Instant},
};

use pomeloslip_store::{Store, StoreOptions};
use redb::{Database, TableDefinition};

const VALUES: TableDefinition<&str, &[u8]> = TableDefinition::new("values");
const WRITERS: [usize; 3] = [1, 8, 64];
const SIZES: [usize; 2] = [4 << 10, 256 << 10];
const ROUNDS: usize = 3;
const CACHE_BYTES: usize = 4 << 20;

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;
type Batch = Vec<(String, Vec<u8>)>;

/// An on-disk layout for blobs.
trait Layout: Sync {
    fn put(&self, id: String, bytes: Vec<u8>) -> Outcome<()>;
}

/// One file per blob: write, sync, rename, sync the directory.
struct Files {
    dir: PathBuf,
    handle: File,
}

impl Layout for Files {
    fn put(&self, id: String, bytes: Vec<u8>) -> Outcome<()> {
        let temporary = self.dir.join(format!("{id}.tmp"));
        let mut file = File::create(&temporary)?;
        file.write_all(&bytes)?;
        file.sync_data()?;
        fs::rename(&temporary, self.dir.join(id))?;
        self.handle.sync_all()?;
        Ok(())
    }
}

/// Group commit of the puts of concurrent writers.
struct Group<C> {
    commit: C,
    state: Mutex<State>,
    changed: Condvar,
}

#[derive(Default)]
struct State {
    waiting: VecDeque<(String, Vec<u8>)>,
    queued: u64,
    done: u64,
    leading: bool,
}

impl<C> Group<C> {
    fn new(commit: C) -> Self {
        Self {
            commit,
            state: Mutex::default(),
            changed: Condvar::new(),
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl<C: Fn(Batch) -> Outcome<()> + Sync> Layout for Group<C> {
    fn put(&self, id: String, bytes: Vec<u8>) -> Outcome<()> {
        let mut state = self.state();
        state.waiting.push_back((id, bytes));
        state.queued += 1;
        let ticket = state.queued;
        while state.done < ticket {
            if state.leading {
                state = self
                    .changed
                    .wait(state)
                    .unwrap_or_else(PoisonError::into_inner);
                continue;
            }
            state.leading = true;
            let batch: Batch = state.waiting.drain(..).collect();
            let count = batch.len() as u64;
            drop(state);
            (self.commit)(batch)?;
            state = self.state();
            state.leading = false;
            state.done += count;
            self.changed.notify_all();
        }
        Ok(())
    }
}

fn files(dir: &Path) -> Outcome<Box<dyn Layout>> {
    Ok(Box::new(Files {
        dir: dir.to_owned(),
        handle: File::open(dir)?,
    }))
}

/// Stores blobs as values of one redb table.
fn redb_values(dir: &Path) -> Outcome<Box<dyn Layout>> {
    let db = Database::builder()
        .set_cache_size(CACHE_BYTES)
        .create(dir.join("values.redb"))?;
    Ok(Box::new(Group::new(move |batch: Batch| {
        let txn = db.begin_write()?;
        let mut table = txn.open_table(VALUES)?;
        for (id, bytes) in &batch {
            table.insert(id.as_str(), bytes.as_slice())?;
        }
        drop(table);
        txn.commit()?;
        Ok(())
    })))
}

/// The store of this crate: a log with an index in redb.
struct Log(Store);

impl Layout for Log {
    fn put(&self, id: String, bytes: Vec<u8>) -> Outcome<()> {
        let crc32 = crc32fast::hash(&bytes);
        self.0.put(&id.parse()?, bytes.into(), crc32)?;
        Ok(())
    }
}

fn log(dir: &Path) -> Outcome<Box<dyn Layout>> {
    let options = StoreOptions::new(dir).quota_bytes(u64::MAX);
    Ok(Box::new(Log(Store::open(options)?.0)))
}

/// Returns the puts per second and the ratio of disk bytes to payload bytes.
fn measure(
    layout: &dyn Layout,
    dir: &Path,
    writers: usize,
    size: usize,
    span: Duration,
) -> Outcome<(f64, f64)> {
    let puts = AtomicU64::new(0);
    let payload: Vec<u8> = (0..size).map(|i| ((i * 31) >> 3) as u8).collect();
    let start = Instant::now();
    thread::scope(|scope| -> Outcome<()> {
        let work = |writer: usize| {
            let (puts, payload) = (&puts, &payload);
            scope.spawn(move || -> Outcome<()> {
                for n in 0.. {
                    if start.elapsed() >= span {
                        break;
                    }
                    let id = format!("job-{writer:03}-{n:08}");
                    layout.put(id, payload.clone())?;
                    puts.fetch_add(1, Ordering::Relaxed);
                }
                Ok(())
            })
        };
        let threads: Vec<_> = (0..writers).map(work).collect();
        for thread in threads {
            thread.join().map_err(|_| "a writer panicked")??;
        }
        Ok(())
    })?;
    let rate =
        puts.load(Ordering::Relaxed) as f64 / start.elapsed().as_secs_f64();
    let mut disk = 0;
    for entry in fs::read_dir(dir)? {
        disk += entry?.metadata()?.len();
    }
    let put_bytes = puts.load(Ordering::Relaxed) * size as u64;
    Ok((rate, disk as f64 / put_bytes as f64))
}

type Open = fn(&Path) -> Outcome<Box<dyn Layout>>;

/// Runs several rounds and returns the one with the median rate.
fn rounds(
    open: Open,
    writers: usize,
    size: usize,
    span: Duration,
) -> Outcome<(f64, f64)> {
    let mut figures = Vec::new();
    for _ in 0..ROUNDS {
        let dir = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR"))?;
        let layout = open(dir.path())?;
        let layout = layout.as_ref();
        figures.push(measure(layout, dir.path(), writers, size, span)?);
    }
    figures.sort_by(|a, b| a.0.total_cmp(&b.0));
    Ok(figures[ROUNDS / 2])
}

fn main() -> Outcome<()> {
    let small = std::env::args().any(|arg| arg == "--small");
    let span = Duration::from_millis(if small { 200 } else { 2_000 });
    let layouts: [(&str, Open); 3] = [
        ("files", files),
        ("redb values", redb_values),
        ("this store", log),
    ];
    println!("layout        KiB writers   puts/s  ratio  disk/put");
    for size in SIZES {
        for writers in WRITERS {
            let mut base = None;
            for (name, open) in layouts {
                let (rate, disk) = rounds(open, writers, size, span)?;
                let ratio = rate / *base.get_or_insert(rate);
                let kib = size >> 10;
                println!(
                    "{name:12} {kib:4} {writers:7} {rate:8.0} {ratio:6.2} \
                     {disk:9.2}"
                );
            }
        }
    }
    Ok(())
}
