use std::{collections::BTreeMap, fmt, str::FromStr};

use base::Class;
use conf::nearest;

/// Request data that is looked up only if a rule needs it.
pub trait Facts {
    /// Returns the value of a header by its lower-case name.
    fn header(&self, _name: &str) -> Option<&str> {
        None
    }

    /// Returns the share of a pool's slots in use, if known.
    fn pool_load(&self, _pool: &str) -> Option<f64> {
        None
    }
}

impl Facts for () {}

/// The attributes of a request that rules match.
///
/// # Example
///
/// ```
/// use base::Class;
/// use pomeloslip_rules::Sample;
///
/// let sample = Sample {
///     model: Some("korv-lm"),
///     path: "/v1/chat/completions",
///     ..Sample::new(Class::Online, "taevakorv")
/// };
/// assert_eq!(sample.method, "POST");
/// ```
#[derive(Clone, Copy)]
pub struct Sample<'a> {
    /// Class: online or batch.
    pub class: Class,
    /// Customer that sends the request.
    pub customer: &'a str,
    /// Requested model.
    pub model: Option<&'a str>,
    /// Requested service, if it is not a model.
    pub service: Option<&'a str>,
    /// Path without the query.
    pub path: &'a str,
    /// HTTP method.
    pub method: &'a str,
    /// Length of the prompt, in bytes.
    pub prompt_bytes: u64,
    /// Time until the batch work is due, in milliseconds; 0 if overdue.
    pub due_in_ms: Option<u64>,
    /// Headers and pool loads.
    pub facts: &'a dyn Facts,
}

impl<'a> Sample<'a> {
    /// Creates a sample of a POST to `/` without further attributes.
    pub fn new(class: Class, customer: &'a str) -> Self {
        Self {
            class,
            customer,
            model: None,
            service: None,
            path: "/",
            method: "POST",
            prompt_bytes: 0,
            due_in_ms: None,
            facts: &(),
        }
    }
}

impl fmt::Debug for Sample<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Sample")
            .field("class", &self.class)
            .field("tenant", &self.customer)
            .field("model", &self.model)
            .field("service", &self.service)
            .field("path", &self.path)
            .field("method", &self.method)
            .field("prompt_bytes", &self.prompt_bytes)
            .field("due_in_ms", &self.due_in_ms)
            .finish_non_exhaustive()
    }
}

const SAMPLE_KEYS: [&str; 10] = [
    "class",
    "tenant",
    "model",
    "service",
    "path",
    "method",
    "prompt_bytes",
    "due_in_ms",
    "header.NAME",
    "pool_load.POOL",
];

/// An owned sample, set from `KEY=VALUE` arguments of an operator.
///
/// The keys are those of the conditions: `class`, `tenant`, `model`,
/// `service`, `path`, `method`, `prompt_bytes`, `due_in_ms`, `header.NAME` and
/// `pool_load.POOL`.
///
/// # Example
///
/// ```
/// use pomeloslip_rules::SampleBuf;
///
/// let mut sample = SampleBuf::default();
/// sample.set("tenant=taevakorv")?;
/// sample.set("header.x-season=gifts")?;
/// assert_eq!(sample.as_sample().customer, "taevakorv");
/// assert!(sample.set("tennant=x").is_err());
/// # Ok::<(), pomeloslip_rules::SampleError>(())
/// ```
#[derive(Clone, Debug)]
pub struct SampleBuf {
    class: Class,
    customer: String,
    model: Option<String>,
    service: Option<String>,
    path: String,
    method: String,
    prompt_bytes: u64,
    due_in_ms: Option<u64>,
    headers: BTreeMap<String, String>,
    pool_loads: BTreeMap<String, f64>,
}

impl Default for SampleBuf {
    fn default() -> Self {
        Self {
            class: Class::Online,
            customer: String::new(),
            model: None,
            service: None,
            path: "/".to_owned(),
            method: "POST".to_owned(),
            prompt_bytes: 0,
            due_in_ms: None,
            headers: BTreeMap::new(),
            pool_loads: BTreeMap::new(),
        }
    }
}

impl SampleBuf {
    /// Sets one attribute from a `KEY=VALUE` argument.
    ///
    /// # Errors
    ///
    /// Returns an error if there is no `=`, the key is unknown or the value is
    /// invalid.
    pub fn set(&mut self, argument: &str) -> Result<(), SampleError> {
        let (key, value) = argument.split_once('=').ok_or_else(|| {
            SampleError(format!("{argument:?} is not of the form KEY=VALUE"))
        })?;
        if let Some(name) = key.strip_prefix("header.") {
            let name = name.to_lowercase();
            self.headers.insert(name, value.to_owned());
            return Ok(());
        }
        if let Some(pool) = key.strip_prefix("pool_load.") {
            let load = parse(key, value)?;
            self.pool_loads.insert(pool.to_owned(), load);
            return Ok(());
        }
        match key {
            "class" => self.class = class(value)?,
            "tenant" => self.customer = value.to_owned(),
            "model" => self.model = Some(value.to_owned()),
            "service" => self.service = Some(value.to_owned()),
            "path" => self.path = value.to_owned(),
            "method" => self.method = value.to_uppercase(),
            "prompt_bytes" => self.prompt_bytes = parse(key, value)?,
            "due_in_ms" => self.due_in_ms = Some(parse(key, value)?),
            _ => return Err(unknown("key", key, SAMPLE_KEYS)),
        }
        Ok(())
    }

    /// Returns a borrowed sample for a decision.
    pub fn as_sample(&self) -> Sample<'_> {
        Sample {
            class: self.class,
            customer: &self.customer,
            model: self.model.as_deref(),
            service: self.service.as_deref(),
            path: &self.path,
            method: &self.method,
            prompt_bytes: self.prompt_bytes,
            due_in_ms: self.due_in_ms,
            facts: self,
        }
    }
}

impl Facts for SampleBuf {
    fn header(&self, name: &str) -> Option<&str> {
        self.headers.get(name).map(String::as_str)
    }

    fn pool_load(&self, pool: &str) -> Option<f64> {
        self.pool_loads.get(pool).copied()
    }
}

/// Error for an invalid `KEY=VALUE` argument.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SampleError(String);

impl fmt::Display for SampleError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.0)
    }
}

impl std::error::Error for SampleError {}

fn class(value: &str) -> Result<Class, SampleError> {
    let found = Class::ALL.iter().find(|class| class.as_str() == value);
    let names = Class::ALL.map(Class::as_str);
    found.copied().ok_or_else(|| unknown("class", value, names))
}

fn parse<T: FromStr>(key: &str, value: &str) -> Result<T, SampleError> {
    value
        .parse()
        .map_err(|_| SampleError(format!("{key}: {value:?} is not a number")))
}

fn unknown<const N: usize>(
    kind: &str,
    wrong: &str,
    right: [&'static str; N],
) -> SampleError {
    let hint = match nearest(wrong, right) {
        Some(near) => format!("did you mean {near:?}?"),
        None => format!("one of {}", right.join(", ")),
    };
    SampleError(format!("unknown {kind} {wrong:?}; {hint}"))
}
