use base::{Millis, mix};
use serde::{Deserialize, Serialize};

use crate::{Endpoint, EndpointTable, Selection, SelectionTier};

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
pub struct EndpointQuery<'a> {
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
pub enum ChooseError {
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

/// Endpoints outside the selection that a request looks at if those of the
/// selection are gone or were tried. More than a request may be offered to, so
/// that one is found whatever was tried.
const OTHERS_MOST: usize = 8;

impl EndpointTable {
    /// Picks an endpoint with free slots.
    ///
    /// Those of the node's own share with a free slot go first, of them the
    /// own failure domain and then the endpoint that the affinity names. If
    /// there is none, the best of a few is taken that the affinity draws
    /// from the rest of the selection. Endpoints with recent failures are
    /// used only where no other is left.
    ///
    /// Others are taken where the selection is gone or was tried, and not
    /// where it is full: their load is not known, and is as a rule that of
    /// the selection. What goes wrong with that: in a burst, requests go to
    /// engines that look idle and are full; their first events are late, and
    /// nobody is told to come back.
    ///
    /// The number of endpoints that are looked at has a bound, however many
    /// the service has, so that a request costs the same in a large fleet.
    ///
    /// Plain least load over all was rejected. What nodes know of each
    /// other's requests is some milliseconds old, so that many of them send
    /// to the one endpoint that looks idle, and requests are late while many
    /// slots are free.
    ///
    /// # Errors
    ///
    /// The [`ChooseError`] that a refusal tells.
    pub fn choose(
        &self,
        selection: &Selection,
        need: &EndpointQuery<'_>,
        now: Millis,
    ) -> Result<Choice, ChooseError> {
        let mut look = Look::new(need, now);
        for (life, standing) in
            selection.candidates(need.service, need.affinity)
        {
            if let Some(endpoint) = self.get(life) {
                look.at(endpoint, standing);
            }
        }
        if look.draw.is_empty() && !look.full {
            let start = mix(need.affinity ^ now.as_ms());
            for endpoint in self.window(need.service, start, OTHERS_MOST) {
                look.at(endpoint, SelectionTier::Other);
            }
        }
        look.result()
    }
}

/// One search for an endpoint.
struct Look<'a> {
    need: &'a EndpointQuery<'a>,
    now: Millis,
    draw: Draw<'a>,
    full: bool,
    candidates: usize,
}

impl<'a> Look<'a> {
    fn new(need: &'a EndpointQuery<'a>, now: Millis) -> Self {
        Self {
            need,
            now,
            draw: Draw::default(),
            full: false,
            candidates: 0,
        }
    }

    fn at(&mut self, endpoint: &'a Endpoint, standing: SelectionTier) {
        let record = endpoint.record();
        if self.need.tried.contains(&record.id) {
            return;
        }
        self.candidates += 1;
        let load = endpoint.estimated_load(self.now);
        let most = record.slots.saturating_add(self.need.queue_allowance);
        if load >= most {
            self.full = true;
            return;
        }
        self.draw.offer(Candidate {
            rank: Rank::of(endpoint, standing, load, self.need, self.now),
            endpoint,
            load,
        });
    }

    fn result(self) -> Result<Choice, ChooseError> {
        match self.draw.best() {
            Some(best) => Ok(Choice {
                endpoint: best.endpoint.clone(),
                estimated_load: best.load,
                candidates: self.candidates,
            }),
            None if self.full => Err(ChooseError::AllFull),
            None => Err(ChooseError::NoEndpoint),
        }
    }
}

/// Endpoints that are drawn where the node's own share has no free slot.
///
/// The least loaded of all was rejected. In a burst nearly all are full; the
/// one that is not is seen by every node, and requests of many arrive there
/// before any of them hears of the others. Of a few that are drawn for each
/// request, the best is another one for most nodes.
const DRAWN: usize = 3;

/// An endpoint that has room.
struct Candidate<'a> {
    rank: Rank,
    endpoint: &'a Endpoint,
    load: u32,
}

/// The candidates that a choice is made among.
#[derive(Default)]
struct Draw<'a> {
    /// The best of the node's own share with a free slot.
    own: Option<Candidate<'a>>,
    /// Some of all others, those that the affinity names first.
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
        if at < DRAWN {
            self.drawn.insert(at, candidate);
            self.drawn.truncate(DRAWN);
        }
    }

    fn is_empty(&self) -> bool {
        self.own.is_none() && self.drawn.is_empty()
    }

    fn best(self) -> Option<Candidate<'a>> {
        let drawn = self.drawn.into_iter();
        self.own
            .or_else(|| drawn.min_by(|a, b| a.rank.cmp(&b.rank)))
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
    fn is_own_and_free(&self) -> bool {
        !self.suspect && !self.crowded && !self.other_share
    }

    fn of(
        endpoint: &Endpoint,
        standing: SelectionTier,
        load: u32,
        need: &EndpointQuery<'_>,
        now: Millis,
    ) -> Self {
        let record = endpoint.record();
        let other_share = standing != SelectionTier::Own;
        let crowded = is_crowded(load, record.slots, other_share);
        let other_domain = record.failure_domain != need.failure_domain;
        Self {
            suspect: endpoint.is_suspect(now),
            crowded,
            other_share: !crowded && other_share,
            other_domain: !crowded && other_domain,
            affinity: mix(need.affinity ^ endpoint.id_hash()),
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
