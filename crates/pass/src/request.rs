use std::{
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use access::Admitted;
use base::{Customer, RequestContent, RequestDigest};
use budget::Reservation;
use bytes::{Bytes, BytesMut};
use fleet::{MAX_REQUEST_MS, Route};
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header,
    request::Parts, uri::PathAndQuery,
};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use origins::{StreamId, StreamKey, StreamKeys};
use quarantine::EvidenceKeys;

use crate::{HeaderNames, Refusal, SharedParts};

/// Headers that apply to a single connection.
const HOP_BY_HOP: [HeaderName; 9] = [
    header::CONNECTION,
    HeaderName::from_static("keep-alive"),
    HeaderName::from_static("proxy-connection"),
    header::PROXY_AUTHENTICATE,
    header::PROXY_AUTHORIZATION,
    header::TE,
    header::TRAILER,
    header::TRANSFER_ENCODING,
    header::UPGRADE,
];

/// Removes hop-by-hop headers, including those that `Connection` lists.
pub(crate) fn strip_hop_by_hop(headers: &mut HeaderMap) {
    let named: Vec<HeaderName> = headers
        .get_all(header::CONNECTION)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|text| text.split(','))
        .filter_map(|part| part.trim().parse().ok())
        .collect();
    for name in named.iter().chain(&HOP_BY_HOP) {
        headers.remove(name);
    }
}

/// Reads a complete body up to a size limit.
///
/// # Errors
///
/// The [`Refusal`] for a body that is too large or incomplete.
pub async fn read_body(
    mut body: Incoming,
    max_bytes: usize,
) -> Result<Bytes, Refusal> {
    const TOO_LARGE: Refusal = Refusal::body_too_large();
    if body.size_hint().lower() > max_bytes as u64 {
        return Err(TOO_LARGE);
    }
    let mut first = Bytes::new();
    let mut all = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let Ok(frame) = frame else {
            return Err(Refusal::rejected(
                StatusCode::BAD_REQUEST,
                "the body of the request breaks off",
            ));
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        if first.len() + all.len() + data.len() > max_bytes {
            return Err(TOO_LARGE);
        }
        if first.is_empty() && all.is_empty() {
            first = data;
            continue;
        }
        if all.is_empty() {
            all.extend_from_slice(&std::mem::take(&mut first));
        }
        all.extend_from_slice(&data);
    }
    Ok(match all.is_empty() {
        true => first,
        false => all.freeze(),
    })
}

/// A client request with all data to send it to endpoints, once or several
/// times.
#[derive(Debug)]
pub struct Inbound {
    id: String,
    route: Arc<Route>,
    method: Method,
    target: PathAndQuery,
    headers: HeaderMap,
    body: Bytes,
    arrived: Instant,
    ends_at: Instant,
    resume_after: Option<u64>,
    /// Whether the id of the last event is not a number.
    is_resume_malformed: bool,
    /// Id of the client attempt that received the stream's first event.
    resumes: Option<String>,
    affinity: u64,
    /// The parts of the prompt, empty for a request without a prompt.
    prompt: Box<str>,
    admitted: Admitted,
    digest: OnceLock<RequestDigest>,
    /// Id of the job of which the request is an item, if any.
    job: Option<String>,
    /// The memory that is reserved for the request.
    _reservation: Option<Reservation>,
}

/// Minimum remaining time of a client that has not waited yet, in percent of
/// the timeout of the route. Clients that set a shorter deadline from the
/// start count as retrying; the only effect is a slightly longer queue.
const MIN_FRESH_PERCENT: u64 = 95;

/// Maximum number of parts of a prompt for which crash records are kept. A
/// prompt with more parts is longer than any that callers build by hand.
const MAX_PART_KEYS: usize = 64;

/// Added to the time for which the origin of a stream is stored, in
/// milliseconds: clients wait a little longer than they announce.
const ORIGIN_MARGIN_MS: u64 = 5_000;

impl Inbound {
    /// Creates a request from its parts. The admission sets the customer in
    /// each copy that is sent to an endpoint.
    ///
    /// The request ends at the deadline of the client or at the timeout of
    /// the route, whichever comes first.
    pub fn new(
        parts: Parts,
        body: Bytes,
        route: Arc<Route>,
        names: &HeaderNames,
        arrived: Instant,
        admitted: Admitted,
    ) -> Self {
        let Parts {
            method,
            uri,
            mut headers,
            ..
        } = parts;
        let text = |name| headers.get(name).and_then(|v| v.to_str().ok());
        let id = text(&names.request_id).unwrap_or_default().to_owned();
        let resume_text = headers.get(&names.resume_after);
        let resume_after = text(&names.resume_after)
            .and_then(|text| text.trim().parse().ok());
        let is_resume_malformed =
            resume_text.is_some() && resume_after.is_none();
        let resumes = text(&names.resumes).map(str::to_owned);
        let affinity = match text(&names.prompt_parts) {
            Some(parts) => affinity(parts),
            None => hash(&id),
        };
        let prompt = text(&names.prompt_parts).unwrap_or_default().into();
        let wait_ms = deadline_ms(&headers, names)
            .unwrap_or(u64::MAX)
            .min(route.timeout_ms())
            .min(MAX_REQUEST_MS);
        strip_hop_by_hop(&mut headers);
        headers.remove(header::EXPECT);
        headers.remove(header::CONTENT_LENGTH);
        admitted.write(&mut headers, &names.keys);
        Self {
            id,
            route,
            method,
            target: origin_form(&uri),
            headers,
            body,
            arrived,
            ends_at: arrived + Duration::from_millis(wait_ms),
            resume_after,
            is_resume_malformed,
            resumes,
            affinity,
            prompt,
            admitted,
            digest: OnceLock::new(),
            job: None,
            _reservation: None,
        }
    }

    /// Holds the memory of the request until it has ended.
    #[must_use]
    pub fn with_reservation(mut self, reservation: Reservation) -> Self {
        self._reservation = Some(reservation);
        self
    }

    /// Marks the request as an item of a job: its crash records also count
    /// for the job, and for all items of the same path.
    #[must_use]
    pub fn with_job(mut self, job: &str) -> Self {
        self.job = Some(job.to_owned());
        self
    }

    /// Replaces the timeout of the request, counted from its arrival.
    #[must_use]
    pub fn with_wait_ms(mut self, wait_ms: u64) -> Self {
        let wait = Duration::from_millis(wait_ms.min(MAX_REQUEST_MS));
        self.ends_at = self.arrived + wait;
        self
    }

    /// Returns the id of the attempt.
    #[inline]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the digest of the content of the request, which all attempts
    /// share. It is computed on first use; most requests never need it.
    pub fn digest(&self) -> RequestDigest {
        *self.digest.get_or_init(|| {
            RequestDigest::of(RequestContent {
                customer: self.customer(),
                method: self.method.as_str(),
                host: self.host(),
                target: self.target.as_str(),
                body: &self.body,
            })
        })
    }

    /// Returns the keys under which crash records of the request at endpoints
    /// of a service are stored.
    pub fn evidence_keys(&self, service: &str) -> EvidenceKeys {
        let keys = EvidenceKeys::from(self.digest());
        let parts = self.part_keys(service);
        let keys = parts.into_iter().fold(keys, EvidenceKeys::with_part);
        let Some(job) = &self.job else {
            return keys;
        };
        let customer = self.customer();
        let path = [customer, self.host(), self.target.as_str()];
        keys.of_item()
            .with_group(RequestDigest::of_group("job", &[customer, job]))
            .with_group(RequestDigest::of_group("path of items", &path))
    }

    /// Returns the keys under which crash records of the shared parts of the
    /// prompt are stored.
    ///
    /// A part is the same in requests of all customers and routes. Endpoints
    /// of two services may treat it differently.
    pub fn part_keys(&self, service: &str) -> Vec<RequestDigest> {
        let ids = self.shared_parts().ids().take(MAX_PART_KEYS);
        let key = |id| RequestDigest::of_group("prompt part", &[service, id]);
        ids.map(key).collect()
    }

    fn host(&self) -> &str {
        let host = self.headers.get(header::HOST);
        host.and_then(|host| host.to_str().ok()).unwrap_or_default()
    }

    /// Returns the name of the customer, or an empty string.
    #[inline]
    pub fn customer(&self) -> &str {
        self.admitted.customer().map_or("", |name| name.as_str())
    }

    /// Returns the customer, if the request has one.
    #[inline]
    pub(crate) fn admitted_customer(&self) -> Option<&Customer> {
        self.admitted.customer()
    }

    /// Returns the priority: that of the customer, else that of the route; 0 is
    /// the most urgent.
    pub fn priority(&self) -> u32 {
        let priority = self.admitted.priority();
        priority.unwrap_or_else(|| self.route.priority())
    }

    /// Returns the route.
    #[inline]
    pub fn route(&self) -> &Route {
        &self.route
    }

    /// Returns the time of arrival.
    #[inline]
    pub fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Returns the time at which the request ends in any state.
    #[inline]
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Returns the id of the last event that the client has received.
    #[inline]
    pub fn resume_after(&self) -> Option<u64> {
        self.resume_after
    }

    /// Reports whether the client asks to resume a stream after an event whose
    /// id is not a number.
    #[inline]
    pub fn is_resume_malformed(&self) -> bool {
        self.is_resume_malformed
    }

    /// Reports whether the client already has events of the stream.
    pub fn resumes_stream(&self) -> bool {
        self.route.kind().is_stream()
            && self.resume_after.is_some_and(|after| after > 0)
    }

    /// Returns the keys under which the origin of the stream is stored, which
    /// this attempt begins or resumes.
    ///
    /// A client names the first attempt in all later ones, so that what a later
    /// attempt learns of the stream is stored under the first one too.
    pub fn stream_keys(&self) -> StreamKeys {
        let first = self.resumes().filter(|_| self.resumes_stream());
        let attempt = first.unwrap_or(&self.id);
        StreamKeys {
            attempt: StreamKey::of_attempt(self.customer(), attempt),
            content: self.content_key(),
        }
    }

    /// Returns the stream that this request resumes: by the attempt that began
    /// it, or by its content if the client does not name the attempt.
    pub fn resumed_stream(&self) -> StreamId {
        match self.resumes() {
            Some(first) => StreamId::Attempt(StreamKey::of_attempt(
                self.customer(),
                first,
            )),
            None => StreamId::Content(self.content_key()),
        }
    }

    fn content_key(&self) -> StreamKey {
        StreamKey::of_content(self.digest(), &self.prompt)
    }

    /// Returns how long a client may come back to the stream, in milliseconds.
    pub fn origin_lifetime_ms(&self) -> u64 {
        let allowed = self.ends_at.saturating_duration_since(self.arrived);
        let allowed_ms = allowed.as_millis() as u64;
        allowed_ms.max(self.route.timeout_ms()) + ORIGIN_MARGIN_MS
    }

    /// Returns the id of the client attempt that received the first event of
    /// the stream that this request resumes.
    #[inline]
    pub fn resumes(&self) -> Option<&str> {
        self.resumes.as_deref()
    }

    /// Returns the parts of the prompt that other requests may share.
    pub fn shared_parts(&self) -> SharedParts<'_> {
        SharedParts::of(&self.prompt)
    }

    /// Returns the hash of the shared parts of the prompt, or the hash of the
    /// id for a request without a prompt.
    ///
    /// If all requests without a prompt had the hash of an empty prompt, they
    /// would prefer the same few endpoints and leave others without requests.
    #[inline]
    pub fn affinity(&self) -> u64 {
        self.affinity
    }

    /// Returns whether the client spent part of its time before it sent this
    /// request, as a client does that was refused and retries.
    pub fn has_waited(&self) -> bool {
        let given = self.ends_at.saturating_duration_since(self.arrived);
        let given_ms = given.as_millis() as u64;
        given_ms < self.route.timeout_ms() * MIN_FRESH_PERCENT / 100
    }

    /// Returns the remaining time.
    pub fn remaining(&self) -> Duration {
        self.ends_at.saturating_duration_since(Instant::now())
    }

    /// Builds the request for one endpoint.
    pub(crate) fn outbound(
        &self,
        names: &HeaderNames,
        endpoint: &str,
        resume_after: Option<u64>,
    ) -> http::Request<Full<Bytes>> {
        let mut request = http::Request::new(Full::new(self.body.clone()));
        *request.method_mut() = self.method.clone();
        *request.uri_mut() = Uri::from(self.target.clone());
        let mut headers = self.headers.clone();
        let remaining_ms = self.remaining().as_millis().max(1) as u64;
        headers.insert(
            names.deadline_ms.clone(),
            HeaderValue::from(remaining_ms),
        );
        if let Ok(id) = HeaderValue::from_str(endpoint) {
            headers.insert(names.target.clone(), id);
        }
        if let Some(after) = resume_after {
            headers
                .insert(names.resume_after.clone(), HeaderValue::from(after));
        }
        *request.headers_mut() = headers;
        request
    }
}

/// Returns how long the client of a request waits, if the request says so.
pub fn deadline_ms(headers: &HeaderMap, names: &HeaderNames) -> Option<u64> {
    let value = headers.get(&names.deadline_ms)?;
    value.to_str().ok()?.parse().ok()
}

fn origin_form(uri: &Uri) -> PathAndQuery {
    let root = || PathAndQuery::from_static("/");
    uri.path_and_query().cloned().unwrap_or_else(root)
}

/// Hashes the parts of the prompt except the last one, which is specific to
/// the request.
fn affinity(parts: &str) -> u64 {
    hash(SharedParts::of(parts).as_str())
}

/// Hashes a text with FNV-1a: the value is only compared within this process,
/// and a cryptographic hash costs a microsecond per request.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
