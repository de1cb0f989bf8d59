use std::fmt::{self, Display};

use serde::de::{self, Expected, Unexpected};

use crate::nearest::nearest;

/// Text that precedes the suggested word in a message.
const SUGGESTION_PREFIX: &str = "; did you mean \"";

/// An error that a visitor returns, before it is attributed to a value.
#[derive(Debug)]
pub(crate) enum Fault {
    /// The problem has already been added to the collector.
    Recorded,
    /// A mapping lacks a required key.
    Missing(&'static str),
    /// A value is invalid for any other reason.
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

    /// Extracts the suggestion from a message that ends in one. A type that is
    /// parsed from a string can pass a suggestion only through the message.
    fn from_message(message: String) -> Self {
        let parts = message
            .strip_suffix("\"?")
            .and_then(|message| message.rsplit_once(SUGGESTION_PREFIX));
        match parts {
            Some((message, suggestion)) => Fault::Value {
                message: message.to_owned(),
                nearest: Some(suggestion.to_owned()),
            },
            None => Fault::value(message),
        }
    }

    pub(crate) fn unknown_word(
        kind: &str,
        word: &str,
        known: &[&str],
    ) -> Self {
        let suggestion = nearest(word, known.iter().copied());
        let list = known.join(", ");
        Fault::Value {
            message: format!("unknown {kind} {word:?}; one of {list}"),
            nearest: suggestion.map(str::to_owned),
        }
    }
}

impl Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Recorded => f.write_str("invalid value"),
            Fault::Missing(field) => write!(f, "missing key `{field}`"),
            Fault::Value { message, .. } => f.write_str(message),
        }
    }
}

impl std::error::Error for Fault {}

impl de::Error for Fault {
    fn custom<T: Display>(message: T) -> Self {
        Fault::from_message(message.to_string())
    }

    fn invalid_type(found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Fault::value(format!("expected {expected}, found {found}"))
    }

    fn invalid_value(found: Unexpected<'_>, expected: &dyn Expected) -> Self {
        Fault::value(format!("expected {expected}, found {found}"))
    }

    fn unknown_variant(word: &str, known: &'static [&'static str]) -> Self {
        Fault::unknown_word("value", word, known)
    }

    fn unknown_field(word: &str, known: &'static [&'static str]) -> Self {
        Fault::unknown_word("key", word, known)
    }

    fn missing_field(field: &'static str) -> Self {
        Fault::Missing(field)
    }
}
