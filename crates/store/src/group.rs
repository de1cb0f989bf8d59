//! Group commit: concurrent writers share one sync.
//!
//! A writer that finds no leader becomes the leader and commits all pending
//! requests. Writers that arrive meanwhile wait, and one of them becomes the
//! next leader. A dedicated commit thread was rejected: it would need to be
//! stopped and supervised, and each put would wake two threads instead of none
//! or one.

use std::{
    collections::VecDeque,
    sync::{
        Mutex, MutexGuard, PoisonError,
        mpsc::{Receiver, Sender, channel},
    },
};

enum Message<R> {
    /// The result of the request.
    Done(R),
    /// The writer of the request becomes the leader.
    Lead,
}

/// A queued request with the channel to its writer.
struct PendingRequest<Q, R> {
    request: Q,
    bytes: usize,
    reply: Sender<Message<R>>,
}

struct Queue<Q, R> {
    pending: VecDeque<PendingRequest<Q, R>>,
    has_leader: bool,
}

/// Collects requests of concurrent callers into batches.
pub(crate) struct Group<Q, R> {
    queue: Mutex<Queue<Q, R>>,
    max_bytes: usize,
    max_requests: usize,
}

impl<Q, R> Group<Q, R> {
    /// Creates a group with limits for one batch; a single request may exceed
    /// `max_bytes`.
    pub(crate) fn new(max_bytes: usize, max_requests: usize) -> Self {
        Self {
            queue: Mutex::new(Queue {
                pending: VecDeque::new(),
                has_leader: false,
            }),
            max_bytes,
            max_requests,
        }
    }

    /// Runs a request as part of a batch.
    ///
    /// `commit` returns one result for each request, in order. Returns `None`
    /// if it panicked in another thread.
    pub(crate) fn run(
        &self,
        request: Q,
        bytes: usize,
        commit: impl Fn(Vec<Q>) -> Vec<R>,
    ) -> Option<R> {
        let (reply, responses) = channel();
        let mut queue = self.queue();
        queue.pending.push_back(PendingRequest {
            request,
            bytes,
            reply,
        });
        let is_leader = !queue.has_leader;
        queue.has_leader = true;
        drop(queue);
        if is_leader {
            self.lead(&commit);
        }
        self.wait(&responses, &commit)
    }

    fn wait(
        &self,
        responses: &Receiver<Message<R>>,
        commit: &impl Fn(Vec<Q>) -> Vec<R>,
    ) -> Option<R> {
        loop {
            match responses.recv().ok()? {
                Message::Done(result) => return Some(result),
                Message::Lead => self.lead(commit),
            }
        }
    }

    /// Commits one batch, then hands over the leadership.
    fn lead(&self, commit: &impl Fn(Vec<Q>) -> Vec<R>) {
        // If the commit panics, the requests of this batch get no response,
        // but later ones must not wait forever. The guard therefore hands over
        // the leadership also during unwinding.
        let _guard = LeadershipGuard(self);
        let batch = self.take_batch();
        let mut requests = Vec::with_capacity(batch.len());
        let mut replies = Vec::with_capacity(batch.len());
        for pending in batch {
            requests.push(pending.request);
            replies.push(pending.reply);
        }
        let results = commit(requests);
        for (reply, result) in replies.into_iter().zip(results) {
            // A writer that has gone away needs no response.
            reply.send(Message::Done(result)).ok();
        }
    }

    fn take_batch(&self) -> Vec<PendingRequest<Q, R>> {
        let mut queue = self.queue();
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(next) = queue.pending.front() {
            let full = bytes + next.bytes > self.max_bytes
                || batch.len() == self.max_requests;
            if full && !batch.is_empty() {
                break;
            }
            bytes += next.bytes;
            batch.extend(queue.pending.pop_front());
        }
        batch
    }

    fn pass_leadership(&self) {
        let mut queue = self.queue();
        // A writer waits for its response as long as its request is queued, so
        // the send succeeds.
        queue.has_leader = match queue.pending.front() {
            Some(next) => next.reply.send(Message::Lead).is_ok(),
            None => false,
        };
    }

    fn queue(&self) -> MutexGuard<'_, Queue<Q, R>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct LeadershipGuard<'a, Q, R>(&'a Group<Q, R>);

impl<Q, R> Drop for LeadershipGuard<'_, Q, R> {
    fn drop(&mut self) {
        self.0.pass_leadership();
    }
}
