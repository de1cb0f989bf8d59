//! Reads the bodies of callers within the memory for all of them.

use std::{
    convert::Infallible,
    io,
    time::{Duration, Instant},
};

use budget::{BodyPace, MemoryBudget, Reservation};
use bytes::Bytes;
use conf::settings::LimitSettings;
use rocket::{
    Data, Request,
    data::{ByteUnit, DataStream},
    request::{FromRequest, Outcome},
};
use tokio::{
    io::{AsyncRead, AsyncReadExt},
    time,
};
use web::{Problem, ProblemKind, Ran};

use crate::shared::Shared;

/// Copies of a body that exist at the same time: the body, which is kept for
/// further attempts, the message to the companion, and its buffers.
const COPIES: u64 = 4;

/// What a call holds besides its body.
const CALL_BYTES: u64 = 64 * 1024;

/// Size of the first buffer for a body.
const FIRST_CAPACITY: usize = 16 * 1024;

/// Retry delay for callers that are refused for want of memory, in
/// milliseconds; bodies that have stopped are evicted within a second.
const MEMORY_RETRY_MS: u64 = 1_000;

/// Pause of a caller that is refused after which it is taken to have sent
/// everything.
const LINGER_PAUSE: Duration = Duration::from_millis(200);

/// Size of the buffer for discarded bytes.
const DISCARD_BYTES: usize = 8 * 1024;

/// The length that a caller has announced for a body.
#[derive(Clone, Copy, Debug)]
pub(crate) struct AnnouncedLength(pub(crate) Option<u64>);

impl AnnouncedLength {
    pub(crate) fn of(request: &Request<'_>) -> Self {
        let text = request.headers().get_one("content-length");
        Self(text.and_then(|text| text.parse().ok()))
    }
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for AnnouncedLength {
    type Error = Infallible;

    async fn from_request(
        request: &'r Request<'_>,
    ) -> Outcome<Self, Infallible> {
        Outcome::Success(Self::of(request))
    }
}

/// A complete body and the memory that is reserved for it.
pub(crate) struct Received {
    pub(crate) bytes: Bytes,
    pub(crate) reservation: Reservation,
}

/// Reads a complete body, for which memory is reserved before it is read.
///
/// A caller that is refused may go on sending for a while, so that it gets the
/// response.
pub(crate) async fn receive_body(
    shared: &Shared,
    data: Data<'_>,
    announced: AnnouncedLength,
) -> Result<Received, Problem> {
    let limits = &shared.limits;
    let mut stream = open(data, limits, limits.body_max_bytes);
    let received = receive(shared, &mut stream, announced).await;
    if received.is_err() {
        discard(&mut stream, limits).await;
    }
    received
}

/// Discards the body of a caller that is refused.
pub(crate) async fn discard_body(shared: &Shared, data: Data<'_>) {
    let limits = &shared.limits;
    discard(&mut open(data, limits, 0), limits).await;
}

/// Opens a body of which more than the limit can be read and discarded.
pub(crate) fn open<'a>(
    data: Data<'a>,
    limits: &LimitSettings,
    max_bytes: u64,
) -> DataStream<'a> {
    let all = max_bytes.saturating_add(limits.linger_bytes);
    data.open(ByteUnit::Byte(all.saturating_add(1)))
}

async fn receive(
    shared: &Shared,
    stream: &mut DataStream<'_>,
    announced: AnnouncedLength,
) -> Result<Received, Problem> {
    let limit = shared.limits.body_max_bytes;
    if announced.0.is_some_and(|length| length > limit) {
        return Err(too_large(limit));
    }
    let first = match announced.0 {
        Some(length) => length as usize + 1,
        None => FIRST_CAPACITY,
    };
    let arriving =
        Arriving::new(&shared.memory, &shared.limits, reserved(first))?;
    let mut body = Vec::with_capacity(first);
    loop {
        if body.len() == body.capacity() {
            let old = body.capacity();
            let new = old.saturating_mul(2).min(limit as usize + 1);
            arriving.grow_to(reserved(new) + old as u64)?;
            body.reserve_exact(new - old);
            arriving.reservation.shrink_to(reserved(new));
        }
        let received = body.len() as u64;
        let read = arriving.next(received, stream.read_buf(&mut body));
        match read.await?.map_err(|error| broken_off(&error))? {
            0 => break,
            read => arriving.reservation.record(read as u64),
        }
        if body.len() as u64 > limit {
            return Err(too_large(limit));
        }
    }
    Ok(Received {
        bytes: body.into(),
        reservation: arriving.complete()?,
    })
}

fn reserved(capacity: usize) -> u64 {
    CALL_BYTES + capacity as u64 * COPIES
}

fn too_large(limit: u64) -> Problem {
    let detail = format!("the body is over {limit} bytes");
    Problem::new(ProblemKind::TooLarge, detail).ran(Ran::No)
}

fn broken_off(error: &io::Error) -> Problem {
    let detail = format!("the body broke off: {error}");
    Problem::new(ProblemKind::BadRequest, detail).ran(Ran::No)
}

fn too_slow() -> Problem {
    let detail = "the body arrives too slowly";
    Problem::new(ProblemKind::BodyTimedOut, detail).ran(Ran::No)
}

fn out_of_memory() -> Problem {
    let detail = "the memory for callers is in use";
    Problem::new(ProblemKind::Overloaded, detail)
        .ran(Ran::No)
        .retry_after_ms(MEMORY_RETRY_MS)
}

/// The memory and the time of a body that arrives.
pub(crate) struct Arriving {
    pub(crate) reservation: Reservation,
    started: Instant,
    pace: BodyPace,
}

impl Arriving {
    pub(crate) fn new(
        memory: &MemoryBudget,
        limits: &LimitSettings,
        bytes: u64,
    ) -> Result<Self, Problem> {
        let reservation = memory.reserve(bytes);
        let reservation = reservation.map_err(|_| out_of_memory())?;
        Ok(Self {
            reservation: reservation.receiving(),
            started: Instant::now(),
            pace: BodyPace {
                timeout_ms: limits.body_timeout_ms,
                min_bytes_per_s: limits.body_min_bytes_per_s,
            },
        })
    }

    /// Reserves more memory.
    pub(crate) fn grow_to(&self, bytes: u64) -> Result<(), Problem> {
        let grown = self.reservation.grow_to(bytes);
        grown.map_err(|_| match self.reservation.is_evicted() {
            true => too_slow(),
            false => out_of_memory(),
        })
    }

    /// Waits for the next bytes of a body of which `received` have arrived.
    pub(crate) async fn next<T>(
        &self,
        received: u64,
        read: impl Future<Output = T>,
    ) -> Result<T, Problem> {
        let allowed_ms = self.pace.allowed_ms(received);
        let deadline = self.started + Duration::from_millis(allowed_ms);
        tokio::select! {
            biased;
            read = time::timeout_at(deadline.into(), read) => {
                read.map_err(|_| too_slow())
            }
            () = self.reservation.evicted() => Err(too_slow()),
        }
    }

    /// Keeps the memory while nothing is read.
    pub(crate) fn keep(&self) -> Result<(), Problem> {
        self.reservation.complete().map_err(|_| too_slow())
    }

    /// Returns the memory of a body that has arrived.
    pub(crate) fn complete(self) -> Result<Reservation, Problem> {
        self.keep()?;
        Ok(self.reservation)
    }
}

/// Reads and discards what a caller that is refused still sends.
///
/// The server library closes a connection whose body it has not read, and a
/// caller that still sends would lose the response.
pub(crate) async fn discard(
    stream: &mut (impl AsyncRead + Unpin),
    limits: &LimitSettings,
) {
    let mut buffer = vec![0; DISCARD_BYTES];
    let until = Instant::now() + Duration::from_millis(limits.linger_ms);
    let mut discarded = 0;
    while discarded < limits.linger_bytes && Instant::now() < until {
        let read = time::timeout(LINGER_PAUSE, stream.read(&mut buffer));
        match read.await {
            Ok(Ok(read)) if read > 0 => discarded += read as u64,
            // The end, an error or a pause.
            _ => return,
        }
    }
}
