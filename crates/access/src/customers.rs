use std::{error, fmt};

use base::{Customer, KeyDigest};
use indexmap::IndexMap;
use limits::RateLimit;

use crate::ApiKey;

/// Index of a customer in one [`Customers`] table.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CustomerKey(u32);

/// The configuration of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSpec {
    /// Name of the customer.
    pub customer: Customer,
    /// API keys of its callers; a customer without keys cannot send requests.
    pub keys: Vec<ApiKey>,
    /// Priority of its requests, which overrides that of the route; 0 is the
    /// highest.
    pub priority: Option<u32>,
    /// Rate limit over the whole fleet; `None` if unlimited.
    pub cap: Option<RateLimit>,
}

impl CustomerSpec {
    /// Creates a customer without keys and without a limit.
    pub fn new(customer: Customer) -> Self {
        Self {
            customer,
            keys: Vec::new(),
            priority: None,
            cap: None,
        }
    }
}

/// The customer of a request, by the current configuration.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    key: CustomerKey,
    customer: Customer,
    priority: Option<u32>,
    cap: Option<RateLimit>,
}

impl Caller {
    /// Returns the index of the customer in its table.
    #[inline]
    pub fn key(&self) -> CustomerKey {
        self.key
    }

    /// Returns the name of the customer.
    #[inline]
    pub fn customer(&self) -> &Customer {
        &self.customer
    }

    /// Returns the priority that overrides that of the route; 0 is the
    /// highest.
    #[inline]
    pub fn priority(&self) -> Option<u32> {
        self.priority
    }

    /// Returns the rate limit over the whole fleet, if there is one.
    #[inline]
    pub fn cap(&self) -> Option<RateLimit> {
        self.cap
    }
}

/// The customers of one configuration and their keys.
///
/// Keys are looked up by their digest in a hash table that is seeded with a
/// secret of the process. The lookup time reveals nothing about keys, since
/// callers cannot choose digests with a common prefix, and does not depend
/// on the number of customers.
///
/// # Example
///
/// ```
/// use pomeloslip_access::{ApiKey, CustomerSpec, Customers};
///
/// let key = ApiKey::parse(b"key-1").expect("a key");
/// let mut spec = CustomerSpec::new("alama".parse().expect("a name"));
/// spec.keys.push(key);
/// let customers = Customers::new(vec![spec]).expect("customers");
/// let found = customers.find(&key).expect("known");
/// assert_eq!(found.customer().as_str(), "alama");
/// ```
#[derive(Clone, Default)]
pub struct Customers {
    callers: Vec<Caller>,
    has_caps: bool,
    by_digest: IndexMap<KeyDigest, CustomerKey>,
}

/// Maximum number of keys of all customers together. Computing their digests
/// takes one second on the smallest machine, which has to apply a
/// configuration within three.
const MAX_KEYS: usize = 50_000;

impl Customers {
    /// Creates the table of a configuration.
    ///
    /// # Errors
    ///
    /// [`CustomersError`] for too many keys, and for names or keys that do not
    /// identify a single customer; the previous configuration then stays in
    /// force.
    pub fn new(specs: Vec<CustomerSpec>) -> Result<Self, CustomersError> {
        let keys: usize = specs.iter().map(|spec| spec.keys.len()).sum();
        if keys > MAX_KEYS {
            return Err(CustomersError::TooManyKeys(keys));
        }
        let mut names = IndexMap::with_capacity(specs.len());
        let mut table = Self::default();
        for (index, spec) in specs.into_iter().enumerate() {
            let key = CustomerKey(index as u32);
            if names.insert(spec.customer.clone(), key).is_some() {
                return Err(CustomersError::SameName(spec.customer));
            }
            for api_key in &spec.keys {
                let previous = table.by_digest.insert(*api_key.digest(), key);
                if previous.is_some_and(|previous| previous != key) {
                    return Err(CustomersError::SharedKey(spec.customer));
                }
            }
            table.has_caps |= spec.cap.is_some();
            table.callers.push(Caller {
                key,
                customer: spec.customer,
                priority: spec.priority,
                cap: spec.cap,
            });
        }
        Ok(table)
    }

    /// Returns the customer of a key.
    pub fn find(&self, key: &ApiKey) -> Option<&Caller> {
        let customer = self.by_digest.get(key.digest())?;
        self.get(*customer)
    }

    /// Returns a customer by its index.
    pub fn get(&self, key: CustomerKey) -> Option<&Caller> {
        self.callers.get(key.0 as usize)
    }

    /// Reports whether any customer has a rate limit.
    #[inline]
    pub fn has_caps(&self) -> bool {
        self.has_caps
    }

    /// Returns the number of customers.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Reports whether there are no customers.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }
}

impl fmt::Debug for Customers {
    /// Formats only the counts, since digests must not be logged.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Customers")
            .field("customers", &self.callers.len())
            .field("keys", &self.by_digest.len())
            .finish()
    }
}

/// The reason for which customers are rejected.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CustomersError {
    /// Two customers have the same name.
    SameName(Customer),
    /// The customer has a key that another customer has, too.
    SharedKey(Customer),
    /// The number of keys exceeds the limit.
    TooManyKeys(usize),
}

impl fmt::Display for CustomersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SameName(name) => {
                write!(f, "two customers {name}")
            }
            Self::SharedKey(name) => {
                write!(f, "customer {name} has a key of another one")
            }
            Self::TooManyKeys(keys) => {
                write!(f, "{keys} keys are too many")
            }
        }
    }
}

impl error::Error for CustomersError {}
