//! Passes requests on to endpoints and their answers back, byte for byte.
//!
//! [`Listener`] accepts the connections of callers, [`Forwarder`] finds an
//! endpoint for each request, sends it there and passes the answer on while
//! it arrives. How the headers are called that carry ids, deadlines and
//! seals is told by [`HeaderNames`], so that several dialects can use the
//! same path.
//!
//! What may be repeated decides everything after a failure: a request that
//! surely did not run goes to another endpoint; one that may have run goes
//! there only if its route says that it may be repeated or its stream can be
//! taken up after the last event that arrived. All else is answered with a
//! status that promises nothing.
//!
//! The path uses hyper on both sides instead of rocket and reqwest: a
//! handler of rocket runs to its end when its caller has left and is not
//! given the connection, and both cost many times the processor time that
//! the smallest machines have for an event of a stream.

mod answer;
mod attempt;
mod channel;
mod counters;
mod customers;
mod error;
mod events;
mod exchange;
mod forward;
mod listen;
mod names;
mod observe;
mod pool;
mod refusal;
mod relay;
mod request;
mod resume;
mod retry_after;
mod run;

pub use crate::{
    answer::ResponseBody,
    attempt::{Failure, Offer},
    channel::ChannelOptions,
    counters::Counters,
    customers::{CustomerCounters, CustomerOutcome},
    error::{IncompleteResponse, PassError},
    events::{EventSplitter, Split},
    exchange::Exchange,
    forward::{DirectoryView, Forwarder, ForwarderOptions},
    listen::{
        Handler, HandlerFuture, Listener, ListenerOptions, ShutdownPhase,
    },
    names::HeaderNames,
    observe::{LoadObserver, NoopObserver},
    pool::{CallOutcome, Pool},
    refusal::{Execution, Refusal},
    relay::Relay,
    request::{Inbound, read_body},
    retry_after::RetryAfterEstimator,
    run::{Run, RunObserver},
};
