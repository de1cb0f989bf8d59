//! Keeps a feed up to date from other nodes or the key-value service.

use std::{fmt, sync::Arc, time::Duration};

use base::{Clock, Millis};
use error_stack::Report;
use jobs::NodeRecord;
use kv::{Kv, KvError, Watcher};
use pass::{Counters, Pool};
use tokio::time;

use crate::{
    feed::Feed,
    feed_wire::{self, FeedQuery},
    peer,
    readers::{
        NextStep, QueryFailure, QueryTiming, ReadMode, Readers, START_WAIT_MS,
    },
    turns::RoundRobinSlot,
};

/// Pause after a failed read of the key-value service, in milliseconds. Its
/// recovery is noticed within this time, at the cost of a few calls a second
/// for the whole fleet.
const READ_RETRY_MS: u64 = 400;

/// Pause between two queries to readers that have not started yet, in
/// milliseconds.
const START_RETRY_MS: u64 = 20;

/// Number of changes that a starting node requests first. Three hundred
/// endpoints are a few for each request, and take 30 ms on a slow link of 30
/// megabits a second and as long on a tenth of a core; the remainder follows
/// at once.
const FIRST_PAGE_CHANGES: usize = 300;

/// Number of keys from which on some key changes between any two reads:
/// endpoints write their entries about once a second.
const MIN_CHANGING_KEYS: usize = 8;

/// Maximum wait for the changes since the last read, in milliseconds. The
/// changes exist already, so a healthy key-value service responds at once.
const CHANGES_TIMEOUT_MS: u64 = 300;

/// Interval between two full reads by one reader, in milliseconds. A full read
/// recovers changes that a watch has missed.
const FULL_READ_INTERVAL_MS: u64 = 10_000;

/// Pause of a reader that waits for its turn and cannot query another reader,
/// in milliseconds.
const TURN_RETRY_MS: u64 = 50;

/// Keeps one feed up to date until the process ends.
pub(crate) struct Follower {
    pub(crate) feed_number: usize,
    pub(crate) feed: Arc<Feed>,
    pub(crate) read_mode: ReadMode,
    pub(crate) timing: QueryTiming,
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) readers: Arc<Readers>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) counters: Arc<Counters>,
}

impl Follower {
    pub(crate) async fn run(self) {
        let mut dependency_log = DependencyLog::new(self.feed.prefix());
        let mut watcher: Option<Box<dyn Watcher>> = None;
        let mut turn: usize = 0;
        let mut full_read_at = Millis::default();
        self.start().await;
        loop {
            let now = self.clock.now();
            turn = turn.wrapping_add(1);
            let step = self.readers.next_step(
                self.feed_number,
                self.read_mode,
                now,
                turn,
            );
            match step {
                NextStep::Read => {}
                NextStep::Query(reader) => {
                    match self.query(&reader, self.timing).await {
                        Ok(()) => {
                            watcher = None;
                            continue;
                        }
                        Err(failure) => self.avoid(&reader, failure),
                    }
                }
                NextStep::RoundRobin(slot, readers) => {
                    if self.defer_to_readers(slot, &readers).await {
                        continue;
                    }
                }
            }
            match self.read(&mut watcher, &mut full_read_at).await {
                Ok(()) => {
                    dependency_log.record_recovery(self.clock.now());
                    if let ReadMode::Watch { pause_ms, .. } = self.read_mode {
                        pause(pause_ms).await;
                    }
                }
                Err(report) => {
                    watcher = None;
                    let now = self.clock.now();
                    dependency_log.record_loss(now, report.current_context());
                    self.feed.record_read_failure(now);
                    pause(READ_RETRY_MS).await;
                }
            }
        }
    }

    /// Queries the readers until one returns first data, or the wait limit is
    /// over.
    async fn start(&self) {
        let mut seeded = self.readers.seeded.subscribe();
        let _ = seeded.wait_for(|seeded| *seeded).await;
        let started_at = self.clock.now();
        let until = started_at.saturating_add_ms(START_WAIT_MS);
        for turn in 0.. {
            let now = self.clock.now();
            let reader =
                self.readers.start_source(self.feed_number, now, turn);
            let Some(reader) = reader.filter(|_| now < until) else {
                return;
            };
            if self.query(&reader, self.timing).await.is_ok() {
                return;
            }
            pause(START_RETRY_MS).await;
        }
    }

    /// Waits for another reader's read, or returns `false` if it is this
    /// node's turn. `None` entries of `readers` are readers that are being
    /// avoided.
    async fn defer_to_readers(
        &self,
        slot: RoundRobinSlot,
        readers: &[Option<NodeRecord>],
    ) -> bool {
        let now = self.clock.now();
        let status = self.feed.status();
        let Some(fresh_at) = status.fresh_at else {
            return false;
        };
        let last = self.readers.index_of(status.read_by);
        let period_ms = self.read_mode.pause_ms();
        let wait_ms = slot.wait_ms(last, period_ms, fresh_at, now);
        if wait_ms == 0 {
            return false;
        }
        let candidates = (0..slot.readers).filter_map(|nth| {
            let index = slot.nth_reader(last, nth);
            readers.get(index)?.as_ref().filter(|_| index != slot.index)
        });
        let Some(next) = candidates.clone().next() else {
            pause(wait_ms).await;
            return true;
        };
        let timing = QueryTiming {
            wait_ms: wait_ms.min(self.timing.wait_ms),
            ..self.timing
        };
        if let Err(failure) = self.query(next, timing).await {
            self.avoid(next, failure);
            pause(wait_ms.min(TURN_RETRY_MS)).await;
        }
        true
    }

    fn avoid(&self, reader: &NodeRecord, failure: QueryFailure) {
        let now = self.clock.now();
        self.readers
            .avoid(self.feed_number, &reader.node, failure, now);
    }

    /// Queries a reader and merges its changes.
    async fn query(
        &self,
        reader: &NodeRecord,
        timing: QueryTiming,
    ) -> Result<(), QueryFailure> {
        let Some(peer) = peer::endpoint_of(reader) else {
            return Err(QueryFailure::Silent);
        };
        let known = self.feed.status();
        let clock = &*self.clock;
        let sent_at = clock.now();
        let query = FeedQuery {
            feed_number: self.feed_number,
            after: known.revision,
            age_ms: known.fresh_at.map(|at| sent_at.saturating_ms_since(at)),
            max_changes: match known.revision {
                0 => FIRST_PAGE_CHANGES,
                _ => usize::MAX,
            },
            scope: self.feed.scope(),
            timing,
        };
        let counters = &*self.counters;
        let fetched = feed_wire::fetch_changes(
            &self.pool, &peer, query, clock, counters,
        );
        let Some(delta) = fetched.await else {
            return Err(QueryFailure::Silent);
        };
        let now = self.clock.now();
        let age = delta.fresh_at.map(|at| now.saturating_ms_since(at));
        // A reader that confirmed its data before the other reader did is at
        // an older revision and equally good; the merge ignores older items.
        let is_fresh =
            age.is_some_and(|age_ms| age_ms <= self.timing.max_age_ms);
        // A first page is good enough to start with.
        let is_first_page =
            known.fresh_at.is_none() && delta.revision > known.revision;
        if !is_fresh && !is_first_page {
            return Err(QueryFailure::Behind);
        }
        self.feed.merge(delta);
        Ok(())
    }

    /// Reads the changes since the last read of any reader, in a single call
    /// regardless of the number of keys; returns whether that was enough.
    ///
    /// A watch that returns no changes of keys that change all the time may
    /// have lost its history, so only a watch with changes counts.
    async fn read_changes(&self, full_read_at: Millis) -> bool {
        let known = self.feed.status();
        let started_at = self.clock.now();
        let since_ms = started_at.saturating_ms_since(full_read_at);
        let needs_full_read = known.revision == 0
            || known.items < MIN_CHANGING_KEYS
            || since_ms >= FULL_READ_INTERVAL_MS;
        if needs_full_read {
            return false;
        }
        let watch = self.kv.watch(self.feed.prefix(), known.revision + 1);
        let Ok(mut watcher) = watch.await else {
            return false;
        };
        let timeout = Duration::from_millis(CHANGES_TIMEOUT_MS);
        match time::timeout(timeout, watcher.next()).await {
            Ok(Ok(batch)) if !batch.events.is_empty() => {
                self.feed.apply(batch.events, batch.revision, started_at);
                true
            }
            _ => false,
        }
    }

    async fn read(
        &self,
        watcher: &mut Option<Box<dyn Watcher>>,
        full_read_at: &mut Millis,
    ) -> Result<(), Report<KvError>> {
        if let ReadMode::RoundRobin(_) = self.read_mode
            && self.read_changes(*full_read_at).await
        {
            return Ok(());
        }
        if let Some(known) = watcher {
            let silence_timeout =
                Duration::from_millis(self.timing.max_age_ms);
            if let Ok(batch) =
                time::timeout(silence_timeout, known.next()).await
            {
                let batch = batch?;
                let now = self.clock.now();
                self.feed.apply(batch.events, batch.revision, now);
                return Ok(());
            }
            // A silent watch cannot be told from a disconnected one. If it
            // were awaited, this node and all that query it would treat the
            // key-value service as unavailable while nothing changes, and
            // spooled jobs would not be entered.
            *watcher = None;
        }
        let prefix = self.feed.prefix();
        let started_at = self.clock.now();
        let reply = self.kv.get_prefix(prefix, 0).await?;
        let next = reply.revision + 1;
        self.feed.replace(reply, started_at);
        *full_read_at = started_at;
        if let ReadMode::Watch { .. } = self.read_mode {
            *watcher = Some(self.kv.watch(prefix, next).await?);
        }
        Ok(())
    }
}

async fn pause(ms: u64) {
    time::sleep(Duration::from_millis(ms)).await;
}

/// Logs the loss and the recovery of a dependency, once each.
struct DependencyLog {
    name: String,
    lost_at: Option<Millis>,
    failures: u64,
}

impl DependencyLog {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            lost_at: None,
            failures: 0,
        }
    }

    fn record_loss(&mut self, now: Millis, error: &dyn fmt::Display) {
        self.failures += 1;
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            log::warn!(dependency = self.name.as_str(), error:%;
                "a dependency is lost");
        }
    }

    fn record_recovery(&mut self, now: Millis) {
        if let Some(at) = self.lost_at.take() {
            let failures = std::mem::take(&mut self.failures);
            log::info!(
                dependency = self.name.as_str(),
                away_ms = now.saturating_ms_since(at),
                failures;
                "a dependency is regained"
            );
        }
    }
}
