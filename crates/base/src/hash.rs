use sha2::{Digest, Sha256};

/// Hashes parts to a number that is the same in every build and process.
///
/// Partitions and the order of data VMs depend on this hash, so two builds
/// that run side by side during a roll-out must agree on it. The standard
/// library's hasher does not guarantee that.
///
/// # Example
///
/// ```
/// use pomeloslip_base::stable_hash;
///
/// assert_eq!(stable_hash(&["a", "b"]), stable_hash(&["a", "b"]));
/// assert_ne!(stable_hash(&["a", "b"]), stable_hash(&["ab", ""]));
/// ```
pub fn stable_hash(parts: &[&str]) -> u64 {
    let mut digest = Sha256::new();
    for part in parts {
        digest.update((part.len() as u64).to_le_bytes());
        digest.update(part);
    }
    let bytes = digest.finalize();
    bytes[..8]
        .iter()
        .fold(0, |hash, byte| (hash << 8) | u64::from(*byte))
}

/// Mixes the bits of a number (the finalizer of splitmix64).
///
/// Derives further hashes from a known [`stable_hash`], a thousand times
/// cheaper than hashing the parts again.
///
/// # Example
///
/// ```
/// use pomeloslip_base::mix;
///
/// assert_ne!(mix(1) & 0xff, mix(2) & 0xff);
/// ```
pub fn mix(mut bits: u64) -> u64 {
    bits = (bits ^ (bits >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    bits = (bits ^ (bits >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    bits ^ (bits >> 31)
}
