//! Forwards requests to endpoints and streams their responses back unchanged.
//!
//! [`Listener`] accepts client connections. [`Forwarder`] selects an endpoint
//! for each request, sends the request there and streams the response while
//! it arrives. [`HeaderNames`] defines the names of the headers that carry
//! ids, deadlines and seals, so that several header dialects share this code.
//!
//! The handling of a failure depends on whether a retry is safe. A request
//! that is known not to have run goes to another endpoint. A request that may
//! have run is retried only if its route declares it repeatable, or if its
//! stream can be resumed after the last event received. All other requests
//! get a status that leaves open whether they ran.
//!
//! Both sides use hyper instead of rocket and reqwest. A rocket handler keeps
//! running after its client has disconnected and has no access to the
//! connection, and both libraries need many times the processor time that
//! the smallest machines can spend on one stream event.

mod answer;
mod attempt;
mod caller;
mod cause;
mod channel;
mod connection;
mod connection_use;
mod counters;
mod customers;
mod endpoint_speeds;
mod error;
mod events;
mod exchange;
mod forward;
mod guard;
mod linger;
mod listen;
mod names;
mod observe;
mod origins;
mod pool;
mod read_response;
mod receive;
mod refusal;
mod relay;
mod request;
mod resume;
mod returns;
mod run;
mod shared_parts;
mod shared_stream;
mod shares;
mod stream_timer;
mod unserved;

pub use crate::{
    answer::ResponseBody,
    attempt::{Failure, Offer},
    channel::ChannelOptions,
    connection::ConnectionCounts,
    counters::Counters,
    customers::{CustomerCounters, CustomerOutcome},
    endpoint_speeds::{EndpointSpeedRow, EndpointSpeeds},
    error::{IncompleteResponse, PassError},
    events::{EventSplitter, Split},
    exchange::Exchange,
    forward::{DirectoryView, Forwarder, ForwarderOptions},
    linger::LingerLimits,
    listen::{
        Handler, HandlerFuture, Listener, ListenerOptions, ShutdownPhase,
    },
    names::HeaderNames,
    observe::{LoadObserver, NoopObserver},
    origins::{LocalOrigins, OriginFuture, StreamOrigins},
    pool::{CallOutcome, Pool},
    receive::{BodyTerms, ReceivedBody, out_of_memory, receive_body},
    refusal::Refusal,
    relay::Relay,
    request::{Inbound, deadline_ms, read_body},
    returns::RetryAfterEstimator,
    run::{Run, RunObserver},
    shared_parts::SharedParts,
    shares::{FairShares, ShareMetrics},
};
pub use execution::Ran;
