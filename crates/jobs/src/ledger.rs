mod chunks;
mod values;

use std::sync::Arc;

use base::{Customer, UnixMillis, timer::Timer};
use error_stack::{Report, ResultExt};
use fleet::BatchDeadlines;
use indexmap::IndexSet;
use kv::{
    BatchingKv, Compare, GetReply, Kv, KvError, Op, Txn, TxnReply,
    ops::{Outcome, ReadBack, Writer},
};

use crate::{
    BulkCache, BulkPeers, CounterId, JobError, NoPeers, ProcessAttempts,
    record::{
        ItemInput, ItemResult, JobKey, JobManifest, MAX_CHUNK_PARTS,
        checkpoint_key, decode_manifest, encode_manifest, input_key,
        manifest_key,
    },
};

/// A submitted job that is not stored yet.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewJob {
    /// The caller's id.
    pub key: JobKey,
    /// Host of the request that submitted the job.
    pub host: String,
    /// Path of the request that submitted the job.
    pub path: String,
    /// When the job arrived.
    pub submitted_at: UnixMillis,
    /// Time limits of the job.
    pub terms: BatchDeadlines,
    /// Node that runs the items.
    pub owner: String,
    /// The customer that owns the job; `None` if callers need no key.
    pub customer: Option<Customer>,
    /// The items.
    pub items: Vec<ItemInput>,
}

/// A manifest with the revision that a write of it is compared with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct StoredManifest {
    /// The manifest.
    pub manifest: JobManifest,
    /// Revision of the manifest's last write.
    pub revision: u64,
}

/// Stores jobs in the key-value service.
///
/// Accepting a job, listing results and cancelling are one compare-and-swap on
/// the job's manifest each. If the response to a write is lost, the manifest
/// is read back, so that no write is done twice and no write is reported as
/// done that was not.
#[derive(Clone)]
pub struct Ledger {
    kv: Arc<dyn Kv>,
    /// The same key-value service for writes that may be delayed to share a
    /// call.
    batching_kv: Arc<dyn Kv>,
    writer: Writer,
    max_value_bytes: usize,
    cache: Arc<BulkCache>,
    peers: Arc<dyn BulkPeers>,
}

/// Timeout after which a write is reported as having an unknown outcome, in
/// milliseconds. Callers that submit jobs wait about four seconds.
const WRITE_TIMEOUT_MS: u64 = 2_500;

/// Maximum delay of a write of results or checkpoints that waits to share a
/// call with the writes of other nodes, in milliseconds: a third of the
/// interval between two commits of a job, so that a result can be read within
/// a second of its end.
const MAX_BATCHING_DELAY_MS: u64 = 250;

/// How a write was confirmed.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum WriteProof {
    /// The key-value service acknowledged the call.
    Acknowledged,
    /// The response was lost, and the manifest that was read back is the one
    /// that the write produces.
    ///
    /// This proves the content of the manifest, but not that this node wrote
    /// it: two nodes that list the same items write equal manifests, each with
    /// the outputs of its own runs.
    ReadBack,
}

/// Maximum number of values in one transaction besides the manifest; the
/// key-value service accepts 32 operations.
const MAX_CHUNKS_PER_TXN: usize = MAX_CHUNK_PARTS as usize;

/// Size from which on results wait for the next transaction, in bytes. After an
/// outage of the key-value service the results of several jobs are written at
/// the same time, and a call that carries all results of a job would time out
/// on a slow link.
const MAX_LISTING_BYTES: usize = 2 * 1024 * 1024;

impl Ledger {
    /// Creates a ledger that stores jobs in `kv`, whose values hold up to
    /// `max_value_bytes`.
    pub fn new(kv: Arc<dyn Kv>, timer: Timer, max_value_bytes: usize) -> Self {
        Self {
            batching_kv: Arc::new(BatchingKv::new(
                kv.clone(),
                MAX_BATCHING_DELAY_MS,
            )),
            kv,
            writer: Writer::new(timer, WRITE_TIMEOUT_MS),
            max_value_bytes,
            cache: Arc::default(),
            peers: Arc::new(NoPeers),
        }
    }

    /// Sets the cache for inputs and results, and the peers that are queried
    /// before the key-value service.
    #[must_use]
    pub fn with_peers(
        mut self,
        cache: Arc<BulkCache>,
        peers: Arc<dyn BulkPeers>,
    ) -> Self {
        self.cache = cache;
        self.peers = peers;
        self
    }

    /// Accepts a job. If the job already exists, its stored manifest is
    /// returned.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] if nothing was stored,
    /// [`JobError::OutcomeUnknown`] if that is not known,
    /// [`JobError::TooLarge`] for a job that exceeds the size limits,
    /// [`JobError::Conflict`] if another customer has a job with this id.
    pub async fn accept(
        &self,
        job: NewJob,
    ) -> Result<StoredManifest, Report<JobError>> {
        let chunks = self.encode_input_chunks(&job.items)?;
        let manifest = new_manifest(&job, chunks.len());
        self.check_manifest_size(&manifest)?;
        let customer = job.customer;
        let mut success =
            vec![put(manifest_key(&job.key), encode_manifest(&manifest)?)];
        let mut bulk = Vec::new();
        for (number, chunk) in chunks.into_iter().enumerate() {
            let key = input_key(&job.key, &manifest, number as u32);
            bulk.push((key.clone(), Arc::new(chunk.clone())));
            success.push(put(key, chunk));
        }
        let txn = guarded_txn(manifest_key(&job.key), 0, success);
        let new = manifest.clone();
        let outcome = self
            .commit(&self.kv, &job.key, txn, move |reply| StoredManifest {
                manifest: new.clone(),
                revision: reply.revision,
            })
            .await?;
        match outcome {
            Outcome::Applied((stored, proof)) => {
                self.cache_written(&bulk, proof);
                Ok(stored)
            }
            // The job exists already: the same job was submitted before, or
            // this write was applied and the job has changed since.
            Outcome::Superseded => {
                let stored = self.read(&job.key).await;
                let stored =
                    stored.change_context(JobError::OutcomeUnknown)?;
                match stored.manifest.is_visible_to(customer.as_ref()) {
                    true => Ok(stored),
                    false => Err(Report::new(JobError::Conflict)),
                }
            }
        }
    }

    /// Returns the manifest and the inputs of a job as this node has written
    /// them, the manifest first; `None` if they are no longer cached.
    pub fn accepted_rows(
        &self,
        job: &JobKey,
        stored: &StoredManifest,
    ) -> Option<Txn> {
        let manifest = &stored.manifest;
        let mut success =
            vec![put(manifest_key(job), encode_manifest(manifest).ok()?)];
        for number in 0..manifest.input_chunks {
            let key = input_key(job, manifest, number);
            let value = self.cache.get(&key)?;
            success.push(put(key, value.to_vec()));
        }
        Some(Txn {
            success,
            ..Txn::default()
        })
    }

    /// Reads the manifest of a job.
    ///
    /// # Errors
    ///
    /// [`JobError::Unknown`] if there is no such job, [`JobError::NotDone`] if
    /// the key-value service is unavailable.
    pub async fn read(
        &self,
        job: &JobKey,
    ) -> Result<StoredManifest, Report<JobError>> {
        let reply = self.kv.get(&manifest_key(job)).await;
        let reply = reply.change_context(JobError::NotDone)?;
        find_manifest(&reply)?.ok_or_else(|| Report::new(JobError::Unknown))
    }

    /// Reads the manifest of a job for a caller of a customer. Jobs of other
    /// customers are reported as unknown.
    ///
    /// # Errors
    ///
    /// As [`read`](Self::read).
    pub async fn read_for(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
    ) -> Result<StoredManifest, Report<JobError>> {
        let stored = self.read(job).await?;
        match stored.manifest.is_visible_to(customer) {
            true => Ok(stored),
            false => Err(Report::new(JobError::Unknown)),
        }
    }

    /// Cancels a job for a caller of a customer. Cancelling a job twice has no
    /// further effect.
    ///
    /// # Errors
    ///
    /// As [`read_for`](Self::read_for), and [`JobError::OutcomeUnknown`].
    pub async fn cancel(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
    ) -> Result<(), Report<JobError>> {
        loop {
            let stored = self.read_for(job, customer).await?;
            let StoredManifest {
                mut manifest,
                revision,
            } = stored;
            if manifest.cancelled {
                return Ok(());
            }
            manifest.cancelled = true;
            let row = put(manifest_key(job), encode_manifest(&manifest)?);
            let txn = guarded_txn(manifest_key(job), revision, vec![row]);
            let outcome = self.commit(&self.kv, job, txn, |_| ()).await?;
            if let Outcome::Applied(_) = outcome {
                return Ok(());
            }
        }
    }

    /// Lists results after those that `before` contains, and stores what a
    /// process has counted of the attempts at the other items.
    ///
    /// Lists the first of the results, at least one, if one transaction does
    /// not hold all of them; the returned manifest shows which are listed.
    ///
    /// `before` is the manifest that the caller knows. If another writer has
    /// changed the manifest, nothing is written and the current manifest is
    /// returned in the `Err` of the inner result.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] and [`JobError::OutcomeUnknown`] as for all
    /// writes. After either of them the caller has to read the manifest before
    /// it lists results again. [`JobError::TooLarge`] if the first result is
    /// larger than [`max_result_bytes`](Self::max_result_bytes), or the
    /// key-value service rejects the write; the same write would be rejected
    /// again.
    pub async fn list(
        &self,
        job: &JobKey,
        before: &StoredManifest,
        numbers: &[u32],
        results: &[ItemResult],
        counted: (CounterId, &ProcessAttempts),
    ) -> Result<Result<StoredManifest, StoredManifest>, Report<JobError>> {
        let mut manifest = before.manifest.clone();
        let (counter, attempts) = counted;
        let counts_change =
            manifest.attempts.of(counter).unwrap_or(&Default::default())
                != attempts;
        manifest.attempts.set(counter, attempts.clone());
        let mut rows = Vec::new();
        let mut bulk = Vec::new();
        for chunk in self.encode_output_chunks(results)? {
            let first = manifest.listed.len() as u32;
            manifest.listed.extend_from_slice(&numbers[chunk.results]);
            manifest.output_chunks.push(first);
            if chunk.values.len() > 1 {
                let parts = chunk.values.len() as u32;
                manifest.output_parts.insert(first, parts);
            }
            let keys = manifest.output_keys(job, first);
            for (key, value) in keys.zip(chunk.values) {
                bulk.push((key.clone(), Arc::new(value.clone())));
                rows.push(put(key, value));
            }
        }
        let listed: IndexSet<u32> = manifest.listed.iter().copied().collect();
        manifest.attempts.retain(|item| !listed.contains(&item));
        rows.push(put(manifest_key(job), encode_manifest(&manifest)?));
        let txn = guarded_txn(manifest_key(job), before.revision, rows);
        let new = manifest.clone();
        // Items wait until their attempts are stored.
        let kv = match counts_change {
            true => &self.kv,
            false => &self.batching_kv,
        };
        let outcome = self
            .commit(kv, job, txn, move |reply| StoredManifest {
                manifest: new.clone(),
                revision: reply.revision,
            })
            .await?;
        match outcome {
            Outcome::Applied((stored, proof)) => {
                self.cache_written(&bulk, proof);
                Ok(Ok(stored))
            }
            Outcome::Superseded => Ok(Err(self.read(job).await?)),
        }
    }

    /// Assigns a job to another node.
    ///
    /// Returns the current manifest: reassigned, or as a concurrent writer
    /// left it.
    ///
    /// # Errors
    ///
    /// As [`cancel`](Self::cancel).
    pub async fn reassign(
        &self,
        job: &JobKey,
        before: &StoredManifest,
        owner: &str,
    ) -> Result<StoredManifest, Report<JobError>> {
        let mut manifest = before.manifest.clone();
        owner.clone_into(&mut manifest.owner);
        manifest.reassigned = true;
        let row = put(manifest_key(job), encode_manifest(&manifest)?);
        let txn = guarded_txn(manifest_key(job), before.revision, vec![row]);
        let outcome = self
            .commit(&self.batching_kv, job, txn, move |reply| StoredManifest {
                manifest: manifest.clone(),
                revision: reply.revision,
            })
            .await?;
        match outcome {
            Outcome::Applied((stored, _)) => Ok(stored),
            Outcome::Superseded => self.read(job).await,
        }
    }

    /// Removes a job with all its values. The manifest is removed last, so
    /// that another node can finish a removal that was interrupted.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] if the key-value service is unavailable or the
    /// manifest has changed meanwhile.
    pub async fn remove(
        &self,
        job: &JobKey,
        stored: &StoredManifest,
    ) -> Result<(), Report<JobError>> {
        let manifest = &stored.manifest;
        let inputs =
            (0..manifest.input_chunks).map(|n| input_key(job, manifest, n));
        let outputs = manifest.output_chunks.iter();
        let outputs =
            outputs.flat_map(|first| manifest.output_keys(job, *first));
        let checkpoint = checkpoint_key(job, manifest.submitted_at);
        let checkpoint = std::iter::once(checkpoint);
        let bulk: Vec<String> =
            inputs.chain(outputs).chain(checkpoint).collect();
        for keys in bulk.chunks(MAX_CHUNKS_PER_TXN) {
            self.delete(job, stored, keys).await?;
        }
        self.delete(job, stored, &[manifest_key(job)]).await
    }

    /// Deletes keys if the manifest is unchanged. Deletion is idempotent, so
    /// that a lost response needs no read-back.
    async fn delete(
        &self,
        job: &JobKey,
        stored: &StoredManifest,
        keys: &[String],
    ) -> Result<(), Report<JobError>> {
        let rows = keys.iter().map(|key| Op::Delete { key: key.clone() });
        let txn =
            guarded_txn(manifest_key(job), stored.revision, rows.collect());
        let reply = self.batching_kv.txn(txn).await;
        match reply.change_context(JobError::NotDone)?.succeeded {
            true => Ok(()),
            false => Err(Report::new(JobError::NotDone)),
        }
    }

    /// Retries a write until its outcome is known or the timeout has passed.
    ///
    /// If the response is lost, the manifest is read back. Each write changes
    /// the manifest, so that a manifest equal to the expected one has been
    /// written, by this node or by another node with the same change.
    async fn commit<T: Send + 'static>(
        &self,
        kv: &Arc<dyn Kv>,
        job: &JobKey,
        txn: Txn,
        answered: impl Fn(&TxnReply) -> T + Send + Clone,
    ) -> Result<Outcome<(T, WriteProof)>, Report<JobError>> {
        let expected = manifest_value(&txn, &manifest_key(job));
        let before = compared_revision(&txn);
        let read_back = Op::Get {
            key: manifest_key(job),
        };
        let decided = answered.clone();
        let decide = move |found: &GetReply| match found.kvs.first() {
            Some(kv) if Some(&kv.value) == expected.as_ref() => {
                let revision = kv.mod_revision;
                let value = decided(&TxnReply {
                    succeeded: true,
                    revision,
                    replies: Vec::new(),
                });
                ReadBack::Applied((value, WriteProof::ReadBack))
            }
            Some(kv) if kv.mod_revision == before => ReadBack::Undecided,
            Some(_) => ReadBack::Superseded,
            None if before == 0 => ReadBack::Undecided,
            None => ReadBack::Superseded,
        };
        let answered = move |reply: &TxnReply| {
            (answered(reply), WriteProof::Acknowledged)
        };
        let random = backoff_jitter(job);
        let outcome = self
            .writer
            .commit(&**kv, txn, read_back, answered, decide, random)
            .await;
        outcome.map_err(|report| {
            let error = match report.current_context() {
                KvError::Unknown => JobError::OutcomeUnknown,
                KvError::Invalid => JobError::TooLarge,
                _ => JobError::NotDone,
            };
            report.change_context(error)
        })
    }
}

/// Returns the manifest of a job that has no results yet.
fn new_manifest(job: &NewJob, input_chunks: usize) -> JobManifest {
    let submitted_at = job.submitted_at;
    JobManifest {
        submitted_at,
        host: job.host.clone(),
        path: job.path.clone(),
        total: job.items.len() as u32,
        input_chunks: input_chunks as u32,
        owner: job.owner.clone(),
        due_at: submitted_at.saturating_add_ms(job.terms.due_in_ms),
        give_up_at: submitted_at.saturating_add_ms(job.terms.give_up_in_ms),
        customer: job.customer.clone(),
        ..JobManifest::default()
    }
}

fn put(key: String, value: Vec<u8>) -> Op {
    Op::Put {
        key,
        value,
        lease: None,
    }
}

fn guarded_txn(key: String, equals: u64, success: Vec<Op>) -> Txn {
    Txn {
        compares: vec![Compare::ModRevision { key, equals }],
        success,
        failure: Vec::new(),
    }
}

fn manifest_value(txn: &Txn, key: &str) -> Option<Vec<u8>> {
    txn.success.iter().find_map(|op| match op {
        Op::Put { key: at, value, .. } if at == key => Some(value.clone()),
        _ => None,
    })
}

fn compared_revision(txn: &Txn) -> u64 {
    match txn.compares.first() {
        Some(Compare::ModRevision { equals, .. }) => *equals,
        _ => 0,
    }
}

/// Returns a generator of pseudorandom numbers that add jitter to the backoff
/// of each job's retries.
fn backoff_jitter(job: &JobKey) -> impl FnMut() -> u64 + Send + use<> {
    let mut state = base::stable_hash(&[job.as_str()]);
    move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        state >> 16
    }
}

fn find_manifest(
    reply: &GetReply,
) -> Result<Option<StoredManifest>, JobError> {
    let Some(kv) = reply.kvs.first() else {
        return Ok(None);
    };
    Ok(Some(StoredManifest {
        manifest: decode_manifest(&kv.value)?,
        revision: kv.mod_revision,
    }))
}
