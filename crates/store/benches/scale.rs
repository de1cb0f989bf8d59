//! Measures the disk, start-up and memory cost of a store with many small
//! blobs.
//!
//! `cargo bench -p pomeloslip-store --bench scale [-- --small]` stores a
//! million blobs of 100 bytes (100,000 with `--small`). It prints the size of
//! the index per blob, and the time and memory needed to open the store with
//! and without the index, each measured in a separate process.

use std::{error::Error, fs, path::Path, process::Command, time::Instant};

use pomeloslip_store::{Store, StoreOptions};

const BLOB_BYTES: usize = 100;
const BATCH: usize = 1000;
/// Argument of the child processes that only open a store.
const OPEN_ARG: &str = "--open";

type Outcome<T> = Result<T, Box<dyn Error + Send + Sync>>;

/// Returns the resident memory of this process in KiB.
fn resident_kib() -> Outcome<u64> {
    let status = fs::read_to_string("/proc/self/status")?;
    let line = status.lines().find(|line| line.starts_with("VmRSS:"));
    let kib = line.and_then(|line| line.split_whitespace().nth(1));
    Ok(kib.ok_or("no VmRSS")?.parse()?)
}

fn fill(dir: &Path, blobs: usize) -> Outcome<()> {
    let (store, _) = Store::open(StoreOptions::new(dir))?;
    let bytes = vec![b'x'; BLOB_BYTES];
    let crc32 = crc32fast::hash(&bytes);
    let start = Instant::now();
    for batch in 0..blobs / BATCH {
        let mut puts = Vec::new();
        for n in 0..BATCH {
            // Interleaves the ids of different jobs.
            let job = (batch * 7919 + n * 31) % 5000;
            let id = format!("job-{job:06}/result/{batch:06}-{n:04}");
            puts.push((id.parse()?, bytes.clone().into(), crc32));
        }
        for result in store.put_all(puts) {
            result?;
        }
    }
    let rate = blobs as f64 / start.elapsed().as_secs_f64();
    println!("{blobs} blobs, {rate:.0} puts/s in batches of {BATCH}");
    Ok(())
}

/// Opens a store and prints the time and memory that this takes.
fn open(dir: &Path) -> Outcome<()> {
    let before_kib = resident_kib()?;
    let start = Instant::now();
    let (store, report) = Store::open(StoreOptions::new(dir))?;
    let open_ms = start.elapsed().as_millis();
    let open_kib = resident_kib()?.saturating_sub(before_kib);
    let start = Instant::now();
    let mut reads = 0;
    let mut after = None;
    for _ in 0..200 {
        let page = store.list("", after.as_ref(), 100)?;
        for info in page.iter().step_by(10) {
            store.get(&info.id)?;
            reads += 1;
        }
        after = page.last().map(|info| info.id.clone());
    }
    let read_us = start.elapsed().as_micros() / reads.max(1);
    let end_kib = resident_kib()?.saturating_sub(before_kib);
    println!(
        "{} blobs open in {open_ms} ms, +{open_kib} KiB; +{end_kib} KiB \
         after {reads} reads of {read_us} us",
        report.blobs
    );
    Ok(())
}

fn open_in_process(dir: &Path) -> Outcome<()> {
    let status = Command::new(std::env::current_exe()?)
        .arg(OPEN_ARG)
        .arg(dir)
        .status()?;
    if status.success() {
        Ok(())
    } else {
        Err("the store did not open".into())
    }
}

fn main() -> Outcome<()> {
    let args: Vec<String> = std::env::args().collect();
    if let Some(at) = args.iter().position(|arg| arg == OPEN_ARG) {
        return open(Path::new(args.get(at + 1).ok_or("no folder")?));
    }
    let small = args.iter().any(|arg| arg == "--small");
    let blobs = if small { 100_000 } else { 1_000_000 };
    let dir = tempfile::tempdir_in(env!("CARGO_TARGET_TMPDIR"))?;
    fill(dir.path(), blobs)?;
    let index = dir.path().join("index.redb");
    let index_bytes = fs::metadata(&index)?.len();
    println!("index: {} bytes per blob", index_bytes / blobs as u64);
    println!("with the index:");
    open_in_process(dir.path())?;
    println!("without it:");
    fs::remove_file(&index)?;
    open_in_process(dir.path())?;
    let index_bytes = fs::metadata(&index)?.len();
    println!("index: {} bytes per blob", index_bytes / blobs as u64);
    Ok(())
}
