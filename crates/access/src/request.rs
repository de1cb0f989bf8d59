use base::Customer;
use http::{HeaderMap, HeaderName, HeaderValue};
use limits::Counted;

use crate::{ApiKey, ApiKeyError, Caller, Customers};

/// How the headers of a dialect are called that concern customers.
#[derive(Clone, Debug)]
pub struct KeyHeaders {
    /// Key of the caller.
    pub credential: HeaderName,
    /// Name of the customer, which endpoints are given.
    pub customer: HeaderName,
}

/// What a node may say by the configuration that it knows.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum ConfigFreshness {
    /// It is the newest: what it does not hold does not exist.
    Fresh,
    /// A newer one may have added keys.
    Stale,
    /// Keys may have been taken away for too long to serve any.
    Expired,
}

/// Why a request is not served to its caller.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum Denied {
    /// Its key is certainly none.
    Unknown(&'static str),
    /// Whether its key is one is not known here and now.
    Unconfirmed(&'static str),
}

/// A request as it came in: its key is taken out of the headers, and so is
/// what the caller wrote where endpoints read the customer.
#[derive(Debug)]
#[must_use = "a request that is not identified is served to nobody"]
pub struct Arrived {
    key: Result<Option<ApiKey>, ApiKeyError>,
}

impl Arrived {
    /// Takes the key out of the headers, whether it counts or not.
    ///
    /// What goes wrong where it is read and stays: an endpoint, another
    /// node or a log gets it with the other headers.
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

    /// Finds the customer.
    ///
    /// Without `customers` the configuration has none, and everybody is
    /// served. On a public route a key is not needed; one that is known
    /// still names the customer.
    ///
    /// # Errors
    ///
    /// [`Denied`] for a key that is missing or not known where one is
    /// needed.
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

/// A request whose customer is known, or that needs none.
#[derive(Debug)]
#[must_use = "a request that is not admitted is served to nobody"]
pub struct Identified {
    caller: Option<Caller>,
}

impl Identified {
    /// Returns the customer; none where the configuration has none or the
    /// route is public.
    pub fn caller(&self) -> Option<&Caller> {
        self.caller.as_ref()
    }

    /// Returns the name of the customer.
    pub fn customer(&self) -> Option<&Customer> {
        self.caller.as_ref().map(Caller::customer)
    }

    /// Admits the request, which is counted against its customer's limit.
    pub fn admit(self, _: Counted) -> Admitted {
        Admitted {
            customer: self.caller.map(|caller| caller.customer().clone()),
        }
    }
}

/// A request that may reach an endpoint.
///
/// It is made of an identified and counted request, or of an item of a job,
/// whose customer was identified when the job was accepted.
#[derive(Clone, Debug)]
pub struct Admitted {
    customer: Option<Customer>,
}

impl Admitted {
    /// Admits an item of an accepted job. Limits do not count items, and
    /// keys that are taken away end no job.
    pub fn item(customer: Option<Customer>) -> Self {
        Self { customer }
    }

    /// Returns the name of the customer.
    pub fn customer(&self) -> Option<&Customer> {
        self.customer.as_ref()
    }

    /// Writes the customer into the headers for an endpoint and takes out
    /// whatever else stands there, also in headers that came with an item.
    pub fn write(&self, headers: &mut HeaderMap, names: &KeyHeaders) {
        headers.remove(&names.credential);
        headers.remove(&names.customer);
        // A checked name has only characters that a header may have.
        let name = self.customer.as_ref();
        let value = name.map(|name| HeaderValue::from_str(name.as_str()));
        if let Some(Ok(value)) = value {
            headers.insert(names.customer.clone(), value);
        }
    }
}
