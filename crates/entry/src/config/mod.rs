//! The active configuration and how it is changed.
//!
//! A configuration is accepted by one compare-and-swap in the key-value
//! service. Its revision is one higher than its predecessor's; a process
//! never applies a lower revision, from any source.
//!
//! The crate `spread` decides how a configuration propagates. A few entries
//! watch the key-value service ([`follow`]); the others receive changes from
//! peers and compare revisions with them ([`peers`]).

mod follow;
mod peers;

use std::sync::{
    Arc, Mutex, MutexGuard, PoisonError,
    atomic::{AtomicU64, Ordering},
};

use base::{Millis, Revision, Snapshot, UnixMillis, timer::Timer};
use error_stack::{Report, ResultExt};
use kv::{
    Compare, KeyValue, Kv, Op, Txn,
    ops::{Outcome, ReadBack, Writer},
};
use rules::{CompiledConfig, Config};
use serde::{Deserialize, Serialize};
use spread::{Action, Document, Event, Message, Propagator, Stamp};
use tokio::sync::{Notify, mpsc, watch};

use self::follow::Change;
pub(crate) use self::peers::{ConfigPeers, encode_for_peer};
use crate::{EntryError, batch::platform};

/// Name of the configuration document in error messages.
const SOURCE_NAME: &str = "configuration";

/// Accepted revisions whose full text is retained. At 7,000 changes a day of
/// a few hundred kilobytes each, retaining all of them would add gigabytes a
/// day to a small key-value service.
const MAX_HISTORY: u64 = 200;

/// Time for resolving a write whose response was lost, in milliseconds.
const RESOLVE_WRITE_MS: u64 = 10_000;

/// Changes retained in the key-value service for lagging watches.
const MAX_CHANGES: u64 = 256;

/// An accepted configuration in its stored form.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Accepted {
    pub(crate) revision: Revision,
    pub(crate) text: String,
    pub(crate) accepted: UnixMillis,
    /// Identifies the write, so that its effect is recognised when the
    /// response was lost.
    pub(crate) operation: String,
}

impl Accepted {
    fn stamp(&self) -> Stamp {
        Stamp {
            accepted: self.accepted,
            operation: self.operation.clone(),
        }
    }
}

impl From<&Document> for Accepted {
    fn from(document: &Document) -> Self {
        let stamp = document.stamp();
        Self {
            revision: document.revision(),
            text: document.text(),
            accepted: stamp.accepted,
            operation: stamp.operation.clone(),
        }
    }
}

/// A compiled configuration that is in force.
#[derive(Debug)]
pub(crate) struct ActiveConfig {
    pub(crate) accepted: Accepted,
    pub(crate) compiled: CompiledConfig,
    pub(crate) since: Millis,
}

/// The result of an edit.
#[derive(Debug)]
pub(crate) enum EditOutcome {
    /// The edit is accepted as this revision.
    Accepted(Revision),
    /// A concurrent edit was accepted first.
    Conflict(Box<Accepted>),
    /// The text is not valid.
    Invalid(Report<rules::RulesError>),
}

/// A message to a peer.
pub(crate) type Outgoing = (std::net::SocketAddr, Box<Message>);

/// This entry's role and counters in configuration propagation.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PropagationStatus {
    /// Whether this entry watches the key-value service.
    pub(crate) is_relay: bool,
    /// The newest revision known to exist.
    pub(crate) newest_known: Revision,
    /// How often a peer had a different text for the same revision.
    pub(crate) conflicts: u64,
    /// Calls made to the key-value service to follow the configuration.
    pub(crate) kv_calls: u64,
}

/// Holds the configuration in force in this process.
pub(crate) struct ConfigStore {
    kv: Arc<dyn Kv>,
    prefix: String,
    timer: Timer,
    writer: Writer,
    current: Snapshot<Option<Arc<ActiveConfig>>>,
    /// `None` until this entry has joined its peers. Never locked across an
    /// await.
    joined: Mutex<Option<Joined>>,
    relay: watch::Sender<bool>,
    /// Requests a read of the configuration from the key-value service.
    read_requested: Notify,
    /// Full reads and watches started at the key-value service.
    kv_calls: AtomicU64,
}

struct Joined {
    propagator: Propagator,
    outgoing: mpsc::UnboundedSender<Outgoing>,
}

impl ConfigStore {
    pub(crate) fn new(kv: Arc<dyn Kv>, prefix: &str, timer: Timer) -> Self {
        Self {
            kv,
            prefix: format!("{prefix}config/"),
            writer: Writer::new(timer.clone(), RESOLVE_WRITE_MS),
            timer,
            current: Snapshot::new(None),
            joined: Mutex::new(None),
            relay: watch::Sender::new(false),
            read_requested: Notify::new(),
            kv_calls: AtomicU64::new(0),
        }
    }

    /// Joins configuration propagation and returns the queue of messages to
    /// send.
    pub(crate) fn join(
        &self,
        propagator: Propagator,
    ) -> mpsc::UnboundedReceiver<Outgoing> {
        let (outgoing, receiver) = mpsc::unbounded_channel();
        *self.joined() = Some(Joined {
            propagator,
            outgoing,
        });
        self.read_requested.notify_one();
        receiver
    }

    fn joined(&self) -> MutexGuard<'_, Option<Joined>> {
        // The state is consistent after each event, so a lock poisoned by a
        // panic elsewhere can still be used.
        self.joined.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Handles an event, carries out the resulting actions and returns the
    /// response if the event is a request. Events before [`Self::join`] are
    /// ignored.
    pub(crate) fn handle(&self, event: Event) -> Option<Message> {
        let now = self.timer.now();
        let mut reply = None;
        let mut documents = Vec::new();
        if let Some(joined) = self.joined().as_mut() {
            let random = rand::random();
            for action in joined.propagator.handle(now, event, random) {
                match action {
                    Action::Apply(document) => documents.push(document),
                    Action::Send { peer, message } => {
                        // Fails only while the entry shuts down.
                        let _ = joined.outgoing.send((peer, message));
                    }
                    Action::Reply(message) => reply = Some(*message),
                    Action::Watch(watch) => {
                        self.relay.send_replace(watch);
                    }
                    Action::Read => self.read_requested.notify_one(),
                }
            }
        }
        // Compiling is slow, so it runs without the lock; of two concurrent
        // revisions, `apply` drops the older.
        for document in documents {
            if let Err(report) = self.apply(Accepted::from(&document)) {
                log::error!(error:? = report; "a revision is not applied");
            }
        }
        reply
    }

    /// Returns this entry's role and counters in configuration propagation.
    pub(crate) fn propagation_status(&self) -> PropagationStatus {
        let kv_calls = self.kv_calls.load(Ordering::Relaxed);
        let joined = self.joined();
        joined
            .as_ref()
            .map_or_else(PropagationStatus::default, |joined| {
                PropagationStatus {
                    kv_calls,
                    is_relay: joined.propagator.is_relay(),
                    newest_known: joined.propagator.newest_known(),
                    conflicts: joined.propagator.conflicts(),
                }
            })
    }

    /// Returns the configuration in force, or `None` before the first one is
    /// found.
    pub(crate) fn current(&self) -> Option<Arc<ActiveConfig>> {
        self.current.load().as_ref().clone()
    }

    /// Returns the revision in force, or 0 before the first one.
    pub(crate) fn revision(&self) -> Revision {
        let none = Revision::default();
        self.current().map_or(none, |now| now.accepted.revision)
    }

    /// Applies a configuration unless the same or a newer revision is in
    /// force.
    ///
    /// A lagging peer, a reconnected watch or a restored value can offer an
    /// old configuration after a newer one was in force; applying it would
    /// undo an accepted change that nobody reverted.
    pub(crate) fn apply(
        &self,
        accepted: Accepted,
    ) -> Result<bool, Report<EntryError>> {
        if accepted.revision <= self.revision() {
            return Ok(false);
        }
        let compiled = Config::parse(SOURCE_NAME, &accepted.text)
            .change_context(EntryError::Config)
            .attach_with(|| format!("revision {}", accepted.revision))?
            .compile(accepted.revision);
        let since = self.timer.now();
        let revision = accepted.revision;
        let candidate = Arc::new(ActiveConfig {
            accepted,
            compiled,
            since,
        });
        let mut applied = false;
        self.current.update(|now| {
            let known = now.as_ref().map(|now| now.accepted.revision);
            applied = known < Some(revision);
            match applied {
                true => Some(candidate.clone()),
                false => now.clone(),
            }
        });
        if applied {
            log::info!(revision = revision.get(); "configuration in force");
        }
        Ok(applied)
    }

    /// Accepts a text as the successor of the revision `expect`.
    ///
    /// # Errors
    ///
    /// [`EntryError::Unknown`] if the outcome of the write is unknown;
    /// the same edit can be sent again with the same operation id.
    pub(crate) async fn edit(
        &self,
        expect: Revision,
        operation: String,
        text: String,
    ) -> Result<EditOutcome, Report<EntryError>> {
        if let Err(report) = Config::parse(SOURCE_NAME, &text) {
            return Ok(EditOutcome::Invalid(report));
        }
        let read = self.kv.get(&self.main_key()).await.map_err(platform)?;
        let found = read.kvs.first();
        let now = self.newest(found.map(decode).transpose()?);
        let revision = now.as_ref().map_or(0, |now| now.revision.get());
        if let Some(now) = now.filter(|now| now.revision != expect) {
            // The response to an earlier send of this edit may have been
            // lost, and later edits may have followed. So the revision
            // that this edit would have is compared; comparing the text
            // rules out a reused operation id.
            let next = Revision::new(expect.get() + 1);
            let own = match now.revision == next {
                true => Some(now.clone()),
                false => self.get_revision(next).await?,
            };
            let is_own = own.is_some_and(|own| {
                own.operation == operation && own.text == text
            });
            return Ok(match is_own {
                true => EditOutcome::Accepted(next),
                false => EditOutcome::Conflict(Box::new(now)),
            });
        }
        let next = Accepted {
            revision: Revision::new(revision + 1),
            text,
            accepted: self.timer.clock().unix(),
            operation,
        };
        let mod_revision = found.map_or(0, |kv| kv.mod_revision);
        self.write_accepted(next, mod_revision).await
    }

    /// Returns the newer of the stored configuration and the one in force.
    ///
    /// The stored one is older only if the data of the key-value service was
    /// restored from an old copy. An edit then builds on the configuration
    /// in force, and its write repairs the stored value.
    fn newest(&self, stored: Option<Accepted>) -> Option<Accepted> {
        let in_force = self.current().map(|now| now.accepted.clone());
        match (stored, in_force) {
            (Some(stored), Some(now)) if now.revision > stored.revision => {
                Some(now)
            }
            (stored, in_force) => stored.or(in_force),
        }
    }

    async fn write_accepted(
        &self,
        next: Accepted,
        mod_revision: u64,
    ) -> Result<EditOutcome, Report<EntryError>> {
        let value =
            serde_json::to_vec(&next).change_context(EntryError::Config)?;
        let change = Change {
            revision: next.revision,
            delta: self.joined().as_ref().and_then(|joined| {
                let propagator = &joined.propagator;
                propagator.delta_for_edit(
                    next.revision,
                    &next.text,
                    next.stamp(),
                )
            }),
        };
        let change =
            serde_json::to_vec(&change).change_context(EntryError::Config)?;
        let key = self.main_key();
        let put = |key: String, value: &[u8]| Op::Put {
            key,
            value: value.to_vec(),
            lease: None,
        };
        let oldest_change = next.revision.get().saturating_sub(MAX_CHANGES);
        let oldest_revision = next.revision.get().saturating_sub(MAX_HISTORY);
        let txn = Txn {
            compares: vec![Compare::ModRevision {
                key: key.clone(),
                equals: mod_revision,
            }],
            success: vec![
                put(key.clone(), &value),
                put(self.history_key(next.revision), &value),
                put(self.change_key(next.revision), &change),
                Op::Delete {
                    key: self.change_key(Revision::new(oldest_change)),
                },
                Op::Delete {
                    key: self.history_key(Revision::new(oldest_revision)),
                },
            ],
            failure: vec![],
        };
        let outcome = self
            .writer
            .commit(
                self.kv.as_ref(),
                txn,
                Op::Get { key },
                |_| (),
                |read| {
                    resolve_write(
                        read.kvs.first(),
                        mod_revision,
                        &next.operation,
                    )
                },
                rand::random,
            )
            .await
            .map_err(platform)
            .attach("writing an accepted configuration")?;
        if outcome == Outcome::Applied(()) {
            let revision = next.revision;
            self.apply(next.clone())?;
            self.handle(Event::EditAccepted {
                revision,
                stamp: next.stamp(),
                text: next.text,
            });
            return Ok(EditOutcome::Accepted(revision));
        }
        let read = self.kv.get(&self.main_key()).await.map_err(platform)?;
        let found = read.kvs.first().ok_or(EntryError::Config)?;
        Ok(EditOutcome::Conflict(Box::new(decode(found)?)))
    }

    /// Returns the newest accepted revisions, newest first.
    pub(crate) async fn history(
        &self,
        limit: usize,
    ) -> Result<Vec<Accepted>, Report<EntryError>> {
        let prefix = format!("{}history/", self.prefix);
        let read = self.kv.get_prefix(&prefix, 0).await.map_err(platform)?;
        read.kvs.iter().rev().take(limit).map(decode).collect()
    }

    /// Returns one accepted revision.
    pub(crate) async fn get_revision(
        &self,
        revision: Revision,
    ) -> Result<Option<Accepted>, Report<EntryError>> {
        let key = self.history_key(revision);
        let read = self.kv.get(&key).await.map_err(platform)?;
        read.kvs.first().map(decode).transpose()
    }

    fn main_key(&self) -> String {
        format!("{}main", self.prefix)
    }

    fn changes_prefix(&self) -> String {
        format!("{}change/", self.prefix)
    }

    fn change_key(&self, revision: Revision) -> String {
        format!("{}{:016}", self.changes_prefix(), revision.get())
    }

    fn history_key(&self, revision: Revision) -> String {
        format!("{}history/{:016}", self.prefix, revision.get())
    }
}

fn resolve_write(
    now: Option<&KeyValue>,
    mod_revision: u64,
    operation: &str,
) -> ReadBack<()> {
    match now {
        Some(now) if now.mod_revision == mod_revision => ReadBack::Undecided,
        Some(now) => match decode(now) {
            Ok(found) if found.operation == operation => ReadBack::Applied(()),
            _ => ReadBack::Superseded,
        },
        None if mod_revision == 0 => ReadBack::Undecided,
        None => ReadBack::Superseded,
    }
}

fn decode(found: &KeyValue) -> Result<Accepted, Report<EntryError>> {
    serde_json::from_slice(&found.value)
        .change_context(EntryError::Config)
        .attach_with(|| format!("cannot decode the value at {}", found.key))
}

/// Returns the stored value of an initial configuration, for the demo and
/// for tests that write it without an entry.
///
/// # Errors
///
/// [`EntryError::Config`] if the text is not valid.
pub fn first_configuration(text: &str) -> Result<Vec<u8>, Report<EntryError>> {
    Config::parse(SOURCE_NAME, text).change_context(EntryError::Config)?;
    let accepted = Accepted {
        revision: Revision::new(1),
        text: text.to_owned(),
        accepted: UnixMillis::default(),
        operation: "first".to_owned(),
    };
    serde_json::to_vec(&accepted).change_context(EntryError::Config)
}

/// Returns the keys that an initial configuration is written to, under the
/// key prefix from the settings.
pub fn configuration_keys(prefix: &str) -> [String; 2] {
    [
        format!("{prefix}config/main"),
        format!("{prefix}config/history/{:016}", 1),
    ]
}
