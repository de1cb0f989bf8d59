//! What a node decides by: routes, endpoints and their load.
//!
//! Nothing here does I/O. A [`Config`] is the operators' newest word; its
//! [`RouteTable`] answers which [`Route`] a request takes. A [`Directory`]
//! turns successive listings of the key-value service into the endpoints
//! that may be used now, and [`EndpointTable::choose`] picks one by load
//! among the few that a [`Selection`] names.
//!
//! ```
//! use pomeloslip_fleet::{Route, RouteKind, RouteTable};
//!
//! let table = RouteTable::new(vec![
//!     Route::new("all", "a.example", "/", "app"),
//!     Route::new("chat", "a.example", "/chat/", "engines"),
//! ]);
//! let route = table.find("a.example", "/chat/7").expect("a route");
//! assert_eq!(route.name(), "chat");
//! assert_eq!(route.kind(), RouteKind::AtMostOnce);
//! ```

mod directory;
mod endpoint;
mod failure;
mod load;
mod route;
mod selection;
mod table;

pub use crate::{
    directory::{Change, Directory, LISTING_GRACE_MS, Listing, ListingUpdate},
    endpoint::{Endpoint, EndpointRecord, EndpointState, IncarnationKey},
    failure::FailureKind,
    load::{Choice, ChooseError, EndpointQuery, LoadReport},
    route::{
        BatchDeadlines, Config, Destination, Route, RouteKind, RouteTable,
        ServiceSpec, TransferLimits,
    },
    selection::{MAX_SPILL_ENDPOINTS, Selection, SelectionTier},
    table::EndpointTable,
};
