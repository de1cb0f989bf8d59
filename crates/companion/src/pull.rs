//! Pulls batch items while the endpoint has room.

use std::{
    net::SocketAddr,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
};

use wire::{
    Links,
    message::{Identity, Item, Pull, PullReply},
};

use crate::{
    grants::{GrantKey, Grants},
    handler::Shared,
    item,
    report::Reports,
    rota::Rota,
};

/// Longest time without a look at what could be pulled, in milliseconds.
const LOOK_MS: u64 = 50;

/// Time between looks for grants to renew, in milliseconds.
const RENEW_LOOK_MS: u64 = 250;

/// Pulls, runs and reports batch items.
pub(crate) struct Puller {
    shared: Arc<Shared>,
    links: Links,
    identity: Identity,
    has_entries: bool,
    rota: Mutex<Rota>,
    grants: Grants,
    reports: Arc<Reports>,
}

impl Puller {
    pub(crate) fn new(
        shared: Arc<Shared>,
        links: Links,
        identity: Identity,
        entries: &[SocketAddr],
    ) -> Arc<Self> {
        let reports = Reports::new(links.clone(), shared.timer.clone());
        let first = rand::random_range(0..entries.len().max(1));
        Arc::new(Self {
            shared,
            links,
            identity,
            has_entries: !entries.is_empty(),
            rota: Mutex::new(Rota::new(entries, first)),
            grants: Grants::default(),
            reports,
        })
    }

    /// Asks entries for work until the process ends.
    pub(crate) async fn work(self: Arc<Self>) {
        if !self.has_entries {
            return;
        }
        loop {
            let wanted = self.wanted();
            let now = self.shared.timer.now();
            let entry = if wanted > 0 {
                self.rota().next(now)
            } else {
                None
            };
            if let Some(entry) = entry {
                // A silent entry must not keep the others from being asked.
                let pull = tokio::spawn(self.clone().ask(entry, wanted));
                tokio::select! {
                    _ = pull => {}
                    () = self.shared.timer.subscribe_in_ms(LOOK_MS) => {}
                }
                continue;
            }
            tokio::select! {
                () = self.shared.admission.changed(), if wanted == 0 => {}
                () = self.shared.timer.subscribe_in_ms(LOOK_MS) => {}
            }
        }
    }

    /// Renews grants, whether or not there is room for more.
    pub(crate) async fn renew_forever(self: Arc<Self>) {
        loop {
            self.shared.timer.subscribe_in_ms(RENEW_LOOK_MS).await;
            let entries = self.grants.to_renew(self.shared.timer.now());
            let renewals = entries.iter().map(|entry| self.pull(*entry, 0));
            futures::future::join_all(renewals).await;
        }
    }

    /// Ends all items that run here.
    pub(crate) fn abort_all(&self) {
        self.grants.abort_all();
        self.reports.close();
    }

    /// Tells whether results are on their way to entries.
    pub(crate) fn is_reporting(&self) -> bool {
        self.reports.is_busy()
    }

    fn wanted(&self) -> u32 {
        if self.shared.is_leaving() || !self.shared.is_up() {
            return 0;
        }
        self.shared.admission.batch_wanted()
    }

    async fn ask(self: Arc<Self>, entry: SocketAddr, room: u32) {
        let reply = self.pull(entry, room).await;
        let now = self.shared.timer.now();
        let Some(reply) = reply else {
            self.rota().silent(entry, now);
            return;
        };
        let count = reply.items.len();
        for item in reply.items {
            self.start(entry, item);
        }
        let next_in_ms = reply.next_in_ms;
        let jitter = rand::random();
        self.rota().answered(entry, now, count, next_in_ms, jitter);
    }

    async fn pull(&self, entry: SocketAddr, room: u32) -> Option<PullReply> {
        let running = self.grants.of(entry);
        let now = self.shared.timer.now();
        let pull = Pull {
            vm: self.identity.vm.clone(),
            incarnation: self.shared.incarnation,
            models: self.models(),
            room,
            running: running.clone(),
        };
        let reply = match self.links.pull(entry, pull).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!(error:?, entry:%; "cannot pull");
                return None;
            }
        };
        self.grants.renewed(entry, &running, now);
        for &grant in &reply.revoked {
            self.grants.revoke(GrantKey { entry, grant });
        }
        Some(reply)
    }

    fn models(&self) -> Vec<String> {
        let models = &self.shared.endpoint.models;
        models
            .iter()
            .map(|model| model.as_str().to_owned())
            .collect()
    }

    fn start(self: &Arc<Self>, entry: SocketAddr, item: Item) {
        let key = GrantKey {
            entry,
            grant: item.grant,
        };
        let place = item::offer(&self.shared, &item);
        let ttl_ms = u64::from(item.expires_in_ms);
        let puller = self.clone();
        let now = self.shared.timer.now();
        self.grants.start(key, ttl_ms, now, || {
            let task = tokio::spawn(async move {
                let result = item::run(&puller.shared, item, place).await;
                let now = puller.shared.timer.now();
                let until = puller.grants.end(key, now);
                puller.reports.send(entry, result, until);
            });
            task.abort_handle()
        });
    }

    fn rota(&self) -> MutexGuard<'_, Rota> {
        self.rota.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
