mod values;

use std::sync::Arc;

use base::{Customer, UnixMillis, timer::Timer};
use error_stack::{Report, ResultExt};
use fleet::BatchDeadlines;
use kv::{
    Compare, GetReply, Kv, KvError, Op, Patient, Txn, TxnReply,
    ops::{Outcome, Verdict, Writer},
};

use crate::{
    BulkCache, JobError, NoSiblings, Siblings,
    record::{
        ItemInput, ItemResult, JobHead, JobKey, decode_head, encode_head,
        encode_inputs, encode_results, head_key, input_key, output_key,
        progress_key,
    },
};

/// A job as it arrives.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct NewJob {
    /// The caller's id.
    pub key: JobKey,
    /// Host that it was sent to.
    pub host: String,
    /// Path that it was sent to.
    pub path: String,
    /// When it arrived.
    pub submitted_at: UnixMillis,
    /// Its times.
    pub terms: BatchDeadlines,
    /// Node that runs the items.
    pub owner: String,
    /// Whose job it is; none where callers need no key.
    pub customer: Option<Customer>,
    /// Its items.
    pub items: Vec<ItemInput>,
}

/// A head with the revision that changes are compared with.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct Stored {
    /// The head.
    pub head: JobHead,
    /// Revision of its last write.
    pub revision: u64,
}

/// Keeps jobs in the key-value service.
///
/// Accepting, listing and ending are one compare-and-swap each on the job's
/// head. A write whose answer is lost is read back, so that no call is done
/// twice and none is taken for done that was not.
#[derive(Clone)]
pub struct Ledger {
    kv: Arc<dyn Kv>,
    /// The same for writes that nobody waits for.
    patient: Arc<dyn Kv>,
    writer: Writer,
    value_bytes: usize,
    cache: Arc<BulkCache>,
    siblings: Arc<dyn Siblings>,
}

/// How long a write is tried before its caller hears that it is open, in
/// milliseconds. Callers of jobs wait about four seconds.
const WRITE_GIVE_UP_MS: u64 = 2_500;

/// How long results and the like may wait to share a call with the writes of
/// other nodes, in milliseconds: a third of the time between two commits of
/// a job, so that a result is read within a second of its end.
const PATIENCE_MS: u64 = 250;

/// How a write is known to have taken effect.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum Proof {
    /// The service answered the call.
    Answered,
    /// The answer was lost, and the head reads as the write makes it.
    ///
    /// That proves what the head says, but not whose write it was: two nodes
    /// that list the same items write the same head, each with the texts of
    /// its own runs.
    ReadBack,
}

/// Values in one call beside the head; the service takes 32 rows.
const CHUNKS_MOST: usize = 24;

/// Part of a value's largest size that a chunk fills, in percent: the table
/// before the bodies takes some room as well.
const FILL_PERCENT: usize = 80;

impl Ledger {
    /// Keeps jobs in `kv`, whose values hold `value_bytes`.
    pub fn new(kv: Arc<dyn Kv>, timer: Timer, value_bytes: usize) -> Self {
        Self {
            patient: Arc::new(Patient::new(kv.clone(), PATIENCE_MS)),
            kv,
            writer: Writer::new(timer, WRITE_GIVE_UP_MS),
            value_bytes,
            cache: Arc::default(),
            siblings: Arc::new(NoSiblings),
        }
    }

    /// Sets where inputs and results are kept for this node and others, and
    /// who is asked for them before the service is.
    #[must_use]
    pub fn with_siblings(
        mut self,
        cache: Arc<BulkCache>,
        siblings: Arc<dyn Siblings>,
    ) -> Self {
        self.cache = cache;
        self.siblings = siblings;
        self
    }

    /// Accepts a job; one that is there already is accepted again.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] if nothing was kept, [`JobError::Open`] if that
    /// is not known, [`JobError::TooLarge`] for a job that never fits,
    /// [`JobError::Conflict`] if another customer has a job of this id.
    pub async fn accept(
        &self,
        job: NewJob,
    ) -> Result<Stored, Report<JobError>> {
        let chunks = self.chunks(&job.items)?;
        let customer = job.customer.clone();
        let head = JobHead {
            submitted_at: job.submitted_at,
            host: job.host,
            path: job.path,
            total: job.items.len() as u32,
            input_chunks: chunks.len() as u32,
            listed: Vec::new(),
            output_chunks: Vec::new(),
            strikes: indexmap::IndexMap::new(),
            ended: false,
            owner: job.owner,
            due_at: job.submitted_at.saturating_add_ms(job.terms.due_in_ms),
            give_up_at: job
                .submitted_at
                .saturating_add_ms(job.terms.give_up_in_ms),
            customer: job.customer,
        };
        let mut success = vec![put(head_key(&job.key), encode_head(&head)?)];
        let mut bulk = Vec::new();
        for (number, chunk) in chunks.into_iter().enumerate() {
            let key = input_key(&job.key, &head, number as u32);
            bulk.push((key.clone(), Arc::new(chunk.clone())));
            success.push(put(key, chunk));
        }
        let txn = guarded(head_key(&job.key), 0, success);
        let new = head.clone();
        let outcome = self
            .commit(&self.kv, &job.key, txn, move |reply| Stored {
                head: new.clone(),
                revision: reply.revision,
            })
            .await?;
        match outcome {
            Outcome::Done((stored, proof)) => {
                self.keep_all(&bulk, proof);
                Ok(stored)
            }
            // It was there before: the same job, sent again.
            Outcome::Superseded => {
                let stored = self.read(&job.key).await?;
                match stored.head.belongs_to(customer.as_ref()) {
                    true => Ok(stored),
                    false => Err(Report::new(JobError::Conflict)),
                }
            }
        }
    }

    /// Returns the head and the inputs of a job as this node has written
    /// them, the head first; none if it does not keep them any more.
    pub fn accepted_rows(&self, job: &JobKey, stored: &Stored) -> Option<Txn> {
        let head = &stored.head;
        let mut success = vec![put(head_key(job), encode_head(head).ok()?)];
        for number in 0..head.input_chunks {
            let key = input_key(job, head, number);
            let value = self.cache.get(&key)?;
            success.push(put(key, value.to_vec()));
        }
        Some(Txn {
            success,
            ..Txn::default()
        })
    }

    /// Reads the head of a job.
    ///
    /// # Errors
    ///
    /// [`JobError::Unknown`] if there is none, [`JobError::NotDone`] if the
    /// service is away.
    pub async fn read(
        &self,
        job: &JobKey,
    ) -> Result<Stored, Report<JobError>> {
        let reply = self.kv.get(&head_key(job)).await;
        let reply = reply.change_context(JobError::NotDone)?;
        find_head(&reply)?.ok_or_else(|| Report::new(JobError::Unknown))
    }

    /// Reads the head of a job for callers of a customer, who learn nothing
    /// of the jobs of others.
    ///
    /// # Errors
    ///
    /// As [`read`](Self::read).
    pub async fn read_for(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
    ) -> Result<Stored, Report<JobError>> {
        let stored = self.read(job).await?;
        match stored.head.belongs_to(customer) {
            true => Ok(stored),
            false => Err(Report::new(JobError::Unknown)),
        }
    }

    /// Ends a job for callers of a customer; repeating it changes nothing.
    ///
    /// # Errors
    ///
    /// As [`read_for`](Self::read_for), and [`JobError::Open`].
    pub async fn end(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
    ) -> Result<(), Report<JobError>> {
        loop {
            let stored = self.read_for(job, customer).await?;
            let Stored { mut head, revision } = stored;
            if head.ended {
                return Ok(());
            }
            head.ended = true;
            let row = put(head_key(job), encode_head(&head)?);
            let txn = guarded(head_key(job), revision, vec![row]);
            let outcome = self.commit(&self.kv, job, txn, |_| ()).await?;
            if let Outcome::Done(_) = outcome {
                return Ok(());
            }
        }
    }

    /// Lists results after those that `before` has, with the strikes.
    ///
    /// `before` is the head as the caller knows it. If another writer was
    /// faster, nothing is written and the head as it is now is returned in
    /// `Err` of the inner result.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] and [`JobError::Open`] as for all writes; after
    /// both the caller reads the head before it lists again.
    pub async fn list(
        &self,
        job: &JobKey,
        before: &Stored,
        numbers: &[u32],
        results: &[ItemResult],
        strikes: &indexmap::IndexMap<u32, crate::Strikes>,
    ) -> Result<Result<Stored, Stored>, Report<JobError>> {
        let mut head = before.head.clone();
        let first = head.listed.len() as u32;
        head.listed.extend_from_slice(numbers);
        head.strikes.clone_from(strikes);
        let mut rows = Vec::new();
        let mut bulk = Vec::new();
        if !results.is_empty() {
            let key = output_key(job, &head, first);
            head.output_chunks.push(first);
            let bytes = encode_results(results)?;
            bulk.push((key.clone(), Arc::new(bytes.clone())));
            rows.push(put(key, bytes));
        }
        rows.push(put(head_key(job), encode_head(&head)?));
        let txn = guarded(head_key(job), before.revision, rows);
        let new = head.clone();
        let outcome = self
            .commit(&self.patient, job, txn, move |reply| Stored {
                head: new.clone(),
                revision: reply.revision,
            })
            .await?;
        match outcome {
            Outcome::Done((stored, proof)) => {
                self.keep_all(&bulk, proof);
                Ok(Ok(stored))
            }
            Outcome::Superseded => Ok(Err(self.read(job).await?)),
        }
    }

    /// Moves a job to another node.
    ///
    /// Returns the head as it is now: moved, or as a faster writer left it.
    ///
    /// # Errors
    ///
    /// As [`end`](Self::end).
    pub async fn reassign(
        &self,
        job: &JobKey,
        before: &Stored,
        owner: &str,
    ) -> Result<Stored, Report<JobError>> {
        let mut head = before.head.clone();
        owner.clone_into(&mut head.owner);
        let row = put(head_key(job), encode_head(&head)?);
        let txn = guarded(head_key(job), before.revision, vec![row]);
        let outcome = self
            .commit(&self.patient, job, txn, move |reply| Stored {
                head: head.clone(),
                revision: reply.revision,
            })
            .await?;
        match outcome {
            Outcome::Done((stored, _)) => Ok(stored),
            Outcome::Superseded => self.read(job).await,
        }
    }

    /// Removes a job with all that belongs to it, its head last: whoever is
    /// interrupted leaves a head by which another one finishes.
    ///
    /// # Errors
    ///
    /// [`JobError::NotDone`] if the service is away, or if the head has
    /// changed meanwhile.
    pub async fn remove(
        &self,
        job: &JobKey,
        stored: &Stored,
    ) -> Result<(), Report<JobError>> {
        let head = &stored.head;
        let inputs = (0..head.input_chunks).map(|n| input_key(job, head, n));
        let outputs = head.output_chunks.iter();
        let outputs = outputs.map(|n| output_key(job, head, *n));
        let progress = progress_key(job, head.submitted_at);
        let progress = std::iter::once(progress);
        let bulk: Vec<String> =
            inputs.chain(outputs).chain(progress).collect();
        for keys in bulk.chunks(CHUNKS_MOST) {
            self.delete(job, stored, keys).await?;
        }
        self.delete(job, stored, &[head_key(job)]).await
    }

    /// Deletes keys as long as the head is what the caller knows. Deleting
    /// twice does no harm, so that a lost answer needs no reading back.
    async fn delete(
        &self,
        job: &JobKey,
        stored: &Stored,
        keys: &[String],
    ) -> Result<(), Report<JobError>> {
        let rows = keys.iter().map(|key| Op::Delete { key: key.clone() });
        let txn = guarded(head_key(job), stored.revision, rows.collect());
        let reply = self.patient.txn(txn).await;
        match reply.change_context(JobError::NotDone)?.succeeded {
            true => Ok(()),
            false => Err(Report::new(JobError::NotDone)),
        }
    }

    fn chunks(
        &self,
        items: &[ItemInput],
    ) -> Result<Vec<Vec<u8>>, Report<JobError>> {
        let most = self.value_bytes * FILL_PERCENT / 100;
        let mut chunks = Vec::new();
        let mut from = 0;
        let mut bytes = 0;
        for (at, item) in items.iter().enumerate() {
            let size = item_bytes(item);
            if size > most {
                return Err(Report::new(JobError::TooLarge));
            }
            if bytes + size > most {
                chunks.push(encode_inputs(&items[from..at])?);
                (from, bytes) = (at, 0);
            }
            bytes += size;
        }
        if from < items.len() {
            chunks.push(encode_inputs(&items[from..])?);
        }
        match chunks.len() <= CHUNKS_MOST {
            true => Ok(chunks),
            false => Err(Report::new(JobError::TooLarge)),
        }
    }

    /// Writes until the outcome is known or the time is up.
    ///
    /// A write whose answer is lost is found again by the head that it made:
    /// each write changes the head, so that one that reads as wanted has been
    /// written, by this node or by another that wanted the same.
    async fn commit<T: Send + 'static>(
        &self,
        kv: &Arc<dyn Kv>,
        job: &JobKey,
        txn: Txn,
        answered: impl Fn(&TxnReply) -> T + Send + Clone,
    ) -> Result<Outcome<(T, Proof)>, Report<JobError>> {
        let expected = head_value(&txn, &head_key(job));
        let before = compared_revision(&txn);
        let read_back = Op::Get { key: head_key(job) };
        let decided = answered.clone();
        let decide = move |found: &GetReply| match found.kvs.first() {
            Some(kv) if Some(&kv.value) == expected.as_ref() => {
                let revision = kv.mod_revision;
                let value = decided(&TxnReply {
                    succeeded: true,
                    revision,
                    replies: Vec::new(),
                });
                Verdict::Done((value, Proof::ReadBack))
            }
            Some(kv) if kv.mod_revision == before => Verdict::Open,
            Some(_) => Verdict::Superseded,
            None if before == 0 => Verdict::Open,
            None => Verdict::Superseded,
        };
        let answered =
            move |reply: &TxnReply| (answered(reply), Proof::Answered);
        let random = spread_pauses(job);
        let outcome = self
            .writer
            .commit(&**kv, txn, read_back, answered, decide, random)
            .await;
        outcome.map_err(|report| {
            let error = match report.current_context() {
                KvError::Unknown => JobError::Open,
                KvError::Invalid => JobError::TooLarge,
                _ => JobError::NotDone,
            };
            report.change_context(error)
        })
    }
}

/// Bytes that an item takes in a chunk.
fn item_bytes(item: &ItemInput) -> usize {
    /// Names, numbers and quotes of the table's row.
    const ROW_BYTES: usize = 96;
    let headers: usize = item
        .headers
        .iter()
        .map(|(name, value)| name.len() + value.len() + 8)
        .sum();
    ROW_BYTES + item.id.len() + item.path.len() + headers + item.body.len()
}

fn put(key: String, value: Vec<u8>) -> Op {
    Op::Put {
        key,
        value,
        lease: None,
    }
}

fn guarded(key: String, equals: u64, success: Vec<Op>) -> Txn {
    Txn {
        compares: vec![Compare::ModRevision { key, equals }],
        success,
        failure: Vec::new(),
    }
}

fn head_value(txn: &Txn, key: &str) -> Option<Vec<u8>> {
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

/// Numbers that spread the pauses between the tries of different jobs.
fn spread_pauses(job: &JobKey) -> impl FnMut() -> u64 + Send + use<> {
    let mut state = base::stable_hash(&[job.as_str()]);
    move || {
        state = state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1);
        state >> 16
    }
}

fn find_head(reply: &GetReply) -> Result<Option<Stored>, JobError> {
    let Some(kv) = reply.kvs.first() else {
        return Ok(None);
    };
    Ok(Some(Stored {
        head: decode_head(&kv.value)?,
        revision: kv.mod_revision,
    }))
}
