use std::fmt;

use base::{Class, Customer, Model, Service};
use conf::OneOrMany;
use serde::{Deserialize, Serialize};

use crate::calendar::{DateRange, TimeOfDay};

/// Conditions of a rule: all that are given must hold.
///
/// A condition that takes a list holds if one item of the list does.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct When {
    /// Whether somebody waits.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<OneOrMany<Class>>,
    /// Who calls.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "tenant")]
    pub customer: Option<OneOrMany<Customer>>,
    /// Model that is asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<OneOrMany<Model>>,
    /// Plain service that is asked for.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<OneOrMany<Service>>,
    /// Path of the call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<OneOrMany<PathPattern>>,
    /// Method of the call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<OneOrMany<Method>>,
    /// A header of the call.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<OneOrMany<HeaderMatch>>,
    /// Length of the prompt, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_bytes: Option<ByteRange>,
    /// Part of the day.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub time_of_day: Option<OneOrMany<TimeOfDay>>,
    /// Days.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dates: Option<OneOrMany<DateRange>>,
    /// Load of a pool.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool_load: Option<OneOrMany<PoolLoad>>,
    /// Time to the due time of batch work, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub due_in_ms: Option<DueIn>,
}

/// A path, or the start of paths if it ends with `*`.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PathPattern {
    text: String,
}

impl PathPattern {
    pub(crate) fn matches(&self, path: &str) -> bool {
        match self.text.strip_suffix('*') {
            Some(start) => path.starts_with(start),
            None => path == self.text,
        }
    }
}

impl TryFrom<String> for PathPattern {
    type Error = String;

    fn try_from(text: String) -> Result<Self, String> {
        let star = text.find('*');
        if !text.starts_with('/') {
            return Err(format!("{text:?} does not start with /"));
        }
        if star.is_some_and(|at| at + 1 < text.len()) {
            return Err(format!("{text:?} has a * before its end"));
        }
        Ok(Self { text })
    }
}

impl From<PathPattern> for String {
    fn from(pattern: PathPattern) -> String {
        pattern.text
    }
}

impl fmt::Display for PathPattern {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.text)
    }
}

/// A method of HTTP.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// Reads.
    Get,
    /// Reads the headers.
    Head,
    /// Asks what is possible.
    Options,
    /// Does something.
    Post,
    /// Writes the whole.
    Put,
    /// Writes a part.
    Patch,
    /// Deletes.
    Delete,
}

impl Method {
    /// Returns the method as it stands in a request.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_rules::Method;
    ///
    /// assert_eq!(Method::Get.as_str(), "GET");
    /// ```
    #[inline]
    pub fn as_str(self) -> &'static str {
        match self {
            Method::Get => "GET",
            Method::Head => "HEAD",
            Method::Options => "OPTIONS",
            Method::Post => "POST",
            Method::Put => "PUT",
            Method::Patch => "PATCH",
            Method::Delete => "DELETE",
        }
    }
}

impl fmt::Display for Method {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(self.as_str())
    }
}

/// A header with a value or the start of one; just a name asks whether the
/// header is there.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderMatch {
    /// Name; letter case does not count.
    pub name: String,
    /// The whole value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub equals: Option<String>,
    /// Start of the value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub prefix: Option<String>,
}

impl HeaderMatch {
    pub(crate) fn matches(&self, value: &str) -> bool {
        let equals = self.equals.as_deref();
        let prefix = self.prefix.as_deref();
        equals.is_none_or(|wanted| value == wanted)
            && prefix.is_none_or(|wanted| value.starts_with(wanted))
    }
}

impl fmt::Display for HeaderMatch {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)?;
        if let Some(equals) = &self.equals {
            write!(f, " equal to {equals:?}")?;
        }
        if let Some(prefix) = &self.prefix {
            write!(f, " starting with {prefix:?}")?;
        }
        Ok(())
    }
}

/// A range of lengths, both ends included.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default, deny_unknown_fields)]
pub struct ByteRange {
    /// Least length, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min: Option<u64>,
    /// Greatest length, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub max: Option<u64>,
}

impl ByteRange {
    pub(crate) fn contains(self, bytes: u64) -> bool {
        self.min.is_none_or(|min| min <= bytes)
            && self.max.is_none_or(|max| bytes <= max)
    }
}

impl fmt::Display for ByteRange {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match (self.min, self.max) {
            (Some(min), Some(max)) => write!(f, "{min} to {max}"),
            (Some(min), None) => write!(f, "at least {min}"),
            (None, Some(max)) => write!(f, "at most {max}"),
            (None, None) => f.write_str("any"),
        }
    }
}

/// A load of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolLoad {
    /// The pool.
    pub pool: String,
    /// Share of its places in use above which the condition holds; more
    /// than 1 is a queue.
    pub above: f64,
}

impl fmt::Display for PoolLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} above {}", self.pool, self.above)
    }
}

/// Time to a due time.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DueIn {
    /// Holds below this, in milliseconds; never for work that has no due
    /// time.
    pub below: u64,
}

impl fmt::Display for DueIn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "below {}", self.below)
    }
}
