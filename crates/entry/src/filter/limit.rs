//! Limits of customers and rules.
//!
//! A limit holds over the fleet; each entry gives out its share of it
//! without a message per request. A refused request is told when to come
//! back and never waits here.

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

/// Time for which fewer entries must be seen before the others take over
/// their share, in milliseconds.
const FEWER_HOLD_MS: u64 = 30_000;

/// The limits of the rule that decided on a request.
#[derive(Clone, Debug, Default, PartialEq)]
pub(crate) struct RuleLimits {
    /// Name of the rule, else its number.
    pub(crate) rule: String,
    pub(crate) rate_per_s: Option<f64>,
    pub(crate) concurrent: Option<u32>,
}

/// The places of a request under its limits, free again when dropped.
#[derive(Debug)]
pub(crate) struct Places {
    _customer: Option<Admission>,
    _rule: Option<Permit>,
}

/// The limits at one entry.
pub(crate) struct Limits {
    /// Entries that are live, this one included; who follows the machines
    /// stores it here.
    live_entries: Arc<AtomicU32>,
    inner: Mutex<Inner>,
}

struct Inner {
    /// Configuration that the rows are of.
    revision: Option<Revision>,
    entries: EntryCount,
    customers: LimitTable,
    rules: HashMap<String, RuleRow>,
}

/// What is left of the limits of one rule.
#[derive(Debug, Default)]
struct RuleRow {
    set: Option<(RuleLimits, LimitShare)>,
    bucket: Option<TokenBucket>,
    concurrent: Option<ConcurrencyLimit>,
}

impl Limits {
    /// Shares the limits with the other live entries.
    pub(crate) fn new(live_entries: Arc<AtomicU32>) -> Self {
        let live = live_entries.load(Ordering::Relaxed);
        let inner = Mutex::new(Inner {
            revision: None,
            entries: EntryCount::new(live, FEWER_HOLD_MS),
            customers: LimitTable::new(LimitShare::new(live)),
            rules: HashMap::new(),
        });
        Self {
            live_entries,
            inner,
        }
    }

    /// Lets a request run, or not at once.
    ///
    /// # Errors
    ///
    /// A refusal that says which limit is reached and when to come back.
    pub(crate) fn admit(
        &self,
        compiled: &CompiledConfig,
        customer: &Customer,
        rule: &RuleLimits,
        now: Millis,
    ) -> Result<Places, Problem> {
        let mut inner = self.lock();
        inner.observe(self.live_entries.load(Ordering::Relaxed), now);
        inner.configure(compiled, now);
        let rule_place = inner
            .admit_rule(rule, now)
            .map_err(|over| refusal(&format!("rule {}", rule.rule), over))?;
        // A customer that is not in the table was just removed; its next call
        // is refused by its key.
        let key = inner.customers.key(customer);
        let admitted = key
            .map(|key| inner.customers.try_admit(key, now))
            .transpose();
        match admitted {
            Ok(customer) => Ok(Places {
                _customer: customer,
                _rule: rule_place,
            }),
            Err(over) => {
                inner.give_back(rule);
                Err(refusal(&format!("tenant {customer}"), over))
            }
        }
    }

    /// A panic elsewhere leaves counts that are still good enough.
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

    /// Takes a new configuration with the first request that it decides on.
    /// A request that was decided on just before by an older one changes
    /// nothing.
    fn configure(&mut self, compiled: &CompiledConfig, now: Millis) {
        if self.revision >= Some(compiled.revision()) {
            return;
        }
        self.revision = Some(compiled.revision());
        let customers = compiled.customers();
        let limits = customers.map(|entry| (entry.customer(), fleet(entry)));
        self.customers.configure(limits, now);
        // Rows of rules that are gone go with the last request under them;
        // those that stay keep what they have counted.
        self.rules.retain(|_, row| row.is_used());
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
        let row = self.rules.entry(rule.rule.clone()).or_default();
        row.configure(rule, share, now);
        let concurrent = row.concurrent.as_ref();
        let permit = concurrent.map(ConcurrencyLimit::try_acquire);
        let permit = permit.transpose()?;
        if let Some(bucket) = &mut row.bucket {
            bucket.try_take(now)?;
        }
        Ok(permit)
    }

    /// Undoes what a request took from its rule's rate; its place is freed
    /// by dropping it.
    fn give_back(&mut self, rule: &RuleLimits) {
        let row = self.rules.get_mut(&rule.rule);
        if let Some(bucket) = row.and_then(|row| row.bucket.as_mut()) {
            bucket.refund();
        }
    }
}

impl RuleRow {
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
        if self.set == wanted {
            return;
        }
        self.set = wanted;
        self.bucket = rule.rate_per_s.map(|whole| {
            let rate = share.rate(whole);
            let burst = share.count(whole.ceil().max(1.0) as u32);
            match self.bucket.take() {
                Some(mut bucket) => {
                    bucket.set(rate, burst, now);
                    bucket
                }
                None => TokenBucket::new(rate, burst, now),
            }
        });
        self.concurrent = rule.concurrent.map(|whole| {
            let limit = share.count(whole);
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

fn fleet(entry: &CustomerEntry) -> FleetLimits {
    let limits = entry.limits();
    FleetLimits {
        requests_per_s: limits.requests_per_s,
        burst: limits.burst,
        concurrent: limits.concurrent,
    }
}

fn refusal(whose: &str, over: OverLimit) -> Problem {
    let why = format!("{whose} is over its limit");
    Problem::new(ProblemKind::RateLimited, why)
        .ran(Ran::No)
        .retry_after_ms(over.retry_after_ms())
}
