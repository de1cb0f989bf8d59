//! HTTP client for endpoints.
//!
//! [`EndpointClient`] sends a request to an endpoint and forwards the response
//! as frames. It guarantees three properties that the rest of the system
//! relies on: an event stream is split into whole events and is complete only
//! with its end mark, and any other response only if its content does not
//! show that it was cut; every wait has a timeout; and the outcome reports that a
//! request did not run only if that is certain.

mod client;
mod control;
mod events;

pub use crate::{
    client::{
        ClientBuildError, EndpointClient, ResponseProgress, is_model_call,
    },
    control::EndpointIncarnation,
    events::{EventSplitter, EventTooLarge},
};
