//! Routing decisions, which need the body.

use base::{
    Class, Millis, RequestContent, RequestDigest, RequestId, UnixMillis,
};
use bytes::Bytes;
use rules::{Action, CompiledConfig, Decision, Facts, Route, Sample};
use serde::Deserialize;
use web::{Problem, ProblemKind, Ran};
use wire::message::Header;

use crate::{
    exchange::{Exchange, Plan, Subject},
    filter::{Caller, RuleLimits},
    forward::prefix,
    shared::Shared,
};

/// Prefix of the paths of plain services.
const SERVICE_PREFIX: &str = "/svc/";

/// Header that marks batch work, which no user waits for.
const CLASS_HEADER: &str = "x-pomeloslip-class";

/// A request whose body has been read.
pub(crate) struct Incoming {
    pub(crate) request_id: RequestId,
    pub(crate) received: Millis,
    pub(crate) method: String,
    /// Path and query as received.
    pub(crate) target: String,
    pub(crate) headers: Vec<Header>,
    pub(crate) body: Bytes,
}

/// Fields of an OpenAI request body that the entry reads.
#[derive(Deserialize)]
struct ModelBody {
    model: String,
}

/// The outcome of the rules for a request.
pub(crate) struct Routed {
    pub(crate) exchange: Exchange,
    pub(crate) limits: RuleLimits,
}

/// Determines the target of a request and applies the rules.
pub(crate) fn route(
    shared: &Shared,
    caller: Caller,
    incoming: Incoming,
) -> Result<Routed, Problem> {
    let (subject, path) = subject(&incoming)?;
    let class = class(&incoming.headers)?;
    let now = shared.timer.clock().unix();
    let (plan, limits) = decide(&caller, &incoming, &subject, class, now)?;
    let digest = RequestDigest::of(RequestContent {
        customer: caller.customer.as_str(),
        method: &incoming.method,
        host: "",
        target: &path,
        body: &incoming.body,
    });
    let parts = prefix::shared_parts(&path, &incoming.body);
    let exchange = Exchange {
        request_id: incoming.request_id,
        received: incoming.received,
        customer: caller.customer,
        metrics: caller.metrics,
        class,
        method: incoming.method,
        path,
        headers: incoming.headers,
        body: incoming.body,
        digest,
        parts: parts.into(),
        plan,
    };
    Ok(Routed { exchange, limits })
}

fn bad_request(reason: impl Into<String>) -> Problem {
    Problem::new(ProblemKind::BadRequest, reason).ran(Ran::No)
}

fn subject(incoming: &Incoming) -> Result<(Subject, String), Problem> {
    if let Some(rest) = incoming.target.strip_prefix(SERVICE_PREFIX) {
        let (service, path) = rest.split_once('/').unwrap_or((rest, ""));
        let service = Subject::Service(service.to_owned());
        return Ok((service, format!("/{path}")));
    }
    let body: ModelBody = serde_json::from_slice(&incoming.body)
        .map_err(|error| bad_request(format!("the body: {error}")))?;
    Ok((Subject::Model(body.model), incoming.target.clone()))
}

fn header<'a>(headers: &'a [Header], name: &str) -> Option<&'a str> {
    let found = headers.iter().find(|header| header.name == name);
    found.map(|header| header.value.as_str())
}

fn class(headers: &[Header]) -> Result<Class, Problem> {
    match header(headers, CLASS_HEADER) {
        None | Some("online") => Ok(Class::Online),
        Some("batch") => Ok(Class::Batch),
        Some(other) => {
            let reason = format!("{CLASS_HEADER}: {other:?} is no class");
            Err(bad_request(reason))
        }
    }
}

/// Headers of a request, as looked up by the rules.
struct HeaderFacts<'a>(&'a [Header]);

impl Facts for HeaderFacts<'_> {
    fn header(&self, name: &str) -> Option<&str> {
        header(self.0, name)
    }
}

fn decide(
    caller: &Caller,
    incoming: &Incoming,
    subject: &Subject,
    class: Class,
    now: UnixMillis,
) -> Result<(Plan, RuleLimits), Problem> {
    let compiled = &caller.in_force.compiled;
    let path = incoming.target.split('?').next().unwrap_or_default();
    let (model, service) = match subject {
        Subject::Model(name) => (Some(name.as_str()), None),
        Subject::Service(name) => (None, Some(name.as_str())),
    };
    let sample = Sample {
        model,
        service,
        path,
        method: &incoming.method,
        prompt_bytes: incoming.body.len() as u64,
        facts: &HeaderFacts(&incoming.headers),
        ..Sample::new(class, caller.customer.as_str())
    };
    let decision = compiled.decide(&sample, now);
    match decision.action() {
        Action::Route { route, repeatable } => {
            let limits = rule_limits(&decision, route);
            Ok((plan(compiled, route, repeatable), limits))
        }
        action => Err(rejection(&action)),
    }
}

fn rule_limits(decision: &Decision<'_>, route: &Route) -> RuleLimits {
    let number = decision.rule().unwrap_or_default();
    let name = decision.rule_name().map(str::to_owned);
    RuleLimits {
        rule: name.unwrap_or_else(|| format!("#{number}")),
        rate_per_s: route.rate_per_s(),
        concurrent: route.concurrent(),
    }
}

fn plan(compiled: &CompiledConfig, route: &Route, repeatable: bool) -> Plan {
    let pools = route.pools().filter_map(|key| compiled.pool(key));
    Plan {
        pools: pools.map(|pool| pool.name().to_owned()).collect(),
        deadline_ms: route.deadline_ms().unwrap_or(0),
        first_token_ms: route.first_token_ms().unwrap_or(0),
        retries: route.retries(),
        repeatable,
    }
}

fn rejection(action: &Action<'_>) -> Problem {
    let problem = match action {
        Action::Refuse(refusal) => {
            Problem::new(ProblemKind::RefusedByRule, refusal.detail())
                .status(refusal.status())
        }
        Action::Shed => {
            let reason = "a rule sheds this load for now";
            Problem::new(ProblemKind::Overloaded, reason)
        }
        _ => {
            let reason = "no rule covers this request";
            Problem::new(ProblemKind::NoRule, reason)
        }
    };
    let problem = problem.ran(Ran::No);
    match action.retry_after_s() {
        Some(seconds) => problem.retry_after_ms(u64::from(seconds) * 1_000),
        None => problem,
    }
}
