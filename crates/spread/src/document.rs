use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use base::{Revision, UnixMillis, stable_hash};
use serde::{Deserialize, Serialize};

use crate::split;

/// Maximum number of removals that are remembered; a process that missed more
/// gets the full document.
const MAX_REMOVED_REMEMBERED: usize = 1_024;

/// Acceptance time and edit id of a configuration.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Stamp {
    /// Time at which it was accepted.
    pub accepted: UnixMillis,
    /// Id of the edit, by which an edit whose response was lost is recognized.
    pub operation: String,
}

/// A named part of a configuration, the unit of change.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Part {
    name: Arc<str>,
    /// Revision that last changed it, or a later one.
    revision: Revision,
    text: Arc<str>,
}

/// A removed part, with the revision that removed it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Removed {
    name: Arc<str>,
    revision: Revision,
}

/// The difference that takes a process from one revision to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Oldest revision that it can be applied to; 0 if it is the full
    /// document.
    base: Revision,
    revision: Revision,
    digest: u64,
    complete_from: Revision,
    stamp: Stamp,
    /// Changed parts with their index in the new order.
    parts: Vec<(u32, Part)>,
    removed: Vec<Removed>,
}

impl Delta {
    /// Returns the revision that it leads to.
    #[inline]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the oldest revision that it can be applied to, 0 for a full
    /// document.
    #[inline]
    pub fn base(&self) -> Revision {
        self.base
    }

    /// Returns the number of bytes of configuration text in it.
    pub fn text_bytes(&self) -> usize {
        self.parts.iter().map(|(_, part)| part.text.len()).sum()
    }
}

/// One accepted configuration in parts.
///
/// Each part has the revision that last changed it. A process with revision R
/// lacks the parts with a higher revision and the removals since, so a change
/// of one customer transfers only that customer's bytes. A digest of the full
/// text verifies the result of applying a delta.
///
/// Alternatives: a log of changes would have to be seen from its start, and a
/// list of digests of all parts in each comparison would take 11 KB for 1,400
/// customers.
///
/// # Example
///
/// ```
/// use base::Revision;
/// use pomeloslip_spread::{Document, Stamp};
///
/// let old = "tenants:\n  - tenant: a\n  - tenant: b\n";
/// let old = Document::new(Revision::new(1), old, Stamp::default());
/// let new = "tenants:\n  - tenant: a\n  - tenant: c\n";
/// let new = old.successor(Revision::new(2), new, Stamp::default());
/// let delta = new.delta_since(old.revision());
/// assert_eq!(delta.text_bytes(), "  - tenant: c\n".len());
/// assert_eq!(old.apply(&delta).unwrap().text(), new.text());
/// ```
#[derive(Clone, Debug)]
pub struct Document {
    revision: Revision,
    digest: u64,
    /// Deltas from revisions before this one are not available.
    complete_from: Revision,
    stamp: Stamp,
    parts: Vec<Part>,
    removed: Vec<Removed>,
}

impl Document {
    /// Creates a document without knowledge of earlier revisions.
    pub fn new(revision: Revision, text: &str, stamp: Stamp) -> Self {
        let part = |(name, text): (String, &str)| Part {
            name: name.into(),
            revision,
            text: text.into(),
        };
        Self {
            revision,
            digest: stable_hash(&[text]),
            complete_from: revision,
            stamp,
            parts: split(text).into_iter().map(part).collect(),
            removed: Vec::new(),
        }
    }

    /// Creates the document of a later text by comparing it with this one.
    pub fn successor(
        &self,
        revision: Revision,
        text: &str,
        stamp: Stamp,
    ) -> Self {
        let mut next = Self::new(revision, text, stamp);
        let old: HashMap<_, _> = self
            .parts
            .iter()
            .enumerate()
            .map(|(at, part)| (part.name.clone(), (at, part)))
            .collect();
        // An unchanged part keeps its revision only if the unchanged parts are
        // still in the old order: the receiver inserts changed parts at their
        // indices among the remaining ones, whose order it takes from its own
        // document.
        let mut last_unchanged = None;
        for part in &mut next.parts {
            let Some((at, before)) = old.get(&part.name) else {
                continue;
            };
            if before.text == part.text && last_unchanged < Some(*at) {
                last_unchanged = Some(*at);
                part.revision = before.revision;
            }
        }
        let names: HashSet<_> = next.parts.iter().map(|p| &p.name).collect();
        let gone = self.parts.iter().filter(|p| !names.contains(&p.name));
        let gone = gone.map(|part| Removed {
            name: part.name.clone(),
            revision,
        });
        next.removed = self.removed.iter().cloned().chain(gone).collect();
        next.complete_from = self.complete_from;
        next.prune_removed();
        next
    }

    /// Limits the number of remembered removals.
    fn prune_removed(&mut self) {
        let over = self.removed.len().saturating_sub(MAX_REMOVED_REMEMBERED);
        for removed in self.removed.drain(..over) {
            self.complete_from = self.complete_from.max(removed.revision);
        }
    }

    /// Returns the delta for a process with revision `base`; the full document
    /// if the differences from that revision are not available.
    pub fn delta_since(&self, base: Revision) -> Delta {
        let known = base >= self.complete_from && base <= self.revision;
        let base = match known {
            true => base,
            false => Revision::default(),
        };
        let parts = (0..).zip(&self.parts);
        let parts = parts.filter(|(_, part)| part.revision > base);
        let removed = self.removed.iter().filter(|r| r.revision > base);
        Delta {
            base,
            revision: self.revision,
            digest: self.digest,
            complete_from: self.complete_from,
            stamp: self.stamp.clone(),
            parts: parts.map(|(at, part)| (at, part.clone())).collect(),
            removed: removed.cloned().collect(),
        }
    }

    /// Creates a document from a delta that is a full document; `None` if the
    /// delta is not full or is damaged.
    pub fn from_full_delta(delta: &Delta) -> Option<Self> {
        if delta.base != Revision::default() {
            return None;
        }
        Self::assemble(Vec::new(), Vec::new(), delta.complete_from, delta)
    }

    /// Applies a delta to this document; `None` if the delta is not applicable
    /// because it starts at a later revision, is not newer, or results in
    /// another text than its sender has.
    pub fn apply(&self, delta: &Delta) -> Option<Self> {
        if delta.revision <= self.revision || delta.base > self.revision {
            return None;
        }
        if delta.base == Revision::default() {
            return Self::from_full_delta(delta);
        }
        let parts = delta.parts.iter().map(|(_, part)| &part.name);
        let removed = delta.removed.iter().map(|removed| &removed.name);
        let replaced: HashSet<_> = parts.chain(removed).collect();
        let kept = self.parts.iter().filter(|p| !replaced.contains(&p.name));
        let kept = kept.cloned().collect();
        let known = self.removed.clone();
        Self::assemble(kept, known, self.complete_from, delta)
    }

    fn assemble(
        mut parts: Vec<Part>,
        mut removed: Vec<Removed>,
        complete_from: Revision,
        delta: &Delta,
    ) -> Option<Self> {
        let mut changed = delta.parts.iter().peekable();
        let mut kept = parts.drain(..);
        let mut merged = Vec::new();
        loop {
            let here = merged.len() as u32;
            match changed.next_if(|(at, _)| *at <= here) {
                Some((_, part)) => merged.push(part.clone()),
                None => match kept.next() {
                    Some(part) => merged.push(part),
                    None if changed.peek().is_none() => break,
                    None => return None,
                },
            }
        }
        drop(kept);
        let newer = delta.removed.iter();
        removed.extend(
            newer
                .filter(|new| !removed.contains(new))
                .cloned()
                .collect::<Vec<_>>(),
        );
        let mut next = Self {
            revision: delta.revision,
            digest: delta.digest,
            complete_from,
            stamp: delta.stamp.clone(),
            parts: merged,
            removed,
        };
        next.prune_removed();
        (stable_hash(&[&next.text()]) == delta.digest).then_some(next)
    }

    /// Returns the full text.
    pub fn text(&self) -> String {
        self.parts.iter().map(|part| part.text.as_ref()).collect()
    }

    /// Returns its revision.
    #[inline]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the digest of the full text.
    #[inline]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns its acceptance time and edit id.
    #[inline]
    pub fn stamp(&self) -> &Stamp {
        &self.stamp
    }

    /// Returns the revision that last changed a part, or a later one.
    pub fn part_revision(&self, name: &str) -> Option<Revision> {
        let mut parts = self.parts.iter();
        parts.find(|p| p.name.as_ref() == name).map(|p| p.revision)
    }
}
