use std::{sync::Arc, time::Duration};

use base::{Clock, Millis};
use base64::{Engine, engine::general_purpose::STANDARD};
use bytes::Bytes;
use fleet::{Endpoint, TransferLimits};
use http::{Request, Response, StatusCode, Uri};
use hyper::body::Incoming;
use jobs::BulkCache;
use kv::{KeyValue, LeaseId};
use pass::{AnswerBody, Handler, HandlerFuture, Pool, Relay, read_body};
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::{
    feed::{Delta, Feed},
    follow::Pace,
    job_spool::{JobSpool, SPOOL_PATH},
    peer,
    siblings::{self, BULK_PATH},
};

/// Path of the feeds between nodes; the number of the feed follows.
const FEED_PATH: &str = "/feed/";

/// Longest that a question is made to wait for a change, in milliseconds,
/// whatever it asks for.
const WAIT_MOST_MS: u64 = 10_000;

/// Largest answer: all keys of a large fleet.
const MOST_BYTES: usize = 32 * 1024 * 1024;

/// Knowledge passed from one node to another. Ages instead of times, as the
/// clocks of two nodes have nothing in common.
#[derive(Deserialize, Serialize)]
struct FeedUpdate {
    revision: u64,
    whole: bool,
    items: Vec<FeedItem>,
    deleted: Vec<(String, u64)>,
    age_ms: Option<u64>,
    failed_age_ms: Option<u64>,
}

#[derive(Deserialize, Serialize)]
struct FeedItem {
    key: String,
    /// Base64 of the bytes.
    value: String,
    create_revision: u64,
    mod_revision: u64,
    lease: Option<i64>,
}

fn encode(delta: Delta, now: Millis) -> Vec<u8> {
    let age = |at: Millis| now.saturating_ms_since(at);
    let update = FeedUpdate {
        revision: delta.revision,
        whole: delta.whole,
        items: delta.items.into_iter().map(encode_item).collect(),
        deleted: delta.deleted,
        age_ms: delta.fresh_at.map(age),
        failed_age_ms: delta.failed_at.map(age),
    };
    // Strings and numbers always encode.
    serde_json::to_vec(&update).unwrap_or_default()
}

fn encode_item(kv: KeyValue) -> FeedItem {
    FeedItem {
        key: kv.key,
        value: STANDARD.encode(kv.value),
        create_revision: kv.create_revision,
        mod_revision: kv.mod_revision,
        lease: kv.lease.map(|lease| lease.0),
    }
}

fn decode(bytes: &[u8], arrived_at: Millis) -> Option<Delta> {
    let update: FeedUpdate = serde_json::from_slice(bytes).ok()?;
    // Counted from the question, so that the answer's way makes it older
    // and not younger.
    let at =
        |age_ms: u64| Millis::new(arrived_at.as_ms().saturating_sub(age_ms));
    let items: Option<Vec<KeyValue>> =
        update.items.into_iter().map(decode_item).collect();
    Some(Delta {
        revision: update.revision,
        whole: update.whole,
        items: items?,
        deleted: update.deleted,
        fresh_at: update.age_ms.map(at),
        failed_at: update.failed_age_ms.map(at),
    })
}

fn decode_item(item: FeedItem) -> Option<KeyValue> {
    Some(KeyValue {
        value: STANDARD.decode(item.value).ok()?,
        key: item.key,
        create_revision: item.create_revision,
        mod_revision: item.mod_revision,
        lease: item.lease.map(LeaseId),
    })
}

/// What one node asks another.
#[derive(Clone, Copy, Debug)]
pub(crate) struct Question {
    /// Number of the feed.
    pub(crate) number: usize,
    /// Revision that is known already.
    pub(crate) after: u64,
    /// How old that knowledge is; none if there is none.
    pub(crate) age_ms: Option<u64>,
    /// How long it may wait for a change and an answer.
    pub(crate) pace: Pace,
}

/// Asks another node for what has changed.
pub(crate) async fn ask(
    pool: &Pool,
    peer: &Endpoint,
    question: Question,
    clock: &dyn Clock,
) -> Option<Delta> {
    let Question {
        number,
        after,
        age_ms,
        pace,
    } = question;
    let Pace {
        age_most_ms,
        wait_ms,
        answer_ms,
    } = pace;
    let path = format!(
        "{FEED_PATH}{number}?after={after}&wait_ms={wait_ms}\
         &age_most_ms={age_most_ms}&age_ms={}",
        age_ms.unwrap_or(u64::MAX)
    );
    let request = peer::question(peer, &path)?;
    let most = Duration::from_millis(wait_ms + answer_ms);
    let fetch = pool.fetch(peer, request, MOST_BYTES);
    let body = time::timeout(most, fetch).await.ok()??;
    // An answer counts from its arrival: what its way took, milliseconds
    // inside a region, is far below the ages that decide anything.
    decode(&body, clock.now())
}

/// Answers other nodes: feeds, inputs and results of jobs, and calls that are passed on to the key-value
/// service.
pub(crate) struct PeerHandler {
    pub(crate) relay: Relay,
    pub(crate) feeds: Arc<Vec<Arc<Feed>>>,
    pub(crate) cache: Arc<BulkCache>,
    /// Where this node keeps jobs for fronts, if it has a disk.
    pub(crate) spool: Option<Arc<JobSpool>>,
    pub(crate) clock: Arc<dyn Clock>,
}

impl Handler for PeerHandler {
    fn handle(&self, request: Request<Incoming>) -> HandlerFuture {
        let uri = request.uri();
        if uri.path().starts_with(SPOOL_PATH) {
            return Box::pin(keep_job(self.spool.clone(), request));
        }
        if let Some(key) = uri.path().strip_prefix(BULK_PATH) {
            let response = siblings::answer(&self.cache, key);
            return Box::pin(std::future::ready(response));
        }
        let Some(number) = uri.path().strip_prefix(FEED_PATH) else {
            return self.relay.handle(request);
        };
        let feed = number.parse().ok();
        let feed = feed.and_then(|at: usize| self.feeds.get(at).cloned());
        let after = number_in(uri, "after").unwrap_or(0);
        let wait_ms = number_in(uri, "wait_ms").unwrap_or(0);
        let age_most_ms = number_in(uri, "age_most_ms").unwrap_or(0);
        let age_ms = number_in(uri, "age_ms").unwrap_or(u64::MAX);
        let clock = self.clock.clone();
        Box::pin(async move {
            let Some(feed) = feed else {
                let body = AnswerBody::own(Bytes::new());
                let mut response = Response::new(body);
                *response.status_mut() = StatusCode::NOT_FOUND;
                return response;
            };
            let now = clock.now();
            let wait = Wait {
                after,
                known_at: now.saturating_sub_ms(age_ms),
                until: now.saturating_add_ms(wait_ms.min(WAIT_MOST_MS)),
                age_most_ms,
            };
            let delta = wait.for_change(&feed, &*clock).await;
            let bytes = encode(delta, clock.now());
            Response::new(AnswerBody::own(Bytes::from(bytes)))
        })
    }

    fn limits(&self) -> TransferLimits {
        self.relay.limits()
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

/// Reads a number from a question; one that is missing or malformed is none.
fn number_in(uri: &Uri, name: &str) -> Option<u64> {
    let mut pairs = uri.query()?.split('&');
    let value = pairs.find_map(|pair| pair.strip_prefix(name))?;
    value.strip_prefix('=')?.parse().ok()
}

/// How long a question waits at the node that was asked.
struct Wait {
    after: u64,
    /// When what the other side knows was the newest.
    known_at: Millis,
    until: Millis,
    age_most_ms: u64,
}

/// How much younger this node's knowledge has to be for an answer without
/// any change, in milliseconds. Well above what the way between two nodes
/// takes, by which the ages that they tell each other are off, and well
/// below the second in which the service confirms that nothing has changed.
const YOUNGER_MS: u64 = 100;

impl Wait {
    /// Returns as soon as there is a change or a confirmation, and as soon as
    /// what this node knows is too old to be of use.
    ///
    /// What goes wrong without confirmations: while nothing changes, each
    /// step of the tree adds the wait of its question to the age of what is
    /// known, and the nodes three steps away take their readers for cut off.
    /// A fleet of 88 nodes read the service 750 times within eight seconds.
    ///
    /// What goes wrong without the latter: this node is cut off from the
    /// service, and whoever asks it waits out its time here before it looks
    /// elsewhere. Where both readers are cut off, others then run an old
    /// configuration for seconds.
    async fn for_change(&self, feed: &Feed, clock: &dyn Clock) -> Delta {
        let mut changes = feed.subscribe();
        loop {
            changes.mark_unchanged();
            let status = feed.status();
            let Some(fresh_at) = status.fresh_at else {
                // This node has just started. Whoever asks looks elsewhere.
                return feed.since(self.after);
            };
            let until =
                fresh_at.saturating_add_ms(self.age_most_ms).min(self.until);
            let left_ms = until.saturating_ms_since(clock.now());
            let younger_at = self.known_at.saturating_add_ms(YOUNGER_MS);
            let is_news =
                status.revision > self.after || fresh_at > younger_at;
            if is_news || left_ms == 0 {
                return feed.since(self.after);
            }
            let wait = Duration::from_millis(left_ms);
            let _ = time::timeout(wait, changes.changed()).await;
        }
    }
}
