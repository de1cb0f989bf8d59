//! Pulls batch items while the endpoint has room.

use std::{
    collections::HashMap,
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use base::{Class, RequestId};
use bytes::{Bytes, BytesMut};
use obs::{Counter, Series};
use tokio::task::AbortHandle;
use wire::{
    Answer, Links,
    message::{
        Frame, Header, Identity, Item, ItemOutcome, ItemResult, Outcome,
        OutcomeKind, Pull, Request,
    },
};

use crate::{admission::BatchPlace, handler::Shared};

/// Pause after a round in which no entry had work, in milliseconds.
const IDLE_PAUSE_MS: u64 = 200;

/// Longest time without a word to an entry whose items run here.
const RENEW_INTERVAL_MS: u64 = 2_000;

/// Attempts to give an entry a result.
const REPORT_ATTEMPTS_MAX: u32 = 5;

/// Pause between them, in milliseconds.
const REPORT_PAUSE_MS: u64 = 500;

/// A grant of one entry.
type GrantKey = (SocketAddr, u64);

/// Pulls, runs and reports batch items.
pub(crate) struct Puller {
    shared: Arc<Shared>,
    links: Links,
    identity: Identity,
    entries: Vec<SocketAddr>,
    running: Mutex<HashMap<GrantKey, AbortHandle>>,
}

impl Puller {
    pub(crate) fn new(
        shared: Arc<Shared>,
        links: Links,
        identity: Identity,
        entries: Vec<SocketAddr>,
    ) -> Arc<Self> {
        let running = Mutex::default();
        Arc::new(Self {
            shared,
            links,
            identity,
            entries,
            running,
        })
    }

    /// Asks the entries in turn until the process ends.
    pub(crate) async fn work(self: Arc<Self>) {
        if self.entries.is_empty() {
            return;
        }
        // Companions that start together begin at different entries.
        let mut at = rand::random_range(0..self.entries.len());
        let mut idle_rounds = 0;
        loop {
            let room = self.room();
            if room == 0 {
                let timer = &self.shared.timer;
                tokio::select! {
                    () = self.shared.admission.changed() => {}
                    () = timer.subscribe_in_ms(RENEW_INTERVAL_MS) => {
                        self.renew().await;
                    }
                }
                continue;
            }
            let entry = self.entries[at];
            at = (at + 1) % self.entries.len();
            let got = self.clone().pull(entry, room).await;
            idle_rounds = if got > 0 { 0 } else { idle_rounds + 1 };
            if idle_rounds >= self.entries.len() {
                idle_rounds = 0;
                self.shared.timer.subscribe_in_ms(IDLE_PAUSE_MS).await;
            }
        }
    }

    /// Ends all items that run here and gives them back.
    pub(crate) fn give_back_all(&self) {
        for (_, task) in self.running().drain() {
            task.abort();
        }
    }

    fn room(&self) -> u32 {
        if self.shared.is_leaving() || !self.shared.is_up() {
            return 0;
        }
        self.shared.admission.batch_room()
    }

    async fn renew(self: &Arc<Self>) {
        for entry in self.entries.clone() {
            let holds = self.running().keys().any(|(at, _)| *at == entry);
            if holds {
                self.clone().pull(entry, 0).await;
            }
        }
    }

    async fn pull(self: Arc<Self>, entry: SocketAddr, room: u32) -> usize {
        let pull = Pull {
            vm: self.identity.vm.clone(),
            incarnation: self.shared.incarnation,
            models: self.models(),
            room,
            running: self.grants_of(entry),
        };
        let reply = match self.links.pull(entry, pull).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!(error:?, entry:%; "cannot pull");
                return 0;
            }
        };
        for grant in reply.revoked {
            if let Some(task) = self.running().remove(&(entry, grant)) {
                task.abort();
            }
        }
        let got = reply.items.len();
        for item in reply.items {
            self.clone().start(entry, item);
        }
        got
    }

    fn models(&self) -> Vec<String> {
        let models = &self.shared.endpoint.models;
        models
            .iter()
            .map(|model| model.as_str().to_owned())
            .collect()
    }

    fn grants_of(&self, entry: SocketAddr) -> Vec<u64> {
        let running = self.running();
        let own = running.keys().filter(|(at, _)| *at == entry);
        own.map(|(_, grant)| *grant).collect()
    }

    fn start(self: Arc<Self>, entry: SocketAddr, item: Item) {
        let key = (entry, item.grant);
        let place = self.shared.admission.start_batch();
        let puller = self.clone();
        // The lock is held over the spawn, so that the item cannot end
        // before it is noted and then stay noted for good.
        let mut running = self.running();
        let task = tokio::spawn(async move {
            let result = puller.run(item, place).await;
            puller.running().remove(&key);
            puller.report(entry, result).await;
        });
        running.insert(key, task.abort_handle());
    }

    async fn run(&self, item: Item, place: BatchPlace) -> ItemResult {
        let tenant = self.shared.metrics.tenant(&item.tenant);
        let started = self.shared.timer.now();
        tenant.count(Counter::Arrived, Class::Batch, 1);
        let mut result = blank(&item);
        let Some(request) = request(&item, &self.shared) else {
            result.outcome = ItemOutcome::Returned;
            return result;
        };
        let (answer, mut frames) = Answer::channel();
        let client = self.shared.client.clone();
        let call = client.run(request, &answer, || {});
        let read = collect(&mut frames);
        let (_, read) = tokio::join!(call, read);
        drop(place);
        if let Some(read) = read {
            result.outcome = ItemOutcome::Answered;
            result.status = read.status;
            result.body = read.body;
            tenant.count(Counter::Completed, Class::Batch, 1);
        } else {
            tenant.count(Counter::Failed, Class::Batch, 1);
        }
        let ms = self.shared.timer.now().saturating_ms_since(started);
        tenant.record(Series::BatchItemMs, Class::Batch, ms);
        result
    }

    async fn report(&self, entry: SocketAddr, result: ItemResult) {
        for _ in 0..REPORT_ATTEMPTS_MAX {
            let results = vec![result.clone()];
            match self.links.results(entry, results).await {
                Ok(_) => return,
                Err(error) => log::debug!(error:?, entry:%; "cannot report"),
            }
            self.shared.timer.subscribe_in_ms(REPORT_PAUSE_MS).await;
        }
        // The entry is gone; the partition's next owner grants the item
        // again.
        log::warn!(entry:%, job = result.job.as_str(); "a result is dropped");
    }

    fn running(&self) -> MutexGuard<'_, HashMap<GrantKey, AbortHandle>> {
        self.running.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn blank(item: &Item) -> ItemResult {
    ItemResult {
        grant: item.grant,
        partition: item.partition,
        fence: item.fence,
        job: item.job.clone(),
        index: item.index,
        attempt: item.attempt,
        outcome: ItemOutcome::Lost,
        status: 0,
        body: Bytes::new(),
    }
}

fn request(item: &Item, shared: &Shared) -> Option<Request> {
    let id = format!("{}-{}-{}", item.job, item.index, item.attempt);
    let request_id: RequestId = id.parse().ok()?;
    Some(Request {
        request_id,
        attempt: item.attempt,
        tenant: item.tenant.clone(),
        class: Class::Batch,
        method: "POST".to_owned(),
        path: item.path.clone(),
        headers: vec![Header {
            name: "content-type".to_owned(),
            value: "application/json".to_owned(),
        }],
        body: item.body.clone(),
        deadline_ms: 0,
        repeatable: true,
        resume_offset: 0,
        target: shared.endpoint.name.as_str().to_owned(),
    })
}

struct Read {
    status: u16,
    body: Bytes,
}

/// Reads a whole answer; `None` if it is not whole.
async fn collect(
    frames: &mut tokio::sync::mpsc::Receiver<Frame>,
) -> Option<Read> {
    let mut status = 0;
    let mut body = BytesMut::new();
    loop {
        match frames.recv().await? {
            Frame::Head { status: code, .. } => status = code,
            Frame::Chunk { bytes, .. } => body.extend_from_slice(&bytes),
            Frame::End(Outcome {
                kind: OutcomeKind::Complete,
                ..
            }) => {
                return Some(Read {
                    status,
                    body: body.freeze(),
                });
            }
            Frame::End(_) => return None,
        }
    }
}
