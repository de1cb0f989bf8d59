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
    feed_wire::{self, Question},
    peer,
    readers::{NoHelp, Pace, Readers, Reading, START_PATIENCE_MS, Step},
    turns::Place,
};

/// Pause after a failed read of the key-value service, in milliseconds. Its
/// recovery is noticed within this time, at the cost of a few calls a second
/// for the whole fleet.
const FAILED_PAUSE_MS: u64 = 400;

/// Pause between two queries to readers that have not started yet, in
/// milliseconds.
const START_PAUSE_MS: u64 = 20;

/// Number of changes that a starting node requests first. Three hundred
/// endpoints are a few for each request, and take 30 ms on a slow link of 30
/// megabits a second and as long on a tenth of a core; the remainder follows
/// at once.
const FIRST_PAGE: usize = 300;

/// Number of keys from which on some key changes between any two reads:
/// endpoints write their entries about once a second.
const CHANGING_KEYS: usize = 8;

/// Maximum wait for the changes since the last read, in milliseconds. The
/// changes exist already, so a healthy key-value service responds at once.
const CHANGES_MS: u64 = 300;

/// Interval between two full reads by one reader, in milliseconds. A full read
/// recovers changes that a watch has missed.
const WHOLE_READ_MS: u64 = 10_000;

/// Pause of a reader that waits for its turn and cannot query another reader,
/// in milliseconds.
const TURN_PAUSE_MS: u64 = 50;

/// Keeps one feed up to date until the process ends.
pub(crate) struct Follower {
    pub(crate) number: usize,
    pub(crate) feed: Arc<Feed>,
    pub(crate) reading: Reading,
    pub(crate) pace: Pace,
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) readers: Arc<Readers>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) clock: Arc<dyn Clock>,
    pub(crate) counters: Arc<Counters>,
}

impl Follower {
    pub(crate) async fn run(self) {
        let mut reach = Reach::new(self.feed.prefix());
        let mut watcher: Option<Box<dyn Watcher>> = None;
        let mut turn: usize = 0;
        let mut whole_at = Millis::default();
        self.start().await;
        loop {
            let now = self.clock.now();
            turn = turn.wrapping_add(1);
            let step = self.readers.step(self.number, self.reading, now, turn);
            match step {
                Step::Read => {}
                Step::Ask(reader) => {
                    match self.ask(&reader, self.pace).await {
                        Ok(()) => {
                            watcher = None;
                            continue;
                        }
                        Err(why) => self.avoid(&reader, why),
                    }
                }
                Step::Turn(place, readers) => {
                    if self.leave_turn(place, &readers).await {
                        continue;
                    }
                }
            }
            match self.read(&mut watcher, &mut whole_at).await {
                Ok(()) => {
                    reach.regained(self.clock.now());
                    if let Reading::Watching { pause_ms, .. } = self.reading {
                        pause(pause_ms).await;
                    }
                }
                Err(report) => {
                    watcher = None;
                    let now = self.clock.now();
                    reach.lost(now, report.current_context());
                    self.feed.read_failed(now);
                    pause(FAILED_PAUSE_MS).await;
                }
            }
        }
    }

    /// Queries the readers until one returns first data, or the wait limit is
    /// over.
    async fn start(&self) {
        let mut seeded = self.readers.seeded.subscribe();
        let _ = seeded.wait_for(|seeded| *seeded).await;
        let began = self.clock.now();
        let until = began.saturating_add_ms(START_PATIENCE_MS);
        for turn in 0.. {
            let now = self.clock.now();
            let reader = self.readers.first_source(self.number, now, turn);
            let Some(reader) = reader.filter(|_| now < until) else {
                return;
            };
            if self.ask(&reader, self.pace).await.is_ok() {
                return;
            }
            pause(START_PAUSE_MS).await;
        }
    }

    /// Waits for another reader's read, or returns `false` if it is this
    /// node's turn. `None` entries of `readers` are readers that do not
    /// respond.
    async fn leave_turn(
        &self,
        place: Place,
        readers: &[Option<NodeRecord>],
    ) -> bool {
        let now = self.clock.now();
        let status = self.feed.status();
        let Some(fresh_at) = status.fresh_at else {
            return false;
        };
        let last = self.readers.place_of(status.read_by);
        let period_ms = self.reading.pause_ms();
        let wait_ms = place.wait_ms(last, period_ms, fresh_at, now);
        if wait_ms == 0 {
            return false;
        }
        let in_turn = (0..place.readers).filter_map(|nth| {
            let at = place.turn_of(last, nth);
            readers.get(at)?.as_ref().filter(|_| at != place.at)
        });
        let Some(next) = in_turn.clone().next() else {
            pause(wait_ms).await;
            return true;
        };
        let pace = Pace {
            wait_ms: wait_ms.min(self.pace.wait_ms),
            ..self.pace
        };
        if let Err(why) = self.ask(next, pace).await {
            self.avoid(next, why);
            pause(wait_ms.min(TURN_PAUSE_MS)).await;
        }
        true
    }

    fn avoid(&self, reader: &NodeRecord, why: NoHelp) {
        let now = self.clock.now();
        self.readers.avoid(self.number, &reader.node, why, now);
    }

    /// Queries a reader and merges its changes.
    async fn ask(
        &self,
        reader: &NodeRecord,
        pace: Pace,
    ) -> Result<(), NoHelp> {
        let Some(peer) = peer::endpoint_of(reader) else {
            return Err(NoHelp::Silent);
        };
        let known = self.feed.status();
        let clock = &*self.clock;
        let asked_at = clock.now();
        let question = Question {
            number: self.number,
            after: known.revision,
            age_ms: known.fresh_at.map(|at| asked_at.saturating_ms_since(at)),
            most: match known.revision {
                0 => FIRST_PAGE,
                _ => usize::MAX,
            },
            scope: self.feed.scope(),
            pace,
        };
        let counters = &*self.counters;
        let asked =
            feed_wire::ask(&self.pool, &peer, question, clock, counters);
        let Some(delta) = asked.await else {
            return Err(NoHelp::Silent);
        };
        let now = self.clock.now();
        let age = delta.fresh_at.map(|at| now.saturating_ms_since(at));
        // A reader that confirmed its data before the other reader did is at
        // an older revision and equally good; the merge ignores older items.
        let is_young =
            age.is_some_and(|age_ms| age_ms <= self.pace.age_most_ms);
        // A first page is good enough to start with.
        let is_start =
            known.fresh_at.is_none() && delta.revision > known.revision;
        if !is_young && !is_start {
            return Err(NoHelp::Behind);
        }
        self.feed.merge(delta);
        Ok(())
    }

    /// Reads the changes since the last read of any reader, in a single call
    /// regardless of the number of keys; returns whether that was enough.
    ///
    /// A watch that returns no changes of keys that change all the time may
    /// have lost its history, so only a watch with changes counts.
    async fn read_changes(&self, whole_at: Millis) -> bool {
        let known = self.feed.status();
        let began = self.clock.now();
        let since_ms = began.saturating_ms_since(whole_at);
        let may_lack_some = known.revision == 0
            || known.items < CHANGING_KEYS
            || since_ms >= WHOLE_READ_MS;
        if may_lack_some {
            return false;
        }
        let watch = self.kv.watch(self.feed.prefix(), known.revision + 1);
        let Ok(mut watcher) = watch.await else {
            return false;
        };
        let most = Duration::from_millis(CHANGES_MS);
        match time::timeout(most, watcher.next()).await {
            Ok(Ok(batch)) if !batch.events.is_empty() => {
                self.feed.apply(batch.events, batch.revision, began);
                true
            }
            _ => false,
        }
    }

    async fn read(
        &self,
        watcher: &mut Option<Box<dyn Watcher>>,
        whole_at: &mut Millis,
    ) -> Result<(), Report<KvError>> {
        if let Reading::InTurn(_) = self.reading
            && self.read_changes(*whole_at).await
        {
            return Ok(());
        }
        if let Some(known) = watcher {
            let silence = Duration::from_millis(self.pace.age_most_ms);
            if let Ok(batch) = time::timeout(silence, known.next()).await {
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
        let began = self.clock.now();
        let reply = self.kv.get_prefix(prefix, 0).await?;
        let next = reply.revision + 1;
        self.feed.replace(reply, began);
        *whole_at = began;
        if let Reading::Watching { .. } = self.reading {
            *watcher = Some(self.kv.watch(prefix, next).await?);
        }
        Ok(())
    }
}

async fn pause(ms: u64) {
    time::sleep(Duration::from_millis(ms)).await;
}

/// Logs the loss and the recovery of a dependency, once each.
struct Reach {
    what: String,
    lost_at: Option<Millis>,
    failures: u64,
}

impl Reach {
    fn new(what: &str) -> Self {
        Self {
            what: what.to_owned(),
            lost_at: None,
            failures: 0,
        }
    }

    fn lost(&mut self, now: Millis, error: &dyn fmt::Display) {
        self.failures += 1;
        if self.lost_at.is_none() {
            self.lost_at = Some(now);
            log::warn!(dependency = self.what.as_str(), error:%;
                "a dependency is lost");
        }
    }

    fn regained(&mut self, now: Millis) {
        if let Some(at) = self.lost_at.take() {
            let failures = std::mem::take(&mut self.failures);
            log::info!(
                dependency = self.what.as_str(),
                away_ms = now.saturating_ms_since(at),
                failures;
                "a dependency is regained"
            );
        }
    }
}
