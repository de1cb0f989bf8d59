//! Messages between the system's own processes over capnp-rpc.

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
pub mod schema_capnp;
