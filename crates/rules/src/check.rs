//! Semantic checks of a configuration, after it has been deserialized.

use conf::{Check, Findings, OneOrMany, UniqueNames, settings::EndpointKind};

use crate::{
    Config, CustomerConfig, CustomerLimits, PoolConfig, Refuse, Rule, Then,
    When,
};

const MAX_DURATION_MS: u64 = 86_400_000;
const MAX_RATE_PER_S: f64 = 1e9;
const MAX_WEIGHT: u32 = 1_000;
const MAX_RETRIES: u32 = 10;

impl Check for Config {
    fn check(&self, findings: &mut Findings<'_>) {
        let mut checker = Checker {
            config: self,
            findings,
        };
        checker.check_customers();
        checker.check_pools();
        checker.check_rules();
    }
}

struct Checker<'c, 'f, 't> {
    config: &'c Config,
    findings: &'f mut Findings<'t>,
}

impl<'c> Checker<'c, '_, '_> {
    fn check_customers(&mut self) {
        let mut names = UniqueNames::default();
        let mut digests = UniqueNames::default();
        for (index, customer) in self.config.customers.iter().enumerate() {
            let path = self.findings.item_path("tenants", index);
            let name = format!("{path}.tenant");
            names.add(&name, customer.customer.as_str(), self.findings);
            let keys = format!("{path}.key_sha256");
            for (index, digest) in customer.key_sha256.iter().enumerate() {
                let path = self.findings.item_path(&keys, index);
                let digest = digest.to_string();
                digests.add(&path, &digest, self.findings);
            }
            self.check_customer(&path, customer);
        }
    }

    fn check_customer(&mut self, path: &str, customer: &CustomerConfig) {
        let weight = format!("{path}.weight");
        self.findings
            .check_range(&weight, customer.weight, 1, MAX_WEIGHT);
        let CustomerLimits {
            requests_per_s,
            burst,
            concurrent,
            batch_items_open: _,
        } = customer.limits;
        let key = |key: &str| format!("{path}.limits.{key}");
        self.check_rate(&key("requests_per_s"), requests_per_s);
        self.check_at_least_one(&key("burst"), burst);
        self.check_at_least_one(&key("concurrent"), concurrent);
        if burst.is_some() && requests_per_s.is_none() {
            let message = "has no effect without `requests_per_s`";
            self.findings.report(&key("burst"), message);
        }
    }

    fn check_pools(&mut self) {
        let mut names = UniqueNames::default();
        for (index, pool) in self.config.pools.iter().enumerate() {
            let path = self.findings.item_path("pools", index);
            let name = format!("{path}.pool");
            names.add(&name, &pool.pool, self.findings);
            self.findings.check_name(&name, &pool.pool);
            self.check_pool(&path, pool);
        }
    }

    fn check_pool(&mut self, path: &str, pool: &PoolConfig) {
        let models = format!("{path}.models");
        let service = format!("{path}.service");
        let repeatable = format!("{path}.repeatable");
        let only_for_kind = "is only for kind";
        match pool.kind {
            EndpointKind::Engine => {
                let none = pool.models.as_ref().is_none_or(|m| m.is_empty());
                if none {
                    let message = "missing; an engine pool needs one";
                    self.findings.report(&models, message);
                }
                if pool.service.is_some() {
                    let message = format!("{only_for_kind} service");
                    self.findings.report(&service, message);
                }
                if pool.repeatable.is_some() {
                    let message = format!("{only_for_kind} service");
                    self.findings.report(&repeatable, message);
                }
            }
            EndpointKind::Service => {
                if pool.service.is_none() {
                    let message = "missing; a service pool needs it";
                    self.findings.report(&service, message);
                }
                if pool.models.is_some() {
                    let message = format!("{only_for_kind} engine");
                    self.findings.report(&models, message);
                }
            }
        }
    }

    fn check_rules(&mut self) {
        let mut names = UniqueNames::default();
        for (index, rule) in self.config.rules.iter().enumerate() {
            let path = self.findings.item_path("rules", index);
            if let Some(name) = &rule.name {
                let path = format!("{path}.name");
                names.add(&path, name, self.findings);
            }
            self.check_when(&format!("{path}.when"), &rule.when);
            self.check_then(&format!("{path}.then"), &rule.then);
            self.check_served(&path, rule);
        }
    }

    fn check_when(&mut self, path: &str, when: &When) {
        let key = |key: &str| format!("{path}.{key}");
        self.check_not_empty(&key("class"), when.class.as_ref());
        self.check_not_empty(&key("path"), when.path.as_ref());
        self.check_not_empty(&key("method"), when.method.as_ref());
        self.check_not_empty(&key("header"), when.header.as_ref());
        self.check_not_empty(&key("time_of_day"), when.time_of_day.as_ref());
        self.check_not_empty(&key("dates"), when.dates.as_ref());
        self.check_not_empty(&key("pool_load"), when.pool_load.as_ref());
        let config = self.config;
        let customers =
            config.customers.iter().map(|one| one.customer.as_str());
        let customers: Vec<&str> = customers.collect();
        let wanted = when.customer.as_ref();
        self.check_defined(&key("tenant"), "tenant", wanted, &customers);
        let models = config.pools.iter().flat_map(models);
        let models: Vec<&str> = models.collect();
        let wanted = when.model.as_ref();
        self.check_defined(&key("model"), "model", wanted, &models);
        let services = config.pools.iter().flat_map(|one| &one.service);
        let services: Vec<&str> = services.map(|one| one.as_str()).collect();
        let wanted = when.service.as_ref();
        self.check_defined(&key("service"), "service", wanted, &services);
        if when.model.is_some() && when.service.is_some() {
            let message = "no request names both a model and a service";
            self.findings.report(&key("service"), message);
        }
        self.check_ranges(path, when);
    }

    fn check_ranges(&mut self, path: &str, when: &When) {
        if let Some(range) = when.prompt_bytes {
            let path = format!("{path}.prompt_bytes");
            match (range.min, range.max) {
                (None, None) => {
                    self.findings.report(&path, "needs `min` or `max`");
                }
                (Some(min), Some(max)) if min > max => {
                    let message =
                        format!("min {min} is greater than max {max}");
                    self.findings.report(&path, message);
                }
                _ => {}
            }
        }
        for (path, part) in
            self.items_with_paths(path, "time_of_day", &when.time_of_day)
        {
            if part.from == part.to {
                let message = "`from` and `to` are the same";
                self.findings.report(&path, message);
            }
        }
        for (path, dates) in self.items_with_paths(path, "dates", &when.dates)
        {
            if dates.from > dates.to {
                self.findings.report(&path, "`from` is after `to`");
            }
        }
        for (path, load) in
            self.items_with_paths(path, "pool_load", &when.pool_load)
        {
            self.check_pool_name(&format!("{path}.pool"), &load.pool);
            let above = format!("{path}.above");
            self.findings.check_range(&above, load.above, 0.0, 1_000.0);
        }
        for (path, header) in
            self.items_with_paths(path, "header", &when.header)
        {
            if header.name.is_empty() {
                self.findings.report(&format!("{path}.name"), "is empty");
            }
            if header.equals.is_some() && header.prefix.is_some() {
                let message = "takes one of `equals` and `prefix`";
                self.findings.report(&path, message);
            }
        }
    }

    fn check_then(&mut self, path: &str, then: &Then) {
        let key = |key: &str| format!("{path}.{key}");
        let actions = [then.pool.is_some(), then.refuse.is_some(), then.shed];
        if actions.into_iter().filter(|action| *action).count() != 1 {
            let message = "takes exactly one of `pool`, `refuse`, `shed`";
            self.findings.report(path, message);
        }
        if let Some(pool) = &then.pool {
            self.check_pool_name(&key("pool"), pool);
        }
        let fallbacks = self.items_with_paths(
            path,
            "fallback_pools",
            &then.fallback_pools,
        );
        for (path, pool) in fallbacks {
            self.check_pool_name(&path, pool);
        }
        if then.pool.is_none() {
            self.reject_routing_keys(path, then);
        }
        self.check_duration_ms(&key("deadline_ms"), then.deadline_ms);
        self.check_duration_ms(&key("first_token_ms"), then.first_token_ms);
        self.check_duration_ms(&key("hedge_ms"), then.hedge_ms);
        if let (Some(first), Some(all)) =
            (then.first_token_ms, then.deadline_ms)
            && first > all
        {
            let message = format!("{first} is greater than deadline_ms {all}");
            self.findings.report(&key("first_token_ms"), message);
        }
        if let Some(retries) = then.retries {
            self.findings.check_range(
                &key("retries"),
                retries,
                0,
                MAX_RETRIES,
            );
        }
        if then.hedge_ms.is_some() && then.repeatable == Some(false) {
            let message = "runs a request twice, which `repeatable` forbids";
            self.findings.report(&key("hedge_ms"), message);
        }
        self.check_rate(&key("rate_per_s"), then.rate_per_s);
        self.check_at_least_one(&key("concurrent"), then.concurrent);
        self.check_shares(path, then);
        if let Some(refuse) = &then.refuse {
            self.check_refuse(&key("refuse"), refuse);
        }
    }

    /// Reports keys that control routing in a rule that routes nothing.
    fn reject_routing_keys(&mut self, path: &str, then: &Then) {
        let given = [
            ("fallback_pools", then.fallback_pools.is_some()),
            ("deadline_ms", then.deadline_ms.is_some()),
            ("first_token_ms", then.first_token_ms.is_some()),
            ("retries", then.retries.is_some()),
            ("hedge_ms", then.hedge_ms.is_some()),
            ("repeatable", then.repeatable.is_some()),
            ("rate_per_s", then.rate_per_s.is_some()),
            ("concurrent", then.concurrent.is_some()),
            ("batch_share", then.batch_share.is_some()),
            ("batch_floor", then.batch_floor.is_some()),
        ];
        for (key, _) in given.iter().filter(|(_, given)| *given) {
            let path = format!("{path}.{key}");
            self.findings.report(&path, "has no effect without `pool`");
        }
    }

    fn check_shares(&mut self, path: &str, then: &Then) {
        let share = then.batch_share.unwrap_or(1.0);
        let floor = then.batch_floor.unwrap_or(0.0);
        let floor_path = format!("{path}.batch_floor");
        let share_path = format!("{path}.batch_share");
        self.findings.check_range(&share_path, share, 0.0, 1.0);
        self.findings.check_range(&floor_path, floor, 0.0, 1.0);
        if floor > share {
            let message =
                format!("{floor} is greater than batch_share {share}");
            self.findings.report(&floor_path, message);
        }
    }

    fn check_refuse(&mut self, path: &str, refuse: &Refuse) {
        let status = format!("{path}.status");
        self.findings.check_range(&status, refuse.status, 400, 599);
        if refuse.detail.is_empty() {
            self.findings.report(&format!("{path}.detail"), "is empty");
        }
        if let Some(seconds) = refuse.retry_after_s {
            let path = format!("{path}.retry_after_s");
            self.findings.check_range(&path, seconds, 1, 86_400);
        }
    }

    /// Reports a rule that routes requests for a model or a service to a pool
    /// that does not serve it, since every such request would fail.
    fn check_served(&mut self, path: &str, rule: &Rule) {
        let Some(name) = &rule.then.pool else { return };
        let mut pools = self.config.pools.iter();
        let Some(pool) = pools.find(|pool| pool.pool == *name) else {
            return;
        };
        let served: Vec<&str> = models(pool).collect();
        let path = format!("{path}.then.pool");
        for model in rule.when.model.iter().flat_map(|any| any.iter()) {
            if !served.contains(&model.as_str()) {
                let message = format!("{name:?} has no model {model}");
                self.findings.report(&path, message);
            }
        }
        for service in rule.when.service.iter().flat_map(|any| any.iter()) {
            if pool.service.as_ref() != Some(service) {
                let message = format!("{name:?} is not service {service}");
                self.findings.report(&path, message);
            }
        }
    }

    fn check_pool_name(&mut self, path: &str, name: &str) {
        let pools = self.config.pools.iter().map(|pool| pool.pool.as_str());
        let names: Vec<&str> = pools.collect();
        self.check_known(path, "pool", name, &names);
    }

    fn check_defined<T: AsRef<str>>(
        &mut self,
        path: &str,
        kind: &str,
        wanted: Option<&OneOrMany<T>>,
        names: &[&str],
    ) {
        self.check_not_empty(path, wanted);
        let Some(wanted) = wanted else { return };
        for (index, one) in wanted.iter().enumerate() {
            let item = self.findings.item_path(path, index);
            self.check_known(&item, kind, one.as_ref(), names);
        }
    }

    /// Reports an undefined name, unless the section that may define it could
    /// not be read completely.
    fn check_known(
        &mut self,
        path: &str,
        kind: &str,
        name: &str,
        names: &[&str],
    ) {
        let section = if kind == "tenant" { "tenants" } else { "pools" };
        if names.contains(&name) || self.findings.is_partial(section) {
            return;
        }
        let right = names.iter().copied();
        self.findings.report_unknown(path, kind, name, right);
    }

    /// Returns the items of a list in a mapping with their paths.
    fn items_with_paths<'v, T>(
        &self,
        path: &str,
        key: &str,
        list: &'v Option<OneOrMany<T>>,
    ) -> Vec<(String, &'v T)> {
        let path = format!("{path}.{key}");
        let items = list.iter().flat_map(|list| list.iter()).enumerate();
        items
            .map(|(index, item)| (self.findings.item_path(&path, index), item))
            .collect()
    }

    fn check_not_empty<T>(&mut self, path: &str, list: Option<&OneOrMany<T>>) {
        if list.is_some_and(|list| list.is_empty()) {
            let message = "an empty list never matches; omit the key";
            self.findings.report(path, message);
        }
    }

    fn check_at_least_one(&mut self, path: &str, number: Option<u32>) {
        if let Some(number) = number {
            self.findings.check_range(path, number, 1, u32::MAX);
        }
    }

    fn check_duration_ms(&mut self, path: &str, ms: Option<u64>) {
        if let Some(ms) = ms {
            self.findings.check_range(path, ms, 1, MAX_DURATION_MS);
        }
    }

    fn check_rate(&mut self, path: &str, rate: Option<f64>) {
        if let Some(rate) = rate
            && !(rate > 0.0 && rate <= MAX_RATE_PER_S)
        {
            let message =
                format!("{rate} is not greater than 0 and at most 1e9");
            self.findings.report(path, message);
        }
    }
}

fn models(pool: &PoolConfig) -> impl Iterator<Item = &str> {
    let lists = pool.models.iter();
    lists.flat_map(|list| list.iter()).map(|one| one.as_str())
}
