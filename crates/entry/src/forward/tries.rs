//! The attempts of one request, one endpoint after the other.

use std::sync::Arc;

use obs::Counter;
use quarantine::Quarantined;
use router::EndpointKey;
use web::{Problem, ProblemKind, Ran};

use super::{
    attempt::{Attempt, Attempted, Reply, attempt},
    prefix,
};
use crate::{exchange::Exchange, fleet::Flight, shared::Shared};

/// Endpoints that may refuse a request before the caller hears of it. A
/// refusal costs a millisecond and is always safe to try elsewhere.
const REFUSALS_MAX: u32 = 8;

/// When a caller may come back if no endpoint took the request, in
/// milliseconds.
const RETRY_AFTER_MS: u64 = 1_000;

/// What the attempts of a request have come to.
pub(crate) struct Tries {
    tried: Vec<EndpointKey>,
    prefix: Option<u64>,
    refusals: u32,
    retries: u32,
    repeatable: bool,
    may_have_run: bool,
    last: String,
    retry_after_ms: Option<u64>,
}

impl Tries {
    pub(crate) fn new(exchange: &Exchange) -> Self {
        Self {
            tried: Vec::new(),
            prefix: prefix::of(&exchange.path, &exchange.body),
            refusals: 0,
            retries: 0,
            repeatable: exchange.plan.repeatable,
            may_have_run: false,
            last: "no endpoint is known".to_owned(),
            retry_after_ms: None,
        }
    }

    /// Tries endpoints until one has begun an answer that goes on after
    /// `offset` content events.
    ///
    /// # Errors
    ///
    /// A problem document that says whether the request ran.
    pub(crate) async fn next(
        &mut self,
        shared: &Arc<Shared>,
        exchange: &Exchange,
        offset: u32,
    ) -> Result<Reply, Problem> {
        while self.refusals < REFUSALS_MAX {
            let left_ms = time_left_ms(shared, exchange)
                .ok_or_else(|| self.timed_out())?;
            let Some(flight) = self.choose(shared, exchange) else {
                break;
            };
            self.tried.push(flight.key());
            let pool = flight.target().pool.clone();
            let admitted = shared.quarantine.admit(|| exchange.digest).await;
            let attempted = Attempted {
                number: self.refusals + self.retries,
                left_ms,
                offset,
                cleared: admitted.map_err(|held| self.held(exchange, held))?,
            };
            match attempt(shared, exchange, flight, attempted).await {
                Attempt::Begun(reply) => return Ok(*reply),
                Attempt::NotRun {
                    why,
                    retry_after_ms,
                } => {
                    self.refusals += 1;
                    self.last = why;
                    self.retry_after_ms =
                        self.retry_after_ms.max(retry_after_ms);
                }
                Attempt::Lost { why, kind } => {
                    self.lost(shared, exchange, &pool, why, kind)?;
                }
            }
        }
        Err(self.exhausted())
    }

    /// Notes a lost attempt; fails if there may be no other.
    ///
    /// In a brown-out every request would be sent three times; the pool's
    /// budget keeps retries a small share of its requests.
    fn lost(
        &mut self,
        shared: &Shared,
        exchange: &Exchange,
        pool: &str,
        why: String,
        kind: ProblemKind,
    ) -> Result<(), Problem> {
        self.may_have_run = true;
        let plan = &exchange.plan;
        let may = plan.repeatable && self.retries < plan.retries;
        self.last = why;
        if !may || !shared.fleet.try_retry(pool) {
            return Err(self.gave_up(kind));
        }
        self.retries += 1;
        exchange.metrics.count(Counter::Retried, exchange.class, 1);
        Ok(())
    }

    /// Notes that an answer broke off after its start and tells whether it
    /// may go on elsewhere. Endpoints that refused before may be asked
    /// again; only the one that broke may not.
    pub(super) fn broke_off(
        &mut self,
        shared: &Shared,
        exchange: &Exchange,
        flight: &Flight,
        why: &str,
    ) -> bool {
        self.tried = vec![flight.key()];
        self.refusals = 0;
        let kind = ProblemKind::AnswerLost;
        let pool = &flight.target().pool;
        time_left_ms(shared, exchange).is_some()
            && self
                .lost(shared, exchange, pool, why.to_owned(), kind)
                .is_ok()
    }

    fn choose(&self, shared: &Shared, exchange: &Exchange) -> Option<Flight> {
        let (prefix, tried) = (self.prefix, &self.tried);
        exchange
            .plan
            .pools
            .iter()
            .find_map(|pool| shared.fleet.choose(pool, prefix, tried))
    }

    /// Refuses a request that crashes endpoints.
    fn held(&self, exchange: &Exchange, held: Quarantined) -> Problem {
        log::info!(
            request_id = exchange.request_id.as_str(),
            digest:% = exchange.digest,
            crashes = held.crashes,
            for_ms = held.for_ms;
            "a request is held"
        );
        exchange.metrics.count(Counter::Refused, exchange.class, 1);
        if self.may_have_run {
            return self.gave_up(ProblemKind::AnswerLost);
        }
        let why = format!("endpoints crashed: {}", held.crashes);
        Problem::new(ProblemKind::EndpointCrashes, why)
            .ran(Ran::No)
            .retry_after_ms(held.for_ms)
    }

    fn exhausted(&self) -> Problem {
        if self.may_have_run {
            return self.gave_up(ProblemKind::AnswerLost);
        }
        let last = self.last.clone();
        let after = self.retry_after_ms.unwrap_or(RETRY_AFTER_MS);
        Problem::new(ProblemKind::NoEndpoint, last)
            .ran(Ran::No)
            .retry_after_ms(after)
    }

    fn timed_out(&self) -> Problem {
        if self.may_have_run {
            return self.gave_up(ProblemKind::TimedOut);
        }
        let why = "the deadline has passed";
        Problem::new(ProblemKind::TimedOut, why)
            .ran(Ran::No)
            .retry_after_ms(RETRY_AFTER_MS)
    }

    /// Ends a request that may have run. Only a caller whose request may run
    /// twice is told when to come back.
    fn gave_up(&self, kind: ProblemKind) -> Problem {
        let problem = Problem::new(kind, self.last.clone()).ran(Ran::Unknown);
        match self.repeatable {
            true => problem.retry_after_ms(RETRY_AFTER_MS),
            false => problem,
        }
    }
}

/// Returns what is left of the deadline, 0 for none, `None` if it passed.
fn time_left_ms(shared: &Shared, exchange: &Exchange) -> Option<u64> {
    if exchange.plan.deadline_ms == 0 {
        return Some(0);
    }
    let now = shared.timer.now();
    let spent_ms = now.saturating_ms_since(exchange.received);
    exchange
        .plan
        .deadline_ms
        .checked_sub(spent_ms)
        .filter(|ms| *ms > 0)
}
