//! Limits of customers and rules.
//!
//! A limit applies to the whole fleet; each entry enforces its share without a
//! message per request. A refused request gets a retry-after and is never
//! queued here.

use std::{
    collections::HashMap,
    sync::{
        Arc, Mutex, MutexGuard, PoisonError,
        atomic::{AtomicU32, Ordering},
    },
};

use base::{Customer, Millis, Revision};
use limits::{
    Admission, ConcurrencyLimit, EntryCount, FleetLimits, LimitShare,
    LimitTable, OverLimit, Permit, TokenBucket,
};
use rules::{CompiledConfig, CustomerEntry};
use web::{Problem, ProblemKind, Ran};

/// Time for which fewer entries must be observed before the others take over
/// their share, in milliseconds.
const SHRINK_DELAY_MS: u64 = 30_000;

/// The limits of the rule that matched a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RuleLimits {
    /// Name of the rule, or its number.
    pub(crate) rule: String,
    pub(crate) rate_per_s: Option<f64>,
    pub(crate) concurrent: Option<u32>,
}

/// The permits of a request under its limits, released when dropped.
#[derive(Debug)]
pub(crate) struct LimitPermits {
    _customer: Option<Admission>,
    _rule: Option<Permit>,
}

/// The limits enforced by one entry.
pub(crate) struct Limits {
    /// Number of live entries, including this one; updated by the code that
    /// follows the VM list.
    live_entries: Arc<AtomicU32>,
    inner: Mutex<Inner>,
}

struct Inner {
    /// Configuration revision of the limits.
    revision: Option<Revision>,
    entries: EntryCount,
    customers: LimitTable,
    rules: HashMap<String, RuleState>,
}

/// State of the limits of one rule.
#[derive(Debug, Default)]
struct RuleState {
    applied: Option<(RuleLimits, LimitShare)>,
    bucket: Option<TokenBucket>,
    concurrent: Option<ConcurrencyLimit>,
}

impl Limits {
    /// Creates the limits, shared with the other live entries.
    pub(crate) fn new(live_entries: Arc<AtomicU32>) -> Self {
        let live = live_entries.load(Ordering::Relaxed);
        let inner = Mutex::new(Inner {
            revision: None,
            entries: EntryCount::new(live, SHRINK_DELAY_MS),
            customers: LimitTable::new(LimitShare::new(live)),
            rules: HashMap::new(),
        });
        Self {
            live_entries,
            inner,
        }
    }

    /// Admits a request or refuses it at once.
    ///
    /// # Errors
    ///
    /// A problem document that names the exceeded limit and the retry-after.
    pub(crate) fn admit(
        &self,
        compiled: &CompiledConfig,
        customer: &Customer,
        rule: &RuleLimits,
        now: Millis,
    ) -> Result<LimitPermits, Problem> {
        let mut inner = self.lock();
        inner.observe(self.live_entries.load(Ordering::Relaxed), now);
        inner.configure(compiled, now);
        let rule_permit = inner
            .admit_rule(rule, now)
            .map_err(|over| refusal(&format!("rule {}", rule.rule), over))?;
        // A customer missing from the table was just removed; the next call
        // fails authentication.
        let key = inner.customers.key(customer);
        let admitted = key
            .map(|key| inner.customers.try_admit(key, now))
            .transpose();
        match admitted {
            Ok(customer) => Ok(LimitPermits {
                _customer: customer,
                _rule: rule_permit,
            }),
            Err(over) => {
                inner.refund_rule(rule);
                Err(refusal(&format!("tenant {customer}"), over))
            }
        }
    }

    /// Counts remain usable after a panic elsewhere.
    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.inner.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Inner {
    fn share(&self) -> LimitShare {
        LimitShare::new(self.entries.get())
    }

    fn observe(&mut self, live: u32, now: Millis) {
        self.entries.observe(live, now);
        let share = self.share();
        self.customers.set_share(share, now);
    }

    /// Applies a new configuration on the first request that it decides. A
    /// request that an older configuration decided changes nothing.
    fn configure(&mut self, compiled: &CompiledConfig, now: Millis) {
        if self.revision >= Some(compiled.revision()) {
            return;
        }
        self.revision = Some(compiled.revision());
        let customers = compiled.customers();
        let limits =
            customers.map(|entry| (entry.customer(), fleet_limits(entry)));
        self.customers.configure(limits, now);
        // The state of a removed rule is dropped once its last request has
        // ended; rules that remain keep their counts.
        self.rules.retain(|_, state| state.is_used());
    }

    fn admit_rule(
        &mut self,
        rule: &RuleLimits,
        now: Millis,
    ) -> Result<Option<Permit>, OverLimit> {
        if rule.rate_per_s.is_none() && rule.concurrent.is_none() {
            return Ok(None);
        }
        let share = self.share();
        let state = self.rules.entry(rule.rule.clone()).or_default();
        state.configure(rule, share, now);
        let concurrent = state.concurrent.as_ref();
        let permit = concurrent.map(ConcurrencyLimit::try_acquire);
        let permit = permit.transpose()?;
        if let Some(bucket) = &mut state.bucket {
            bucket.try_take(now)?;
        }
        Ok(permit)
    }

    /// Refunds the token of a request to the rate limit of its rule. Dropping
    /// the permit releases the concurrency slot.
    fn refund_rule(&mut self, rule: &RuleLimits) {
        let state = self.rules.get_mut(&rule.rule);
        if let Some(bucket) = state.and_then(|state| state.bucket.as_mut()) {
            bucket.refund();
        }
    }
}

impl RuleState {
    fn is_used(&self) -> bool {
        let concurrent = self.concurrent.as_ref();
        self.bucket.is_some() || concurrent.is_some_and(|c| c.running() > 0)
    }

    fn configure(
        &mut self,
        rule: &RuleLimits,
        share: LimitShare,
        now: Millis,
    ) {
        let wanted = Some((rule.clone(), share));
        if self.applied == wanted {
            return;
        }
        self.applied = wanted;
        self.bucket = rule.rate_per_s.map(|fleet_limit| {
            let rate = share.rate(fleet_limit);
            let burst = share.count(fleet_limit.ceil().max(1.0) as u32);
            match self.bucket.take() {
                Some(mut bucket) => {
                    bucket.set(rate, burst, now);
                    bucket
                }
                None => TokenBucket::new(rate, burst, now),
            }
        });
        self.concurrent = rule.concurrent.map(|fleet_limit| {
            let limit = share.count(fleet_limit);
            match self.concurrent.take() {
                Some(concurrent) => {
                    concurrent.set(limit);
                    concurrent
                }
                None => ConcurrencyLimit::new(limit),
            }
        });
    }
}

fn fleet_limits(entry: &CustomerEntry) -> FleetLimits {
    let limits = entry.limits();
    FleetLimits {
        requests_per_s: limits.requests_per_s,
        burst: limits.burst,
        concurrent: limits.concurrent,
    }
}

fn refusal(subject: &str, over: OverLimit) -> Problem {
    let reason = format!("{subject} is over its limit");
    Problem::new(ProblemKind::RateLimited, reason)
        .ran(Ran::No)
        .retry_after_ms(over.retry_after_ms())
}
