//! Calls of endpoints over HTTP.
//!
//! [`EndpointClient`] sends one call to one endpoint and passes its answer
//! on in frames. It keeps three promises that the rest of the system builds
//! on: an event stream is cut into whole events and counts as an answer only
//! with its end mark; every wait has a deadline; and the outcome says that a
//! call did not run only when that is certain.

mod client;
mod events;

pub use crate::{
    client::{
        ClientBuildError, EndpointClient, EndpointIncarnation,
        ResponseProgress,
    },
    events::{EventSplitter, EventTooLarge},
};
