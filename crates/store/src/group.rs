//! Lets concurrent writers share one sync.
//!
//! A writer that finds nobody at work leads: it commits everything that
//! waits. The writers that come meanwhile wait, and one of them leads next.
//! A thread of the store's own was rejected: it would have to be stopped and
//! watched, and each put would wake two threads instead of none or one.

use std::{
    collections::VecDeque,
    sync::{
        Mutex, MutexGuard, PoisonError,
        mpsc::{Receiver, Sender, channel},
    },
};

enum Message<R> {
    /// The request is done.
    Done(R),
    /// Its writer leads from here on.
    Lead,
}

/// A request with the way back to its writer.
struct Waiting<Q, R> {
    request: Q,
    bytes: usize,
    reply: Sender<Message<R>>,
}

struct Queue<Q, R> {
    waiting: VecDeque<Waiting<Q, R>>,
    is_led: bool,
}

/// Gathers requests of concurrent callers into batches.
pub(crate) struct Group<Q, R> {
    queue: Mutex<Queue<Q, R>>,
    max_bytes: usize,
    max_requests: usize,
}

impl<Q, R> Group<Q, R> {
    /// Bounds a batch; a single request may be larger.
    pub(crate) fn new(max_bytes: usize, max_requests: usize) -> Self {
        Self {
            queue: Mutex::new(Queue {
                waiting: VecDeque::new(),
                is_led: false,
            }),
            max_bytes,
            max_requests,
        }
    }

    /// Has a request done as part of a batch.
    ///
    /// `commit` returns one result for each request, in order. `None` is
    /// returned if it panicked in another thread.
    pub(crate) fn run(
        &self,
        request: Q,
        bytes: usize,
        commit: impl Fn(Vec<Q>) -> Vec<R>,
    ) -> Option<R> {
        let (reply, answer) = channel();
        let mut queue = self.queue();
        queue.waiting.push_back(Waiting {
            request,
            bytes,
            reply,
        });
        let leads = !queue.is_led;
        queue.is_led = true;
        drop(queue);
        if leads {
            self.lead(&commit);
        }
        self.wait(&answer, &commit)
    }

    fn wait(
        &self,
        answer: &Receiver<Message<R>>,
        commit: &impl Fn(Vec<Q>) -> Vec<R>,
    ) -> Option<R> {
        loop {
            match answer.recv().ok()? {
                Message::Done(result) => return Some(result),
                Message::Lead => self.lead(commit),
            }
        }
    }

    /// Commits one batch and passes the lead on.
    fn lead(&self, commit: &impl Fn(Vec<Q>) -> Vec<R>) {
        // If the commit panics, the requests of this batch end without an
        // answer; all later ones must not wait for ever, so the lead is
        // passed on while the stack unwinds too.
        let _pass_on = PassOn(self);
        let batch = self.take_batch();
        let mut requests = Vec::with_capacity(batch.len());
        let mut replies = Vec::with_capacity(batch.len());
        for waiting in batch {
            requests.push(waiting.request);
            replies.push(waiting.reply);
        }
        let results = commit(requests);
        for (reply, result) in replies.into_iter().zip(results) {
            // A writer that is gone needs no answer.
            reply.send(Message::Done(result)).ok();
        }
    }

    fn take_batch(&self) -> Vec<Waiting<Q, R>> {
        let mut queue = self.queue();
        let mut batch = Vec::new();
        let mut bytes = 0;
        while let Some(next) = queue.waiting.front() {
            let full = bytes + next.bytes > self.max_bytes
                || batch.len() == self.max_requests;
            if full && !batch.is_empty() {
                break;
            }
            bytes += next.bytes;
            batch.extend(queue.waiting.pop_front());
        }
        batch
    }

    fn pass_on(&self) {
        let mut queue = self.queue();
        // A writer waits for its answer as long as it is queued.
        queue.is_led = match queue.waiting.front() {
            Some(next) => next.reply.send(Message::Lead).is_ok(),
            None => false,
        };
    }

    fn queue(&self) -> MutexGuard<'_, Queue<Q, R>> {
        self.queue.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

struct PassOn<'a, Q, R>(&'a Group<Q, R>);

impl<Q, R> Drop for PassOn<'_, Q, R> {
    fn drop(&mut self) {
        self.0.pass_on();
    }
}
