use std::{fmt, sync::Arc};

use hmac::{Hmac, Mac};
use sha2::Sha256;

/// Minimum length of a secret.
const MIN_SECRET_BYTES: usize = 16;

/// The text is too short to be used as a secret.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct SecretError;

impl fmt::Display for SecretError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "a peer secret needs at least {MIN_SECRET_BYTES} bytes")
    }
}

impl std::error::Error for SecretError {}

/// A secret that the processes of the system share.
#[derive(Clone, Eq, PartialEq)]
pub struct Secret(Arc<[u8]>);

impl Secret {
    /// Validates and wraps a secret.
    ///
    /// # Errors
    ///
    /// [`SecretError`] if the secret is too short to resist guessing.
    pub fn try_new(text: &str) -> Result<Self, SecretError> {
        if text.len() < MIN_SECRET_BYTES {
            return Err(SecretError);
        }
        Ok(Self(text.as_bytes().into()))
    }
}

impl fmt::Debug for Secret {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Secret(..)")
    }
}

/// The active secrets: the first one signs, and proofs of any are accepted.
///
/// To rotate secrets without downtime, append the new secret after the old
/// one on all nodes, then swap the two on all nodes, then remove the old one.
///
/// # Example
///
/// ```
/// use pomeloslip_wire::{Secret, Secrets};
///
/// let old = Secret::try_new("old-0123456789abcdef")?;
/// let new = Secret::try_new("new-0123456789abcdef")?;
/// let here = Secrets::new(vec![old.clone(), new.clone()]);
/// let there = Secrets::new(vec![new, old]);
/// let proof = here.sign(&[b"nonce"]);
/// assert!(there.accepts(&[b"nonce"], &proof));
/// assert!(!there.accepts(&[b"other"], &proof));
/// # Ok::<(), pomeloslip_wire::SecretError>(())
/// ```
#[derive(Clone, Debug, Default)]
pub struct Secrets(Vec<Secret>);

impl Secrets {
    /// Wraps the active secrets. Without a secret, proofs are empty and any
    /// peer is accepted; the settings permit this on loopback addresses only.
    pub fn new(secrets: Vec<Secret>) -> Self {
        Self(secrets)
    }

    /// Validates and wraps the texts of the active secrets, the signing one
    /// first.
    ///
    /// # Errors
    ///
    /// [`SecretError`] if one of them is too short.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_wire::Secrets;
    ///
    /// assert!(Secrets::try_from_texts(["0123456789abcdef"]).is_ok());
    /// assert!(Secrets::try_from_texts(["0123456789abcdef", "x"]).is_err());
    /// ```
    pub fn try_from_texts<'a>(
        texts: impl IntoIterator<Item = &'a str>,
    ) -> Result<Self, SecretError> {
        let secrets = texts.into_iter().map(Secret::try_new);
        Ok(Self(secrets.collect::<Result<_, _>>()?))
    }

    /// Returns the proof of the parts, made with the first secret.
    pub fn sign(&self, parts: &[&[u8]]) -> Vec<u8> {
        self.0
            .first()
            .map_or_else(Vec::new, |secret| compute_mac(secret, parts))
    }

    /// Reports whether `proof` was made over the parts with an active secret.
    pub fn accepts(&self, parts: &[&[u8]], proof: &[u8]) -> bool {
        if self.0.is_empty() {
            return true;
        }
        self.0.iter().any(|secret| verifies(secret, parts, proof))
    }
}

fn hmac_over(secret: &Secret, parts: &[&[u8]]) -> Option<Hmac<Sha256>> {
    let mut mac = Hmac::<Sha256>::new_from_slice(&secret.0).ok()?;
    for part in parts {
        // Each part is prefixed with its length: otherwise moving a byte from
        // one part to the next would give the same proof.
        mac.update(&(part.len() as u64).to_le_bytes());
        mac.update(part);
    }
    Some(mac)
}

fn compute_mac(secret: &Secret, parts: &[&[u8]]) -> Vec<u8> {
    hmac_over(secret, parts)
        .map_or_else(Vec::new, |mac| mac.finalize().into_bytes().to_vec())
}

fn verifies(secret: &Secret, parts: &[&[u8]], proof: &[u8]) -> bool {
    hmac_over(secret, parts).is_some_and(|mac| mac.verify_slice(proof).is_ok())
}
