//! Client calls that propagate the configuration.

use std::net::SocketAddr;

use base::Revision;
use bytes::Bytes;
use capnp::capability::Response;
use error_stack::Report;

use crate::{LinkError, Links, message::ConfigText, schema_capnp as schema};

impl Links {
    /// Requests the configuration of an entry if it is newer than `have`.
    ///
    /// # Errors
    ///
    /// See [`LinkError`].
    pub async fn config(
        &self,
        address: SocketAddr,
        have: Revision,
    ) -> Result<Option<ConfigText>, Report<LinkError>> {
        self.call(
            address,
            move |peer| {
                let mut call = peer.entry.config_request();
                call.get().set_have(have.get());
                call.send().promise
            },
            move |reply: Response<schema::entry::config_results::Owned>| {
                let reply = reply.get()?;
                let revision = Revision::new(reply.get_revision());
                if revision <= have {
                    return Ok(None);
                }
                let bytes = Bytes::copy_from_slice(reply.get_bytes()?);
                Ok(Some(ConfigText { revision, bytes }))
            },
        )
        .await
    }

    /// Compares configurations with an entry. The request and the response
    /// are opaque to this crate; the caller encodes and decodes them.
    ///
    /// # Errors
    ///
    /// See [`LinkError`]; the call is idempotent.
    pub async fn compare(
        &self,
        address: SocketAddr,
        request: Bytes,
    ) -> Result<Bytes, Report<LinkError>> {
        self.call(
            address,
            move |peer| {
                let mut call = peer.entry.compare_request();
                call.get().set_question(&request);
                call.send().promise
            },
            |reply: Response<schema::entry::compare_results::Owned>| {
                Ok(Bytes::copy_from_slice(reply.get()?.get_answer()?))
            },
        )
        .await
    }
}
