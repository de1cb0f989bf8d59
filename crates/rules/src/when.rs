use std::fmt;

use base::{Class, Customer, Model, Service};
use conf::OneOrMany;
use serde::{Deserialize, Serialize};

use crate::calendar::{DateRange, TimeOfDay};

/// Conditions of a rule; all that are given must hold.
///
/// A condition with a list holds if any item of the list matches.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
#[serde(default, deny_unknown_fields)]
pub struct When {
    /// Class: online or batch.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub class: Option<OneOrMany<Class>>,
    /// Customer that sends the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    #[serde(rename = "tenant")]
    pub customer: Option<OneOrMany<Customer>>,
    /// Requested model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub model: Option<OneOrMany<Model>>,
    /// Requested service, if it is not a model.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub service: Option<OneOrMany<Service>>,
    /// Path of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub path: Option<OneOrMany<PathPattern>>,
    /// HTTP method of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub method: Option<OneOrMany<Method>>,
    /// A header of the request.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub header: Option<OneOrMany<HeaderMatch>>,
    /// Length of the prompt, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub prompt_bytes: Option<ByteRange>,
    /// Daily time range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub time_of_day: Option<OneOrMany<TimeOfDay>>,
    /// Date range.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub dates: Option<OneOrMany<DateRange>>,
    /// Load of a pool.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub pool_load: Option<OneOrMany<PoolLoad>>,
    /// Time until batch work is due, in milliseconds.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub due_in_ms: Option<DueIn>,
}

/// A path, or a path prefix if it ends with `*`.
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

/// An HTTP method.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// Reads a resource.
    Get,
    /// Reads only the headers.
    Head,
    /// Queries the supported methods.
    Options,
    /// Submits data or triggers an operation.
    Post,
    /// Replaces a resource.
    Put,
    /// Modifies part of a resource.
    Patch,
    /// Deletes a resource.
    Delete,
}

impl Method {
    /// Returns the method name as written in a request.
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

/// Matches a header by its value or a prefix of it; without either, the header
/// must only be present.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct HeaderMatch {
    /// Header name, compared without regard to case.
    pub name: String,
    /// Exact value.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub equals: Option<String>,
    /// Prefix of the value.
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
    /// Minimum length, in bytes.
    #[serde(skip_serializing_if = "Option::is_none")]
    pub min: Option<u64>,
    /// Maximum length, in bytes.
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

/// A threshold on the load of a pool.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct PoolLoad {
    /// Pool name.
    pub pool: String,
    /// Share of slots in use above which the condition holds; a share above 1
    /// includes queued requests.
    pub above: f64,
}

impl fmt::Display for PoolLoad {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} above {}", self.pool, self.above)
    }
}

/// A threshold on the time until work is due.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct DueIn {
    /// The condition holds below this time, in milliseconds; never for work
    /// without a due time.
    pub below: u64,
}

impl fmt::Display for DueIn {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "below {}", self.below)
    }
}
