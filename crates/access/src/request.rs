use base::Customer;
use http::{HeaderMap, HeaderName, HeaderValue};
use limits::QuotaPermit;

use crate::{ApiKey, ApiKeyError, Caller, Customers};

/// Names of the headers that identify customers in a dialect.
#[derive(Clone, Debug)]
pub struct KeyHeaders {
    /// Header with the caller's API key.
    pub credential: HeaderName,
    /// Header with the name of the customer, which is sent to endpoints.
    pub customer: HeaderName,
}

/// Freshness of a node's configuration, which decides how far the node may
/// rely on its keys.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigFreshness {
    /// The configuration is current: a key that it lacks does not exist.
    Fresh,
    /// A newer configuration may have added keys.
    Stale,
    /// The configuration is so old that any of its keys may have been revoked;
    /// no key is accepted.
    Expired,
}

/// The reason for which a request is denied.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// The key is missing, invalid or certainly unknown.
    Unknown(&'static str),
    /// The node cannot currently determine whether the key is valid.
    Unconfirmed(&'static str),
}

/// A received request whose customer is not identified yet.
///
/// Its key and any customer name that the caller gave are removed from the
/// headers.
#[derive(Debug)]
#[must_use = "a request must be identified before it is served"]
pub struct Arrived {
    key: Result<Option<ApiKey>, ApiKeyError>,
}

impl Arrived {
    /// Removes the key from the headers, whether it is valid or not.
    ///
    /// If the key stayed, it would be disclosed to endpoints, other nodes and
    /// logs together with the other headers.
    pub fn from_headers(headers: &mut HeaderMap, names: &KeyHeaders) -> Self {
        let mut given = headers.get_all(&names.credential).iter();
        let key = match (given.next(), given.next()) {
            (None, _) => Ok(None),
            (Some(one), None) => ApiKey::parse(one.as_bytes()).map(Some),
            (Some(_), Some(_)) => Err(ApiKeyError::Multiple),
        };
        headers.remove(&names.credential);
        headers.remove(&names.customer);
        Self { key }
    }

    /// Identifies the customer.
    ///
    /// If `customers` is `None`, the configuration defines no customers and
    /// every request is served. A public route needs no key; a known key
    /// still identifies the customer there.
    ///
    /// # Errors
    ///
    /// [`Denied`] for a missing or unknown key on a route that needs one.
    pub fn identify(
        self,
        customers: Option<&Customers>,
        public: bool,
        freshness: ConfigFreshness,
    ) -> Result<Identified, Denied> {
        let Some(customers) = customers else {
            return Ok(Identified { caller: None });
        };
        let known = match &self.key {
            Ok(Some(key)) => customers.find(key),
            _ => None,
        };
        if public {
            let caller = known.cloned();
            return Ok(Identified { caller });
        }
        if freshness == ConfigFreshness::Expired {
            let why = "keys cannot be confirmed now";
            return Err(Denied::Unconfirmed(why));
        }
        match known {
            Some(caller) => Ok(Identified {
                caller: Some(caller.clone()),
            }),
            None if freshness == ConfigFreshness::Fresh => {
                Err(Denied::Unknown(self.reason()))
            }
            None => {
                let why = "the configuration may be out of date";
                Err(Denied::Unconfirmed(why))
            }
        }
    }

    fn reason(&self) -> &'static str {
        match &self.key {
            Ok(None) => "the request has no key",
            Ok(Some(_)) => "the key is not known",
            Err(error) => error.reason(),
        }
    }
}

/// A request whose customer is identified, or that needs none.
#[derive(Debug)]
#[must_use = "a request must be admitted before it is served"]
pub struct Identified {
    caller: Option<Caller>,
}

impl Identified {
    /// Returns the customer; `None` if the configuration defines no customers,
    /// or if the route is public and the request has no known key.
    pub fn caller(&self) -> Option<&Caller> {
        self.caller.as_ref()
    }

    /// Returns the name of the customer.
    pub fn customer(&self) -> Option<&Customer> {
        self.caller.as_ref().map(Caller::customer)
    }

    /// Admits the request, which has been counted against the customer's
    /// limit.
    pub fn admit(self, _: QuotaPermit) -> Admitted {
        Admitted {
            priority: self.caller.as_ref().and_then(Caller::priority),
            customer: self.caller.map(|caller| caller.customer().clone()),
        }
    }
}

/// A request that may be sent to an endpoint.
///
/// It is created from an identified and counted request, or from an item of a
/// job, whose customer was identified when the job was accepted.
#[derive(Clone, Debug)]
pub struct Admitted {
    customer: Option<Customer>,
    priority: Option<u32>,
}

impl Admitted {
    /// Admits an item of an accepted job.
    ///
    /// Items do not count against rate limits, and revoking a key does not end
    /// jobs that were accepted with it.
    pub fn item(customer: Option<Customer>) -> Self {
        Self {
            customer,
            priority: None,
        }
    }

    /// Returns the priority of the customer, which overrides that of the
    /// route; 0 is the highest.
    pub fn priority(&self) -> Option<u32> {
        self.priority
    }

    /// Returns the name of the customer.
    pub fn customer(&self) -> Option<&Customer> {
        self.customer.as_ref()
    }

    /// Writes the customer into the headers for an endpoint, and removes the
    /// key and any other customer name, including those of an item's own
    /// headers.
    pub fn write(&self, headers: &mut HeaderMap, names: &KeyHeaders) {
        headers.remove(&names.credential);
        headers.remove(&names.customer);
        // Names are validated to have only characters that a header allows.
        let name = self.customer.as_ref();
        let value = name.map(|name| HeaderValue::from_str(name.as_str()));
        if let Some(Ok(value)) = value {
            headers.insert(names.customer.clone(), value);
        }
    }
}
