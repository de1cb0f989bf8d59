//! Dispatches the calls of other processes, on the server's thread.

use std::{future::Future, rc::Rc, sync::Arc};

use base::{Incarnation, Revision};
use bytes::Bytes;
use capnp::Error;
use capnp_rpc::new_client;
use tokio::{sync::oneshot, task::spawn_local};

use crate::{
    convert,
    handler::{CompanionHandler, DataHandler, EntryHandler, FrameSender},
    message::{ItemResult, Order, Refusal, RefusalKind, StoredBlob},
    pump::{CallGuard, UndeliveredResponse, send_frames},
    schema_capnp as schema,
    server::Shared,
};

pub(crate) struct Host {
    pub(crate) shared: Rc<Shared>,
}

impl Host {
    /// Runs a handler on the process's main runtime, so that it does not block
    /// the thread of the connections.
    async fn run_handler<T: Send + 'static>(
        &self,
        handler: impl Future<Output = T> + Send + 'static,
    ) -> Result<T, Error> {
        self.shared
            .runtime
            .spawn(handler)
            .await
            .map_err(|error| Error::failed(format!("handler: {error}")))
    }

    fn companion(&self) -> Result<Arc<dyn CompanionHandler>, Refusal> {
        self.shared
            .handlers
            .companion
            .clone()
            .ok_or_else(wrong_role)
    }

    fn entry(&self) -> Result<Arc<dyn EntryHandler>, Error> {
        let handler = self.shared.handlers.entry.clone();
        handler.ok_or_else(|| unimplemented("an entry"))
    }

    fn data(&self) -> Result<Arc<dyn DataHandler>, Error> {
        let handler = self.shared.handlers.data.clone();
        handler.ok_or_else(|| unimplemented("a data VM"))
    }
}

fn wrong_role() -> Refusal {
    Refusal::new(RefusalKind::WrongRole, "this process has another role")
}

fn unimplemented(role: &str) -> Error {
    Error::unimplemented(format!("this process is not {role}"))
}

impl schema::companion::Server for Host {
    async fn run(
        self: Rc<Self>,
        params: schema::companion::RunParams,
        mut results: schema::companion::RunResults,
    ) -> Result<(), Error> {
        // Counted before the handler accepts the call, because the handler
        // may finish before the first frame is sent.
        let undelivered = UndeliveredResponse::new(&self.shared.undelivered);
        let params = params.get()?;
        let request = convert::read_request(params.get_request()?)?;
        let sink = params.get_sink()?;
        let id = (request.request_id.clone(), request.attempt);
        let (sender, frames) = FrameSender::channel();
        let accepted = match self.companion() {
            Ok(handler) => {
                let load = handler.load();
                let accepted =
                    self.run_handler(handler.run(request, sender)).await?;
                convert::write_load(load, results.get().init_load());
                accepted
            }
            Err(refusal) => Err(refusal),
        };
        if let Err(refusal) = accepted {
            let slot = results.get().init_refusal();
            convert::write_refusal(&refusal, slot);
            return Ok(());
        }
        let (guard, released) = oneshot::channel();
        spawn_local(send_frames(
            id.0.to_string(),
            id.1,
            sink,
            frames,
            released,
            undelivered,
        ));
        let mut reply = results.get();
        reply.set_accepted(true);
        reply.set_call(new_client(CallGuard { _guard: guard }));
        Ok(())
    }

    async fn load(
        self: Rc<Self>,
        _: schema::companion::LoadParams,
        mut results: schema::companion::LoadResults,
    ) -> Result<(), Error> {
        let handler = self.companion().map_err(|r| Error::failed(r.detail))?;
        convert::write_load(handler.load(), results.get().init_load());
        Ok(())
    }

    async fn order(
        self: Rc<Self>,
        params: schema::companion::OrderParams,
        mut results: schema::companion::OrderResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let order = Order {
            fence: params.get_fence(),
            kind: convert::read_string(params.get_kind())?,
            body: Bytes::copy_from_slice(params.get_body()?),
        };
        let accepted = match self.companion() {
            Ok(handler) => self.run_handler(handler.order(order)).await?,
            Err(refusal) => Err(refusal),
        };
        let mut reply = results.get();
        reply.set_accepted(accepted.is_ok());
        if let Err(refusal) = accepted {
            convert::write_refusal(&refusal, reply.init_refusal());
        }
        Ok(())
    }
}

impl schema::entry::Server for Host {
    async fn pull(
        self: Rc<Self>,
        params: schema::entry::PullParams,
        mut results: schema::entry::PullResults,
    ) -> Result<(), Error> {
        let pull = convert::read_pull(params.get()?.get_pull()?)?;
        let reply = self.run_handler(self.entry()?.pull(pull)).await?;
        convert::write_pull_reply(&reply, results.get().init_reply());
        Ok(())
    }

    async fn results(
        self: Rc<Self>,
        params: schema::entry::ResultsParams,
        mut results: schema::entry::ResultsResults,
    ) -> Result<(), Error> {
        let list = params.get()?.get_results()?;
        convert::check_len(list.len())?;
        let items: Vec<ItemResult> = list
            .iter()
            .map(convert::read_result)
            .collect::<Result<_, _>>()?;
        let accepted = self.run_handler(self.entry()?.results(items)).await?;
        results.get().set_taken(accepted);
        Ok(())
    }

    async fn leaving(
        self: Rc<Self>,
        params: schema::entry::LeavingParams,
        _: schema::entry::LeavingResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let vm = convert::parse_name(params.get_vm())?;
        let incarnation = Incarnation::new(params.get_incarnation());
        self.entry()?.leaving(vm, incarnation);
        Ok(())
    }

    async fn config(
        self: Rc<Self>,
        params: schema::entry::ConfigParams,
        mut results: schema::entry::ConfigResults,
    ) -> Result<(), Error> {
        let have = Revision::new(params.get()?.get_have());
        if let Some(text) = self.entry()?.config(have) {
            let mut reply = results.get();
            reply.set_revision(text.revision.get());
            reply.set_bytes(&text.bytes);
        }
        Ok(())
    }

    async fn compare(
        self: Rc<Self>,
        params: schema::entry::CompareParams,
        mut results: schema::entry::CompareResults,
    ) -> Result<(), Error> {
        let request = params.get()?.get_question()?;
        let request = Bytes::copy_from_slice(request);
        let response =
            self.run_handler(self.entry()?.compare(request)).await?;
        let response = response
            .ok_or_else(|| Error::failed("it compares nothing".to_owned()))?;
        results.get().set_answer(&response);
        Ok(())
    }
}

impl schema::storage::Server for Host {
    async fn put(
        self: Rc<Self>,
        params: schema::storage::PutParams,
        mut results: schema::storage::PutResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let id = convert::read_string(params.get_id())?;
        let blob = StoredBlob {
            bytes: Bytes::copy_from_slice(params.get_bytes()?),
            crc: params.get_crc(),
        };
        let stored = self.run_handler(self.data()?.put(id, blob)).await?;
        let mut reply = results.get();
        reply.set_stored(stored.is_ok());
        if let Err(refusal) = stored {
            convert::write_refusal(&refusal, reply.init_refusal());
        }
        Ok(())
    }

    async fn get(
        self: Rc<Self>,
        params: schema::storage::GetParams,
        mut results: schema::storage::GetResults,
    ) -> Result<(), Error> {
        let id = convert::read_string(params.get()?.get_id())?;
        let found = self.run_handler(self.data()?.get(id)).await?;
        let mut reply = results.get();
        match found {
            Ok(None) => {}
            Ok(Some(blob)) => {
                reply.set_found(true);
                reply.set_bytes(&blob.bytes);
                reply.set_crc(blob.crc);
            }
            Err(refusal) => {
                convert::write_refusal(&refusal, reply.init_refusal());
            }
        }
        Ok(())
    }

    async fn remove(
        self: Rc<Self>,
        params: schema::storage::RemoveParams,
        _: schema::storage::RemoveResults,
    ) -> Result<(), Error> {
        let id = convert::read_string(params.get()?.get_id())?;
        self.run_handler(self.data()?.remove(id)).await
    }

    async fn stat(
        self: Rc<Self>,
        _: schema::storage::StatParams,
        mut results: schema::storage::StatResults,
    ) -> Result<(), Error> {
        let stat = self.run_handler(self.data()?.stat()).await?;
        let mut reply = results.get();
        reply.set_blobs(stat.blobs);
        reply.set_bytes(stat.bytes);
        reply.set_quota_bytes(stat.quota_bytes);
        Ok(())
    }

    async fn list(
        self: Rc<Self>,
        params: schema::storage::ListParams,
        mut results: schema::storage::ListResults,
    ) -> Result<(), Error> {
        let params = params.get()?;
        let after = convert::read_string(params.get_after())?;
        let limit = convert::check_len(params.get_limit())?;
        let ids = self.run_handler(self.data()?.list(after, limit)).await?;
        let mut list = results.get().init_ids(ids.len() as u32);
        for (index, id) in ids.iter().enumerate() {
            list.set(index as u32, id);
        }
        Ok(())
    }
}
