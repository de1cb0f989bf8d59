use std::{error, fmt};

use base::{Customer, KeyDigest};
use indexmap::IndexMap;
use limits::Cap;

use crate::ApiKey;

/// Names a customer in one [`Customers`] table.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub struct CustomerKey(u32);

/// What a configuration says of one customer.
#[derive(Clone, Debug, PartialEq)]
pub struct CustomerSpec {
    /// Name of the customer.
    pub customer: Customer,
    /// Keys of its callers; one without any is served to nobody.
    pub keys: Vec<ApiKey>,
    /// Rank of its requests, in place of the route's; 0 is the highest.
    pub priority: Option<u32>,
    /// Requests that it may send over the whole fleet; none if unlimited.
    pub cap: Option<Cap>,
}

impl CustomerSpec {
    /// Makes a customer without keys and limit.
    pub fn new(customer: Customer) -> Self {
        Self {
            customer,
            keys: Vec::new(),
            priority: None,
            cap: None,
        }
    }
}

/// The customer of a request, as the configuration in force has it.
#[derive(Clone, Debug, PartialEq)]
pub struct Caller {
    key: CustomerKey,
    customer: Customer,
    priority: Option<u32>,
    cap: Option<Cap>,
}

impl Caller {
    /// Returns the place of the customer in its table.
    #[inline]
    pub fn key(&self) -> CustomerKey {
        self.key
    }

    /// Returns the name of the customer.
    #[inline]
    pub fn customer(&self) -> &Customer {
        &self.customer
    }

    /// Returns the rank that goes before the route's; 0 is the highest.
    #[inline]
    pub fn priority(&self) -> Option<u32> {
        self.priority
    }

    /// Returns the limit over the whole fleet, if there is one.
    #[inline]
    pub fn cap(&self) -> Option<Cap> {
        self.cap
    }
}

/// The customers of one configuration and their keys.
///
/// A key is looked up by its digest in a table whose hash has a secret of
/// this process. The time of a look-up tells nothing of keys, as nobody can
/// choose digests that begin alike, and does not grow with the customers.
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

/// Most keys of all customers together: their digests take a second of the
/// thinnest machine, which has to be ready with a configuration in three.
const MAX_KEYS: usize = 50_000;

impl Customers {
    /// Makes the table of a configuration.
    ///
    /// # Errors
    ///
    /// [`CustomersError`] for customers between which a request could not
    /// be told apart; the configuration before stays in force then.
    pub fn new(specs: Vec<CustomerSpec>) -> Result<Self, CustomersError> {
        let keys: usize = specs.iter().map(|spec| spec.keys.len()).sum();
        if keys > MAX_KEYS {
            return Err(CustomersError::TooManyKeys(keys));
        }
        let mut names = IndexMap::with_capacity(specs.len());
        let mut table = Self::default();
        for (at, spec) in specs.into_iter().enumerate() {
            let key = CustomerKey(at as u32);
            if names.insert(spec.customer.clone(), key).is_some() {
                return Err(CustomersError::SameName(spec.customer));
            }
            for api_key in &spec.keys {
                let before = table.by_digest.insert(*api_key.digest(), key);
                if before.is_some_and(|before| before != key) {
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

    /// Returns a customer by its place.
    pub fn get(&self, key: CustomerKey) -> Option<&Caller> {
        self.callers.get(key.0 as usize)
    }

    /// Tells whether any customer has a limit.
    #[inline]
    pub fn has_caps(&self) -> bool {
        self.has_caps
    }

    /// Returns how many customers there are.
    pub fn len(&self) -> usize {
        self.callers.len()
    }

    /// Tells whether there is none.
    pub fn is_empty(&self) -> bool {
        self.callers.is_empty()
    }
}

impl fmt::Debug for Customers {
    /// Tells the numbers only: digests belong in no log.
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.debug_struct("Customers")
            .field("customers", &self.callers.len())
            .field("keys", &self.by_digest.len())
            .finish()
    }
}

/// Why customers cannot be taken.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum CustomersError {
    /// Two customers have this name.
    SameName(Customer),
    /// This customer has a key of another one.
    SharedKey(Customer),
    /// So many keys are too many.
    TooManyKeys(usize),
}

impl fmt::Display for CustomersError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::SameName(name) => write!(f, "two customers {name}"),
            Self::SharedKey(name) => {
                write!(f, "customer {name} has a key of another one")
            }
            Self::TooManyKeys(keys) => write!(f, "{keys} keys are too many"),
        }
    }
}

impl error::Error for CustomersError {}
