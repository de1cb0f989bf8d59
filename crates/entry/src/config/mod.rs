//! The configuration: what is in force here, and how it changes.
//!
//! A configuration is accepted by one compare-and-swap in the key-value
//! service. Each has a revision of its own, one higher than the last; a
//! process never applies a lower one, whoever offers it.

mod neighbours;

use std::sync::Arc;

use base::{Millis, Revision, Snapshot, UnixMillis, timer::Timer};
use error_stack::{Report, ResultExt};
use kv::{
    Compare, Event, KeyValue, Kv, Op, Txn,
    ops::{Outcome, Verdict, Writer},
};
use rules::{Compiled, Config};
use serde::{Deserialize, Serialize};

pub(crate) use self::neighbours::{Neighbours, to_neighbour};
use crate::{EntryError, batch::platform};

/// Name of the document in errors.
const SOURCE_NAME: &str = "configuration";

/// How long a write whose answer was lost is followed up, in milliseconds.
const FOLLOW_UP_MS: u64 = 10_000;

/// Pause before a broken watch is started again, in milliseconds.
const WATCH_PAUSE_MS: u64 = 500;

/// An accepted configuration as it is kept.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub(crate) struct Accepted {
    pub(crate) revision: Revision,
    pub(crate) text: String,
    pub(crate) accepted: UnixMillis,
    /// Names the write, so that one whose answer was lost is recognised.
    pub(crate) operation: String,
}

/// A configuration in force.
#[derive(Debug)]
pub(crate) struct InForce {
    pub(crate) accepted: Accepted,
    pub(crate) compiled: Compiled,
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

/// The configuration in force at this process.
pub(crate) struct ConfigStore {
    kv: Arc<dyn Kv>,
    prefix: String,
    timer: Timer,
    writer: Writer,
    current: Snapshot<Option<Arc<InForce>>>,
}

impl ConfigStore {
    pub(crate) fn new(kv: Arc<dyn Kv>, prefix: &str, timer: Timer) -> Self {
        Self {
            kv,
            prefix: format!("{prefix}config/"),
            writer: Writer::new(timer.clone(), FOLLOW_UP_MS),
            timer,
            current: Snapshot::new(None),
        }
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

    /// Follows the service until the process ends.
    pub(crate) async fn follow(&self) {
        loop {
            if let Err(report) = self.watch().await {
                log::debug!(error:? = report; "the watch has ended");
            }
            self.timer.subscribe_in_ms(WATCH_PAUSE_MS).await;
        }
    }

    async fn watch(&self) -> Result<(), Report<EntryError>> {
        let read = self.kv.get(&self.main_key()).await.map_err(platform)?;
        if let Some(found) = read.kvs.first() {
            self.offer(parse(found)?)?;
        }
        let from = read.revision + 1;
        let mut watcher = self
            .kv
            .watch(&self.main_key(), from)
            .await
            .map_err(platform)?;
        loop {
            let batch = watcher.next().await.map_err(platform)?;
            for event in batch.events {
                if let Event::Put(found) = event {
                    self.offer(parse(&found)?)?;
                }
            }
        }
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
        let key = self.main_key();
        let put = |key: String| Op::Put {
            key,
            value: value.clone(),
            lease: None,
        };
        let txn = Txn {
            compares: vec![Compare::ModRevision {
                key: key.clone(),
                equals: mod_revision,
            }],
            success: vec![
                put(key.clone()),
                put(self.history_key(next.revision)),
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
        if outcome == Outcome::Done(()) {
            let revision = next.revision;
            self.offer(next)?;
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

    fn history_key(&self, revision: Revision) -> String {
        format!("{}history/{:016}", self.prefix, revision.get())
    }
}

fn judge(
    now: Option<&KeyValue>,
    mod_revision: u64,
    operation: &str,
) -> Verdict<()> {
    match now {
        Some(now) if now.mod_revision == mod_revision => Verdict::Open,
        Some(now) => match parse(now) {
            Ok(found) if found.operation == operation => Verdict::Done(()),
            _ => Verdict::Superseded,
        },
        None if mod_revision == 0 => Verdict::Open,
        None => Verdict::Superseded,
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
