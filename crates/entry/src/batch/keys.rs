//! Keys of batch work in the key-value service.

use base::{Customer, FileId, JobId, UnixMillis};
use ledger::{Sink, partition_of};

/// Builds the keys of batch work.
#[derive(Clone, Debug)]
pub(crate) struct Keys {
    prefix: String,
    partitions: u32,
}

impl Keys {
    pub(crate) fn new(prefix: String, partitions: u32) -> Self {
        Self { prefix, partitions }
    }

    /// Prefix of the entries that share the partitions.
    pub(crate) fn members(&self) -> String {
        format!("{}entries/", self.prefix)
    }

    pub(crate) fn member(&self, name: &str) -> String {
        format!("{}entries/{name}", self.prefix)
    }

    /// Prefix of the partition owners.
    pub(crate) fn owners(&self) -> String {
        format!("{}owners/", self.prefix)
    }

    pub(crate) fn owner(&self, partition: u32) -> String {
        format!("{}owners/{partition:05}", self.prefix)
    }

    /// Key of a job's record.
    pub(crate) fn job(&self, id: &JobId) -> String {
        let partition = partition_of(id, self.partitions);
        format!("{}jobs/{partition:05}/{id}", self.prefix)
    }

    /// Prefix of a partition's open-job markers.
    pub(crate) fn open_markers(&self, partition: u32) -> String {
        format!("{}open/{partition:05}/", self.prefix)
    }

    /// Key of a job's marker, which exists while the job is open.
    pub(crate) fn open_marker(&self, id: &JobId) -> String {
        let partition = partition_of(id, self.partitions);
        format!("{}{id}", self.open_markers(partition))
    }

    /// Key of a page of chunks that no longer fit into a job's record.
    pub(crate) fn page(&self, id: &JobId, sink: Sink, number: u32) -> String {
        let sink = sink.as_str();
        format!("{}pages/{id}/{sink}/{number:05}", self.prefix)
    }

    /// Prefix of a customer's jobs, newest first.
    pub(crate) fn listed_jobs(&self, customer: &Customer) -> String {
        format!("{}tenants/{customer}/jobs/", self.prefix)
    }

    /// Key of a job in that list, which the age in the key orders.
    pub(crate) fn listed_job(
        &self,
        customer: &Customer,
        created: UnixMillis,
        id: &JobId,
    ) -> String {
        let age = u64::MAX - created.as_ms();
        format!("{}{age:016x}-{id}", self.listed_jobs(customer))
    }

    pub(crate) fn file(&self, customer: &Customer, id: &FileId) -> String {
        format!("{}files/{customer}/{id}", self.prefix)
    }
}

/// Returns the last segment of a key.
pub(crate) fn last_segment(key: &str) -> &str {
    key.rsplit('/').next().unwrap_or_default()
}
