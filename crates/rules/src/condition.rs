//! Conditions one by one: tested by decisions, told by explanations.

use std::fmt::Display;

use base::{Class, Customer, Model, Service};
use conf::OneOrMany;

use crate::{
    Sample,
    calendar::{DateRange, Moment, TimeOfDay},
    when::{
        ByteRange, DueIn, HeaderMatch, Method, PathPattern, PoolLoad, When,
    },
};

/// A condition of a compiled rule.
#[derive(Clone, Debug)]
pub(crate) enum Condition {
    Class(OneOrMany<Class>),
    Customer(OneOrMany<Customer>),
    Model(OneOrMany<Model>),
    Service(OneOrMany<Service>),
    Method(OneOrMany<Method>),
    Path(OneOrMany<PathPattern>),
    Header(OneOrMany<HeaderMatch>),
    PromptBytes(ByteRange),
    DueInMs(DueIn),
    PoolLoad(OneOrMany<PoolLoad>),
    Dates(OneOrMany<DateRange>),
    TimeOfDay(OneOrMany<TimeOfDay>),
}

impl Condition {
    /// Lists the conditions of a rule, cheap ones first.
    pub(crate) fn list(when: When) -> Vec<Condition> {
        let When {
            class,
            customer,
            model,
            service,
            path,
            method,
            header,
            prompt_bytes,
            time_of_day,
            dates,
            pool_load,
            due_in_ms,
        } = when;
        [
            class.map(Condition::Class),
            customer.map(Condition::Customer),
            model.map(Condition::Model),
            service.map(Condition::Service),
            method.map(Condition::Method),
            path.map(Condition::Path),
            header.map(lower_names).map(Condition::Header),
            prompt_bytes.map(Condition::PromptBytes),
            due_in_ms.map(Condition::DueInMs),
            pool_load.map(Condition::PoolLoad),
            dates.map(Condition::Dates),
            time_of_day.map(Condition::TimeOfDay),
        ]
        .into_iter()
        .flatten()
        .collect()
    }

    /// Tells whether an index finds the rules that hold for this condition,
    /// so that a decision need not test it.
    pub(crate) fn is_indexed(&self) -> bool {
        matches!(
            self,
            Condition::Class(_)
                | Condition::Customer(_)
                | Condition::Model(_)
                | Condition::Service(_)
                | Condition::Method(_)
        )
    }

    pub(crate) fn holds(&self, of: &Sample<'_>, now: &Moment) -> bool {
        match self {
            Condition::Class(any) => any.contains(&of.class),
            Condition::Customer(any) => has(any, Some(of.customer)),
            Condition::Model(any) => has(any, of.model),
            Condition::Service(any) => has(any, of.service),
            Condition::Method(any) => {
                any.iter().any(|method| method.as_str() == of.method)
            }
            Condition::Path(any) => any.iter().any(|one| one.matches(of.path)),
            Condition::Header(any) => any.iter().any(|one| {
                let value = of.facts.header(&one.name);
                value.is_some_and(|value| one.matches(value))
            }),
            Condition::PromptBytes(range) => range.contains(of.prompt_bytes),
            Condition::DueInMs(due) => {
                of.due_in_ms.is_some_and(|ms| ms < due.below)
            }
            Condition::PoolLoad(any) => any.iter().any(|one| {
                let load = of.facts.pool_load(&one.pool);
                load.is_some_and(|load| load > one.above)
            }),
            Condition::Dates(any) => any.iter().any(|one| one.contains(now)),
            Condition::TimeOfDay(any) => {
                any.iter().any(|one| one.contains(now))
            }
        }
    }

    /// Returns the key of the condition in a rule.
    pub(crate) fn key(&self) -> &'static str {
        match self {
            Condition::Class(_) => "class",
            Condition::Customer(_) => "tenant",
            Condition::Model(_) => "model",
            Condition::Service(_) => "service",
            Condition::Method(_) => "method",
            Condition::Path(_) => "path",
            Condition::Header(_) => "header",
            Condition::PromptBytes(_) => "prompt_bytes",
            Condition::DueInMs(_) => "due_in_ms",
            Condition::PoolLoad(_) => "pool_load",
            Condition::Dates(_) => "dates",
            Condition::TimeOfDay(_) => "time_of_day",
        }
    }

    /// Returns what the condition asks for, for people.
    pub(crate) fn wanted(&self) -> String {
        match self {
            Condition::Class(any) => one_of(any),
            Condition::Customer(any) => one_of(any),
            Condition::Model(any) => one_of(any),
            Condition::Service(any) => one_of(any),
            Condition::Method(any) => one_of(any),
            Condition::Path(any) => one_of(any),
            Condition::Header(any) => one_of(any),
            Condition::PromptBytes(range) => range.to_string(),
            Condition::DueInMs(due) => due.to_string(),
            Condition::PoolLoad(any) => one_of(any),
            Condition::Dates(any) => one_of(any),
            Condition::TimeOfDay(any) => one_of(any),
        }
    }

    /// Returns what the sample has instead, for people.
    pub(crate) fn found(&self, of: &Sample<'_>, now: &Moment) -> String {
        match self {
            Condition::Class(_) => of.class.to_string(),
            Condition::Customer(_) => of.customer.to_owned(),
            Condition::Model(_) => or_none(of.model),
            Condition::Service(_) => or_none(of.service),
            Condition::Method(_) => of.method.to_owned(),
            Condition::Path(_) => of.path.to_owned(),
            Condition::Header(any) => list(any, |one| {
                let value = of.facts.header(&one.name);
                let value = value.map(|value| format!("{value:?}"));
                format!("{}: {}", one.name, or_none(value))
            }),
            Condition::PromptBytes(_) => of.prompt_bytes.to_string(),
            Condition::DueInMs(_) => or_none(of.due_in_ms),
            Condition::PoolLoad(any) => list(any, |one| {
                let load = of.facts.pool_load(&one.pool);
                let load = load.map_or("unknown".into(), |l| l.to_string());
                format!("{} {load}", one.pool)
            }),
            Condition::Dates(_) | Condition::TimeOfDay(_) => {
                now.text().to_owned()
            }
        }
    }
}

fn lower_names(any: OneOrMany<HeaderMatch>) -> OneOrMany<HeaderMatch> {
    let lower = |one: &HeaderMatch| HeaderMatch {
        name: one.name.to_lowercase(),
        ..one.clone()
    };
    OneOrMany::new(any.iter().map(lower).collect())
}

fn has<T: AsRef<str>>(any: &[T], found: Option<&str>) -> bool {
    found.is_some_and(|found| any.iter().any(|one| one.as_ref() == found))
}

fn list<T>(any: &[T], text: impl Fn(&T) -> String) -> String {
    any.iter().map(text).collect::<Vec<_>>().join(", ")
}

fn one_of<T: Display>(any: &[T]) -> String {
    let text = list(any, T::to_string);
    if any.len() == 1 {
        text
    } else {
        format!("one of {text}")
    }
}

fn or_none<T: Display>(found: Option<T>) -> String {
    found.map_or_else(|| "none".to_owned(), |found| found.to_string())
}
