use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use base::{Clock, Millis};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use fleet::{Endpoint, TransferLimits};
use http::{Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use indexmap::IndexMap;
use kv::{KeyValue, LeaseId, batch::GroupCommit};
use pass::{
    AnswerBody, Counters, Handler, HandlerFuture, Pool, Relay, read_body,
};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{
    commits::{self, COMMIT_PATH},
    feed::{Delta, Feed, Scope},
    job_heads::{HEAD_PATH, HeadAnswers},
    job_push::{PUSH_PATH, PushedJobs},
    job_spool::{JobSpool, SPOOL_PATH},
    peer,
    readers::Pace,
    siblings::{BULK_PATH, BulkAnswers},
};

/// Path prefix of feed requests between nodes, followed by the number of the
/// feed.
const FEED_PATH: &str = "/feed/";

/// Maximum time that a request waits for a change, in milliseconds, whatever
/// it asks for.
const WAIT_MOST_MS: u64 = 10_000;

/// Maximum body size: all keys of a large fleet.
const MOST_BYTES: usize = 32 * 1024 * 1024;

/// Header that precedes the changes in a response. It contains ages instead of
/// times because the clocks of two nodes are unrelated.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct WireHead {
    revision: u64,
    whole: bool,
    more: bool,
    age_ms: Option<u64>,
    read_by: u64,
    failed_age_ms: Option<u64>,
}

/// The changes of a response. They stay the same while the header changes over
/// time, and are encoded once for all requesting nodes.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct WireChanges {
    items: Vec<WireItem>,
    deleted: Vec<(String, u64)>,
}

#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct WireItem {
    key: String,
    /// Base64 of the value.
    value: String,
    create_revision: u64,
    mod_revision: u64,
    lease: Option<i64>,
}

/// Separates the header from the changes.
const SEPARATOR: u8 = b'\n';

fn encode(head: &WireHead, changes: &[u8]) -> Bytes {
    // Numbers always encode.
    let mut bytes = serde_json::to_vec(head).unwrap_or_default();
    bytes.push(SEPARATOR);
    bytes.extend_from_slice(changes);
    Bytes::from(bytes)
}

fn encode_changes(delta: Delta) -> Bytes {
    let changes = WireChanges {
        items: delta.items.into_iter().map(encode_item).collect(),
        deleted: delta.deleted,
    };
    // Strings and numbers always encode.
    Bytes::from(serde_json::to_vec(&changes).unwrap_or_default())
}

fn encode_item(kv: KeyValue) -> WireItem {
    WireItem {
        key: kv.key,
        value: STANDARD.encode(kv.value),
        create_revision: kv.create_revision,
        mod_revision: kv.mod_revision,
        lease: kv.lease.map(|lease| lease.0),
    }
}

fn decode(bytes: &[u8], arrived_at: Millis) -> Option<Delta> {
    let end = bytes.iter().position(|byte| *byte == SEPARATOR)?;
    let (head, changes) = bytes.split_at(end);
    let head: WireHead = serde_json::from_slice(head).ok()?;
    let changes: WireChanges = serde_json::from_slice(changes).ok()?;
    // Ages count from this time, which may only make the data look older than
    // it is, not fresher.
    let at =
        |age_ms: u64| Millis::new(arrived_at.as_ms().saturating_sub(age_ms));
    let items: Option<Vec<KeyValue>> =
        changes.items.into_iter().map(decode_item).collect();
    Some(Delta {
        revision: head.revision,
        whole: head.whole,
        more: head.more,
        items: items?,
        deleted: changes.deleted,
        fresh_at: head.age_ms.map(at),
        read_by: head.read_by,
        failed_at: head.failed_age_ms.map(at),
    })
}

fn decode_item(item: WireItem) -> Option<KeyValue> {
    Some(KeyValue {
        value: STANDARD.decode(item.value).ok()?,
        key: item.key,
        create_revision: item.create_revision,
        mod_revision: item.mod_revision,
        lease: item.lease.map(LeaseId),
    })
}

/// Cache of encoded changes that earlier requests have produced.
///
/// When a whole fleet starts, sixteen nodes request the list of three thousand
/// endpoints from one node. With a third of a core it takes half a second to
/// encode the list for each of them, at each level of the tree.
#[derive(Default)]
pub(crate) struct EncodedPages(Mutex<IndexMap<PageKey, EncodedPage>>);

/// Cache key of an encoded page.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
struct PageKey {
    feed: usize,
    content: u64,
    after: u64,
    most: usize,
    scope: Scope,
}

#[derive(Clone)]
struct EncodedPage {
    changes: Bytes,
    whole: bool,
    /// Revision at which the page ends, if others follow.
    ends_at: Option<u64>,
}

/// Maximum number of cached pages: a few for each feed, since the requesting
/// nodes are at nearly the same revision.
const PAGES_KEPT: usize = 12;

impl EncodedPages {
    /// Returns the response to a request.
    fn answer(&self, feed: &Feed, call: FeedCall, now: Millis) -> Bytes {
        let status = feed.status();
        let key = PageKey {
            feed: call.number,
            content: status.content,
            after: call.after,
            most: call.most,
            scope: call.scope,
        };
        let page = self.page(feed, key);
        let age = |at: Millis| now.saturating_ms_since(at);
        let fresh_at = status.fresh_at.filter(|_| page.ends_at.is_none());
        let head = WireHead {
            revision: page.ends_at.unwrap_or(status.revision),
            whole: page.whole,
            more: page.ends_at.is_some(),
            age_ms: fresh_at.map(age),
            read_by: status.read_by,
            failed_age_ms: status.failed_at.map(age),
        };
        encode(&head, &page.changes)
    }

    fn page(&self, feed: &Feed, key: PageKey) -> EncodedPage {
        let mut pages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(page) = pages.get(&key) {
            return page.clone();
        }
        let delta = feed.page(key.after, key.most, key.scope);
        let page = EncodedPage {
            whole: delta.whole,
            ends_at: delta.more.then_some(delta.revision),
            changes: encode_changes(delta),
        };
        if pages.len() >= PAGES_KEPT {
            pages.shift_remove_index(0);
        }
        pages.insert(key, page.clone());
        page
    }
}

/// A feed request to another node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    /// Number of the feed.
    pub(crate) number: usize,
    /// Revision that the requesting node has.
    pub(crate) after: u64,
    /// Age of the data at that revision; `None` if there is none.
    pub(crate) age_ms: Option<u64>,
    /// Approximate maximum number of changes in the response.
    pub(crate) most: usize,
    /// Which keys are requested.
    pub(crate) scope: Scope,
    /// Time limits for the change and the response.
    pub(crate) pace: Pace,
}

/// Requests the changes of a feed from another node.
pub(crate) async fn ask(
    pool: &Pool,
    peer: &Endpoint,
    question: Question,
    clock: &dyn Clock,
    counters: &Counters,
) -> Option<Delta> {
    let Question {
        number,
        after,
        age_ms,
        most,
        scope,
        pace,
    } = question;
    let Pace {
        age_most_ms,
        wait_ms,
        answer_ms,
    } = pace;
    let path = format!(
        "{FEED_PATH}{number}?after={after}&wait_ms={wait_ms}\
         &age_most_ms={age_most_ms}&age_ms={}&most={most}&heads={}",
        age_ms.unwrap_or(u64::MAX),
        u8::from(scope == Scope::All),
    );
    let request = peer::question(peer, &path)?;
    let patience = Duration::from_millis(wait_ms + answer_ms);
    let fetch = pool.fetch(peer, request, MOST_BYTES);
    let body = time::timeout(patience, fetch).await.ok()??;
    Counters::count(&counters.feed_bytes_received, body.len());
    // The age of a response counts from its arrival: the time on the network,
    // milliseconds inside a region, is far below the ages that matter for any
    // decision.
    let delta = decode(&body, clock.now());
    if delta.is_none() {
        log::warn!(node = peer.record().id.as_str(), bytes = body.len();
            "another node's answer is malformed and is not taken");
    }
    delta
}

/// Serves requests of other nodes: feeds, inputs, results and manifests of
/// jobs, jobs to spool, shared writes, and calls relayed to the key-value
/// service.
pub(crate) struct PeerHandler {
    pub(crate) relay: Relay,
    pub(crate) feeds: Arc<Vec<Arc<Feed>>>,
    pub(crate) pages: Arc<EncodedPages>,
    pub(crate) counters: Arc<Counters>,
    pub(crate) bulk: BulkAnswers,
    /// Spool of jobs that fronts have accepted, if this node has a disk.
    pub(crate) spool: Option<Arc<JobSpool>>,
    /// Batches writes of other nodes.
    pub(crate) group: GroupCommit,
    /// Serves job manifests.
    pub(crate) heads: HeadAnswers,
    /// Receives jobs that other nodes have accepted.
    pub(crate) pushed: PushedJobs,
    pub(crate) clock: Arc<dyn Clock>,
}

impl Handler for PeerHandler {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        let uri = request.uri();
        if uri.path().starts_with(SPOOL_PATH) {
            return Box::pin(keep_job(self.spool.clone(), request));
        }
        if uri.path().starts_with(COMMIT_PATH) {
            return Box::pin(commits::take(self.group.clone(), request));
        }
        if uri.path().starts_with(HEAD_PATH) {
            let uri = uri.clone();
            return Box::pin(self.heads.clone().answer(uri));
        }
        if uri.path().starts_with(PUSH_PATH) {
            return Box::pin(self.pushed.clone().take(request));
        }
        if let Some(key) = uri.path().strip_prefix(BULK_PATH) {
            return Box::pin(self.bulk.clone().answer(key.to_owned()));
        }
        match FeedCall::parse(uri) {
            Some(call) => self.answer_feed(call),
            None => self.relay.handle(request),
        }
    }

    fn limits(&self) -> TransferLimits {
        self.relay.limits()
    }
}

impl PeerHandler {
    fn answer_feed(&self, call: FeedCall) -> HandlerFuture {
        let feed = self.feeds.get(call.number);
        let feed = feed.filter(|feed| feed.scope().covers(call.scope));
        let Some(feed) = feed.cloned() else {
            let body = AnswerBody::own(Bytes::new());
            let mut response = Response::new(body);
            *response.status_mut() = StatusCode::NOT_FOUND;
            return Box::pin(std::future::ready(response));
        };
        let (clock, pages) = (self.clock.clone(), self.pages.clone());
        let counters = self.counters.clone();
        Box::pin(async move {
            call.wait_for_change(&feed, &*clock).await;
            let bytes = pages.answer(&feed, call, clock.now());
            Counters::add(&counters.feed_answers_sent);
            Counters::count(&counters.feed_bytes_sent, bytes.len());
            Response::new(AnswerBody::own(bytes))
        })
    }
}

async fn keep_job(
    spool: Option<Arc<JobSpool>>,
    request: Request<Incoming>,
) -> Response<AnswerBody> {
    let status =
        match (spool, read_body(request.into_body(), MOST_BYTES).await) {
            (Some(spool), Ok(body)) => spool.keep(body).await,
            (None, Ok(_)) => StatusCode::NOT_FOUND,
            (_, Err(refusal)) => return refusal.into_response(),
        };
    let mut response = Response::new(AnswerBody::own(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Parses a numeric query parameter; `None` if it is missing or malformed.
pub(crate) fn number_in(uri: &Uri, name: &str) -> Option<u64> {
    let mut pairs = uri.query()?.split('&');
    let value = pairs.find_map(|pair| pair.strip_prefix(name))?;
    value.strip_prefix('=')?.parse().ok()
}

/// A received feed request.
#[derive(Clone, Copy, Debug)]
struct FeedCall {
    number: usize,
    after: u64,
    most: usize,
    scope: Scope,
    wait_ms: u64,
    age_most_ms: u64,
    /// Age of the requesting node's data.
    age_ms: u64,
}

/// Minimum difference by which this node's data has to be fresher than the
/// requesting node's for a response without changes, in milliseconds. Well
/// above the network latency between two nodes, by which the ages in messages
/// are inaccurate, and well below the second in which the key-value service
/// confirms that nothing has changed.
const YOUNGER_MS: u64 = 100;

impl FeedCall {
    /// Parses a request; `None` if the path is not a feed path.
    fn parse(uri: &Uri) -> Option<Self> {
        let number = uri.path().strip_prefix(FEED_PATH)?;
        let most = number_in(uri, "most").and_then(|n| n.try_into().ok());
        Some(Self {
            // A path without a valid number refers to a feed that does not
            // exist.
            number: number.parse().unwrap_or(usize::MAX),
            after: number_in(uri, "after").unwrap_or(0),
            most: most.unwrap_or(usize::MAX),
            scope: match number_in(uri, "heads") {
                Some(0) => Scope::WithoutHeads,
                _ => Scope::All,
            },
            wait_ms: number_in(uri, "wait_ms").unwrap_or(0),
            age_most_ms: number_in(uri, "age_most_ms").unwrap_or(0),
            age_ms: number_in(uri, "age_ms").unwrap_or(u64::MAX),
        })
    }

    /// Waits until there is a change or a confirmation, or until this node's
    /// data is too old to be of use. If this node has just started and has no
    /// data yet, the request waits for the first data.
    ///
    /// Without confirmations, each level of the tree adds the wait of its
    /// request to the age of the data while nothing changes, and nodes three
    /// levels away assume that their readers are disconnected. A fleet of 88
    /// nodes read the key-value service 750 times within eight seconds.
    ///
    /// Without the end at stale data, a requesting node waits for the full
    /// time at a node that is disconnected from the key-value service before
    /// it queries another one. If both readers are disconnected, others run an
    /// outdated configuration for seconds.
    async fn wait_for_change(&self, feed: &Feed, clock: &dyn Clock) {
        let now = clock.now();
        let until = now.saturating_add_ms(self.wait_ms.min(WAIT_MOST_MS));
        let known_at = now.saturating_sub_ms(self.age_ms);
        let younger_at = known_at.saturating_add_ms(YOUNGER_MS);
        let mut changes = feed.subscribe();
        loop {
            changes.mark_unchanged();
            let status = feed.status();
            let too_old_at = status
                .fresh_at
                .map(|at| at.saturating_add_ms(self.age_most_ms));
            let until = too_old_at.unwrap_or(until).min(until);
            let left_ms = until.saturating_ms_since(clock.now());
            let is_news = feed.has_news(self.after, self.scope)
                || status.fresh_at.is_some_and(|at| at > younger_at);
            if is_news || left_ms == 0 {
                return;
            }
            let wait = Duration::from_millis(left_ms);
            let _ = time::timeout(wait, changes.changed()).await;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/feed_wire.rs"]
mod tests;
