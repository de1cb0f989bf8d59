//! The attempts of one request, at one endpoint after the other.

use std::sync::Arc;

use base::VersionKey;
use execution::PossibleRuns;
use obs::Counter;
use quarantine::Quarantined;
use router::{EndpointKey, Query};
use web::{Problem, ProblemKind, Ran};

use super::{
    attempt::{Attempt, AttemptParams, Reply, attempt},
    prefix,
};
use crate::{exchange::Exchange, fleet::Flight, shared::Shared};

/// Maximum number of refusals before the caller gets an error. A refusal costs
/// a millisecond, and the request can always be tried elsewhere.
const MAX_REFUSALS: u32 = 8;

/// Retry-after when no endpoint took the request, in milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// State of the attempts of a request.
#[derive(Clone)]
pub(crate) struct Attempts {
    tried: Vec<EndpointKey>,
    prefix: Option<u64>,
    /// The pool and version of a response that has begun. It cannot be resumed
    /// at any other.
    origin: Option<(String, VersionKey)>,
    refusals: u32,
    retries: u32,
    repeatable: bool,
    /// Copies of the request that may have run, also those of cancelled
    /// attempts.
    runs: PossibleRuns,
    last_reason: String,
    retry_after_ms: Option<u64>,
}

impl Attempts {
    pub(crate) fn new(exchange: &Exchange) -> Self {
        Self {
            tried: Vec::new(),
            prefix: prefix::hash_of(&exchange.path, &exchange.body),
            origin: None,
            refusals: 0,
            retries: 0,
            repeatable: exchange.plan.repeatable,
            runs: PossibleRuns::default(),
            last_reason: "no endpoint is known".to_owned(),
            retry_after_ms: None,
        }
    }

    /// Tries endpoints until one has started a response that continues after
    /// `offset` content events.
    ///
    /// # Errors
    ///
    /// A problem document that states whether the request ran.
    pub(crate) async fn next(
        &mut self,
        shared: &Arc<Shared>,
        exchange: &Exchange,
        offset: u32,
    ) -> Result<Reply, Problem> {
        while self.refusals < MAX_REFUSALS {
            let remaining_ms = remaining_time_ms(shared, exchange)
                .ok_or_else(|| self.timed_out())?;
            let Some(flight) = self.choose(shared, exchange) else {
                break;
            };
            self.tried.push(flight.key());
            let pool = flight.target().pool.clone();
            let keys = || exchange.evidence_keys();
            let admitted = shared.quarantine.admit(keys).await;
            let params = AttemptParams {
                number: self.refusals + self.retries,
                remaining_ms,
                offset,
                version: self.version(),
                permit: admitted
                    .map_err(|error| self.refuse(exchange, error))?,
            };
            let (number, name) = (params.number, flight.target().name.clone());
            let offered = self.runs.begin();
            let running = attempt(shared, exchange, flight, params, &offered);
            let ended = tokio::select! {
                biased;
                ended = running => ended,
                () = exchange.until_deadline(&shared.timer) => {
                    Attempt::deadline_passed()
                }
            };
            offered.settle(ended.evidence());
            match ended {
                Attempt::Started(reply) => return Ok(*reply),
                Attempt::NotRun {
                    reason,
                    retry_after_ms,
                } => {
                    self.refusals += 1;
                    self.last_reason = reason;
                    self.retry_after_ms =
                        self.retry_after_ms.max(retry_after_ms);
                }
                Attempt::Lost { reason, kind } => {
                    log::info!(
                        request_id = exchange.request_id.as_str(),
                        endpoint = name.as_str(),
                        attempt = number, kind:?, reason, remaining_ms,
                        repeatable = self.repeatable;
                        "an attempt was lost"
                    );
                    self.record_lost(shared, exchange, &pool, reason, kind)?;
                }
            }
        }
        Err(self.exhausted())
    }

    /// Records a lost attempt; fails if no retry is allowed.
    ///
    /// Without the pool's retry budget, a partial outage would multiply the
    /// load by the number of attempts. The budget keeps retries a small share
    /// of a pool's requests.
    fn record_lost(
        &mut self,
        shared: &Shared,
        exchange: &Exchange,
        pool: &str,
        reason: String,
        kind: ProblemKind,
    ) -> Result<(), Problem> {
        let plan = &exchange.plan;
        let may_retry = plan.repeatable && self.retries < plan.retries;
        self.last_reason = reason;
        if !may_retry || !shared.fleet.try_retry(pool) {
            return Err(self.outcome_unknown(kind));
        }
        self.retries += 1;
        exchange.metrics.count(Counter::Retried, exchange.class, 1);
        Ok(())
    }

    /// Records that a response was interrupted after its start and reports
    /// whether it may be resumed. Endpoints that refused earlier may be tried
    /// again; only the interrupted one may not.
    pub(super) fn record_interruption(
        &mut self,
        shared: &Shared,
        exchange: &Exchange,
        flight: &Flight,
        reason: &str,
    ) -> bool {
        self.tried = vec![flight.key()];
        let pool = flight.target().pool.clone();
        self.origin = Some((pool, flight.version()));
        self.refusals = 0;
        let kind = ProblemKind::AnswerLost;
        let pool = &flight.target().pool;
        remaining_time_ms(shared, exchange).is_some()
            && self
                .record_lost(shared, exchange, pool, reason.to_owned(), kind)
                .is_ok()
    }

    fn version(&self) -> Option<VersionKey> {
        self.origin.as_ref().map(|(_, version)| *version)
    }

    fn choose(&self, shared: &Shared, exchange: &Exchange) -> Option<Flight> {
        let query = Query::default()
            .prefix(self.prefix)
            .tried(&self.tried)
            .version(self.version());
        let mut pools = exchange.plan.pools.iter();
        match &self.origin {
            Some((pool, _)) => shared.fleet.choose(pool, &query),
            None => pools.find_map(|pool| shared.fleet.choose(pool, &query)),
        }
    }

    /// Refuses a poison request, one that crashes endpoints.
    fn refuse(&self, exchange: &Exchange, error: Quarantined) -> Problem {
        log::info!(
            request_id = exchange.request_id.as_str(),
            digest:% = exchange.digest,
            crashes = error.crashes,
            for_ms = error.for_ms;
            "a request is held"
        );
        exchange.metrics.count(Counter::Refused, exchange.class, 1);
        let reason = format!("endpoints crashed: {}", error.crashes);
        self.refusal(ProblemKind::EndpointCrashes, reason, error.for_ms)
    }

    fn exhausted(&self) -> Problem {
        let after_ms = self.retry_after_ms.unwrap_or(RETRY_AFTER_MS);
        let last_reason = self.last_reason.clone();
        self.refusal(ProblemKind::NoEndpoint, last_reason, after_ms)
    }

    fn timed_out(&self) -> Problem {
        let reason = "the deadline has passed".to_owned();
        self.refusal(ProblemKind::TimedOut, reason, RETRY_AFTER_MS)
    }

    /// Returns the problem of a request that is given up. Only this function
    /// promises that a request did not run, and only if no copy may have.
    fn refusal(
        &self,
        kind: ProblemKind,
        reason: String,
        after_ms: u64,
    ) -> Problem {
        match (self.runs.ran(), kind) {
            (ran @ Ran::No, _) => {
                Problem::new(kind, reason).ran(ran).retry_after_ms(after_ms)
            }
            (Ran::Unknown, ProblemKind::TimedOut) => {
                self.outcome_unknown(kind)
            }
            (Ran::Unknown, _) => self.outcome_unknown(ProblemKind::AnswerLost),
        }
    }

    /// Returns the problem of a request that may have run. Only callers of a
    /// repeatable request get a retry-after.
    fn outcome_unknown(&self, kind: ProblemKind) -> Problem {
        let problem =
            Problem::new(kind, self.last_reason.clone()).ran(Ran::Unknown);
        match self.repeatable {
            true => problem.retry_after_ms(RETRY_AFTER_MS),
            false => problem,
        }
    }
}

/// Returns the time left until the deadline, 0 if there is none, `None` if it
/// has passed.
fn remaining_time_ms(shared: &Shared, exchange: &Exchange) -> Option<u64> {
    let Some(deadline) = exchange.deadline() else {
        return Some(0);
    };
    let left_ms = deadline.saturating_ms_since(shared.timer.now());
    Some(left_ms).filter(|ms| *ms > 0)
}
