//! Ordered operator rules: parse, compile once per revision, decide, explain.
//!
//! Operators control request routing with one YAML document ([`Config`]):
//! customers, pools and an ordered list of rules. The first rule whose
//! conditions all hold applies; a request that no rule matches is refused.
//!
//! A process parses and compiles a document once per revision
//! ([`CompiledConfig`]) and then decides each request
//! ([`CompiledConfig::decide`]) without taking a lock or allocating. The
//! current time is an argument.

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
