//! How a node follows the keys below a prefix.

use std::{
    fmt,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use base::{Clock, Millis, stable_hash};
use error_stack::Report;
use jobs::{JobView, NodeRecord};
use kv::{Kv, KvError, Watcher};
use pass::Pool;
use tokio::time;

use crate::{
    feed::Feed,
    feed_wire::{self, Question},
    peer,
};

/// Nodes that read the key-value service for all others. Two, so that the
/// loss of one is no loss; more only cost calls.
const READERS: usize = 2;

/// How news pass between nodes, as parts of the time in which they must
/// have reached all.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Pace {
    /// Oldest knowledge of another node that is good enough.
    pub(crate) age_most_ms: u64,
    /// How long a question waits for a change. It bounds how long a node
    /// goes on without a word that its knowledge is still whole.
    pub(crate) wait_ms: u64,
    /// Longest wait for an answer beyond that.
    pub(crate) answer_ms: u64,
}

/// Longest wait for an answer, in milliseconds: nodes under load take a
/// hundred at times.
const ANSWER_MS: u64 = 250;

impl Pace {
    /// Divides the time so that questions to two readers that have both been
    /// lost, one after the other, and a read of the service itself fit into
    /// it.
    pub(crate) fn new(news_ms: u64) -> Self {
        Self {
            age_most_ms: news_ms * 75 / 100,
            wait_ms: news_ms * 25 / 100,
            answer_ms: ANSWER_MS,
        }
    }
}

/// How long a reader that did not answer is left alone, in milliseconds.
const READER_AGAIN_MS: u64 = 2_000;

/// Pause after a failed read of the service, in milliseconds: a return is
/// noticed within it, and the whole fleet costs a few calls a second.
const FAILED_PAUSE_MS: u64 = 400;

/// How the service itself is read.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Reading {
    /// All keys again and again, with a pause in milliseconds. For keys of
    /// which all change all the time, where a watch returns at once and is
    /// a call as well.
    Listing(u64),
    /// A watch, with a pause in milliseconds in which changes gather.
    Watching(u64),
}

/// The nodes that read the key-value service, as one node knows them.
pub(crate) struct Readers {
    node: String,
    view: JobView,
    /// Who did not answer well, for which feed, and when. By feed, as a
    /// reader may be up to date in one and behind in another.
    avoid: Mutex<Vec<(usize, String, Millis)>>,
}

impl Readers {
    pub(crate) fn new(node: &str, view: JobView) -> Self {
        Self {
            node: node.to_owned(),
            view,
            avoid: Mutex::default(),
        }
    }

    /// Returns the node to ask; none if this one reads itself.
    ///
    /// All nodes choose the same readers by their names. A node that has
    /// lost both reads the service itself until one answers again.
    ///
    /// The readers are asked in turn. What goes wrong with one and the same
    /// reader: it is cut off from the service, goes on answering for as long
    /// as its last word counts, and whoever asks it hears of a change that
    /// much later than everybody else. The other reader tells it at once.
    fn peer(
        &self,
        feed: usize,
        now: Millis,
        turn: usize,
    ) -> Option<NodeRecord> {
        let mut nodes = self.view.nodes();
        nodes.sort_by_key(|node| stable_hash(&["reader", &node.node]));
        nodes.truncate(READERS);
        if nodes.iter().any(|node| node.node == self.node) {
            return None;
        }
        let mut avoid =
            self.avoid.lock().unwrap_or_else(PoisonError::into_inner);
        let is_new =
            |at: Millis| now.saturating_ms_since(at) < READER_AGAIN_MS;
        avoid.retain(|(_, _, at)| is_new(*at));
        let is_avoided = |name: &str| {
            let mut all = avoid.iter();
            all.any(|(number, known, _)| *number == feed && known == name)
        };
        nodes.retain(|node| !is_avoided(&node.node));
        nodes.retain(|node| node.address.is_some());
        nodes.sort_by_key(|node| stable_hash(&[&self.node, &node.node]));
        let at = turn.checked_rem(nodes.len())?;
        Some(nodes.swap_remove(at))
    }

    fn failed(&self, feed: usize, reader: &str, now: Millis) {
        let mut avoid =
            self.avoid.lock().unwrap_or_else(PoisonError::into_inner);
        log::info!(reader, feed;
            "a reader of the key-value service is avoided");
        avoid.push((feed, reader.to_owned(), now));
    }
}

/// Follows one feed until the process ends.
pub(crate) struct Follower {
    pub(crate) number: usize,
    pub(crate) feed: Arc<Feed>,
    pub(crate) reading: Reading,
    pub(crate) pace: Pace,
    pub(crate) kv: Arc<dyn Kv>,
    pub(crate) readers: Arc<Readers>,
    pub(crate) pool: Arc<Pool>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl Follower {
    pub(crate) async fn run(self) {
        let mut reach = Reach::new(self.feed.prefix());
        let mut watcher: Option<Box<dyn Watcher>> = None;
        let mut turn: usize = 0;
        loop {
            let now = self.clock.now();
            turn = turn.wrapping_add(1);
            if let Some(reader) = self.readers.peer(self.number, now, turn) {
                if self.ask(&reader).await {
                    watcher = None;
                    continue;
                }
                self.readers.failed(self.number, &reader.node, now);
            }
            match self.read(&mut watcher).await {
                Ok(()) => {
                    reach.regained(self.clock.now());
                    let (Reading::Listing(ms) | Reading::Watching(ms)) =
                        self.reading;
                    pause(ms).await;
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

    /// Asks a reader; tells whether its knowledge is good enough.
    async fn ask(&self, reader: &NodeRecord) -> bool {
        let Some(peer) = peer::endpoint_of(reader) else {
            return false;
        };
        let after = self.feed.revision();
        let clock = &*self.clock;
        let question = Question {
            number: self.number,
            after,
            pace: self.pace,
        };
        let asked = feed_wire::ask(&self.pool, &peer, question, clock);
        let Some(delta) = asked.await else {
            return false;
        };
        let now = self.clock.now();
        let age = delta.fresh_at.map(|at| now.saturating_ms_since(at));
        // A reader that confirmed its knowledge before the other one did is
        // at an older revision and as good; the merge leaves out what is old.
        let good = age.is_some_and(|age_ms| age_ms <= self.pace.age_most_ms);
        if good {
            self.feed.merge(delta);
        }
        good
    }

    async fn read(
        &self,
        watcher: &mut Option<Box<dyn Watcher>>,
    ) -> Result<(), Report<KvError>> {
        if let Some(watcher) = watcher {
            let batch = watcher.next().await?;
            let now = self.clock.now();
            self.feed.apply(batch.events, batch.revision, now);
            return Ok(());
        }
        let prefix = self.feed.prefix();
        let began = self.clock.now();
        let reply = self.kv.get_prefix(prefix, 0).await?;
        let next = reply.revision + 1;
        self.feed.replace(reply, began);
        if let Reading::Watching(_) = self.reading {
            *watcher = Some(self.kv.watch(prefix, next).await?);
        }
        Ok(())
    }
}

async fn pause(ms: u64) {
    time::sleep(Duration::from_millis(ms)).await;
}

/// Logs when a dependency is lost and when it is back, once each.
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
