use std::{fmt, str::FromStr, sync::Arc};

use serde::{Deserialize, Serialize};

/// Longest accepted name, in bytes.
const MAX_NAME_BYTES: usize = 128;

/// The error of parsing an invalid name.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct IdError {
    kind: &'static str,
    cause: Cause,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum Cause {
    Empty,
    TooLong(usize),
    Character(char),
}

impl fmt::Display for IdError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match &self.cause {
            Cause::Empty => write!(f, "a {} cannot be empty", self.kind),
            Cause::TooLong(bytes) => write!(
                f,
                "a {} of {bytes} bytes is over the limit of {}",
                self.kind, MAX_NAME_BYTES
            ),
            Cause::Character(found) => write!(
                f,
                "a {} takes letters, digits and - _ . only, not {found:?}",
                self.kind
            ),
        }
    }
}

impl std::error::Error for IdError {}

fn validate(kind: &'static str, text: &str) -> Result<(), IdError> {
    let fail = |cause| Err(IdError { kind, cause });
    if text.is_empty() {
        return fail(Cause::Empty);
    }
    if text.len() > MAX_NAME_BYTES {
        return fail(Cause::TooLong(text.len()));
    }
    let allowed = |c: char| c.is_ascii_alphanumeric() || "-_.".contains(c);
    match text.chars().find(|c| !allowed(*c)) {
        Some(found) => fail(Cause::Character(found)),
        None => Ok(()),
    }
}

macro_rules! name {
    ($(#[$doc:meta])* $name:ident, $kind:literal) => {
        $(#[$doc])*
        ///
        /// A name has 1 to 128 letters, digits, `-`, `_` and `.`, which
        /// parsing validates. Clones share one allocation.
        ///
        /// # Example
        ///
        /// ```
        #[doc = concat!("use pomeloslip_base::", stringify!($name), ";")]
        ///
        #[doc = concat!("let name: ", stringify!($name), " = \"a-1\".parse()?;")]
        /// assert_eq!(name.as_str(), "a-1");
        #[doc = concat!("assert!(\"a b\".parse::<", stringify!($name), ">().is_err());")]
        /// # Ok::<(), pomeloslip_base::IdError>(())
        /// ```
        #[derive(
            Clone, Debug, Eq, PartialEq, Ord, PartialOrd, Hash,
            Serialize, Deserialize,
        )]
        #[serde(try_from = "String", into = "String")]
        pub struct $name(Arc<str>);

        impl $name {
            /// Returns the name as text.
            #[inline]
            pub fn as_str(&self) -> &str {
                &self.0
            }
        }

        impl FromStr for $name {
            type Err = IdError;

            fn from_str(text: &str) -> Result<Self, IdError> {
                validate($kind, text)?;
                Ok(Self(text.into()))
            }
        }

        impl TryFrom<String> for $name {
            type Error = IdError;

            fn try_from(text: String) -> Result<Self, IdError> {
                text.parse()
            }
        }

        impl From<$name> for String {
            fn from(name: $name) -> String {
                name.0.as_ref().to_owned()
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                f.write_str(&self.0)
            }
        }

        impl AsRef<str> for $name {
            fn as_ref(&self) -> &str {
                &self.0
            }
        }
    };
}

name!(
    /// Name of a customer, whose calls are limited and measured together.
    Customer,
    "tenant"
);
name!(
    /// Name of a model, as callers give it.
    Model,
    "model"
);
name!(
    /// Name of a plain service, served in addition to the model engines.
    Service,
    "service"
);
name!(
    /// Name of an endpoint: an engine replica or an instance of a service.
    EndpointName,
    "endpoint"
);
name!(
    /// Name of a failure domain: machines that can fail together.
    FailureDomain,
    "failure domain"
);
name!(
    /// Name of a virtual machine of the platform.
    VmId,
    "vm"
);
name!(
    /// Identifier of a batch job.
    JobId,
    "job id"
);
name!(
    /// Identifier of an uploaded or produced file.
    FileId,
    "file id"
);
name!(
    /// Identifier of one call, which logs and all of its messages carry.
    RequestId,
    "request id"
);

impl RequestId {
    /// Creates an id from a random number that the caller supplies.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_base::RequestId;
    ///
    /// let id = RequestId::from_random(255);
    /// assert!(id.as_str().ends_with("00ff"));
    /// assert!(id.as_str().parse::<RequestId>().is_ok());
    /// ```
    pub fn from_random(random: u128) -> Self {
        Self(format!("r-{random:032x}").into())
    }
}

macro_rules! number {
    ($(#[$doc:meta])* $name:ident) => {
        $(#[$doc])*
        #[derive(
            Clone, Copy, Debug, Default, Eq, PartialEq, Ord, PartialOrd,
            Hash, Serialize, Deserialize,
        )]
        #[serde(transparent)]
        pub struct $name(u64);

        impl $name {
            /// Creates a value from a number.
            #[inline]
            pub const fn new(number: u64) -> Self {
                Self(number)
            }

            /// Returns the number.
            #[inline]
            pub const fn get(self) -> u64 {
                self.0
            }
        }

        impl fmt::Display for $name {
            fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
                self.0.fmt(f)
            }
        }
    };
}

number!(
    /// Distinguishes the incarnations of a process at one address.
    ///
    /// Each start of a process draws a random number. A counter would need a
    /// disk or the key-value service to survive a restart; most processes
    /// have neither at that moment.
    Incarnation
);
number!(
    /// Revision of an accepted configuration; newer ones are higher.
    Revision
);
