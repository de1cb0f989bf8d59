//! Bulk store of a data VM: checksummed write-once blobs.
