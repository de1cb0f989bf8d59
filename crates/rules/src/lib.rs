//! Ordered operator rules: parse, compile once per revision, decide, explain.
//!
//! Operators drive the system by one YAML document ([`Config`]): customers,
//! pools and an ordered list of rules. The first rule whose conditions hold
//! decides; a request that no rule covers is refused as such.
//!
//! A process parses a document once for each revision, compiles it
//! ([`CompiledConfig`]) and then decides each request ([`CompiledConfig::decide`])
//! without a lock or an allocation. The time is an argument.

mod calendar;
mod check;
mod compiled;
mod condition;
mod config;
mod decision;
mod diff;
mod error;
mod explain;
mod index;
mod sample;
mod when;

pub use crate::{
    calendar::{ClockTime, DateRange, Day, TimeOfDay, Zone},
    compiled::{
        CompiledConfig, CustomerEntry, CustomerKey, PoolEntry, PoolKey,
    },
    config::{
        Config, CustomerConfig, CustomerLimits, OrderFencing, PoolConfig,
        Refuse, Rule, Then,
    },
    decision::{Action, Decision, Refusal, Route},
    diff::diff,
    error::{RulesError, error_list},
    explain::{Explanation, Failure, RuleExplanation, Verdict},
    sample::{Facts, Sample, SampleBuf, SampleError},
    when::{
        ByteRange, DueIn, HeaderMatch, Method, PathPattern, PoolLoad, When,
    },
};
