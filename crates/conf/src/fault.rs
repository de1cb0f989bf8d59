use std::fmt::{self, Display};

use serde::de::{self, Expected, Unexpected};

use crate::nearest::nearest;

/// What stands before the nearest word in a message.
const HINT: &str = "; did you mean \"";

/// An error on its way from a visitor to the value that it is about.
#[derive(Debug)]
pub(crate) enum Fault {
    /// It is in the sink already.
    Recorded,
    /// A key is missing in a mapping.
    Missing(&'static str),
    /// Something else is wrong with a value.
    Value {
        message: String,
        nearest: Option<String>,
    },
}

impl Fault {
    fn value(message: String) -> Self {
        let nearest = None;
        Fault::Value { message, nearest }
    }

    /// Takes the nearest word out of a message that ends in one; a type that
    /// is made from a string has no other way to tell it.
    fn with_hint(message: String) -> Self {
        let hint = message
            .strip_suffix("\"?")
            .and_then(|rest| rest.rsplit_once(HINT));
        match hint {
            Some((message, near)) => Fault::Value {
                message: message.to_owned(),
                nearest: Some(near.to_owned()),
            },
            None => Fault::value(message),
        }
    }

    pub(crate) fn word(kind: &str, wrong: &str, right: &[&str]) -> Self {
        let near = nearest(wrong, right.iter().copied());
        let list = right.join(", ");
        Fault::Value {
            message: format!("unknown {kind} {wrong:?}; one of {list}"),
            nearest: near.map(str::to_owned),
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Recorded => f.write_str("wrong value"),
            Fault::Missing(field) => write!(f, "missing key `{field}`"),
            Fault::Value { message, .. } => f.write_str(message),
        }
    }
}

impl std::error::Error for Fault {}

impl de::Error for Fault {
    fn custom<T: Display>(message: T) -> Self {
        Fault::with_hint(message.to_string())
    }

    fn invalid_type(found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Fault::value(format!("expected {expected}, found {found}"))
    }

    fn invalid_value(found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Fault::value(format!("expected {expected}, found {found}"))
    }

    fn unknown_variant(wrong: &str, right: &'static [&'static str]) -> Self {
        Fault::word("value", wrong, right)
    }

    fn unknown_field(wrong: &str, right: &'static [&'static str]) -> Self {
        Fault::word("key", wrong, right)
    }

    fn missing_field(field: &'static str) -> Self {
        Fault::Missing(field)
    }
}
