use std::{fmt, io};

/// Why a call to the store failed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// Another process or another [`Store`](crate::Store) has locked the
    /// folder.
    Locked,
    /// The folder cannot be read or written at all.
    Folder,
    /// The blob exceeds the maximum size of a blob; nothing was stored.
    TooLarge,
    /// The bytes do not match the given checksum; nothing was stored.
    CrcMismatch,
    /// A blob with this id and different content exists and is kept; nothing
    /// was stored.
    ContentMismatch,
    /// The put would exceed the quota of the store; nothing was stored.
    QuotaExceeded,
    /// The disk is full; nothing was stored.
    DiskFull,
    /// An I/O error occurred; nothing was stored or removed.
    NotApplied,
    /// An I/O error occurred and the call may have taken effect. Retrying it
    /// is safe: a put of the same content is idempotent.
    OutcomeUnknown,
    /// The copy on this disk is damaged. It is never returned; fetch the
    /// replica from another data VM and put it again.
    Corrupt,
    /// Reading failed for a reason that does not indicate damage; the blob may
    /// be intact.
    ReadFailed,
    /// The prefix does not end with `/`, so it would also match ids that only
    /// start with the same text, such as `job-10` for `job-1`.
    InvalidPrefix,
}

impl StoreError {
    /// Reports whether a put or removal that failed with this error certainly
    /// had no effect.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_store::StoreError;
    ///
    /// assert!(StoreError::QuotaExceeded.is_not_applied());
    /// assert!(!StoreError::OutcomeUnknown.is_not_applied());
    /// ```
    #[inline]
    pub fn is_not_applied(self) -> bool {
        self != StoreError::OutcomeUnknown
    }

    /// Classifies the error of a write that was rolled back.
    pub(crate) fn from_write_error(error: &io::Error) -> Self {
        if is_full(error) {
            StoreError::DiskFull
        } else {
            StoreError::NotApplied
        }
    }
}

/// Reports whether an I/O error means that the disk is full.
pub(crate) fn is_full(error: &io::Error) -> bool {
    matches!(
        error.kind(),
        io::ErrorKind::StorageFull | io::ErrorKind::QuotaExceeded
    )
}

impl fmt::Display for StoreError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(match self {
            StoreError::Locked => "the data folder is in use by another store",
            StoreError::Folder => "the data folder cannot be used",
            StoreError::TooLarge => "the blob is too large",
            StoreError::CrcMismatch => "the bytes do not match their checksum",
            StoreError::ContentMismatch => {
                "the id already names other content"
            }
            StoreError::QuotaExceeded => "the store has reached its quota",
            StoreError::DiskFull => "the disk is full",
            StoreError::NotApplied => {
                "the disk failed; the call had no effect"
            }
            StoreError::OutcomeUnknown => {
                "the disk failed; the call may have taken effect"
            }
            StoreError::Corrupt => "the copy on this disk is damaged",
            StoreError::ReadFailed => "the blob could not be read",
            StoreError::InvalidPrefix => "the prefix does not end with '/'",
        })
    }
}

impl std::error::Error for StoreError {}
