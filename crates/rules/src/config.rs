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
/// The text of the configuration is authoritative and stored as written; this
/// is its parsed form.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Config {
    /// Customers that may send requests.
    #[serde(rename = "tenants")]
    pub customers: Vec<CustomerConfig>,
    /// Groups of endpoints that requests are routed to.
    pub pools: Vec<PoolConfig>,
    /// Rules that decide on a request; the first rule whose conditions all
    /// hold applies.
    pub rules: Vec<Rule>,
}

impl Config {
    /// Parses and checks a configuration.
    ///
    /// # Errors
    ///
    /// Returns the problems of the text with their positions, at most 20.
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

    /// Compiles the configuration into an index for decisions.
    pub fn compile(self, revision: Revision) -> CompiledConfig {
        CompiledConfig::new(self, revision)
    }
}

/// A customer.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct CustomerConfig {
    /// Name.
    #[serde(rename = "tenant")]
    pub customer: Customer,
    /// SHA-256 digests of its API keys; several during a key rotation.
    #[serde(default)]
    pub key_sha256: OneOrMany<KeyDigest>,
    /// Limits over all rules and the whole fleet.
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

/// Limits of a customer; an omitted key is unlimited.
#[derive(Clone, Copy, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct CustomerLimits {
    /// Requests per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub requests_per_s: Option<f64>,
    /// Burst: requests that may arrive at once after an idle period; by
    /// default those of one second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub burst: Option<u32>,
    /// Maximum number of concurrent requests.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
    /// Maximum number of batch items that are accepted and not completed.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub batch_items_open: Option<u64>,
}

/// A group of interchangeable endpoints.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolConfig {
    /// Name.
    pub pool: String,
    /// Kind of its endpoints.
    pub kind: EndpointKind,
    /// Models that its engines serve.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub models: Option<OneOrMany<Model>>,
    /// Service that its endpoints are instances of.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub service: Option<Service>,
    /// Methods whose calls may run more than once, unless a rule overrides it;
    /// by default GET, HEAD and OPTIONS. Calls of engines always may.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<OneOrMany<Method>>,
    /// Whether its endpoints reject commands with a stale fencing token.
    #[serde(default)]
    pub order_fencing: OrderFencing,
    /// Endpoints without a companion, for processes that do not read the list
    /// of VMs.
    #[serde(default, skip_serializing_if = "Vec::is_empty")]
    pub hosts: Vec<HttpAddress>,
}

/// Whether endpoints reject commands with a stale fencing token.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(rename_all = "snake_case")]
pub enum OrderFencing {
    /// They do.
    Checked,
    /// They do not; only their companion may send them commands.
    #[default]
    Unchecked,
}

/// A rule: conditions and the action to take if all of them hold.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Rule {
    /// Name shown in logs and explanations.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub name: Option<String>,
    /// Conditions; a rule without conditions always matches.
    #[serde(default)]
    pub when: When,
    /// Action of the rule.
    pub then: Then,
}

/// The action of a rule: exactly one of `pool`, `refuse` and `shed`.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Then {
    /// Pool that the request is routed to.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool: Option<String>,
    /// Pools to try after `pool`, in order.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub fallback_pools: Option<OneOrMany<String>>,
    /// Deadline for the end of the response, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub deadline_ms: Option<u64>,
    /// Target for the first token, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub first_token_ms: Option<u64>,
    /// Maximum number of retries; 2 by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub retries: Option<u32>,
    /// Hedging delay: time without a first byte after which a second attempt
    /// starts alongside the first, in milliseconds; no hedging by default.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub hedge_ms: Option<u64>,
    /// Whether the request may run more than once.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub repeatable: Option<bool>,
    /// Maximum rate of this rule over the whole fleet, in requests per second.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub rate_per_s: Option<f64>,
    /// Maximum number of concurrent requests of this rule over the whole
    /// fleet.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub concurrent: Option<u32>,
    /// Refuses the request because of overload.
    #[serde(skip_serializing_if = "std::ops::Not::not")]
    pub shed: bool,
    /// Refuses the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub refuse: Option<Refuse>,
    /// Maximum share of a pool's slots that batch work may use, 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub batch_share: Option<f64>,
    /// Share of a pool's slots reserved for batch work alongside online work,
    /// 0 to 1.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub batch_floor: Option<f64>,
}

/// A refusal configured by a rule.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct Refuse {
    /// HTTP status of the response, 400 to 599.
    pub status: u16,
    /// Reason shown to the caller.
    pub detail: String,
    /// Retry delay sent to the caller, in seconds.
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
