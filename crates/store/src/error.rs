use std::{fmt, io};

/// Says what became of a call to the store.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum StoreError {
    /// Another process or another [`Store`](crate::Store) has the folder.
    Locked,
    /// The folder cannot be used at all.
    Folder,
    /// The blob is over the limit of one blob; nothing was stored.
    TooLarge,
    /// The bytes that arrived do not match their checksum; nothing was
    /// stored.
    WrongCrc,
    /// The id already names other content, which stays; nothing was stored.
    OtherContent,
    /// The store would grow over its quota; nothing was stored.
    QuotaExceeded,
    /// The disk is full; nothing was stored.
    DiskFull,
    /// The disk failed; nothing was stored or removed.
    NotDone,
    /// The disk failed and the call may have taken effect. Repeating it is
    /// safe: a put of the same content is idempotent.
    Unknown,
    /// The copy on this disk is damaged. It is never served; fetch the other
    /// copy and put it again.
    Corrupt,
    /// Reading failed for a reason that does not show damage; the blob may
    /// be whole.
    Read,
    /// The prefix does not end with `/`, so that it would also match the
    /// neighbours of the meant names.
    BadPrefix,
}

impl StoreError {
    /// Tells whether a put or removal that failed so certainly had no
    /// effect.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_store::StoreError;
    ///
    /// assert!(StoreError::QuotaExceeded.certainly_not_done());
    /// assert!(!StoreError::Unknown.certainly_not_done());
    /// ```
    #[inline]
    pub fn certainly_not_done(self) -> bool {
        self != StoreError::Unknown
    }

    /// Classifies a failed write that was undone.
    pub(crate) fn of_write(error: &io::Error) -> Self {
        if is_full(error) {
            StoreError::DiskFull
        } else {
            StoreError::NotDone
        }
    }
}

/// Tells whether an error of the operating system means a full disk.
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
            StoreError::WrongCrc => "the bytes do not match their checksum",
            StoreError::OtherContent => "the id already names other content",
            StoreError::QuotaExceeded => "the store has reached its quota",
            StoreError::DiskFull => "the disk is full",
            StoreError::NotDone => "the disk failed; the call had no effect",
            StoreError::Unknown => {
                "the disk failed; the call may have taken effect"
            }
            StoreError::Corrupt => "the copy on this disk is damaged",
            StoreError::Read => "the blob could not be read",
            StoreError::BadPrefix => "the prefix does not end with '/'",
        })
    }
}

impl std::error::Error for StoreError {}
