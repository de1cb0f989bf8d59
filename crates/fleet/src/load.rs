use base::{Millis, mix};
use serde::{Deserialize, Serialize};

use crate::{
    Endpoint, EndpointTable, Selection, SelectionTier, ServiceSpeed,
    SpeedClass, VersionBinding,
};

/// A load that an endpoint reported with a response.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct LoadReport {
    /// Number of running requests.
    pub running: u32,
    /// Number of waiting requests.
    pub waiting: u32,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Time that work takes at this moment, in percent of the usual time;
    /// none if it is not known.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub slowdown_percent: Option<u32>,
}

/// Maximum valid slowdown in percent.
const MAX_SLOWDOWN_PERCENT: u32 = 10_000;

impl LoadReport {
    /// Returns the slowdown that a text states, if it is a valid one.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_fleet::LoadReport;
    ///
    /// assert_eq!(LoadReport::parse_slowdown("250"), Some(250));
    /// assert_eq!(LoadReport::parse_slowdown("0"), None);
    /// assert_eq!(LoadReport::parse_slowdown("1.5"), None);
    /// ```
    pub fn parse_slowdown(text: &str) -> Option<u32> {
        let percent = text.parse().ok()?;
        (1..=MAX_SLOWDOWN_PERCENT)
            .contains(&percent)
            .then_some(percent)
    }
}

/// What a request requires of an endpoint.
#[derive(Clone, Copy, Debug)]
pub struct EndpointQuery<'a> {
    /// Service that the request goes to.
    pub service: &'a str,
    /// Failure domain of the caller's node; preferred among otherwise equal
    /// endpoints.
    pub failure_domain: &'a str,
    /// Hash of the prompt's shared parts. Requests with the same hash prefer
    /// the same endpoint among otherwise equal ones, because its cache holds
    /// those parts.
    pub affinity: u64,
    /// Ids of endpoints that must not be chosen again.
    pub tried: &'a [String],
    /// Ids of the endpoints at which the request is under way. If there are
    /// any, the request can stay where it is, so none of them is chosen again,
    /// and no endpoint with recent failures or that drains.
    pub under_way: &'a [String],
    /// Number of requests that may wait at an endpoint beyond its slots.
    pub queue_allowance: u32,
    /// The service and version that began the stream, if the request resumes
    /// one.
    pub binding: Option<&'a VersionBinding>,
}

/// Why no endpoint was chosen for a request.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ChooseError {
    /// No listed endpoint can take the request.
    NoEndpoint,
    /// All endpoints hold as many requests as they may.
    AllFull,
}

/// The endpoint that was chosen for a request, and the basis of the choice.
#[derive(Clone, Debug)]
pub struct Choice {
    /// The chosen endpoint.
    pub endpoint: Endpoint,
    /// Its estimated load.
    pub estimated_load: u32,
    /// Number of endpoints that were considered.
    pub candidates: usize,
    /// Its class of speed; none while speed does not affect the choice.
    pub speed_class: Option<SpeedClass>,
}

/// Maximum number of endpoints outside the selection that a request considers
/// if those of the selection are gone or were tried. It exceeds the maximum
/// number of attempts, so an untried endpoint is always among them.
const MAX_OTHER_ENDPOINTS: usize = 8;

/// Maximum number of endpoints outside the selection that a resumed stream
/// considers. Few of the selection may run its version, and no other endpoint
/// can resume it.
const MAX_BOUND_ENDPOINTS: usize = 24;

impl EndpointTable {
    /// Picks an endpoint with free slots.
    ///
    /// Endpoints of the node's own share with a free slot are preferred, then
    /// among these the own failure domain, then the endpoint that the affinity
    /// ranks first. If there is none, the best of a few endpoints is taken
    /// that the affinity draws from the remainder of the selection. Endpoints
    /// with recent failures are used only if no other is left.
    ///
    /// While speed is active for the service, the endpoint of the own share is
    /// compared with the drawn ones, and a faster class goes before all of
    /// that. With equal classes the choice is the same as without.
    ///
    /// Endpoints outside the selection are taken if the selection is gone or
    /// was tried, but not if it is full: their load is not known, and is
    /// usually the same as that of the selection. In a burst, requests would
    /// otherwise go to engines that look idle but are full; their first events
    /// would be late, and no caller would be told to retry later.
    ///
    /// A resumed stream goes only to endpoints of its own version, also to
    /// those outside the selection. If no other is left, it goes to one that
    /// has just begun to drain, or that was tried before: without a run there
    /// the stream is lost. A request that is under way somewhere goes to
    /// neither.
    ///
    /// The number of considered endpoints is bounded regardless of the size of
    /// the service, so a request costs the same in a large fleet.
    ///
    /// Choosing the least loaded of all endpoints does not work: what nodes
    /// know of each other's requests is some milliseconds old, so many of them
    /// send to the same endpoint that looks idle, and requests are late while
    /// many slots are free.
    ///
    /// # Errors
    ///
    /// Returns a [`ChooseError`] that says why the request is refused.
    pub fn choose(
        &self,
        selection: &Selection,
        query: &EndpointQuery<'_>,
        now: Millis,
    ) -> Result<Choice, ChooseError> {
        let speed = selection.speed(query.service);
        let speed = speed.filter(|speed| speed.is_active(now));
        let mut search = Search::new(query, speed, now);
        for (incarnation, tier) in
            selection.candidates(query.service, query.affinity)
        {
            if let Some(endpoint) = self.get(incarnation) {
                search.consider(endpoint, tier);
            }
        }
        let start = mix(query.affinity ^ now.as_ms());
        if let Some(binding) = query.binding {
            if search.draw.is_empty() {
                search.consider_version(self, binding, start);
            }
            let is_last_resort = query.under_way.is_empty();
            if search.draw.is_empty() && is_last_resort {
                search.consider_draining(self, binding);
            }
            if search.draw.is_empty() && !search.full && is_last_resort {
                search.allows_tried = true;
                search.consider_version(self, binding, start);
            }
        } else if search.draw.is_empty() && !search.full {
            for endpoint in
                self.window(query.service, start, MAX_OTHER_ENDPOINTS)
            {
                search.consider(endpoint, SelectionTier::Other);
            }
        }
        search.result()
    }
}

/// State of one search for an endpoint.
struct Search<'a> {
    query: &'a EndpointQuery<'a>,
    /// The speed of the service's endpoints, if it affects the choice.
    speed: Option<&'a ServiceSpeed>,
    now: Millis,
    draw: Draw<'a>,
    full: bool,
    candidates: usize,
    allows_tried: bool,
}

impl<'a> Search<'a> {
    fn new(
        query: &'a EndpointQuery<'a>,
        speed: Option<&'a ServiceSpeed>,
        now: Millis,
    ) -> Self {
        Self {
            query,
            speed,
            now,
            draw: Draw::default(),
            full: false,
            candidates: 0,
            allows_tried: false,
        }
    }

    fn consider(&mut self, endpoint: &'a Endpoint, tier: SelectionTier) {
        let record = endpoint.record();
        if !self.allows_tried && self.query.tried.contains(&record.id) {
            return;
        }
        if self.loses_place_at(endpoint) {
            return;
        }
        let binding = self.query.binding;
        if binding.is_some_and(|binding| !binding.permits(record)) {
            return;
        }
        self.candidates += 1;
        let load = endpoint.estimated_load(self.now);
        let limit = record.slots.saturating_add(self.query.queue_allowance);
        if load >= limit {
            self.full = true;
            return;
        }
        let class = self.class_of(endpoint, load);
        self.draw.offer(Candidate {
            rank: Rank::of(endpoint, tier, load, class, self.query, self.now),
            endpoint,
            load,
        });
    }

    /// Returns the class of an endpoint with one request more than now.
    fn class_of(&self, endpoint: &Endpoint, load: u32) -> SpeedClass {
        let load = load.saturating_add(1);
        self.speed.map_or(SpeedClass::Usual, |speed| {
            speed.class_of(endpoint, load, self.now)
        })
    }

    /// Reports whether a request that is under way gains nothing at an
    /// endpoint.
    fn loses_place_at(&self, endpoint: &Endpoint) -> bool {
        let under_way = self.query.under_way;
        !under_way.is_empty()
            && (under_way.contains(&endpoint.record().id)
                || endpoint.is_suspect(self.now))
    }

    /// Considers endpoints of a version, whether selected or not.
    fn consider_version(
        &mut self,
        table: &'a EndpointTable,
        binding: &VersionBinding,
        start: u64,
    ) {
        let endpoints =
            table.window_of_version(binding, start, MAX_BOUND_ENDPOINTS);
        for endpoint in endpoints {
            self.consider(endpoint, SelectionTier::Other);
        }
    }

    /// Considers endpoints of a version that drain but still serve.
    fn consider_draining(
        &mut self,
        table: &'a EndpointTable,
        binding: &VersionBinding,
    ) {
        let endpoints =
            table.draining_of_version(binding, MAX_BOUND_ENDPOINTS, self.now);
        for endpoint in endpoints {
            self.consider(endpoint, SelectionTier::Other);
        }
    }

    fn result(self) -> Result<Choice, ChooseError> {
        match self.draw.best() {
            Some(best) => Ok(Choice {
                endpoint: best.endpoint.clone(),
                estimated_load: best.load,
                candidates: self.candidates,
                speed_class: self.speed.map(|_| best.rank.class),
            }),
            None if self.full => Err(ChooseError::AllFull),
            None => Err(ChooseError::NoEndpoint),
        }
    }
}

/// Number of endpoints that are drawn if the node's own share has no free
/// slot.
///
/// Taking the least loaded of all does not work: in a burst nearly all
/// endpoints are full, every node sees the one that is not, and requests of
/// many nodes arrive there before any node learns of the others. The best of a
/// few that are drawn per request differs between most nodes.
const MAX_DRAWN: usize = 3;

/// An endpoint that can take the request.
struct Candidate<'a> {
    rank: Rank,
    endpoint: &'a Endpoint,
    load: u32,
}

/// The best candidates so far.
#[derive(Default)]
struct Draw<'a> {
    /// The best endpoint of the node's own share with a free slot.
    own: Option<Candidate<'a>>,
    /// Other candidates, those that the affinity ranks first.
    drawn: Vec<Candidate<'a>>,
}

impl<'a> Draw<'a> {
    fn offer(&mut self, candidate: Candidate<'a>) {
        if candidate.rank.is_own_and_free() {
            let known = self.own.as_ref();
            if known.is_none_or(|known| candidate.rank < known.rank) {
                self.own = Some(candidate);
            }
            return;
        }
        let order = |rank: &Rank| (rank.suspect, rank.affinity);
        let new = order(&candidate.rank);
        let before = |known: &Candidate<'_>| order(&known.rank) < new;
        let at = self.drawn.partition_point(before);
        if at < MAX_DRAWN {
            self.drawn.insert(at, candidate);
            self.drawn.truncate(MAX_DRAWN);
        }
    }

    fn is_empty(&self) -> bool {
        self.own.is_none() && self.drawn.is_empty()
    }

    fn best(self) -> Option<Candidate<'a>> {
        let all = self.own.into_iter().chain(self.drawn);
        all.min_by(|a, b| a.rank.cmp(&b.rank))
    }
}

/// Order of preference; the lowest rank is preferred.
#[derive(Eq, Ord, PartialEq, PartialOrd)]
struct Rank {
    suspect: bool,
    crowded: bool,
    class: SpeedClass,
    other_share: bool,
    other_domain: bool,
    affinity: u64,
}

impl Rank {
    fn is_own_and_free(&self) -> bool {
        !self.suspect && !self.crowded && !self.other_share
    }

    fn of(
        endpoint: &Endpoint,
        tier: SelectionTier,
        load: u32,
        class: SpeedClass,
        query: &EndpointQuery<'_>,
        now: Millis,
    ) -> Self {
        let record = endpoint.record();
        let other_share = tier != SelectionTier::Own;
        let assumed_taken = match (other_share, class < SpeedClass::Usual) {
            (true, true) => ASSUMED_TAKEN_SLOTS_IF_FAST,
            (true, false) => ASSUMED_TAKEN_SLOTS,
            (false, _) => 0,
        };
        let crowded = is_crowded(load, record.slots, assumed_taken);
        let other_domain = record.failure_domain != query.failure_domain;
        Self {
            suspect: endpoint.is_suspect(now),
            crowded,
            class,
            other_share: !crowded && other_share,
            other_domain: !crowded && other_domain,
            affinity: mix(query.affinity ^ endpoint.id_hash()),
        }
    }
}

/// Number of free slots of an endpoint outside the own share that are assumed
/// to be taken: knowledge of other nodes' requests is up to fifty milliseconds
/// old.
const ASSUMED_TAKEN_SLOTS: u32 = 1;

/// The same at an endpoint of a faster class than usual, which all nodes
/// prefer.
const ASSUMED_TAKEN_SLOTS_IF_FAST: u32 = ASSUMED_TAKEN_SLOTS + 1;

/// Reports whether a request may have to wait at an endpoint.
///
/// All crowded endpoints of a class rank equal, so that requests are
/// distributed over them by hash. When the last free slots were preferred
/// instead, all nodes sent to the few endpoints that seemed to have one: in a
/// fleet of 51 full engines some had twelve waiting requests and most had
/// none.
fn is_crowded(load: u32, slots: u32, assumed_taken: u32) -> bool {
    load.saturating_add(assumed_taken) >= slots.max(1)
}
