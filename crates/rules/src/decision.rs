use std::collections::HashMap;

use slotmap::SlotMap;

use crate::{PoolEntry, PoolKey, Refuse, config::Then};

/// Maximum number of retries if a rule does not set it.
const DEFAULT_RETRIES: u32 = 2;

/// Retry delay of refusals if a rule does not set it, in seconds. Without a
/// delay, callers retry at once and sustain the overload.
const DEFAULT_RETRY_AFTER_S: u32 = 5;

/// Statuses that ask the caller to retry later.
const RETRYABLE_STATUSES: [u16; 2] = [429, 503];

/// The decision of the rules on a request.
#[derive(Clone, Copy, Debug)]
pub struct Decision<'a> {
    rule: Option<usize>,
    name: Option<&'a str>,
    action: Action<'a>,
}

impl<'a> Decision<'a> {
    pub(crate) fn new(
        rule: Option<usize>,
        name: Option<&'a str>,
        action: Action<'a>,
    ) -> Self {
        Self { rule, name, action }
    }

    /// Returns the index of the rule that applies, from 0.
    #[inline]
    pub fn rule(&self) -> Option<usize> {
        self.rule
    }

    /// Returns the name of the rule that applies.
    #[inline]
    pub fn rule_name(&self) -> Option<&'a str> {
        self.name
    }

    /// Returns the action to take.
    #[inline]
    pub fn action(&self) -> Action<'a> {
        self.action
    }
}

/// Action to take on a request.
#[derive(Clone, Copy, Debug)]
pub enum Action<'a> {
    /// Route the request to a pool.
    Route {
        /// Destination and options.
        route: &'a Route,
        /// Whether the request may run more than once.
        repeatable: bool,
    },
    /// Refuse the request as a rule configures.
    Refuse(&'a Refusal),
    /// Refuse the request because of overload; the caller is asked to retry
    /// later ([`Action::retry_after_s`]).
    Shed,
    /// Refuse the request because no rule matches. A default action would hide
    /// that a rule is missing.
    NoRule,
}

impl Action<'_> {
    /// Returns the retry delay for a refused caller, in seconds, or `None` if
    /// a retry would not help.
    pub fn retry_after_s(&self) -> Option<u32> {
        match self {
            Action::Route { .. } | Action::NoRule => None,
            Action::Refuse(refusal) => refusal.retry_after_s(),
            Action::Shed => Some(DEFAULT_RETRY_AFTER_S),
        }
    }
}

/// Destination and options of a routed request.
#[derive(Clone, Debug, PartialEq)]
pub struct Route {
    pool: PoolKey,
    fallback_pools: Vec<PoolKey>,
    then: Then,
}

impl Route {
    /// Returns the pool to try first.
    #[inline]
    pub fn pool(&self) -> PoolKey {
        self.pool
    }

    /// Returns the pools to try, in order.
    pub fn pools(&self) -> impl Iterator<Item = PoolKey> + '_ {
        let fallbacks = self.fallback_pools.iter().copied();
        std::iter::once(self.pool).chain(fallbacks)
    }

    /// Returns the deadline for the end of the response, in milliseconds.
    #[inline]
    pub fn deadline_ms(&self) -> Option<u64> {
        self.then.deadline_ms
    }

    /// Returns the target for the first token, in milliseconds.
    #[inline]
    pub fn first_token_ms(&self) -> Option<u64> {
        self.then.first_token_ms
    }

    /// Returns the maximum number of retries.
    #[inline]
    pub fn retries(&self) -> u32 {
        self.then.retries.unwrap_or(DEFAULT_RETRIES)
    }

    /// Returns the hedging delay, in milliseconds.
    #[inline]
    pub fn hedge_ms(&self) -> Option<u64> {
        self.then.hedge_ms
    }

    /// Returns whether the rule itself allows a request to run more than once;
    /// [`Action::Route`] holds the effective value for a request.
    #[inline]
    pub fn repeatable(&self) -> Option<bool> {
        self.then.repeatable
    }

    /// Returns the maximum rate of the rule over the whole fleet, in requests
    /// per second.
    #[inline]
    pub fn rate_per_s(&self) -> Option<f64> {
        self.then.rate_per_s
    }

    /// Returns the maximum number of concurrent requests of the rule over the
    /// whole fleet.
    #[inline]
    pub fn concurrent(&self) -> Option<u32> {
        self.then.concurrent
    }

    /// Returns the maximum share of slots that batch work may use.
    #[inline]
    pub fn batch_share(&self) -> f64 {
        self.then.batch_share.unwrap_or(1.0)
    }

    /// Returns the share of slots reserved for batch work.
    #[inline]
    pub fn batch_floor(&self) -> f64 {
        self.then.batch_floor.unwrap_or(0.0)
    }
}

/// A refusal configured by a rule.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal(Refuse);

impl Refusal {
    /// Returns the HTTP status of the response.
    #[inline]
    pub fn status(&self) -> u16 {
        self.0.status
    }

    /// Returns the reason shown to the caller.
    #[inline]
    pub fn detail(&self) -> &str {
        &self.0.detail
    }

    /// Returns the retry delay for the caller, in seconds. Statuses that ask
    /// the caller to retry always have one.
    pub fn retry_after_s(&self) -> Option<u32> {
        let is_retryable = RETRYABLE_STATUSES.contains(&self.0.status);
        let default = is_retryable.then_some(DEFAULT_RETRY_AFTER_S);
        self.0.retry_after_s.or(default)
    }
}

/// Compiled action of a rule.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    Route(Route),
    Refuse(Refusal),
    Shed,
}

impl Outcome {
    /// Compiles an action. The checks have verified that its pools exist.
    pub(crate) fn new(then: Then, pools: &HashMap<String, PoolKey>) -> Self {
        if let Some(refuse) = then.refuse {
            return Outcome::Refuse(Refusal(refuse));
        }
        let pool = then.pool.as_ref().and_then(|pool| pools.get(pool));
        let Some(&pool) = pool else {
            return Outcome::Shed;
        };
        let fallbacks = then.fallback_pools.as_deref().unwrap_or_default();
        let keys = fallbacks.iter().filter_map(|name| pools.get(name));
        Outcome::Route(Route {
            pool,
            fallback_pools: keys.copied().collect(),
            then,
        })
    }

    pub(crate) fn describe(
        &self,
        pools: &SlotMap<PoolKey, PoolEntry>,
    ) -> String {
        match self {
            Outcome::Route(route) => {
                let names: Vec<&str> = route
                    .pools()
                    .filter_map(|key| pools.get(key))
                    .map(PoolEntry::name)
                    .collect();
                format!("goes to {}", names.join(", then "))
            }
            Outcome::Refuse(refusal) => {
                let (status, why) = (refusal.status(), refusal.detail());
                format!("refused with status {status}: {why}")
            }
            Outcome::Shed => "refused: shed under load".to_owned(),
        }
    }
}
