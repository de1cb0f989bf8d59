use std::{
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use base::{Clock, Millis};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use fleet::{Endpoint, TransferLimits};
use http::{Method, Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use indexmap::IndexMap;
use jobs::JobKey;
use kv::{KeyValue, LeaseId, batch::GroupCommit};
use pass::{Counters, Handler, HandlerFuture, Pool, Relay, ResponseBody};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{
    commits::{self, COMMIT_PATH},
    crash_news::{CRASH_NEWS_PATH, CrashNews},
    feed::{Delta, Feed, Scope},
    job_manifests::{MANIFEST_PATH, ManifestResponder},
    job_push::{PUSH_PATH, PushReceiver},
    job_spool::{JobSpool, SPOOL_PATH},
    peer,
    peer_bodies::PeerBodies,
    peer_bulk::{BULK_PATH, BulkResponder},
    readers::QueryTiming,
};

/// Path prefix of feed requests between nodes, followed by the number of the
/// feed.
const FEED_PATH: &str = "/feed/";

/// Maximum time that a request waits for a change, in milliseconds, regardless
/// of the time that it asks for.
const MAX_WAIT_MS: u64 = 10_000;

/// Maximum body size: all keys of a large fleet.
const MAX_BODY_BYTES: usize = 32 * 1024 * 1024;

/// Header that precedes the changes in a response. It contains ages instead of
/// times because the clocks of two nodes are unrelated.
#[derive(Deserialize, Serialize)]
#[serde(deny_unknown_fields)]
struct WireHeader {
    revision: u64,
    #[serde(rename = "whole")]
    is_full: bool,
    #[serde(rename = "more")]
    has_more: bool,
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

fn encode(header: &WireHeader, changes: &[u8]) -> Bytes {
    // Numbers always encode.
    let mut bytes = serde_json::to_vec(header).unwrap_or_default();
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

fn decode(bytes: &[u8], received_at: Millis) -> Option<Delta> {
    let end = bytes.iter().position(|byte| *byte == SEPARATOR)?;
    let (header, changes) = bytes.split_at(end);
    let header: WireHeader = serde_json::from_slice(header).ok()?;
    let changes: WireChanges = serde_json::from_slice(changes).ok()?;
    // Ages count from this time, which may only make the data look older than
    // it is, not fresher.
    let at =
        |age_ms: u64| Millis::new(received_at.as_ms().saturating_sub(age_ms));
    let items: Option<Vec<KeyValue>> =
        changes.items.into_iter().map(decode_item).collect();
    Some(Delta {
        revision: header.revision,
        is_full: header.is_full,
        has_more: header.has_more,
        items: items?,
        deleted: changes.deleted,
        fresh_at: header.age_ms.map(at),
        read_by: header.read_by,
        failed_at: header.failed_age_ms.map(at),
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
    feed_number: usize,
    content_version: u64,
    after: u64,
    max_changes: usize,
    scope: Scope,
}

#[derive(Clone)]
struct EncodedPage {
    changes: Bytes,
    is_full: bool,
    /// Revision at which the page ends, if others follow.
    end_revision: Option<u64>,
}

/// Maximum number of cached pages: a few for each feed, since the requesting
/// nodes are at nearly the same revision.
const MAX_CACHED_PAGES: usize = 12;

impl EncodedPages {
    /// Returns the response to a request.
    fn respond(&self, feed: &Feed, query: ParsedQuery, now: Millis) -> Bytes {
        let status = feed.status();
        let key = PageKey {
            feed_number: query.feed_number,
            content_version: status.content_version,
            after: query.after,
            max_changes: query.max_changes,
            scope: query.scope,
        };
        let page = self.page(feed, key);
        let age = |at: Millis| now.saturating_ms_since(at);
        let fresh_at = status.fresh_at.filter(|_| page.end_revision.is_none());
        let header = WireHeader {
            revision: page.end_revision.unwrap_or(status.revision),
            is_full: page.is_full,
            has_more: page.end_revision.is_some(),
            age_ms: fresh_at.map(age),
            read_by: status.read_by,
            failed_age_ms: status.failed_at.map(age),
        };
        encode(&header, &page.changes)
    }

    fn page(&self, feed: &Feed, key: PageKey) -> EncodedPage {
        let mut pages = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        if let Some(page) = pages.get(&key) {
            return page.clone();
        }
        let delta = feed.page(key.after, key.max_changes, key.scope);
        let page = EncodedPage {
            is_full: delta.is_full,
            end_revision: delta.has_more.then_some(delta.revision),
            changes: encode_changes(delta),
        };
        if pages.len() >= MAX_CACHED_PAGES {
            pages.shift_remove_index(0);
        }
        pages.insert(key, page.clone());
        page
    }
}

/// A feed request to another node.
#[derive(Clone, Copy, Debug)]
pub(crate) struct FeedQuery {
    /// Number of the feed.
    pub(crate) feed_number: usize,
    /// Revision that the requesting node has.
    pub(crate) after: u64,
    /// Age of the data at that revision; `None` if there is none.
    pub(crate) age_ms: Option<u64>,
    /// Approximate maximum number of changes in the response.
    pub(crate) max_changes: usize,
    /// Which keys are requested.
    pub(crate) scope: Scope,
    /// Time limits for the change and the response.
    pub(crate) timing: QueryTiming,
}

/// Requests the changes of a feed from another node.
pub(crate) async fn fetch_changes(
    pool: &Pool,
    peer: &Endpoint,
    query: FeedQuery,
    clock: &dyn Clock,
    counters: &Counters,
) -> Option<Delta> {
    let FeedQuery {
        feed_number,
        after,
        age_ms,
        max_changes,
        scope,
        timing,
    } = query;
    let QueryTiming {
        max_age_ms,
        wait_ms,
        response_timeout_ms,
    } = timing;
    let path = format!(
        "{FEED_PATH}{feed_number}?after={after}&wait_ms={wait_ms}\
         &age_most_ms={max_age_ms}&age_ms={}&most={max_changes}&heads={}",
        age_ms.unwrap_or(u64::MAX),
        u8::from(scope == Scope::All),
    );
    let request = peer::new_request(peer, &path)?;
    let timeout = Duration::from_millis(wait_ms + response_timeout_ms);
    let fetch = pool.fetch(peer, request, MAX_BODY_BYTES);
    let body = time::timeout(timeout, fetch).await.ok()??;
    Counters::count(&counters.feed_bytes_received, body.len());
    // The age of a response counts from its arrival: the time on the network,
    // milliseconds inside a region, is far below the ages that matter for any
    // decision.
    let delta = decode(&body, clock.now());
    if delta.is_none() {
        log::warn!(node = peer.record().id.as_str(), bytes = body.len();
            "a malformed feed response of another node is ignored");
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
    pub(crate) bulk: BulkResponder,
    /// Spool of jobs that fronts have accepted, if this node has a disk.
    pub(crate) spool: Option<Arc<JobSpool>>,
    /// Batches writes of other nodes.
    pub(crate) group_commit: GroupCommit,
    /// Serves job manifests.
    pub(crate) manifests: ManifestResponder,
    /// Receives jobs that other nodes have accepted.
    pub(crate) push_receiver: PushReceiver,
    /// Exchanges crash records.
    pub(crate) crash_news: CrashNews,
    pub(crate) clock: Arc<dyn Clock>,
    /// Reads the messages.
    pub(crate) bodies: PeerBodies,
}

impl Handler for PeerHandler {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        let uri = request.uri();
        if let Some(job) = uri.path().strip_prefix(SPOOL_PATH)
            && request.method() == Method::GET
        {
            let response = find_spooled(self.spool.as_deref(), job);
            return Box::pin(std::future::ready(response));
        }
        if uri.path().starts_with(SPOOL_PATH) {
            let bodies = self.bodies.clone();
            return Box::pin(spool_job(self.spool.clone(), bodies, request));
        }
        if uri.path().starts_with(COMMIT_PATH) {
            return Box::pin(commits::receive(
                self.group_commit.clone(),
                self.bodies.clone(),
                request,
            ));
        }
        if uri.path().starts_with(MANIFEST_PATH) {
            let uri = uri.clone();
            return Box::pin(self.manifests.clone().respond(uri));
        }
        if uri.path().starts_with(PUSH_PATH) {
            return Box::pin(self.push_receiver.clone().receive(request));
        }
        if uri.path() == CRASH_NEWS_PATH {
            let news = self.crash_news.clone();
            return Box::pin(news.serve(request, self.bodies.clone()));
        }
        if let Some(key) = uri.path().strip_prefix(BULK_PATH) {
            return Box::pin(self.bulk.clone().respond(key.to_owned()));
        }
        match ParsedQuery::parse(uri) {
            Some(query) => self.serve_feed(query),
            None => self.relay.handle(request),
        }
    }

    fn limits(&self) -> TransferLimits {
        self.relay.limits()
    }
}

impl PeerHandler {
    fn serve_feed(&self, query: ParsedQuery) -> HandlerFuture {
        let feed = self.feeds.get(query.feed_number);
        let feed = feed.filter(|feed| feed.scope().covers(query.scope));
        let Some(feed) = feed.cloned() else {
            let body = ResponseBody::from_bytes(Bytes::new());
            let mut response = Response::new(body);
            *response.status_mut() = StatusCode::NOT_FOUND;
            return Box::pin(std::future::ready(response));
        };
        let (clock, pages) = (self.clock.clone(), self.pages.clone());
        let counters = self.counters.clone();
        Box::pin(async move {
            query.wait_for_change(&feed, &*clock).await;
            let bytes = pages.respond(&feed, query, clock.now());
            Counters::add(&counters.feed_answers_sent);
            Counters::count(&counters.feed_bytes_sent, bytes.len());
            Response::new(ResponseBody::from_bytes(bytes))
        })
    }
}

/// Responds whether this node keeps a job, or has kept it.
fn find_spooled(
    spool: Option<&JobSpool>,
    job: &str,
) -> Response<ResponseBody> {
    let job: Option<JobKey> = job.parse().ok();
    let is_found = spool.zip(job).is_some_and(|(spool, job)| spool.has(&job));
    let mut response = Response::new(ResponseBody::from_bytes(Bytes::new()));
    if !is_found {
        *response.status_mut() = StatusCode::NOT_FOUND;
    }
    response
}

async fn spool_job(
    spool: Option<Arc<JobSpool>>,
    bodies: PeerBodies,
    request: Request<Incoming>,
) -> Response<ResponseBody> {
    let status = match (spool, bodies.receive(request, MAX_BODY_BYTES).await) {
        (Some(spool), Ok(body)) => spool.spool(body.bytes).await,
        (None, Ok(_)) => StatusCode::NOT_FOUND,
        (_, Err(refusal)) => return refusal.into_response(),
    };
    let mut response = Response::new(ResponseBody::from_bytes(Bytes::new()));
    *response.status_mut() = status;
    response
}

/// Parses a numeric query parameter; `None` if it is missing or malformed.
pub(crate) fn query_number(uri: &Uri, name: &str) -> Option<u64> {
    let mut pairs = uri.query()?.split('&');
    let value = pairs.find_map(|pair| pair.strip_prefix(name))?;
    value.strip_prefix('=')?.parse().ok()
}

/// A received feed request.
#[derive(Clone, Copy, Debug)]
struct ParsedQuery {
    feed_number: usize,
    after: u64,
    max_changes: usize,
    scope: Scope,
    wait_ms: u64,
    max_age_ms: u64,
    /// Age of the requesting node's data.
    age_ms: u64,
}

/// Minimum difference by which this node's data has to be fresher than the
/// requesting node's for a response without changes, in milliseconds. Well
/// above the network latency between two nodes, by which the ages in messages
/// are inaccurate, and well below the second in which the key-value service
/// confirms that nothing has changed.
const MIN_AGE_GAIN_MS: u64 = 100;

impl ParsedQuery {
    /// Parses a request; `None` if the path is not a feed path.
    fn parse(uri: &Uri) -> Option<Self> {
        let feed_number = uri.path().strip_prefix(FEED_PATH)?;
        let max_changes =
            query_number(uri, "most").and_then(|n| n.try_into().ok());
        Some(Self {
            // A path without a valid number refers to a feed that does not
            // exist.
            feed_number: feed_number.parse().unwrap_or(usize::MAX),
            after: query_number(uri, "after").unwrap_or(0),
            max_changes: max_changes.unwrap_or(usize::MAX),
            scope: match query_number(uri, "heads") {
                Some(0) => Scope::WithoutManifests,
                _ => Scope::All,
            },
            wait_ms: query_number(uri, "wait_ms").unwrap_or(0),
            max_age_ms: query_number(uri, "age_most_ms").unwrap_or(0),
            age_ms: query_number(uri, "age_ms").unwrap_or(u64::MAX),
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
        let deadline = now.saturating_add_ms(self.wait_ms.min(MAX_WAIT_MS));
        let known_at = now.saturating_sub_ms(self.age_ms);
        let fresher_than = known_at.saturating_add_ms(MIN_AGE_GAIN_MS);
        let mut changes = feed.subscribe();
        loop {
            changes.mark_unchanged();
            let status = feed.status();
            let stale_at = status
                .fresh_at
                .map(|at| at.saturating_add_ms(self.max_age_ms));
            let deadline = stale_at.unwrap_or(deadline).min(deadline);
            let remaining_ms = deadline.saturating_ms_since(clock.now());
            let has_changes = feed.has_changes(self.after, self.scope)
                || status.fresh_at.is_some_and(|at| at > fresher_than);
            if has_changes || remaining_ms == 0 {
                return;
            }
            let wait = Duration::from_millis(remaining_ms);
            let _ = time::timeout(wait, changes.changed()).await;
        }
    }
}

#[cfg(test)]
#[path = "../tests/unit/feed_wire.rs"]
mod tests;
