use std::collections::{BTreeSet, HashMap};

use base::{Customer, Revision, UnixMillis};
use conf::settings::EndpointKind;
use slotmap::{SlotMap, new_key_type};

use crate::{
    Action, Config, CustomerConfig, CustomerLimits, Decision, Explanation,
    OrderFencing, PoolConfig, Route, RuleExplanation, Sample,
    calendar::DecisionTime, condition::Condition, decision::Outcome,
    index::RuleIndex, when::Method,
};

new_key_type! {
    /// Key of a customer in one compiled configuration.
    pub struct CustomerKey;

    /// Key of a pool in one compiled configuration.
    pub struct PoolKey;
}

/// A customer of a compiled configuration.
#[derive(Clone, Debug)]
pub struct CustomerEntry {
    key: CustomerKey,
    config: CustomerConfig,
}

impl CustomerEntry {
    /// Returns the customer's key in this configuration.
    #[inline]
    pub fn key(&self) -> CustomerKey {
        self.key
    }

    /// Returns the customer's name.
    #[inline]
    pub fn customer(&self) -> &Customer {
        &self.config.customer
    }

    /// Returns the customer's fleet-wide limits.
    #[inline]
    pub fn limits(&self) -> &CustomerLimits {
        &self.config.limits
    }

    /// Returns the customer's share of contended capacity, relative to others.
    #[inline]
    pub fn weight(&self) -> u32 {
        self.config.weight
    }
}

/// A pool of a compiled configuration.
#[derive(Clone, Debug)]
pub struct PoolEntry {
    key: PoolKey,
    config: PoolConfig,
}

impl PoolEntry {
    /// Returns the pool's key in this configuration.
    #[inline]
    pub fn key(&self) -> PoolKey {
        self.key
    }

    /// Returns the pool's name.
    #[inline]
    pub fn name(&self) -> &str {
        &self.config.pool
    }

    /// Returns the configuration of the pool.
    #[inline]
    pub fn config(&self) -> &PoolConfig {
        &self.config
    }

    /// Reports whether the pool's endpoints reject commands with a stale
    /// fencing token themselves.
    #[inline]
    pub fn checks_fence(&self) -> bool {
        self.config.order_fencing == OrderFencing::Checked
    }

    /// Reports whether a call with this method may run more than once.
    ///
    /// Calls of engines have no side effects, so they may. A call of a service
    /// may have some; unless operators list other methods, only those that
    /// HTTP defines as safe are repeated.
    pub fn is_repeatable(&self, method: &str) -> bool {
        const SAFE: [Method; 3] = [Method::Get, Method::Head, Method::Options];
        if self.config.kind == EndpointKind::Engine {
            return true;
        }
        let listed = self.config.repeatable.as_deref();
        let methods = listed.unwrap_or(&SAFE);
        methods.iter().any(|listed| listed.as_str() == method)
    }
}

/// A rule of a compiled configuration.
#[derive(Clone, Debug)]
struct CompiledRule {
    name: Option<String>,
    /// Conditions that the index does not cover.
    unindexed: Vec<Condition>,
    outcome: Outcome,
}

/// An immutable configuration, indexed for decisions.
///
/// # Example
///
/// ```
/// use base::{Class, Revision, UnixMillis};
/// use pomeloslip_rules::{Action, Config, Sample};
///
/// let text = "
/// pools:
///   - {pool: korv-lm, kind: engine, models: korv-lm}
/// rules:
///   - name: chat
///     when: {class: online, model: korv-lm}
///     then: {pool: korv-lm, retries: 1}
/// ";
/// let config = Config::parse("rules.yaml", text)?;
/// let compiled = config.compile(Revision::new(7));
/// let sample = Sample {
///     model: Some("korv-lm"),
///     ..Sample::new(Class::Online, "taevakorv")
/// };
/// let decision = compiled.decide(&sample, UnixMillis::new(0));
/// let Action::Route { route, repeatable } = decision.action() else {
///     panic!("not routed");
/// };
/// assert_eq!(compiled.pool(route.pool()).unwrap().name(), "korv-lm");
/// assert!(repeatable);
/// assert_eq!(decision.rule_name(), Some("chat"));
/// # Ok::<(), error_stack::Report<pomeloslip_rules::RulesError>>(())
/// ```
#[derive(Clone, Debug)]
pub struct CompiledConfig {
    revision: Revision,
    customers: SlotMap<CustomerKey, CustomerEntry>,
    customer_keys: HashMap<Customer, CustomerKey>,
    digests: HashMap<[u8; 32], CustomerKey>,
    pools: SlotMap<PoolKey, PoolEntry>,
    pool_keys: HashMap<String, PoolKey>,
    rules: Vec<CompiledRule>,
    /// All conditions of each rule, for explanations.
    conditions: Vec<Vec<Condition>>,
    index: RuleIndex,
}

impl CompiledConfig {
    pub(crate) fn new(config: Config, revision: Revision) -> Self {
        let mut customers = SlotMap::with_key();
        let mut customer_keys = HashMap::new();
        let mut digests = HashMap::new();
        for config in config.customers {
            let name = config.customer.clone();
            let key_digests = config.key_sha256.clone();
            let key =
                customers.insert_with_key(|key| CustomerEntry { key, config });
            customer_keys.insert(name, key);
            for digest in key_digests.iter() {
                digests.insert(*digest.as_bytes(), key);
            }
        }
        let mut pools = SlotMap::with_key();
        let mut pool_keys = HashMap::new();
        for config in config.pools {
            let name = config.pool.clone();
            let key = pools.insert_with_key(|key| PoolEntry { key, config });
            pool_keys.insert(name, key);
        }
        let mut rules = Vec::new();
        let mut conditions = Vec::new();
        for rule in config.rules {
            let all = Condition::list(rule.when);
            let unindexed =
                all.iter().filter(|condition| !condition.is_indexed());
            rules.push(CompiledRule {
                name: rule.name,
                unindexed: unindexed.cloned().collect(),
                outcome: Outcome::new(rule.then, &pool_keys),
            });
            conditions.push(all);
        }
        Self {
            revision,
            customers,
            customer_keys,
            digests,
            pools,
            pool_keys,
            rules,
            index: RuleIndex::new(&conditions),
            conditions,
        }
    }

    /// Returns the revision of the configuration.
    #[inline]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the customer that owns the API key with this SHA-256 digest.
    ///
    /// The lookup does not run in constant time, but its timing reveals
    /// nothing about keys: an attacker who guesses keys cannot choose their
    /// digests.
    #[inline]
    pub fn customer_by_key_digest(
        &self,
        digest: &[u8; 32],
    ) -> Option<&CustomerEntry> {
        self.customer(*self.digests.get(digest)?)
    }

    /// Returns a customer by its key.
    #[inline]
    pub fn customer(&self, key: CustomerKey) -> Option<&CustomerEntry> {
        self.customers.get(key)
    }

    /// Returns a customer by its name.
    pub fn customer_by_name(&self, name: &Customer) -> Option<&CustomerEntry> {
        self.customer(*self.customer_keys.get(name)?)
    }

    /// Returns all customers.
    pub fn customers(&self) -> impl Iterator<Item = &CustomerEntry> {
        self.customers.values()
    }

    /// Returns a pool by its key.
    #[inline]
    pub fn pool(&self, key: PoolKey) -> Option<&PoolEntry> {
        self.pools.get(key)
    }

    /// Returns a pool by its name.
    pub fn pool_by_name(&self, name: &str) -> Option<&PoolEntry> {
        self.pool(*self.pool_keys.get(name)?)
    }

    /// Returns all pools.
    pub fn pools(&self) -> impl Iterator<Item = &PoolEntry> {
        self.pools.values()
    }

    /// Returns the names of all models that any pool serves, sorted.
    pub fn models(&self) -> Vec<&str> {
        let lists = self.pools.values().map(|pool| &pool.config.models);
        let models = lists.flatten().flat_map(|list| list.iter());
        let sorted: BTreeSet<&str> =
            models.map(|model| model.as_str()).collect();
        sorted.into_iter().collect()
    }

    /// Returns the decision of the first rule whose conditions all hold.
    pub fn decide(
        &self,
        sample: &Sample<'_>,
        now: UnixMillis,
    ) -> Decision<'_> {
        let decision_time = DecisionTime::new(now);
        let holds = |rule: &usize| {
            let unindexed = &self.rules[*rule].unindexed;
            unindexed
                .iter()
                .all(|condition| condition.holds(sample, &decision_time))
        };
        match self.index.candidates(sample).find(holds) {
            Some(rule) => self.decision(rule, sample.method),
            None => Decision::new(None, None, Action::NoRule),
        }
    }

    fn decision(&self, index: usize, method: &str) -> Decision<'_> {
        let rule = &self.rules[index];
        let action = match &rule.outcome {
            Outcome::Route(route) => Action::Route {
                route,
                repeatable: self.is_repeatable(route, method),
            },
            Outcome::Refuse(refusal) => Action::Refuse(refusal),
            Outcome::Shed => Action::Shed,
        };
        Decision::new(Some(index), rule.name.as_deref(), action)
    }

    fn is_repeatable(&self, route: &Route, method: &str) -> bool {
        let pool_allows = |key| {
            let pool = self.pool(key);
            pool.is_some_and(|pool| pool.is_repeatable(method))
        };
        // A retry may be sent to any of the pools.
        let all = || route.pools().all(pool_allows);
        route.repeatable().unwrap_or_else(all)
    }

    /// Explains for each rule whether it matches, and if not, which conditions
    /// fail.
    pub fn explain(
        &self,
        sample: &Sample<'_>,
        now: UnixMillis,
    ) -> Explanation {
        let decision_time = DecisionTime::new(now);
        let deciding_rule = self.decide(sample, now).rule();
        let rules = self.conditions.iter().enumerate().map(|(index, all)| {
            let name = self.rules[index].name.clone();
            let failures = all
                .iter()
                .filter(|condition| !condition.holds(sample, &decision_time))
                .map(|condition| condition.failure(sample, &decision_time))
                .collect();
            RuleExplanation::new(index, name, failures, deciding_rule)
        });
        let rules = rules.collect();
        let action = match deciding_rule {
            Some(rule) => self.rules[rule].outcome.describe(&self.pools),
            None => "refused: no rule holds".to_owned(),
        };
        Explanation::new(self.revision, deciding_rule, action, rules)
    }
}
