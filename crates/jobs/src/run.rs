use std::{
    future::poll_fn,
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::{Duration, Instant},
};

use access::Admitted;
use base::Customer;
use budget::{MemoryBudget, Reservation};
use bytes::Bytes;
use fleet::{Endpoint, EndpointRecord, Route, VersionBinding};
use http::{HeaderName, HeaderValue, Method, Request, StatusCode, header};
use pass::{
    EventSplitter, Exchange, Failure, Forwarder, Inbound, IncompleteResponse,
};
use tokio::time;

use crate::{
    SilenceClock,
    record::{ItemCheckpoint, ItemInput, JobKey},
};

/// The output of an item so far. It outlives a run, so that the next run
/// resumes after the last event, at the version that generated the first one.
#[derive(Clone, Debug, Default)]
pub struct Progress(Arc<Mutex<Produced>>);

/// What the output of an item may take.
#[derive(Clone, Debug)]
pub struct OutputLimits {
    /// The memory of all outputs together.
    pub memory: MemoryBudget,
    /// Maximum size of the output of one item, in bytes.
    pub max_bytes: usize,
}

/// Why the output of an item cannot grow.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
enum OutputError {
    /// It would exceed the size that can be stored.
    TooLarge,
    /// The memory for outputs is in use.
    NoMemory,
}

/// Copies of an output that exist at the same time: the output, and that in a
/// checkpoint or a result.
const OUTPUT_COPIES: u64 = 2;

/// Ratio of the size at which the output of a run is dropped to the largest
/// result that can be stored. One in between is whole, and its item is given
/// up for its size.
pub(crate) const DROPPED_PER_STORED: usize = 2;

/// Smallest capacity of an output, in bytes.
const MIN_OUTPUT_CAPACITY: usize = 1_024;

#[derive(Debug, Default)]
struct Produced {
    output: String,
    /// The memory of the output; none before it grows here.
    memory: Option<Reservation>,
    events: u64,
    last_id: Option<u64>,
    /// The service and version of the events; none before the first event, or
    /// if the version is not known.
    binding: Option<Arc<VersionBinding>>,
}

impl Produced {
    /// Makes room for more of the output.
    fn reserve(
        &mut self,
        more: usize,
        limits: &OutputLimits,
    ) -> Result<(), OutputError> {
        let length = self.output.len() + more;
        if length > limits.max_bytes {
            return Err(OutputError::TooLarge);
        }
        let old = self.output.capacity();
        if length <= old && self.memory.is_some() {
            return Ok(());
        }
        let new = length.next_power_of_two().max(MIN_OUTPUT_CAPACITY);
        let bytes = OUTPUT_COPIES * new as u64;
        let no_memory = |_| OutputError::NoMemory;
        // A reservation may be smaller than requested if it is the only one.
        if bytes + old as u64 > limits.memory.max_bytes() {
            return Err(OutputError::NoMemory);
        }
        let memory = match self.memory.take() {
            Some(memory) => memory,
            None => limits.memory.reserve(bytes).map_err(no_memory)?,
        };
        let memory = self.memory.insert(memory);
        // The old text exists until it is copied.
        memory.grow_to(bytes + old as u64).map_err(no_memory)?;
        self.output.reserve_exact(new - self.output.len());
        memory.shrink_to(bytes);
        Ok(())
    }

    /// Reports whether the item has an event, which may be one without data.
    fn has_begun(&self) -> bool {
        self.events > 0 || self.last_id.is_some()
    }
}

impl Progress {
    /// Restores the output from a checkpoint.
    pub fn restore(saved: &ItemCheckpoint) -> Self {
        Self(Arc::new(Mutex::new(Produced {
            output: saved.output.clone(),
            events: saved.events,
            last_id: Some(saved.last_id),
            binding: Some(saved.binding.clone()),
            memory: None,
        })))
    }

    /// Returns a checkpoint of the item: `None` before its first event, and
    /// for streams that cannot be resumed, because their events have no ids or
    /// their version is not known.
    pub fn checkpoint(
        &self,
        number: u32,
        ran_ms: u64,
    ) -> Option<ItemCheckpoint> {
        let produced = self.lock();
        Some(ItemCheckpoint {
            number,
            last_id: produced.last_id?,
            events: produced.events,
            ran_ms,
            binding: produced.binding.clone()?,
            output: produced.output.clone(),
        })
    }

    /// Returns the id of the last complete event.
    pub fn last_id(&self) -> Option<u64> {
        self.lock().last_id
    }

    /// Returns the number of events.
    pub fn events(&self) -> u64 {
        self.lock().events
    }

    /// Returns the data of all events, separated by line feeds.
    pub fn output(&self) -> String {
        self.lock().output.clone()
    }

    /// Returns the service and version of the events.
    pub fn binding(&self) -> Option<Arc<VersionBinding>> {
        self.lock().binding.clone()
    }

    /// Reports whether there are no events, or a run can resume after the
    /// last of them.
    pub fn is_resumable(&self) -> bool {
        let produced = self.lock();
        let has_origin =
            produced.binding.is_some() && produced.last_id.is_some();
        !produced.has_begun() || has_origin
    }

    /// Reports whether any event has arrived.
    pub fn has_begun(&self) -> bool {
        self.lock().has_begun()
    }

    /// Reports whether an endpoint may run the rest of the item.
    pub fn permits(&self, record: &EndpointRecord) -> bool {
        let produced = self.lock();
        let binding = produced.binding.as_ref();
        !produced.has_begun()
            || binding.is_some_and(|binding| binding.permits(record))
    }

    /// Takes the memory of the output, for what is made of it.
    pub(crate) fn take_memory(&self) -> Option<Reservation> {
        self.lock().memory.take()
    }

    /// Drops the output, so that the next run begins anew.
    fn clear(&self) {
        *self.lock() = Produced::default();
    }

    fn add(
        &self,
        events: &[u8],
        last_id: Option<u64>,
        record: &EndpointRecord,
        limits: &OutputLimits,
    ) -> Result<(), OutputError> {
        let mut produced = self.lock();
        if !produced.has_begun() {
            produced.binding = VersionBinding::of(record).map(Arc::new);
        }
        for line in events.split(|byte| matches!(byte, b'\n' | b'\r')) {
            let Some(data) = line.strip_prefix(b"data:") else {
                continue;
            };
            let data = data.strip_prefix(b" ").unwrap_or(data);
            let data = String::from_utf8_lossy(data);
            produced.reserve(data.len() + 1, limits)?;
            if produced.events > 0 {
                produced.output.push('\n');
            }
            produced.output.push_str(&data);
            produced.events += 1;
        }
        produced.last_id = last_id;
        Ok(())
    }

    fn lock(&self) -> MutexGuard<'_, Produced> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// The outcome of a run.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum RunOutcome {
    /// The output is complete.
    Complete,
    /// The endpoint rejected the item permanently.
    Rejected,
    /// The endpoint failed while it ran the item.
    Error(StatusCode),
    /// The output, which is dropped, exceeds by far what can be stored. This
    /// counts as an error: another endpoint may complete the item.
    TooLarge,
    /// The endpoint did not run the item.
    NotRun,
    /// The item was not sent, since it is quarantined as a poison request.
    Held {
        /// When the item may be tried again, in milliseconds from now.
        for_ms: u64,
    },
    /// The run broke off; the events received so far are kept.
    Broken(BreakCause),
}

/// Why a run broke off.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub enum BreakCause {
    /// The connection was lost, or ended before the output was complete.
    Connection,
    /// The endpoint was silent for so long that the connection counts as dead.
    Silent {
        /// Duration of the silence, in milliseconds.
        for_ms: u64,
    },
    /// The response belongs to another request.
    WrongId,
    /// The response does not come from the endpoint itself.
    NotSealed(StatusCode),
    /// The status promises that the item did not run, and the endpoint does
    /// not state so; or it states so with a success.
    UnprovenRefusal(StatusCode),
    /// There was no memory for the output, which is dropped.
    NoMemory,
    /// A failure has a body without end.
    EndlessFailure,
}

/// One run of one item at one endpoint.
pub struct ItemRun {
    /// The item.
    pub input: ItemInput,
    /// Host of the job's route.
    pub host: String,
    /// The job's route.
    pub route: Arc<Route>,
    /// The job of the item.
    pub job: JobKey,
    /// The customer that owns the job.
    pub customer: Option<Customer>,
    /// The endpoint.
    pub endpoint: Endpoint,
    /// The output of earlier runs.
    pub progress: Progress,
    /// When the endpoint last sent something.
    pub silence: SilenceClock,
    /// What the output may take.
    pub limits: OutputLimits,
}

/// Maximum size of the body of a failure, in bytes, which is not kept.
const MAX_FAILURE_BYTES: usize = 1024 * 1024;

/// Sends items to endpoints.
pub type ItemForwarder = Arc<Forwarder>;

/// Maximum duration of a run, in milliseconds. A longer run is resumed after
/// its last event.
const MAX_RUN_MS: u64 = 60_000;

/// Silence after which the connection of a run counts as dead, in
/// milliseconds.
///
/// A sound endpoint may be silent for a few seconds and go on, and its work is
/// lost if the run ends before. The kernel reports a peer that acknowledges
/// nothing; this limit is for a peer whose kernel responds although the process
/// never does.
const DEAD_AFTER_MS: u64 = 5_000;

/// Silence whose end is logged, in milliseconds.
const LOGGED_SILENCE_MS: u64 = 1_000;

impl ItemRun {
    /// Runs the item to its end. If the future is dropped, the connection is
    /// closed, which stops the work of the endpoint.
    pub async fn run(self, forwarder: &ItemForwarder) -> RunOutcome {
        let Some(request) = self.request(forwarder).map(Arc::new) else {
            return RunOutcome::Rejected;
        };
        let after = self.progress.last_id();
        let wait = Duration::from_millis(DEAD_AFTER_MS);
        let offer = forwarder.offer(&request, &self.endpoint, after, wait);
        let cause = match offer.await {
            Ok(exchange) => return self.read(exchange, after).await,
            Err(Failure::Held { for_ms }) => {
                return RunOutcome::Held { for_ms };
            }
            Err(Failure::Broken) => BreakCause::Connection,
            Err(Failure::Silent) => self.dead(),
            Err(Failure::WrongId) => BreakCause::WrongId,
            Err(Failure::NotSealed(status)) => BreakCause::NotSealed(status),
            Err(Failure::UnprovenRefusal(status)) => {
                BreakCause::UnprovenRefusal(status)
            }
            Err(Failure::Connect | Failure::NotSent) => {
                return RunOutcome::NotRun;
            }
            Err(Failure::NotExecuted(_)) => return RunOutcome::NotRun,
        };
        RunOutcome::Broken(cause)
    }

    /// Ends the run of an item whose output cannot grow. An endpoint may send
    /// events without end, so that the output is not resumed.
    fn drop_output(&self, error: OutputError) -> RunOutcome {
        log::warn!(
            request_id = self.input.id.as_str(),
            job = self.job.as_str(),
            endpoint = self.endpoint.record().id.as_str(),
            events = self.progress.events(),
            max_bytes = self.limits.max_bytes,
            error:?;
            "the output of an item cannot grow and is dropped"
        );
        self.progress.clear();
        match error {
            OutputError::TooLarge => RunOutcome::TooLarge,
            OutputError::NoMemory => RunOutcome::Broken(BreakCause::NoMemory),
        }
    }

    fn dead(&self) -> BreakCause {
        BreakCause::Silent {
            for_ms: self.silence.silent_ms(),
        }
    }

    /// Records that the endpoint has sent something.
    fn record_reception(&self) {
        let silent_ms = self.silence.reset();
        if silent_ms >= LOGGED_SILENCE_MS {
            log::info!(
                request_id = self.input.id.as_str(),
                job = self.job.as_str(),
                endpoint = self.endpoint.record().id.as_str(),
                events = self.progress.events(),
                silent_ms;
                "a silent run of an item goes on"
            );
        }
    }

    fn request(&self, forwarder: &ItemForwarder) -> Option<Inbound> {
        let mut request = Request::new(());
        *request.method_mut() = Method::POST;
        *request.uri_mut() = self.input.path.parse().ok()?;
        let headers = request.headers_mut();
        for (name, value) in &self.input.headers {
            let name: HeaderName = name.parse().ok()?;
            headers.append(name, HeaderValue::from_str(value).ok()?);
        }
        let host = HeaderValue::from_str(&self.host).ok()?;
        headers.insert(header::HOST, host);
        let id = HeaderValue::from_str(&self.input.id).ok()?;
        headers.insert(forwarder.names().request_id.clone(), id);
        let (parts, ()) = request.into_parts();
        let inbound = Inbound::new(
            parts,
            Bytes::from(self.input.body.clone()),
            self.route.clone(),
            forwarder.names(),
            Instant::now(),
            Admitted::item(self.customer.clone()),
        );
        let inbound = inbound.with_job(self.job.as_str());
        Some(inbound.with_wait_ms(MAX_RUN_MS))
    }

    async fn read(
        self,
        mut exchange: Exchange,
        after: Option<u64>,
    ) -> RunOutcome {
        self.record_reception();
        let failure = match exchange.status() {
            status if status.is_success() => None,
            StatusCode::UNPROCESSABLE_ENTITY => Some(RunOutcome::Rejected),
            status => Some(RunOutcome::Error(status)),
        };
        let mut splitter = EventSplitter::new(after);
        let mut failure_bytes = 0;
        let limit = Duration::from_millis(DEAD_AFTER_MS);
        loop {
            let next = poll_fn(|cx| exchange.poll_data(cx));
            let cause = match time::timeout(limit, next).await {
                Ok(Some(Ok(chunk))) => {
                    self.record_reception();
                    // A failure that breaks off is none: it would give up an
                    // item that another endpoint may complete.
                    if failure.is_some() {
                        failure_bytes += chunk.len();
                        if failure_bytes > MAX_FAILURE_BYTES {
                            let cause = BreakCause::EndlessFailure;
                            return RunOutcome::Broken(cause);
                        }
                        continue;
                    }
                    let split = splitter.push(chunk);
                    if !split.events.is_empty() {
                        let record = self.endpoint.record();
                        let last_id = splitter.last_id();
                        let events = &split.events;
                        let limits = &self.limits;
                        let added =
                            self.progress.add(events, last_id, record, limits);
                        if let Err(error) = added {
                            return self.drop_output(error);
                        }
                    }
                    exchange.advance_to(splitter.last_id().unwrap_or(0));
                    continue;
                }
                Ok(None) => return failure.unwrap_or(RunOutcome::Complete),
                // The text of a failure need not be what its type says. With
                // a marked end it is whole all the same.
                Ok(Some(Err(IncompleteResponse::Truncated(_))))
                    if failure.is_some() && exchange.has_marked_end() =>
                {
                    return failure.unwrap_or(RunOutcome::Complete);
                }
                Ok(Some(Err(_))) => BreakCause::Connection,
                Err(_) => self.dead(),
            };
            return RunOutcome::Broken(cause);
        }
    }
}
