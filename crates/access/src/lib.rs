//! Who may ask: customers, their keys, and the admission of a request.
//!
//! [`Customers`] is the table of one configuration. A request goes through
//! three states, each a type of its own: [`Arrived`] holds what the caller
//! presents, taken out of the headers; [`Identified`] knows the customer;
//! [`Admitted`] is also within the customer's limit. What sends requests to
//! endpoints takes nothing but the last, so that the compiler finds the path
//! on which a check was forgotten.
//!
//! Nothing here does I/O or keeps the text of a key.
//!
//! ```
//! use http::{HeaderMap, HeaderName, HeaderValue};
//! use pomeloslip_access::{
//!     ApiKey, Arrived, ConfigFreshness, CustomerSpec, Customers, KeyHeaders,
//! };
//!
//! let spec = CustomerSpec {
//!     keys: vec![ApiKey::parse(b"key-1")?],
//!     ..CustomerSpec::new("taevakorv".parse().expect("a name"))
//! };
//! let customers = Customers::new(vec![spec]).expect("customers");
//! let names = KeyHeaders {
//!     credential: HeaderName::from_static("x-key"),
//!     customer: HeaderName::from_static("x-customer"),
//! };
//! let mut headers = HeaderMap::new();
//! headers.insert("x-key", HeaderValue::from_static("key-1"));
//!
//! let arrived = Arrived::from_headers(&mut headers, &names);
//! let identified =
//!     arrived.identify(Some(&customers), false, ConfigFreshness::Fresh);
//! let caller = identified.expect("known").caller().cloned();
//! assert_eq!(caller.expect("a customer").customer().as_str(), "taevakorv");
//! assert!(headers.is_empty(), "the key goes no further");
//! # Ok::<(), pomeloslip_access::ApiKeyError>(())
//! ```

mod customers;
mod key;
mod request;

pub use crate::{
    customers::{
        Caller, CustomerKey, CustomerSpec, Customers, CustomersError,
    },
    key::{ApiKey, ApiKeyError},
    request::{
        Admitted, Arrived, ConfigFreshness, Denied, Identified, KeyHeaders,
    },
};
