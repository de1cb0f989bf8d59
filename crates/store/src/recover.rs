//! Opens a store and recovers from crashes and damage.

use std::{
    collections::{BTreeMap, BTreeSet, btree_map::Entry},
    io,
    sync::Arc,
};

use error_stack::{Report, ResultExt};

use crate::{
    OpenReport, StoreError, StoreOptions,
    apply::Change,
    index::{INDEX_NAME, Index, IndexError},
    layer::{DirLayer, FileLayer},
    options::{Limits, Location},
    replay::{Mode, Replayed, discard_index, replay},
    report::{Damage, IndexOrigin},
    rows::{SegmentStat, Totals},
    segment::{SegmentNumber, Segments, parse_segment_name, segment_name},
    writer::{Core, Writer},
};

/// Suffix that is added to the name of an unusable file.
const UNUSABLE_SUFFIX: &str = ".broken";

/// Number of checkpoint distances at the end of the log whose payloads are
/// verified on opening: the last durable checkpoint may be this far back.
const VERIFY_CHECKPOINTS: u64 = 2;

/// Locks the folder and recovers its content.
pub(crate) fn open(
    options: StoreOptions,
) -> Result<(Arc<Core>, OpenReport), Report<StoreError>> {
    let layer = open_layer(options.location)?;
    let lock = layer.lock().map_err(|error| {
        let context = match error.kind() {
            io::ErrorKind::WouldBlock => StoreError::Locked,
            _ => StoreError::Folder,
        };
        Report::new(error).change_context(context)
    })?;
    let mut report = OpenReport::default();
    let names = layer.list().change_context(StoreError::Folder)?;
    let salts = collect_segments(layer.as_ref(), &names, &mut report);
    let segments = Segments::new(layer, salts);
    let has_index = names.iter().any(|name| name == INDEX_NAME);
    let (index, replayed) =
        open_index(&segments, options.limits, has_index, &mut report)
            .change_context(StoreError::Folder)
            .attach("building the index")?;
    let writer = clean_up(&segments, &index, &replayed, &mut report)?;
    report.replayed_records = replayed.records;
    report.torn_bytes = replayed.torn_bytes;
    report.torn = replayed.torn;
    report.corrupt = replayed.corrupt;
    let core = Core::new(
        segments,
        index,
        writer,
        options.limits,
        options.clock,
        lock,
    );
    core.writer().commit(&core, replayed.rescued)?;
    let totals = core.with_index(Index::totals)?;
    report.blobs = totals.blobs;
    report.bytes = totals.payload_bytes;
    Ok((Arc::new(core), report))
}

fn open_layer(
    location: Location,
) -> Result<Arc<dyn FileLayer>, Report<StoreError>> {
    match location {
        Location::Layer(layer) => Ok(layer),
        Location::Dir(dir) => {
            let layer =
                DirLayer::new(dir).change_context(StoreError::Folder)?;
            Ok(Arc::new(layer))
        }
    }
}

/// Returns the segments among the files; a second file with the same segment
/// number is renamed as unusable.
fn collect_segments(
    layer: &dyn FileLayer,
    names: &[String],
    report: &mut OpenReport,
) -> BTreeMap<SegmentNumber, u64> {
    let mut salts = BTreeMap::new();
    for name in names {
        let Some((number, salt)) = parse_segment_name(name) else {
            continue;
        };
        match salts.entry(number) {
            Entry::Vacant(entry) => {
                entry.insert(salt);
            }
            Entry::Occupied(_) => rename_unusable(layer, name, report),
        }
    }
    salts
}

fn rename_unusable(
    layer: &dyn FileLayer,
    name: &str,
    report: &mut OpenReport,
) {
    let aside = format!("{name}{UNUSABLE_SUFFIX}");
    match layer.rename(name, &aside) {
        Ok(()) => log::error!("{name} is unusable, renamed to {aside}"),
        Err(error) => log::error!("cannot rename unusable {name}: {error}"),
    }
    report.set_aside.push(name.to_owned());
}

fn open_index(
    segments: &Segments,
    limits: Limits,
    has_index: bool,
    report: &mut OpenReport,
) -> Result<(Index, Replayed), Report<IndexError>> {
    let layer = segments.layer().as_ref();
    let cache_bytes = limits.index_cache_bytes;
    if has_index {
        let opened = Index::open(layer, cache_bytes).and_then(|index| {
            let replayed = catch_up(segments, &index, limits, report)?;
            Ok((index, replayed))
        });
        match opened {
            Ok(opened) => {
                report.index = IndexOrigin::Intact;
                return Ok(opened);
            }
            Err(error) => {
                log::error!("the index is unusable and is rebuilt: {error:#}");
                report.damaged.clear();
                report.index = IndexOrigin::Rebuilt {
                    reason: format!("{error:#}"),
                };
            }
        }
        discard_index(layer);
    } else if !segments.all().is_empty() {
        report.index = IndexOrigin::Rebuilt {
            reason: "the index is missing".to_owned(),
        };
    }
    let index = Index::create(layer, cache_bytes)?;
    let mode = Mode::Start { verify_bytes: 0 };
    let replayed = replay(segments, &index, (0, 0), mode)?;
    Ok((index, replayed))
}

/// Brings an intact index up to date with the log.
fn catch_up(
    segments: &Segments,
    index: &Index,
    limits: Limits,
    report: &mut OpenReport,
) -> Result<Replayed, Report<IndexError>> {
    let totals = index.totals()?;
    let known = index.segments()?;
    delete_dropped(segments, &totals, &known);
    for (number, stat) in &known {
        check_length(segments, *number, stat, report);
    }
    let from = (totals.covered_segment, totals.covered_offset);
    let verify_bytes = limits
        .checkpoint_bytes
        .saturating_mul(VERIFY_CHECKPOINTS)
        .max(limits.segment_bytes);
    replay(segments, index, from, Mode::Start { verify_bytes })
}

/// Deletes segments that the index has already dropped.
///
/// A crash may undo the deletion of a file. Its removed blobs would reappear
/// if the index were rebuilt later.
fn delete_dropped(
    segments: &Segments,
    totals: &Totals,
    known: &[(SegmentNumber, SegmentStat)],
) {
    for (number, _) in segments.all() {
        let dropped = number <= totals.covered_segment
            && known.iter().all(|(other, _)| *other != number);
        if dropped && let Err(error) = segments.delete(number) {
            log::warn!("cannot delete dropped segment {number}: {error}");
        }
    }
}

/// Reports a segment that is missing or shorter than recorded in the index.
///
/// Its blobs stay in the index, so that reads and scrubs can report them.
fn check_length(
    segments: &Segments,
    number: SegmentNumber,
    stat: &SegmentStat,
    report: &mut OpenReport,
) {
    let opened = segments.open(number).ok();
    let len = opened.and_then(|(file, _)| file.len().ok()).unwrap_or(0);
    if len < stat.file_bytes {
        let salt = segments.salt(number).unwrap_or(0);
        report.damaged.push(Damage {
            file: segment_name(number, salt),
            from: len,
            bytes: stat.file_bytes - len,
        });
    }
}

/// Truncates the torn batch, deletes or renames unusable files and returns the
/// writer for the remaining log.
fn clean_up(
    segments: &Segments,
    index: &Index,
    replayed: &Replayed,
    report: &mut OpenReport,
) -> Result<Writer, Report<StoreError>> {
    if let Some((number, truncate_at)) = replayed.truncate_at
        && let Ok((file, _)) = segments.open(number)
    {
        file.set_len(truncate_at)
            .change_context(StoreError::Folder)?;
        file.sync().change_context(StoreError::Folder)?;
    }
    for (number, from, to) in &replayed.damaged {
        let salt = segments.salt(*number).unwrap_or(0);
        report.damaged.push(Damage {
            file: segment_name(*number, salt),
            from: *from,
            bytes: to - from,
        });
    }
    let mut drops = Vec::new();
    for (number, scanned) in &replayed.scanned {
        if !scanned.is_open {
            continue;
        }
        if scanned.bytes == 0 {
            segments
                .delete(*number)
                .change_context(StoreError::Folder)?;
            drops.push(Change::Drop { segment: *number });
        } else if !scanned.has_records {
            let salt = segments.salt(*number).unwrap_or(0);
            let name = segment_name(*number, salt);
            rename_unusable(segments.layer().as_ref(), &name, report);
            segments.unregister(*number);
            drops.push(Change::Drop { segment: *number });
        }
    }
    index
        .apply(&drops, true)
        .change_context(StoreError::Folder)?;
    new_writer(segments, index).change_context(StoreError::Folder)
}

fn new_writer(
    segments: &Segments,
    index: &Index,
) -> Result<Writer, Report<IndexError>> {
    let totals = index.totals()?;
    let known = index.segments()?;
    let disk_bytes = known.iter().map(|(_, stat)| stat.file_bytes).sum();
    let numbers = known.iter().map(|(number, _)| *number);
    let files = segments.all().into_iter().map(|(number, _)| number);
    let last = numbers.chain(files).max().unwrap_or(0);
    let last = last.max(totals.covered_segment);
    Ok(Writer {
        active: None,
        next_segment: last + 1,
        next_seq: totals.next_seq.max(1),
        disk_bytes,
        copying: None,
        unreadable: BTreeSet::new(),
        nondurable_bytes: 0,
        nondurable_records: 0,
    })
}
