//! The configuration: what is in force here, and how it changes.
//!
//! A configuration is accepted by one compare-and-swap in the key-value
//! service. Each has a revision of its own, one higher than the last; a
//! process never applies a lower one, whoever offers it.
//!
//! How it spreads is decided by the crate `spread`. Few entries watch the
//! service ([`follow`]); the others are told by neighbours and compare with
//! them ([`neighbours`]).

mod follow;
mod neighbours;

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
pub(crate) use self::neighbours::{Neighbours, to_neighbour};
use crate::{EntryError, batch::platform};

/// Name of the document in errors.
const SOURCE_NAME: &str = "configuration";

/// Accepted revisions that are kept whole. At 7,000 changes a day of a few
/// hundred kilobytes each, keeping all would add gigabytes a day to a small
/// service.
const HISTORY_KEPT: u64 = 200;

/// How long a write whose answer was lost is followed up, in milliseconds.
const FOLLOW_UP_MS: u64 = 10_000;

/// Changes kept at the service for watches that lag.
const CHANGES_KEPT: u64 = 256;

/// An accepted configuration as it is kept.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Accepted {
    pub(crate) revision: Revision,
    pub(crate) text: String,
    pub(crate) accepted: UnixMillis,
    /// Names the write, so that one whose answer was lost is recognised.
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

/// A configuration in force.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) accepted: Accepted,
    pub(crate) compiled: CompiledConfig,
    pub(crate) since: Millis,
}

/// What came of an edit.
#[derive(Debug)]
pub(crate) enum Edit {
    /// It is accepted as this revision.
    Accepted(Revision),
    /// Somebody else's edit came first.
    Raced(Box<Accepted>),
    /// The text is not valid.
    Invalid(Report<rules::RulesError>),
}

/// A message for a neighbour.
pub(crate) type Outgoing = (std::net::SocketAddr, Box<Message>);

/// How this entry takes part in spreading.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Part {
    /// It watches the service.
    pub(crate) is_relay: bool,
    /// The newest revision that it has heard of.
    pub(crate) heard: Revision,
    /// How often another had another text as the same revision.
    pub(crate) conflicts: u64,
    /// Calls at the service to follow the configuration, so far.
    pub(crate) service_calls: u64,
}

/// The configuration in force at this process.
pub(crate) struct ConfigStore {
    kv: Arc<dyn Kv>,
    prefix: String,
    timer: Timer,
    writer: Writer,
    current: Snapshot<Option<Arc<InForce>>>,
    /// `None` until this entry has joined its neighbours. Never locked over
    /// a wait.
    spread: Mutex<Option<Joined>>,
    relay: watch::Sender<bool>,
    /// Asks for a look at the service.
    look: Notify,
    /// Looks at the whole and watches begun at the service.
    service_calls: AtomicU64,
}

struct Joined {
    spread: Propagator,
    outgoing: mpsc::UnboundedSender<Outgoing>,
}

impl ConfigStore {
    pub(crate) fn new(kv: Arc<dyn Kv>, prefix: &str, timer: Timer) -> Self {
        Self {
            kv,
            prefix: format!("{prefix}config/"),
            writer: Writer::new(timer.clone(), FOLLOW_UP_MS),
            timer,
            current: Snapshot::new(None),
            spread: Mutex::new(None),
            relay: watch::Sender::new(false),
            look: Notify::new(),
            service_calls: AtomicU64::new(0),
        }
    }

    /// Takes part in spreading; returns what is to be sent.
    pub(crate) fn join(
        &self,
        spread: Propagator,
    ) -> mpsc::UnboundedReceiver<Outgoing> {
        let (outgoing, receiver) = mpsc::unbounded_channel();
        *self.joined() = Some(Joined { spread, outgoing });
        self.look.notify_one();
        receiver
    }

    fn joined(&self) -> MutexGuard<'_, Option<Joined>> {
        // The state is whole after each event; a panic elsewhere while it
        // was held does not make it less so.
        self.spread.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Takes an event and does what follows from it; returns the answer if
    /// the event is a question. Nothing happens before this entry has
    /// joined.
    pub(crate) fn handle(&self, event: Event) -> Option<Message> {
        let now = self.timer.now();
        let mut reply = None;
        let mut found = Vec::new();
        if let Some(joined) = self.joined().as_mut() {
            let random = rand::random();
            for action in joined.spread.handle(now, event, random) {
                match action {
                    Action::Apply(document) => found.push(document),
                    Action::Send { peer, message } => {
                        // Fails only while the entry stops.
                        let _ = joined.outgoing.send((peer, message));
                    }
                    Action::Reply(message) => reply = Some(*message),
                    Action::Watch(watch) => {
                        self.relay.send_replace(watch);
                    }
                    Action::Read => self.look.notify_one(),
                }
            }
        }
        // Compiling takes a while, so it is done without the lock; of two
        // that come here at once, the older is dropped by `offer`.
        for document in found {
            if let Err(report) = self.offer(Accepted::from(&document)) {
                log::error!(error:? = report; "a revision is not applied");
            }
        }
        reply
    }

    /// Returns how this entry takes part in spreading.
    pub(crate) fn part(&self) -> Part {
        let service_calls = self.service_calls.load(Ordering::Relaxed);
        let joined = self.joined();
        joined.as_ref().map_or_else(Part::default, |joined| Part {
            service_calls,
            is_relay: joined.spread.is_relay(),
            heard: joined.spread.newest_known(),
            conflicts: joined.spread.conflicts(),
        })
    }

    /// Returns what is in force; `None` before the first was found.
    pub(crate) fn current(&self) -> Option<Arc<InForce>> {
        self.current.load().as_ref().clone()
    }

    /// Returns the revision in force, 0 before the first.
    pub(crate) fn revision(&self) -> Revision {
        let none = Revision::default();
        self.current().map_or(none, |now| now.accepted.revision)
    }

    /// Puts a configuration in force unless a newer one is.
    ///
    /// A lagging peer, a reconnected watch or a restored value can offer an
    /// old configuration after a newer one was in force; applying it would
    /// undo an accepted change without anybody having asked for that.
    pub(crate) fn offer(
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
        let offered = Arc::new(InForce {
            accepted,
            compiled,
            since,
        });
        let mut applied = false;
        self.current.update(|now| {
            let known = now.as_ref().map(|now| now.accepted.revision);
            applied = known < Some(revision);
            match applied {
                true => Some(offered.clone()),
                false => now.clone(),
            }
        });
        if applied {
            log::info!(revision = revision.get(); "configuration in force");
        }
        Ok(applied)
    }

    /// Accepts a text as the successor of revision `expect`.
    ///
    /// # Errors
    ///
    /// [`EntryError::Unknown`] if it may or may not be accepted; the same
    /// edit with the same operation id can be sent again.
    pub(crate) async fn edit(
        &self,
        expect: Revision,
        operation: String,
        text: String,
    ) -> Result<Edit, Report<EntryError>> {
        if let Err(report) = Config::parse(SOURCE_NAME, &text) {
            return Ok(Edit::Invalid(report));
        }
        let read = self.kv.get(&self.main_key()).await.map_err(platform)?;
        let found = read.kvs.first();
        let now = self.newest(found.map(parse).transpose()?);
        let revision = now.as_ref().map_or(0, |now| now.revision.get());
        if let Some(now) = now.filter(|now| now.revision != expect) {
            // The answer to the first copy of this edit may have been lost.
            // Others may have come after it, so it is looked for where it
            // must be; the text tells it from a reused operation id.
            let next = Revision::new(expect.get() + 1);
            let own = match now.revision == next {
                true => Some(now.clone()),
                false => self.at(next).await?,
            };
            let is_own = own.is_some_and(|own| {
                own.operation == operation && own.text == text
            });
            return Ok(match is_own {
                true => Edit::Accepted(next),
                false => Edit::Raced(Box::new(now)),
            });
        }
        let next = Accepted {
            revision: Revision::new(revision + 1),
            text,
            accepted: self.timer.clock().unix(),
            operation,
        };
        let mod_revision = found.map_or(0, |kv| kv.mod_revision);
        self.accept(next, mod_revision).await
    }

    /// Returns the newer of what the service holds and what is in force.
    ///
    /// They differ in that order only if the service's data was restored
    /// from an old copy. An edit then goes on from what is in force, and its
    /// write heals the service.
    fn newest(&self, held: Option<Accepted>) -> Option<Accepted> {
        let in_force = self.current().map(|now| now.accepted.clone());
        match (held, in_force) {
            (Some(held), Some(now)) if now.revision > held.revision => {
                Some(now)
            }
            (held, in_force) => held.or(in_force),
        }
    }

    async fn accept(
        &self,
        next: Accepted,
        mod_revision: u64,
    ) -> Result<Edit, Report<EntryError>> {
        let value =
            serde_json::to_vec(&next).change_context(EntryError::Config)?;
        let change = Change {
            revision: next.revision,
            delta: self.joined().as_ref().and_then(|joined| {
                let spread = &joined.spread;
                spread.delta_for_edit(next.revision, &next.text, next.stamp())
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
        let past = next.revision.get().saturating_sub(CHANGES_KEPT);
        let too_old = next.revision.get().saturating_sub(HISTORY_KEPT);
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
                    key: self.change_key(Revision::new(past)),
                },
                Op::Delete {
                    key: self.history_key(Revision::new(too_old)),
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
                |read| judge(read.kvs.first(), mod_revision, &next.operation),
                rand::random,
            )
            .await
            .map_err(platform)
            .attach("accepting a configuration")?;
        if outcome == Outcome::Applied(()) {
            let revision = next.revision;
            self.offer(next.clone())?;
            self.handle(Event::EditAccepted {
                revision,
                stamp: next.stamp(),
                text: next.text,
            });
            return Ok(Edit::Accepted(revision));
        }
        let read = self.kv.get(&self.main_key()).await.map_err(platform)?;
        let found = read.kvs.first().ok_or(EntryError::Config)?;
        Ok(Edit::Raced(Box::new(parse(found)?)))
    }

    /// Returns the newest accepted revisions, newest first.
    pub(crate) async fn history(
        &self,
        limit: usize,
    ) -> Result<Vec<Accepted>, Report<EntryError>> {
        let prefix = format!("{}history/", self.prefix);
        let read = self.kv.get_prefix(&prefix, 0).await.map_err(platform)?;
        read.kvs.iter().rev().take(limit).map(parse).collect()
    }

    /// Returns one accepted revision.
    pub(crate) async fn at(
        &self,
        revision: Revision,
    ) -> Result<Option<Accepted>, Report<EntryError>> {
        let key = self.history_key(revision);
        let read = self.kv.get(&key).await.map_err(platform)?;
        read.kvs.first().map(parse).transpose()
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

fn judge(
    now: Option<&KeyValue>,
    mod_revision: u64,
    operation: &str,
) -> ReadBack<()> {
    match now {
        Some(now) if now.mod_revision == mod_revision => ReadBack::Undecided,
        Some(now) => match parse(now) {
            Ok(found) if found.operation == operation => ReadBack::Applied(()),
            _ => ReadBack::Superseded,
        },
        None if mod_revision == 0 => ReadBack::Undecided,
        None => ReadBack::Superseded,
    }
}

fn parse(found: &KeyValue) -> Result<Accepted, Report<EntryError>> {
    serde_json::from_slice(&found.value)
        .change_context(EntryError::Config)
        .attach_with(|| format!("the value at {} is broken", found.key))
}

/// Returns the value of a first configuration, for the demo and for tests
/// that write it without an entry.
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

/// Returns the keys that a first configuration is written to, under the
/// prefix of the settings.
pub fn configuration_keys(prefix: &str) -> [String; 2] {
    [
        format!("{prefix}config/main"),
        format!("{prefix}config/history/{:016}", 1),
    ]
}
