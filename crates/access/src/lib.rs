//! Access control: customers, their API keys, and the admission of requests.
//!
//! [`Customers`] is the table of customers of one configuration. A request
//! passes through three states, each with a type of its own: [`Arrived`]
//! holds the credentials that were removed from the headers; [`Identified`]
//! holds the customer; [`Admitted`] is also within the customer's limit. Code
//! that sends requests to endpoints accepts only [`Admitted`] requests, so
//! that a path without a check does not compile.
//!
//! The crate does no I/O and never stores the text of a key.
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
//! assert!(headers.is_empty(), "the key is not passed on");
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
