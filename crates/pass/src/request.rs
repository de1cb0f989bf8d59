use std::{
    sync::{Arc, OnceLock},
    time::{Duration, Instant},
};

use access::Admitted;
use base::{RequestContent, RequestDigest};
use bytes::{Bytes, BytesMut};
use fleet::Route;
use http::{
    HeaderMap, HeaderName, HeaderValue, Method, StatusCode, Uri, header,
    request::Parts, uri::PathAndQuery,
};
use http_body::Body;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use quarantine::EvidenceKeys;

use crate::{HeaderNames, Refusal};

/// Headers that concern one connection only.
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

/// Removes what concerns one connection only, also what `Connection` names.
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

/// Reads a whole body, as long as it keeps to the limit.
///
/// # Errors
///
/// The [`Refusal`] that answers a body which is too large or breaks off.
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

/// A request of a caller with all that is needed to send it on, once or
/// several times.
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
    affinity: u64,
    admitted: Admitted,
    digest: OnceLock<RequestDigest>,
    /// The job that the request is an item of, if it is one.
    job: Option<String>,
}

/// Part of a route's time that a caller has left which has not waited yet,
/// in percent. Callers whose time is shorter from the start are taken for
/// ones that return; they may queue a little longer, no more.
const FRESH_PERCENT: u64 = 95;

impl Inbound {
    /// Takes a request apart. Its admission names the customer, in every
    /// copy that is sent to an endpoint.
    ///
    /// It ends at the caller's deadline or at the route's timeout, whichever
    /// comes first.
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
        let deadline_ms: Option<u64> =
            text(&names.deadline_ms).and_then(|text| text.parse().ok());
        let resume_after =
            text(&names.resume_after).and_then(|text| text.parse().ok());
        let affinity = match text(&names.prompt_parts) {
            Some(parts) => affinity(parts),
            None => hash(&id),
        };
        let wait_ms = deadline_ms
            .unwrap_or(u64::MAX)
            .min(route.timeout_ms())
            .min(LONGEST_MS);
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
            affinity,
            admitted,
            digest: OnceLock::new(),
            job: None,
        }
    }

    /// Makes the request an item of a job: what speaks against it counts
    /// for the job as well, and for all items of the same path.
    #[must_use]
    pub fn with_job(mut self, job: &str) -> Self {
        self.job = Some(job.to_owned());
        self
    }

    /// Replaces the time after which the request ends, counted from its
    /// arrival.
    #[must_use]
    pub fn with_wait_ms(mut self, wait_ms: u64) -> Self {
        let wait = Duration::from_millis(wait_ms.min(LONGEST_MS));
        self.ends_at = self.arrived + wait;
        self
    }

    /// Returns the id of the try.
    #[inline]
    pub fn id(&self) -> &str {
        &self.id
    }

    /// Returns the digest of what the request asks for, which all tries of
    /// it share. It is made when it is first asked for, which most requests
    /// never are.
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

    /// Returns under which keys evidence on the request is kept.
    pub fn evidence_keys(&self) -> EvidenceKeys {
        let keys = EvidenceKeys::from(self.digest());
        let Some(job) = &self.job else {
            return keys;
        };
        let customer = self.customer();
        let path = [customer, self.host(), self.target.as_str()];
        keys.with_group(RequestDigest::of_group("job", &[customer, job]))
            .with_group(RequestDigest::of_group("path of items", &path))
    }

    fn host(&self) -> &str {
        let host = self.headers.get(header::HOST);
        host.and_then(|host| host.to_str().ok()).unwrap_or_default()
    }

    /// Returns the name of the customer; empty without one.
    #[inline]
    pub fn customer(&self) -> &str {
        self.admitted.customer().map_or("", |name| name.as_str())
    }

    /// Returns the route.
    #[inline]
    pub fn route(&self) -> &Route {
        &self.route
    }

    /// Returns when the request arrived.
    #[inline]
    pub fn arrived(&self) -> Instant {
        self.arrived
    }

    /// Returns when it ends whatever its state.
    #[inline]
    pub fn ends_at(&self) -> Instant {
        self.ends_at
    }

    /// Returns the last event that the caller has already.
    #[inline]
    pub fn resume_after(&self) -> Option<u64> {
        self.resume_after
    }

    /// Returns the hash of the prompt's shared parts; of a request without a
    /// prompt that of its id.
    ///
    /// What goes wrong where such requests all have the hash of no parts:
    /// they prefer the same few endpoints, and others get no request at all.
    #[inline]
    pub fn affinity(&self) -> u64 {
        self.affinity
    }

    /// Tells whether the caller has spent a part of its time before it sent
    /// this request, as one does that was refused and has come back.
    pub fn has_waited(&self) -> bool {
        let given = self.ends_at.saturating_duration_since(self.arrived);
        let given_ms = given.as_millis() as u64;
        given_ms < self.route.timeout_ms() * FRESH_PERCENT / 100
    }

    /// Returns the time that is left.
    pub fn left(&self) -> Duration {
        self.ends_at.saturating_duration_since(Instant::now())
    }

    /// Makes the request for one endpoint.
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
        let left_ms = self.left().as_millis().max(1) as u64;
        headers.insert(names.deadline_ms.clone(), HeaderValue::from(left_ms));
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

/// Longest time of any request, so that sums of times stay in range.
const LONGEST_MS: u64 = 86_400_000;

fn origin_form(uri: &Uri) -> PathAndQuery {
    let root = || PathAndQuery::from_static("/");
    uri.path_and_query().cloned().unwrap_or_else(root)
}

/// Hashes the prompt's parts without the last one, which belongs to the
/// request itself.
fn affinity(parts: &str) -> u64 {
    let shared = parts.rsplit_once(',').map_or("", |(shared, _)| shared);
    hash(shared)
}

/// Hashes a text by FNV-1a: the value is only compared within this process,
/// and a cryptographic hash costs a microsecond for each request.
fn hash(text: &str) -> u64 {
    text.bytes().fold(0xcbf2_9ce4_8422_2325, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3)
    })
}
