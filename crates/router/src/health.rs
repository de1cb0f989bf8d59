use base::Millis;

use crate::options::{Ejection, HealthPolicy};

/// Maximum health score, at which an endpoint starts.
const MAX_SCORE: u32 = 1_000;

/// Minimum interval between two increases of the health score, in
/// milliseconds; probes for the load are more frequent.
const SCORE_RAISE_INTERVAL_MS: u64 = 1_000;

/// Weight of the latest call in the moving average of failures.
const FAILURE_SHARE_WEIGHT: f64 = 0.1;

/// Number of consecutive successful calls after which earlier ejections no
/// longer lengthen the next one.
const ANSWERS_TO_RESET_EJECTIONS: u32 = 50;

/// Maximum number of doublings of the ejection time.
const MAX_DOUBLINGS: u32 = 10;

/// How a call failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum Failure {
    /// No connection, or no response on it: the endpoint currently accepts
    /// nothing.
    Unreachable,
    /// The call or its response was lost after the call had been sent.
    Lost,
}

/// Why an endpoint did not accept a call; the call did not run.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
pub enum Refusal {
    /// It is at capacity; this does not count against its health.
    Full,
    /// This incarnation accepts no new work.
    Leaving,
    /// Its companion cannot reach it.
    Down,
    /// Another endpoint has its address now.
    WrongTarget,
    /// Any other reason.
    Other,
}

#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum State {
    Selectable,
    /// Not selectable until this time, and then until a probe succeeds.
    Ejected(Millis),
    /// Selectable for one call at a time.
    HalfOpen,
}

/// Health of an endpoint according to the entry's own calls.
#[derive(Clone, Debug)]
pub(crate) struct Health {
    state: State,
    failures_in_row: u32,
    failure_share: f64,
    ejections: u32,
    answered_in_row: u32,
    score: u32,
    score_raised_at: Option<Millis>,
}

impl Default for Health {
    fn default() -> Self {
        Self {
            state: State::Selectable,
            failures_in_row: 0,
            failure_share: 0.0,
            ejections: 0,
            answered_in_row: 0,
            score: MAX_SCORE,
            score_raised_at: None,
        }
    }
}

impl Health {
    /// Reports whether the endpoint may be chosen.
    pub(crate) fn is_selectable(&self, in_flight: u32) -> bool {
        match self.state {
            State::Selectable => true,
            State::Ejected(_) => false,
            State::HalfOpen => in_flight == 0,
        }
    }

    pub(crate) fn is_ejected(&self) -> bool {
        matches!(self.state, State::Ejected(_))
    }

    /// Returns the health score; the same for all endpoints unless the policy
    /// uses scores.
    pub(crate) fn score(&self) -> u32 {
        self.score
    }

    pub(crate) fn answered(&mut self) {
        self.failures_in_row = 0;
        self.failure_share *= 1.0 - FAILURE_SHARE_WEIGHT;
        self.answered_in_row += 1;
        if self.answered_in_row >= ANSWERS_TO_RESET_EJECTIONS {
            self.ejections = 0;
        }
        if self.state == State::HalfOpen {
            self.state = State::Selectable;
        }
    }

    /// Records a failure; `is_ejection_allowed` is false if too many endpoints
    /// are ejected already.
    pub(crate) fn failed(
        &mut self,
        policy: &HealthPolicy,
        failure: Failure,
        is_ejection_allowed: bool,
        now: Millis,
    ) {
        self.failures_in_row += 1;
        self.answered_in_row = 0;
        self.failure_share +=
            FAILURE_SHARE_WEIGHT * (1.0 - self.failure_share);
        match policy {
            HealthPolicy::Off => {}
            HealthPolicy::Score { sensitivity } => {
                self.score = self.score.saturating_sub(*sensitivity);
            }
            HealthPolicy::Ejection(options) => {
                let unreachable = failure == Failure::Unreachable;
                let outlier = is_ejection_allowed && self.is_outlier(options);
                if unreachable || outlier {
                    self.eject(options, now);
                }
            }
        }
    }

    fn is_outlier(&self, options: &Ejection) -> bool {
        self.state == State::HalfOpen
            || self.failures_in_row >= options.failures_in_row
            || self.failure_share >= options.failure_share
    }

    fn eject(&mut self, options: &Ejection, now: Millis) {
        if self.is_ejected() {
            return;
        }
        let doublings = self.ejections.min(MAX_DOUBLINGS);
        let ejection_ms = (options.base_ms << doublings).min(options.max_ms);
        self.state = State::Ejected(now.saturating_add_ms(ejection_ms));
        self.ejections += 1;
        self.failures_in_row = 0;
        self.failure_share = 0.0;
    }

    /// Reports whether a successful probe could make the endpoint selectable
    /// or raise its score.
    pub(crate) fn needs_probe(&self, now: Millis) -> bool {
        match self.state {
            State::Ejected(until) => now >= until,
            _ => self.score < MAX_SCORE,
        }
    }

    /// Records a successful probe. It does not end an ejection early: an
    /// endpoint that fails every call may still answer probes.
    pub(crate) fn probed(&mut self, now: Millis) {
        if let State::Ejected(until) = self.state
            && now >= until
        {
            self.state = State::HalfOpen;
        }
        let is_due = self.score_raised_at.is_none_or(|last| {
            now.saturating_ms_since(last) >= SCORE_RAISE_INTERVAL_MS
        });
        if is_due && self.score < MAX_SCORE {
            self.score += 1;
            self.score_raised_at = Some(now);
        }
    }

    /// Records a failed probe.
    pub(crate) fn probe_failed(&mut self, policy: &HealthPolicy) {
        if let HealthPolicy::Score { sensitivity } = policy {
            self.score = self.score.saturating_sub(*sensitivity);
        }
    }
}
