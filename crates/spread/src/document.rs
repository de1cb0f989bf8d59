use std::{
    collections::{HashMap, HashSet},
    sync::Arc,
};

use base::{Revision, UnixMillis, stable_hash};
use serde::{Deserialize, Serialize};

use crate::split;

/// Removals that are remembered; a process that misses more gets the whole.
const MAX_REMOVED_REMEMBERED: usize = 1_024;

/// When and by which edit a configuration was accepted.
#[derive(Clone, Debug, Default, Eq, PartialEq, Serialize, Deserialize)]
pub struct Stamp {
    /// When it was accepted.
    pub accepted: UnixMillis,
    /// Names the edit, so that one whose answer was lost is recognised.
    pub operation: String,
}

/// A piece of a configuration that changes as one.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Part {
    name: Arc<str>,
    /// The revision that changed it last, or a later one.
    revision: Revision,
    text: Arc<str>,
}

/// Names a part that is gone, with the revision that removed it.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
struct Removed {
    name: Arc<str>,
    revision: Revision,
}

/// What a process needs to come from one revision to another.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct Delta {
    /// Oldest revision that it can be put on; 0 if it is the whole.
    base: Revision,
    revision: Revision,
    digest: u64,
    complete_from: Revision,
    stamp: Stamp,
    /// Changed parts with their place in the new order.
    parts: Vec<(u32, Part)>,
    removed: Vec<Removed>,
}

impl Delta {
    /// Returns the revision that it leads to.
    #[inline]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the oldest revision that it can be put on, 0 for the whole.
    #[inline]
    pub fn base(&self) -> Revision {
        self.base
    }

    /// Returns how many bytes of configuration it moves.
    pub fn text_bytes(&self) -> usize {
        self.parts.iter().map(|(_, part)| part.text.len()).sum()
    }
}

/// One accepted configuration in parts.
///
/// Each part has the revision that changed it last. What a process with
/// revision R lacks are the parts with a higher one and the names removed
/// since, so one customer's change moves one customer's bytes. A digest over the
/// whole text tells whether the pieces were put together right.
///
/// Rejected: a log of changes, which a process has to have seen from its
/// start on; and a list of digests of all parts in each comparison, 11 KB
/// for 1,400 customers.
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
    /// Differences from revisions before this one are not known.
    complete_from: Revision,
    stamp: Stamp,
    parts: Vec<Part>,
    removed: Vec<Removed>,
}

impl Document {
    /// Makes a document of which only this revision is known.
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

    /// Makes the document that a later text is, by comparing the two.
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
        // A part that stays keeps its revision only while those that stay
        // are in the old order: the receiver puts changed parts at their
        // changed among the rest, whose order it takes from what it has.
        let mut after = None;
        for part in &mut next.parts {
            let Some((at, was)) = old.get(&part.name) else {
                continue;
            };
            if was.text == part.text && after < Some(*at) {
                after = Some(*at);
                part.revision = was.revision;
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

    /// Bounds what is remembered of removed parts.
    fn prune_removed(&mut self) {
        let over = self.removed.len().saturating_sub(MAX_REMOVED_REMEMBERED);
        for removed in self.removed.drain(..over) {
            self.complete_from = self.complete_from.max(removed.revision);
        }
    }

    /// Returns what a process with revision `base` lacks; the whole if that
    /// is not known.
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

    /// Makes a document of a delta that is the whole; `None` if it is not
    /// or is damaged.
    pub fn from_full_delta(delta: &Delta) -> Option<Self> {
        if delta.base != Revision::default() {
            return None;
        }
        Self::assemble(Vec::new(), Vec::new(), delta.complete_from, delta)
    }

    /// Puts a delta on this document; `None` if it does not fit, because it
    /// starts later, is no newer, or leads to another text than its sender
    /// has.
    pub fn apply(&self, delta: &Delta) -> Option<Self> {
        if delta.revision <= self.revision || delta.base > self.revision {
            return None;
        }
        if delta.base == Revision::default() {
            return Self::from_full_delta(delta);
        }
        let parts = delta.parts.iter().map(|(_, part)| &part.name);
        let removed = delta.removed.iter().map(|removed| &removed.name);
        let out: HashSet<_> = parts.chain(removed).collect();
        let kept = self.parts.iter().filter(|p| !out.contains(&p.name));
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

    /// Returns the whole text.
    pub fn text(&self) -> String {
        self.parts.iter().map(|part| part.text.as_ref()).collect()
    }

    /// Returns its revision.
    #[inline]
    pub fn revision(&self) -> Revision {
        self.revision
    }

    /// Returns the digest over the whole text.
    #[inline]
    pub fn digest(&self) -> u64 {
        self.digest
    }

    /// Returns when and by which edit it was accepted.
    #[inline]
    pub fn stamp(&self) -> &Stamp {
        &self.stamp
    }

    /// Returns the revision that changed a part last, or a later one.
    pub fn part_revision(&self, name: &str) -> Option<Revision> {
        let mut parts = self.parts.iter();
        parts.find(|p| p.name.as_ref() == name).map(|p| p.revision)
    }
}
