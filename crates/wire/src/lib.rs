//! RPC between the processes of the system over capnp-rpc.
//!
//! [`message`] holds the messages as plain types; [`Links`] is the client and
//! [`serve`] starts the server. The objects of capnp-rpc are not `Send`, so
//! the client and the server each own a thread and exchange data with the
//! remainder of the process over channels. All public items of this crate can
//! be used from any thread.
//!
//! # Versions
//!
//! Both sides send the highest protocol version that they support in their
//! first message, and fields are only ever added to the schema, so that old
//! and new processes interoperate during a rolling update.
//!
//! # Errors
//!
//! The error of a failed call states whether the peer may have received the
//! call: [`LinkError::Unknown`] if so, [`LinkError::NotSent`] if not. A call
//! that is not idempotent may be retried elsewhere only after `NotSent`.

mod auth;
mod configs;
mod convert;
mod handler;
mod host;
mod link;
pub mod message;
#[allow(
    clippy::all,
    missing_docs,
    dead_code,
    unsafe_code,
    unreachable_pub,
    clippy::semicolon_if_nothing_returned,
    clippy::uninlined_format_args,
    clippy::unwrap_used,
    clippy::unimplemented,
    clippy::explicit_iter_loop,
    rustdoc::all
)]
#[rustfmt::skip]
mod schema_capnp;
mod options;
mod peer;
mod pump;
mod run;
mod server;

pub use crate::{
    auth::{Secret, SecretError, Secrets},
    handler::{
        CompanionHandler, ConfigReply, DataHandler, EntryHandler, FrameSender,
        Handlers, ResponseClosed,
    },
    link::Links,
    options::{LinkError, LinkOptions, ServeOptions},
    run::{LinkSilence, Run, RunReply},
    server::{ServeError, Server, serve, serve_with},
};

/// Highest protocol version that this build supports.
pub const PROTOCOL_VERSION: u32 = 1;

/// Lowest protocol version that this build supports.
pub const MIN_PROTOCOL_VERSION: u32 = 1;
