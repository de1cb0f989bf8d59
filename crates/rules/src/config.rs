use base::{Customer, KeyDigest, Model, Revision, Service};
use conf::{HttpAddress, OneOrMany, parse_checked, settings::EndpointKind};
use error_stack::Report;
use serde::{Deserialize, Serialize};

use crate::{
    CompiledConfig, RulesError,
    when::{Method, When},
};

/// The operators' configuration: customers, pools and ordered rules.
///
/// Its text is the authority and is kept as it was written; this is what
/// the text says.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Who may call.
    #[serde(rename = "tenants")]
    pub customers: Vec<CustomerConfig>,
    /// Groups of endpoints that requests go to.
    pub pools: Vec<PoolConfig>,
    /// What happens to a request; the first rule whose conditions hold
    /// decides.
    pub rules: Vec<Rule>,
}

impl Config {
    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// Every problem of the text with its place, up to 20.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_rules::Config;
    ///
    /// let text = "
    /// pools:
    ///   - {pool: korv-lm, kind: engine, models: korv-lm}
    /// rules:
    ///   - then: {pool: korv-ml}
    /// ";
    /// let report = Config::parse("rules.yaml", text).unwrap_err();
    /// assert_eq!(
    ///     report.current_context().to_string(),
    ///     "rules.yaml:5:18: rules[0].then.pool: unknown pool \
    ///      \"korv-ml\"; did you mean \"korv-lm\"?",
    /// );
    /// ```
    pub fn parse(
        source_name: &str,
        text: &str,
    ) -> Result<Self, Report<RulesError>> {
        parse_checked(source_name, text).map_err(RulesError::of)
    }

    /// Indexes a configuration for decisions.
    pub fn compile(self, revision: Revision) -> CompiledConfig {
        CompiledConfig::new(self, revision)
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerConfig {
    /// Its name.
    #[serde(rename = "tenant")]
    pub customer: Customer,
    /// SHA-256 digests of its keys; several while a key is replaced.
    #[serde(default)]
    pub key_sha256: OneOrMany<KeyDigest>,
    /// Its limits over all rules and the whole fleet.
    #[serde(default)]
    pub limits: CustomerLimits,
    /// Share of contended capacity, relative to other customers.
    #[serde(default = "CustomerConfig::default_weight")]
    pub weight: u32,
}

impl CustomerConfig {
    const fn default_weight() -> u32 {
        1
    }
}

/// Limits of a customer; what is left out is not limited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CustomerLimits {
    /// Requests a second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Requests that may come at once after a pause; those of one second
    /// if left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Requests that may run at once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
    /// Batch items that are accepted and not completed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub batch_items_open: Option<u64>,
}

/// A group of endpoints that do the same.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolConfig {
    /// Its name.
    pub pool: String,
    /// What its endpoints are.
    pub kind: EndpointKind,
    /// Models that its engines serve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<OneOrMany<Model>>,
    /// Service that its endpoints are instances of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Service>,
    /// Methods whose calls may run twice, unless a rule says otherwise; GET,
    /// HEAD and OPTIONS if left out. Calls of engines may always.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<OneOrMany<Method>>,
    /// Whether its endpoints refuse orders with an old fencing number.
    #[serde(default)]
    pub order_fencing: OrderFencing,
    /// Endpoints that have no companion, for processes that read no machine
    /// list.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HttpAddress>,
}

/// Whether endpoints refuse orders with an old fencing number.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum OrderFencing {
    /// They do.
    Checked,
    /// They do not; only their companion may give orders.
    #[default]
    Unchecked,
}

/// A rule: if this holds, do that.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Its name in logs and explanations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// Its conditions; without any it always holds.
    #[serde(default)]
    pub when: When,
    /// What it does.
    pub then: Then,
}

/// What a rule does: exactly one of `pool`, `refuse` and `shed`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Then {
    /// Pool that the request goes to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Pools that are tried after it, in order.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fallback_pools: Option<OneOrMany<String>>,
    /// Longest time to the end of the answer, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Target for the first token, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// Attempts after the first; 2 if left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retries: Option<u32>,
    /// Wait for a first byte before a second attempt runs beside the first,
    /// in milliseconds; no such attempt if left out.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hedge_ms: Option<u64>,
    /// Whether the request may run twice.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Requests a second of this rule over the whole fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<f64>,
    /// Requests of this rule that may run at once over the whole fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
    /// Refuses the request because the fleet is too busy for it.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub shed: bool,
    /// Refuses the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<Refuse>,
    /// Largest share of a pool's places that batch work may take, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub batch_share: Option<f64>,
    /// Share of a pool's places that batch work keeps beside online work,
    /// 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub batch_floor: Option<f64>,
}

/// A refusal that a rule asks for.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Refuse {
    /// Status of the answer, 400 to 599.
    pub status: u16,
    /// Reason, for the caller.
    pub detail: String,
    /// Seconds after which to come back.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retry_after_s: Option<u32>,
}

impl Default for Refuse {
    fn default() -> Self {
        Self {
            status: 403,
            detail: "refused by a rule".to_owned(),
            retry_after_s: None,
        }
    }
}
