//! Prefix cache of the stand-in engine: blocks of prompts in bounded memory.

use std::collections::BTreeMap;

use indexmap::IndexMap;

use crate::answer::{fold, mix};

/// Bytes of a prompt that count as one token.
pub const TOKEN_BYTES: usize = 4;

/// Tokens of one cache block.
pub const BLOCK_TOKENS: u32 = 16;

/// Returns the number of tokens that a prompt counts as.
///
/// # Example
///
/// ```
/// use pomeloslip_standin::engine::cache::prompt_tokens;
///
/// assert_eq!(prompt_tokens("12345"), 2);
/// ```
pub fn prompt_tokens(prompt: &str) -> u32 {
    prompt.len().div_ceil(TOKEN_BYTES) as u32
}

/// Returns the hashes of a prompt's full blocks.
///
/// Each hash covers the model and all of the prompt up to its block's end,
/// so two prompts share exactly the hashes of their common blocks. Cache
/// events name blocks by these hashes.
///
/// # Example
///
/// ```
/// use pomeloslip_standin::engine::cache::block_hashes;
///
/// let one = block_hashes("m", &"x".repeat(130));
/// let two = block_hashes("m", &format!("{}y", "x".repeat(127)));
/// assert_eq!((one.len(), two.len()), (2, 2));
/// assert_eq!(one[0], two[0]);
/// assert_ne!(one[1], two[1]);
/// ```
pub fn block_hashes(model: &str, prompt: &str) -> Vec<u64> {
    let block_bytes = BLOCK_TOKENS as usize * TOKEN_BYTES;
    let mut hash = fold(1, model.as_bytes());
    prompt
        .as_bytes()
        .chunks_exact(block_bytes)
        .map(|block| {
            hash = mix(fold(hash, block));
            hash
        })
        .collect()
}

/// A change of the cache.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum CacheChange {
    /// The block can now be used.
    Stored(u64),
    /// The block was given up for others.
    Removed(u64),
}

/// Keeps the blocks that were used last.
///
/// # Example
///
/// ```
/// use pomeloslip_standin::engine::cache::PrefixCache;
///
/// let mut cache = PrefixCache::new(2);
/// cache.store(&[1, 2]);
/// assert_eq!(cache.touch(&[1, 2, 3]), 2);
/// cache.store(&[9]);
/// // The end of a prefix goes before its start.
/// assert_eq!(cache.touch(&[1, 2]), 1);
/// ```
#[derive(Debug, Default)]
pub struct PrefixCache {
    limit_blocks: usize,
    next_use: u64,
    last_use: IndexMap<u64, u64>,
    by_use: BTreeMap<u64, u64>,
    changes: Vec<CacheChange>,
}

impl PrefixCache {
    /// Makes an empty cache that holds so many blocks.
    pub fn new(limit_blocks: usize) -> Self {
        Self {
            limit_blocks,
            ..Self::default()
        }
    }

    /// Returns the number of blocks held.
    #[inline]
    pub fn len(&self) -> usize {
        self.last_use.len()
    }

    /// Tells whether no block is held.
    #[inline]
    pub fn is_empty(&self) -> bool {
        self.last_use.is_empty()
    }

    /// Changes the limit and gives up blocks that are over it.
    pub fn set_limit(&mut self, limit_blocks: usize) {
        self.limit_blocks = limit_blocks;
        self.evict();
    }

    /// Returns how many of the leading blocks are held and marks them as
    /// used.
    pub fn touch(&mut self, blocks: &[u64]) -> usize {
        let held = |block: &&u64| self.last_use.contains_key(*block);
        let hits = blocks.iter().take_while(held).count();
        self.mark_used(&blocks[..hits]);
        hits
    }

    /// Holds these blocks of one prompt, giving up the least recently used.
    pub fn store(&mut self, blocks: &[u64]) {
        let blocks = &blocks[..blocks.len().min(self.limit_blocks)];
        for block in blocks {
            if !self.last_use.contains_key(block) {
                self.changes.push(CacheChange::Stored(*block));
            }
        }
        self.mark_used(blocks);
        self.evict();
    }

    /// Hands out what has changed since the last call, in order.
    pub fn take_changes(&mut self) -> Vec<CacheChange> {
        std::mem::take(&mut self.changes)
    }

    /// Marks the end of a prefix as used before its start: a start without
    /// its end still helps, an end without its start does not.
    fn mark_used(&mut self, blocks: &[u64]) {
        for block in blocks.iter().rev() {
            let now = self.next_use;
            self.next_use += 1;
            if let Some(before) = self.last_use.insert(*block, now) {
                self.by_use.remove(&before);
            }
            self.by_use.insert(now, *block);
        }
    }

    fn evict(&mut self) {
        while self.last_use.len() > self.limit_blocks {
            let Some((_, block)) = self.by_use.pop_first() else {
                return;
            };
            self.last_use.swap_remove(&block);
            self.changes.push(CacheChange::Removed(block));
        }
    }
}
