use std::{error::Error, io};

/// Cause of a connection that failed for none of the known reasons.
const OTHER: &str = "the connection was lost";

/// Returns why a connection to an endpoint failed, as text for logs.
///
/// The kinds matter: a reset is the endpoint's doing, a time-out is that of
/// this node, which had no acknowledgement for too long.
pub(crate) fn connection_failure(error: &hyper::Error) -> &'static str {
    let source = error.source().and_then(<dyn Error>::downcast_ref);
    match source.map(io::Error::kind) {
        Some(io::ErrorKind::TimedOut) => "the connection timed out",
        Some(io::ErrorKind::ConnectionReset) => "the connection was reset",
        Some(io::ErrorKind::BrokenPipe) => "the connection was closed",
        Some(io::ErrorKind::HostUnreachable) => "the host is unreachable",
        Some(_) => OTHER,
        None if error.is_canceled() => "the connection was dropped",
        None if error.is_incomplete_message() => "the connection was closed",
        None if error.is_parse() => "the response is malformed",
        None => OTHER,
    }
}
