//! Single conditions: evaluated by decisions and described in explanations.

use std::fmt::Display;

use base::{Class, Customer, Model, Service};
use conf::OneOrMany;

use crate::{
    Sample,
    calendar::{DateRange, DecisionTime, TimeOfDay},
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
    /// Lists the conditions of a rule, cheapest first.
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

    /// Reports whether the rule index covers this condition, so that a
    /// decision does not need to evaluate it.
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

    pub(crate) fn holds(
        &self,
        sample: &Sample<'_>,
        now: &DecisionTime,
    ) -> bool {
        match self {
            Condition::Class(values) => values.contains(&sample.class),
            Condition::Customer(values) => {
                matches_any(values, Some(sample.customer))
            }
            Condition::Model(values) => matches_any(values, sample.model),
            Condition::Service(values) => matches_any(values, sample.service),
            Condition::Method(values) => {
                values.iter().any(|method| method.as_str() == sample.method)
            }
            Condition::Path(values) => {
                values.iter().any(|item| item.matches(sample.path))
            }
            Condition::Header(values) => values.iter().any(|item| {
                let value = sample.facts.header(&item.name);
                value.is_some_and(|value| item.matches(value))
            }),
            Condition::PromptBytes(range) => {
                range.contains(sample.prompt_bytes)
            }
            Condition::DueInMs(due) => {
                sample.due_in_ms.is_some_and(|ms| ms < due.below)
            }
            Condition::PoolLoad(values) => values.iter().any(|item| {
                let load = sample.facts.pool_load(&item.pool);
                load.is_some_and(|load| load > item.above)
            }),
            Condition::Dates(values) => {
                values.iter().any(|item| item.contains(now))
            }
            Condition::TimeOfDay(values) => {
                values.iter().any(|item| item.contains(now))
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

    /// Describes the value that the condition requires, for display.
    pub(crate) fn wanted(&self) -> String {
        match self {
            Condition::Class(values) => one_of(values),
            Condition::Customer(values) => one_of(values),
            Condition::Model(values) => one_of(values),
            Condition::Service(values) => one_of(values),
            Condition::Method(values) => one_of(values),
            Condition::Path(values) => one_of(values),
            Condition::Header(values) => one_of(values),
            Condition::PromptBytes(range) => range.to_string(),
            Condition::DueInMs(due) => due.to_string(),
            Condition::PoolLoad(values) => one_of(values),
            Condition::Dates(values) => one_of(values),
            Condition::TimeOfDay(values) => one_of(values),
        }
    }

    /// Describes the value that the sample has, for display.
    pub(crate) fn found(
        &self,
        sample: &Sample<'_>,
        now: &DecisionTime,
    ) -> String {
        match self {
            Condition::Class(_) => sample.class.to_string(),
            Condition::Customer(_) => sample.customer.to_owned(),
            Condition::Model(_) => or_none(sample.model),
            Condition::Service(_) => or_none(sample.service),
            Condition::Method(_) => sample.method.to_owned(),
            Condition::Path(_) => sample.path.to_owned(),
            Condition::Header(values) => join_values(values, |item| {
                let value = sample.facts.header(&item.name);
                let value = value.map(|value| format!("{value:?}"));
                format!("{}: {}", item.name, or_none(value))
            }),
            Condition::PromptBytes(_) => sample.prompt_bytes.to_string(),
            Condition::DueInMs(_) => or_none(sample.due_in_ms),
            Condition::PoolLoad(values) => join_values(values, |item| {
                let load = sample.facts.pool_load(&item.pool);
                let load = load.map_or("unknown".into(), |l| l.to_string());
                format!("{} {load}", item.pool)
            }),
            Condition::Dates(_) | Condition::TimeOfDay(_) => {
                now.text().to_owned()
            }
        }
    }
}

fn lower_names(values: OneOrMany<HeaderMatch>) -> OneOrMany<HeaderMatch> {
    let lower = |item: &HeaderMatch| HeaderMatch {
        name: item.name.to_lowercase(),
        ..item.clone()
    };
    OneOrMany::new(values.iter().map(lower).collect())
}

fn matches_any<T: AsRef<str>>(values: &[T], found: Option<&str>) -> bool {
    found.is_some_and(|found| values.iter().any(|item| item.as_ref() == found))
}

fn join_values<T>(values: &[T], text: impl Fn(&T) -> String) -> String {
    values.iter().map(text).collect::<Vec<_>>().join(", ")
}

fn one_of<T: Display>(values: &[T]) -> String {
    let text = join_values(values, T::to_string);
    if values.len() == 1 {
        text
    } else {
        format!("one of {text}")
    }
}

fn or_none<T: Display>(found: Option<T>) -> String {
    found.map_or_else(|| "none".to_owned(), |found| found.to_string())
}
