use std::collections::HashMap;

use slotmap::SlotMap;

use crate::{PoolEntry, PoolKey, Refuse, config::Then};

/// Attempts after the first if a rule does not say.
const DEFAULT_RETRIES: u32 = 2;

/// Seconds after which a refused caller should come back if a rule does not
/// say. Without a time, callers come back at once and keep the overload up.
const DEFAULT_RETRY_AFTER_S: u32 = 5;

/// Statuses by which a caller is asked to come back.
const RETRYABLE_STATUSES: [u16; 2] = [429, 503];

/// What the rules say of a request.
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

    /// Returns the number of the rule that decided, counted from 0.
    #[inline]
    pub fn rule(&self) -> Option<usize> {
        self.rule
    }

    /// Returns the name of the rule that decided.
    #[inline]
    pub fn rule_name(&self) -> Option<&'a str> {
        self.name
    }

    /// Returns what to do.
    #[inline]
    pub fn action(&self) -> Action<'a> {
        self.action
    }
}

/// What to do with a request.
#[derive(Clone, Copy, Debug)]
pub enum Action<'a> {
    /// Send it to a pool.
    Route {
        /// Where and how.
        route: &'a Route,
        /// Whether it may run twice.
        repeatable: bool,
    },
    /// Refuse it as a rule says.
    Refuse(&'a Refusal),
    /// Refuse it because the fleet is too busy for it; the caller is asked
    /// to come back ([`Action::retry_after_s`]).
    Shed,
    /// Refuse it because no rule holds. A silent default was rejected: it
    /// would hide that a rule is missing.
    NoRule,
}

impl Action<'_> {
    /// Returns the seconds after which a refused caller should come back,
    /// if that can help.
    pub fn retry_after_s(&self) -> Option<u32> {
        match self {
            Action::Route { .. } | Action::NoRule => None,
            Action::Refuse(refusal) => refusal.retry_after_s(),
            Action::Shed => Some(DEFAULT_RETRY_AFTER_S),
        }
    }
}

/// Where and how to send a request.
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

    /// Returns the longest time to the end of the answer, in milliseconds.
    #[inline]
    pub fn deadline_ms(&self) -> Option<u64> {
        self.then.deadline_ms
    }

    /// Returns the target for the first token, in milliseconds.
    #[inline]
    pub fn first_token_ms(&self) -> Option<u64> {
        self.then.first_token_ms
    }

    /// Returns the attempts after the first.
    #[inline]
    pub fn retries(&self) -> u32 {
        self.then.retries.unwrap_or(DEFAULT_RETRIES)
    }

    /// Returns the wait before a second attempt beside the first, in
    /// milliseconds.
    #[inline]
    pub fn hedge_ms(&self) -> Option<u64> {
        self.then.hedge_ms
    }

    /// Returns whether the rule says that a request may run twice; the
    /// answer for a request is in [`Action::Route`].
    #[inline]
    pub fn repeatable(&self) -> Option<bool> {
        self.then.repeatable
    }

    /// Returns the requests a second of the rule over the whole fleet.
    #[inline]
    pub fn rate_per_s(&self) -> Option<f64> {
        self.then.rate_per_s
    }

    /// Returns the requests of the rule that may run at once over the whole
    /// fleet.
    #[inline]
    pub fn concurrent(&self) -> Option<u32> {
        self.then.concurrent
    }

    /// Returns the largest share of places for batch work.
    #[inline]
    pub fn batch_share(&self) -> f64 {
        self.then.batch_share.unwrap_or(1.0)
    }

    /// Returns the share of places that batch work keeps.
    #[inline]
    pub fn batch_floor(&self) -> f64 {
        self.then.batch_floor.unwrap_or(0.0)
    }
}

/// A refusal that a rule asks for.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Refusal(Refuse);

impl Refusal {
    /// Returns the status of the answer.
    #[inline]
    pub fn status(&self) -> u16 {
        self.0.status
    }

    /// Returns the reason, for the caller.
    #[inline]
    pub fn detail(&self) -> &str {
        &self.0.detail
    }

    /// Returns the seconds after which to come back. A status that asks the
    /// caller to come back always has them.
    pub fn retry_after_s(&self) -> Option<u32> {
        let is_retryable = RETRYABLE_STATUSES.contains(&self.0.status);
        let default = is_retryable.then_some(DEFAULT_RETRY_AFTER_S);
        self.0.retry_after_s.or(default)
    }
}

/// What a compiled rule does.
#[derive(Clone, Debug)]
pub(crate) enum Outcome {
    Route(Route),
    Refuse(Refusal),
    Shed,
}

impl Outcome {
    /// Compiles an action; the check has made sure that its pools exist.
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
