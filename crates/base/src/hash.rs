use sha2::{Digest, Sha256};

/// Hashes parts to a number that is the same in every build and process.
///
/// Partitions and the order of data VMs follow from it, so two builds that
/// run side by side during a roll-out must agree on it. The standard
/// library's hasher promises no such thing.
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
