//! Pulls batch items while the endpoint has free capacity.

use std::{
    collections::HashSet,
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
    rota::PullSchedule,
};

/// Maximum interval between checks for work to pull, in milliseconds.
const POLL_MS: u64 = 50;

/// Interval between checks for grants to renew, in milliseconds.
const RENEW_CHECK_MS: u64 = 250;

/// Pulls, runs and reports batch items.
pub(crate) struct Puller {
    shared: Arc<Shared>,
    links: Links,
    identity: Identity,
    has_entries: bool,
    schedule: Mutex<PullSchedule>,
    grants: Grants,
    /// Entries with a renewal under way.
    renewing: Mutex<HashSet<SocketAddr>>,
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
            schedule: Mutex::new(PullSchedule::new(entries, first)),
            grants: Grants::default(),
            renewing: Mutex::default(),
            reports,
        })
    }

    /// Pulls work from entries until the process ends.
    pub(crate) async fn run(self: Arc<Self>) {
        if !self.has_entries {
            return;
        }
        loop {
            let wanted = self.wanted();
            let now = self.shared.timer.now();
            let entry = if wanted > 0 {
                self.schedule().next(now)
            } else {
                None
            };
            if let Some(entry) = entry {
                // An entry that does not respond must not block pulls from
                // other entries.
                let pull =
                    tokio::spawn(self.clone().pull_items(entry, wanted));
                tokio::select! {
                    _ = pull => {}
                    () = self.shared.timer.subscribe_in_ms(POLL_MS) => {}
                }
                continue;
            }
            tokio::select! {
                () = self.shared.admission.wait_for_change(),
                    if wanted == 0 => {}
                () = self.shared.timer.subscribe_in_ms(POLL_MS) => {}
            }
        }
    }

    /// Renews grants, even without capacity for more items.
    pub(crate) async fn renew_forever(self: Arc<Self>) {
        loop {
            self.shared.timer.subscribe_in_ms(RENEW_CHECK_MS).await;
            for entry in self.grants.to_renew(self.shared.timer.now()) {
                if self.renewing().insert(entry) {
                    // An entry that does not respond must not delay renewals
                    // at other entries.
                    tokio::spawn(self.clone().renew(entry));
                }
            }
        }
    }

    async fn renew(self: Arc<Self>, entry: SocketAddr) {
        self.pull(entry, 0).await;
        self.renewing().remove(&entry);
    }

    fn renewing(&self) -> MutexGuard<'_, HashSet<SocketAddr>> {
        self.renewing.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Aborts all items that run here.
    pub(crate) fn abort_all(&self) {
        self.grants.abort_all();
        self.reports.close();
    }

    /// Returns whether results are being sent to entries.
    pub(crate) fn is_reporting(&self) -> bool {
        self.reports.is_busy()
    }

    fn wanted(&self) -> u32 {
        if self.shared.is_draining() || !self.shared.is_up() {
            return 0;
        }
        self.shared.admission.batch_wanted()
    }

    async fn pull_items(self: Arc<Self>, entry: SocketAddr, capacity: u32) {
        let reply = self.pull(entry, capacity).await;
        let now = self.shared.timer.now();
        let Some(reply) = reply else {
            self.schedule().record_failure(entry, now);
            return;
        };
        let count = reply.items.len();
        for item in reply.items {
            self.start(entry, item);
        }
        let next_in_ms = reply.next_in_ms;
        let jitter = rand::random();
        self.schedule()
            .record_reply(entry, now, count, next_in_ms, jitter);
    }

    async fn pull(
        &self,
        entry: SocketAddr,
        capacity: u32,
    ) -> Option<PullReply> {
        let running = self.grants.numbers_of(entry);
        let now = self.shared.timer.now();
        let pull = Pull {
            vm: self.identity.vm.clone(),
            incarnation: self.shared.incarnation,
            models: self.models(),
            capacity,
            running: running.clone(),
        };
        let reply = match self.links.pull(entry, pull).await {
            Ok(reply) => reply,
            Err(error) => {
                log::debug!(error:?, entry:%; "cannot pull items");
                return None;
            }
        };
        self.grants.mark_renewed(entry, &running, now);
        for &grant in &reply.revoked {
            log::info!(entry:%, grant; "a grant is revoked; its item ends");
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
        let gate_call = item::admit(&self.shared, &item);
        let ttl_ms = u64::from(item.expires_in_ms);
        let puller = self.clone();
        let now = self.shared.timer.now();
        self.grants.start(key, ttl_ms, now, || {
            let task = tokio::spawn(async move {
                let result = item::run(&puller.shared, item, gate_call).await;
                let now = puller.shared.timer.now();
                let expires_at = puller.grants.remove(key, now);
                puller.reports.send(entry, result, expires_at);
            });
            task.abort_handle()
        });
    }

    fn schedule(&self) -> MutexGuard<'_, PullSchedule> {
        self.schedule.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
