//! Syntax tree of a document. Each node has its location and key path.

use crate::Location;

/// A value of a document.
#[derive(Clone, Debug)]
pub(crate) struct Node {
    pub(crate) location: Location,
    pub(crate) path: String,
    pub(crate) kind: Kind,
}

/// Content of a [`Node`].
#[derive(Clone, Debug)]
pub(crate) enum Kind {
    Scalar(Scalar),
    Sequence(Vec<Node>),
    Mapping(Vec<Entry>),
}

/// A scalar as written in the document.
#[derive(Clone, Debug)]
pub(crate) struct Scalar {
    pub(crate) text: String,
    /// Whether the scalar is unquoted, so that it may be null, a boolean or
    /// a number.
    pub(crate) is_plain: bool,
}

/// A key of a mapping with its value.
#[derive(Clone, Debug)]
pub(crate) struct Entry {
    pub(crate) key: String,
    pub(crate) key_location: Location,
    pub(crate) value: Node,
}

/// Value of a scalar according to the core schema of YAML 1.2.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(crate) enum Value<'a> {
    Null,
    Bool(bool),
    Unsigned(u64),
    Signed(i64),
    Float(f64),
    Text(&'a str),
}

impl Scalar {
    pub(crate) fn value(&self) -> Value<'_> {
        let text = self.text.as_str();
        if !self.is_plain {
            return Value::Text(text);
        }
        match text {
            "" | "~" | "null" | "Null" | "NULL" => Value::Null,
            "true" | "True" | "TRUE" => Value::Bool(true),
            "false" | "False" | "FALSE" => Value::Bool(false),
            _ => parse_number(text).unwrap_or(Value::Text(text)),
        }
    }
}

fn parse_number(text: &str) -> Option<Value<'_>> {
    let first = text.trim_start_matches(['-', '+', '.']).chars().next()?;
    if !first.is_ascii_digit() {
        // Rust also parses "inf" and "nan", which are plain text here.
        return None;
    }
    if let Some(digits) = text.strip_prefix("0x") {
        return u64::from_str_radix(digits, 16).ok().map(Value::Unsigned);
    }
    if let Some(digits) = text.strip_prefix("0o") {
        return u64::from_str_radix(digits, 8).ok().map(Value::Unsigned);
    }
    if let Ok(number) = text.parse() {
        return Some(Value::Unsigned(number));
    }
    if let Ok(number) = text.parse() {
        return Some(Value::Signed(number));
    }
    text.parse().ok().map(Value::Float)
}

impl Node {
    pub(crate) fn is_null(&self) -> bool {
        let Kind::Scalar(scalar) = &self.kind else {
            return false;
        };
        scalar.value() == Value::Null
    }

    /// Visits this node and all its descendants in pre-order.
    pub(crate) fn walk<'a>(&'a self, visit: &mut impl FnMut(&'a Node)) {
        visit(self);
        match &self.kind {
            Kind::Scalar(_) => {}
            Kind::Sequence(nodes) => {
                for node in nodes {
                    node.walk(visit);
                }
            }
            Kind::Mapping(entries) => {
                for entry in entries {
                    entry.value.walk(visit);
                }
            }
        }
    }
}

/// Returns the path of a key in a mapping.
pub(crate) fn join_key(path: &str, key: &str) -> String {
    let is_simple = |c: char| c.is_ascii_alphanumeric() || "_-".contains(c);
    if key.is_empty() || !key.chars().all(is_simple) {
        return format!("{path}[{key:?}]");
    }
    if path.is_empty() {
        return key.to_owned();
    }
    format!("{path}.{key}")
}

/// Returns the path of an item in a sequence.
pub(crate) fn join_index(path: &str, index: usize) -> String {
    format!("{path}[{index}]")
}
