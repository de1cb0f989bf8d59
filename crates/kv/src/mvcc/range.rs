/// Range end that selects all following keys, in etcd's encoding.
const OPEN_END: &[u8] = b"\0";

/// Selects one key or a range of adjacent keys.
///
/// # Example
///
/// ```
/// use pomeloslip_kv::mvcc::KeyRange;
///
/// assert!(KeyRange::prefix("job/").contains(b"job/7"));
/// assert!(!KeyRange::prefix("job/").contains(b"jobs"));
/// assert!(!KeyRange::one("job").contains(b"job/7"));
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct KeyRange {
    start: Vec<u8>,
    end: End,
}

#[derive(Clone, Debug, Eq, PartialEq)]
enum End {
    SingleKey,
    Before(Vec<u8>),
    Open,
}

impl KeyRange {
    /// Selects one key.
    pub fn one(key: impl Into<Vec<u8>>) -> Self {
        Self::new(key.into(), Vec::new())
    }

    /// Selects all keys with a prefix; an empty prefix selects every key.
    pub fn prefix(prefix: impl Into<Vec<u8>>) -> Self {
        let start = prefix.into();
        let end = prefix_end(&start);
        if start.is_empty() {
            return Self::new(OPEN_END.to_vec(), end);
        }
        Self::new(start, end)
    }

    /// Creates a range in etcd's encoding: an empty `range_end` selects the
    /// single key, a zero byte all keys from `key` on.
    pub fn new(key: Vec<u8>, range_end: Vec<u8>) -> Self {
        let end = match range_end.as_slice() {
            [] => End::SingleKey,
            OPEN_END => End::Open,
            _ => End::Before(range_end),
        };
        Self { start: key, end }
    }

    /// Returns the first key.
    #[inline]
    pub fn start(&self) -> &[u8] {
        &self.start
    }

    /// Returns the end of the range in etcd's encoding.
    pub fn range_end(&self) -> &[u8] {
        match &self.end {
            End::SingleKey => &[],
            End::Before(end) => end,
            End::Open => OPEN_END,
        }
    }

    /// Reports whether the range contains a key.
    pub fn contains(&self, key: &[u8]) -> bool {
        match &self.end {
            End::SingleKey => key == self.start,
            End::Before(end) => {
                key >= self.start.as_slice() && key < end.as_slice()
            }
            End::Open => key >= self.start.as_slice(),
        }
    }
}

/// Returns the first key after all keys with a prefix.
fn prefix_end(prefix: &[u8]) -> Vec<u8> {
    let mut end = prefix.to_vec();
    while let Some(last) = end.pop() {
        if last < u8::MAX {
            end.push(last + 1);
            return end;
        }
    }
    OPEN_END.to_vec()
}
