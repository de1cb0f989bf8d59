use std::time::{Duration, Instant};

use budget::{BodyPace, MemoryBudget, Reservation};
use bytes::Bytes;
use http::{Extensions, StatusCode};
use http_body::Body;
use http_body_util::BodyExt;
use hyper::body::Incoming;
use tokio::time;

use crate::{Refusal, connection::CallerConnection};

/// What a request holds besides its body: its head, a frame of its body, and
/// the buffers of the connection to an endpoint and of the response.
const REQUEST_BYTES: u64 = 32 * 1024;

/// Size of the first buffer for a body of unknown length.
const FIRST_CAPACITY: usize = 16 * 1024;

/// Retry delay for callers that are refused for want of memory, in
/// milliseconds; bodies that have stopped are evicted within a second.
const MEMORY_RETRY_MS: u64 = 500;

/// Limits of one body.
#[derive(Clone, Copy, Debug)]
pub struct BodyTerms {
    /// Maximum size, in bytes.
    pub max_bytes: usize,
    /// How many times the size of the body is reserved for it and what is
    /// made of it.
    pub copies: u64,
    /// When the caller stops waiting, if it has said so.
    pub ends_at: Option<Instant>,
    /// Time in which the body has to arrive.
    pub pace: BodyPace,
}

/// A complete body and the memory that is reserved for it.
#[derive(Debug)]
pub struct ReceivedBody {
    /// The bytes.
    pub bytes: Bytes,
    /// Reserved for as long as anything holds the bytes, or what is made of
    /// them.
    pub reservation: Reservation,
}

/// Reads a complete body, for which memory is reserved before it is read.
///
/// # Errors
///
/// The [`Refusal`] for a body that is too large, incomplete or too slow, or
/// for which there is no memory. The request has not run then.
pub async fn receive_body(
    body: Incoming,
    budget: &MemoryBudget,
    terms: BodyTerms,
    extensions: &Extensions,
) -> Result<ReceivedBody, Refusal> {
    if body.size_hint().lower() > terms.max_bytes as u64 {
        return Err(Refusal::body_too_large());
    }
    let receiver = Receiver::new(&body, budget, terms)?;
    let connection = extensions.get::<CallerConnection>();
    if let Some(connection) = connection {
        connection.receiving();
    }
    let received = receiver.receive(body, connection).await;
    if let Some(connection) = connection {
        connection.serving();
    }
    received
}

/// Returns the refusal of a request for which there is no memory.
pub fn out_of_memory() -> Refusal {
    let refusal = Refusal::not_run("the memory for callers is in use");
    refusal.with_retry_after_ms(MEMORY_RETRY_MS)
}

fn too_slow() -> Refusal {
    let reason = "the body of the request arrives too slowly";
    Refusal::rejected(StatusCode::REQUEST_TIMEOUT, reason).closing()
}

fn broken_off() -> Refusal {
    let reason = "the body of the request breaks off";
    Refusal::rejected(StatusCode::BAD_REQUEST, reason)
}

struct Receiver {
    terms: BodyTerms,
    reservation: Reservation,
    started: Instant,
    /// The only frame, which is not copied.
    first: Bytes,
    all: Vec<u8>,
}

impl Receiver {
    fn new(
        body: &Incoming,
        budget: &MemoryBudget,
        terms: BodyTerms,
    ) -> Result<Self, Refusal> {
        let length = body.size_hint().exact();
        let length = length.unwrap_or(FIRST_CAPACITY as u64);
        let bytes = reserved_bytes(length, terms.copies);
        let reservation = budget.reserve(bytes);
        let reservation =
            reservation.map_err(|_| out_of_memory().closing())?;
        let all = match body.size_hint().exact() {
            Some(length) => Vec::with_capacity(length as usize),
            None => Vec::new(),
        };
        Ok(Self {
            terms,
            reservation: reservation.receiving(),
            started: Instant::now(),
            first: Bytes::new(),
            all,
        })
    }

    async fn receive(
        mut self,
        mut body: Incoming,
        connection: Option<&CallerConnection>,
    ) -> Result<ReceivedBody, Refusal> {
        while !body.is_end_stream() {
            let frame = tokio::select! {
                biased;
                frame = time::timeout_at(
                    self.deadline().into(),
                    body.frame(),
                ) => frame.map_err(|_| too_slow())?,
                () = self.reservation.evicted() => return Err(too_slow()),
            };
            let Some(frame) = frame else {
                break;
            };
            let frame = frame.map_err(|_| broken_off())?;
            if let Ok(data) = frame.into_data() {
                self.reservation.record(data.len() as u64);
                if let Some(connection) = connection {
                    connection.receiving();
                }
                self.push(data)?;
            }
        }
        self.finish()
    }

    /// Returns when the body has to be complete.
    fn deadline(&self) -> Instant {
        let received = self.len() as u64;
        let allowed_ms = self.terms.pace.allowed_ms(received);
        let deadline = self.started + Duration::from_millis(allowed_ms);
        self.terms.ends_at.map_or(deadline, |at| at.min(deadline))
    }

    fn len(&self) -> usize {
        self.first.len() + self.all.len()
    }

    fn push(&mut self, data: Bytes) -> Result<(), Refusal> {
        let length = self.len() + data.len();
        if length > self.terms.max_bytes {
            return Err(Refusal::body_too_large());
        }
        if self.len() == 0 {
            self.first = data;
            return Ok(());
        }
        self.make_room(length)?;
        let first = std::mem::take(&mut self.first);
        self.all.extend_from_slice(&first);
        self.all.extend_from_slice(&data);
        Ok(())
    }

    /// Reserves memory before the buffer grows. The old buffer exists until
    /// its content is copied.
    fn make_room(&mut self, length: usize) -> Result<(), Refusal> {
        let old = self.all.capacity();
        if length <= old {
            return Ok(());
        }
        let new = length.max(old * 2).max(FIRST_CAPACITY);
        let new = new.min(self.terms.max_bytes);
        let reserved = reserved_bytes(new as u64, self.terms.copies);
        self.reservation.grow_to(reserved + old as u64).map_err(
            |_| match self.reservation.is_evicted() {
                true => too_slow(),
                false => out_of_memory().closing(),
            },
        )?;
        self.all.reserve_exact(new - self.all.len());
        self.reservation.shrink_to(reserved);
        Ok(())
    }

    fn finish(self) -> Result<ReceivedBody, Refusal> {
        self.reservation.complete().map_err(|_| too_slow())?;
        let bytes = match self.all.is_empty() {
            true => self.first,
            false => Bytes::from(self.all),
        };
        Ok(ReceivedBody {
            bytes,
            reservation: self.reservation,
        })
    }
}

fn reserved_bytes(body_bytes: u64, copies: u64) -> u64 {
    REQUEST_BYTES + body_bytes.saturating_mul(copies)
}
