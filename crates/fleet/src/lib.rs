//! Routes, endpoints and endpoint load: the data on which a node bases its
//! routing decisions.
//!
//! This crate does no I/O. A [`Config`] is the operators' latest
//! configuration; its [`RouteTable`] maps a request to a [`Route`]. A
//! [`Directory`] turns successive listings of the key-value service into the
//! set of usable endpoints, and [`EndpointTable::choose`] picks one by load
//! among the few endpoints of a [`Selection`].
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

mod binding;
mod directory;
mod endpoint;
mod load;
mod route;
mod seen;
mod selection;
mod speed;
mod suspect;
mod table;
mod version;

pub use crate::{
    binding::VersionBinding,
    directory::{Change, Directory, LISTING_GRACE_MS, Listing, ListingUpdate},
    endpoint::{Endpoint, EndpointRecord, EndpointState, IncarnationKey},
    load::{Choice, ChooseError, EndpointQuery, LoadReport},
    route::{
        BatchDeadlines, Config, Destination, MAX_REQUEST_MS, Route, RouteKind,
        RouteTable, ServiceSpec, TransferLimits,
    },
    seen::SeenVersions,
    selection::{MAX_SPILL_ENDPOINTS, Selection, SelectionTier},
    speed::{
        EndpointSpeed, MAX_INTERVAL_US, MAX_MEDIAN_ENDPOINTS,
        MAX_REPORT_SAMPLES, ServiceSpeed, ServiceSpeeds, SpeedChange,
        SpeedClass, SpeedEstimate, SpeedReports, SpeedSample,
    },
    suspect::FailureKind,
    table::EndpointTable,
    version::{SoftwareVersion, VersionError},
};
