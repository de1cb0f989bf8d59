use base::{Millis, mix};
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use crate::Endpoint;

/// A load that an endpoint has told with an answer.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Requests that it runs at once.
    pub slots: u32,
}

/// What a request wants of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct Need<'a> {
    /// Service that the request goes to.
    pub service: &'a str,
    /// Failure domain of the caller's node; preferred among equals.
    pub failure_domain: &'a str,
    /// Hash of the prompt's shared parts; requests of the same hash prefer
    /// the same endpoint among equals, whose memory holds those parts.
    pub affinity: u64,
    /// Ids of endpoints that the request must not go to again.
    pub tried: &'a [String],
    /// Requests that may wait at an endpoint beyond its slots.
    pub queue_allowance: u32,
}

/// Why there is no endpoint for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Verdict {
    /// None is listed that could take it.
    NoEndpoint,
    /// All hold as many requests as they may.
    AllFull,
}

/// An endpoint for a request, and what it was chosen by.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The endpoint.
    pub endpoint: Endpoint,
    /// Its load as it was estimated.
    pub estimated_load: u32,
    /// Endpoints that were looked at.
    pub candidates: usize,
}

/// The endpoints that may be used now, by service.
#[derive(Clone, Debug, Default)]
pub struct EndpointTable {
    by_service: IndexMap<String, Vec<Endpoint>>,
}

impl EndpointTable {
    /// Makes a table of endpoints.
    pub fn new(endpoints: impl IntoIterator<Item = Endpoint>) -> Self {
        let mut table = Self::default();
        for endpoint in endpoints {
            let service = endpoint.record().service.clone();
            table.by_service.entry(service).or_default().push(endpoint);
        }
        table
    }

    /// Returns the endpoints of a service.
    pub fn of_service(&self, service: &str) -> &[Endpoint] {
        self.by_service.get(service).map_or(&[], Vec::as_slice)
    }

    /// Returns all endpoints.
    pub fn iter(&self) -> impl Iterator<Item = &Endpoint> {
        self.by_service.values().flatten()
    }

    /// Returns how many endpoints there are.
    pub fn len(&self) -> usize {
        self.by_service.values().map(Vec::len).sum()
    }

    /// Tells whether there is no endpoint.
    pub fn is_empty(&self) -> bool {
        self.len() == 0
    }

    /// Picks an endpoint with free slots.
    ///
    /// All with a free slot are equals; among equals the node's own share
    /// goes first, then the own failure domain, then the endpoint that the
    /// affinity names. Endpoints with recent failures are used only where no
    /// other is left.
    ///
    /// Plain least load over all was measured first. What nodes know of each
    /// other's requests is up to fifty milliseconds old, so that many of them
    /// sent to the one endpoint that looked idle: of 340 requests a second
    /// of nineteen nodes, one in eight was late while a third of all slots
    /// was free; with own shares it is one in two hundred.
    ///
    /// # Errors
    ///
    /// The [`Verdict`] that a refusal tells.
    pub fn choose(
        &self,
        need: &Need<'_>,
        now: Millis,
    ) -> Result<Choice, Verdict> {
        let all = self.of_service(need.service);
        let mut best: Option<(Rank, &Endpoint, u32)> = None;
        let mut full = false;
        let mut candidates = 0;
        for endpoint in all {
            let record = endpoint.record();
            if need.tried.contains(&record.id) {
                continue;
            }
            candidates += 1;
            let load = endpoint.estimated_load(now);
            let most = record.slots.saturating_add(need.queue_allowance);
            if load >= most {
                full = true;
                continue;
            }
            let rank = Rank::of(endpoint, load, need, now);
            if best.as_ref().is_none_or(|(known, ..)| rank < *known) {
                best = Some((rank, endpoint, load));
            }
        }
        match best {
            Some((_, endpoint, estimated_load)) => Ok(Choice {
                endpoint: endpoint.clone(),
                estimated_load,
                candidates,
            }),
            None if full => Err(Verdict::AllFull),
            None => Err(Verdict::NoEndpoint),
        }
    }
}

/// Order of preference; the least goes first.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    suspect: bool,
    crowded: bool,
    other_share: bool,
    other_domain: bool,
    affinity: u64,
}

impl Rank {
    fn of(
        endpoint: &Endpoint,
        load: u32,
        need: &Need<'_>,
        now: Millis,
    ) -> Self {
        let record = endpoint.record();
        let other_share = !endpoint.is_own_share();
        let crowded = is_crowded(load, record.slots, other_share);
        let other_domain = record.failure_domain != need.failure_domain;
        Self {
            suspect: endpoint.is_suspect(now),
            crowded,
            other_share: !crowded && other_share,
            other_domain: !crowded && other_domain,
            affinity: mix(need.affinity ^ endpoint.spread()),
        }
    }
}

/// Free slots of an endpoint outside the own share that other nodes have
/// taken meanwhile, as a rule: what is known of them is up to fifty
/// milliseconds old.
const UNSURE_SLOTS: u32 = 1;

/// Tells whether a request may have to wait at an endpoint.
///
/// All crowded endpoints are equals, so that requests spread over them by
/// hash. With the last free slots first, all nodes sent to the few endpoints
/// that seemed to have one: at a fleet of 51 full engines some had twelve
/// requests waiting and most had none.
fn is_crowded(load: u32, slots: u32, other_share: bool) -> bool {
    let unsure = match other_share {
        true => UNSURE_SLOTS,
        false => 0,
    };
    load.saturating_add(unsure) >= slots.max(1)
}
