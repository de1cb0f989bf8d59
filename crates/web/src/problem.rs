use std::{fmt, io::Cursor};

use execution::Ran;
use rocket::{
    Catcher, Request, Response, catch, catchers,
    http::{ContentType, Header, Status},
    response::{Responder, Result as RocketResult},
};

/// Prefix of the `type` URI of each problem document.
const TYPE_PREFIX: &str = "urn:pomeloslip:problem:";

macro_rules! kinds {
    ($($(#[$doc:meta])* $name:ident, $slug:literal, $status:literal,
        $title:literal;)*) => {
        /// Kind of a problem; each kind has a stable `type` URI.
        #[derive(Clone, Copy, Debug, Eq, PartialEq, Hash)]
        pub enum ProblemKind {
            $($(#[$doc])* $name,)*
        }

        impl ProblemKind {
            /// All kinds, in the order of the API page.
            pub const ALL: &'static [ProblemKind] =
                &[$(ProblemKind::$name),*];

            /// Returns the last segment of the `type` URI.
            #[inline]
            pub fn slug(self) -> &'static str {
                match self { $(ProblemKind::$name => $slug,)* }
            }

            /// Returns the HTTP status.
            #[inline]
            pub fn status(self) -> u16 {
                match self { $(ProblemKind::$name => $status,)* }
            }

            /// Returns the human-readable title.
            #[inline]
            pub fn title(self) -> &'static str {
                match self { $(ProblemKind::$name => $title,)* }
            }
        }
    };
}

kinds! {
    /// The request is malformed.
    BadRequest, "bad-request", 400, "The request is malformed";
    /// The API key is missing or unknown.
    Unauthorized, "unauthorized", 401, "The key is missing or unknown";
    /// The customer is not permitted to do this.
    Forbidden, "forbidden", 403, "This key may not do that";
    /// The body of the request arrives too slowly.
    BodyTimedOut, "body-timed-out", 408,
        "The body of the request arrives too slowly";
    /// The resource does not exist or belongs to another customer.
    NotFound, "not-found", 404, "There is no such thing";
    /// The idempotency key was already used with other content.
    KeyReused, "idempotency-key-reused", 409,
        "The key was used for another request";
    /// The first request with this idempotency key is still running.
    StillRunning, "still-running", 409,
        "The first request with this key still runs";
    /// A concurrent change was applied first.
    Conflict, "conflict", 409, "Another change came first";
    /// The request body exceeds a limit.
    TooLarge, "too-large", 413, "The request is over a limit";
    /// The content violates a rule of the API.
    Invalid, "invalid", 422, "The content is not valid";
    /// The headers exceed a limit.
    HeadersTooLarge, "headers-too-large", 431,
        "The headers are over a limit";
    /// The customer exceeds its rate limit.
    RateLimited, "rate-limited", 429, "The tenant is over its limit";
    /// A rule of the operators rejects the request.
    RefusedByRule, "refused-by-rule", 403, "A rule refuses this request";
    /// No rule matches the request.
    NoRule, "no-rule", 404, "No rule matches this request";
    /// There is currently no capacity.
    Overloaded, "overloaded", 503, "There is no room at the moment";
    /// The process is shutting down.
    Stopping, "stopping", 503, "This process is stopping";
    /// State that must be recorded cannot be written.
    PlatformDown, "platform-down", 503,
        "The platform cannot record this now";
    /// No endpoint accepted the request.
    NoEndpoint, "no-endpoint", 503, "No endpoint took the request";
    /// Endpoints crashed while they executed the request.
    EndpointCrashes, "endpoint-crashes", 503,
        "Endpoints crash when they run this request";
    /// The endpoint's response was lost.
    AnswerLost, "answer-lost", 502, "The answer was lost";
    /// The deadline was exceeded.
    TimedOut, "timed-out", 504, "The deadline has passed";
    /// An internal error occurred.
    Internal, "internal", 500, "Something failed inside";
}

/// An error response in the form of RFC 9457.
///
/// # Example
///
/// ```
/// use pomeloslip_web::{Problem, ProblemKind, Ran};
///
/// let problem = Problem::new(ProblemKind::Overloaded, "all are busy")
///     .ran(Ran::No)
///     .retry_after_ms(1_200);
/// let json = problem.to_json();
/// assert_eq!(json["type"], "urn:pomeloslip:problem:overloaded");
/// assert_eq!(json["ran"], "no");
/// assert_eq!(json["retry_after_ms"], 1_200);
/// ```
#[derive(Clone, Debug, PartialEq)]
pub struct Problem {
    kind: ProblemKind,
    status: u16,
    detail: String,
    ran: Option<Ran>,
    retry_after_ms: Option<u64>,
    extra: serde_json::Map<String, serde_json::Value>,
}

impl Problem {
    /// Creates a problem with the default status of its kind.
    pub fn new(kind: ProblemKind, detail: impl Into<String>) -> Self {
        Self {
            kind,
            status: kind.status(),
            detail: detail.into(),
            ran: None,
            retry_after_ms: None,
            extra: serde_json::Map::new(),
        }
    }

    /// Overrides the status, for example with one that a rule specifies.
    pub fn status(mut self, status: u16) -> Self {
        self.status = status;
        self
    }

    /// Sets whether the request was executed. A problem of a request that may
    /// have been executed has no status that promises otherwise.
    ///
    /// # Example
    ///
    /// ```
    /// use pomeloslip_web::{Problem, ProblemKind, Ran};
    ///
    /// let problem = Problem::new(ProblemKind::Overloaded, "all are busy");
    /// assert_eq!(problem.clone().ran(Ran::No).http_status(), 503);
    /// assert_eq!(problem.ran(Ran::Unknown).http_status(), 502);
    /// ```
    pub fn ran(mut self, ran: Ran) -> Self {
        self.ran = Some(ran);
        self
    }

    /// Sets the delay after which the client may retry.
    pub fn retry_after_ms(mut self, ms: u64) -> Self {
        self.retry_after_ms = Some(ms);
        self
    }

    /// Adds an extension member to the document.
    pub fn with(
        mut self,
        name: &str,
        value: impl Into<serde_json::Value>,
    ) -> Self {
        self.extra.insert(name.to_owned(), value.into());
        self
    }

    /// Returns the kind of the problem.
    #[inline]
    pub fn kind(&self) -> ProblemKind {
        self.kind
    }

    /// Returns the HTTP status of the response.
    #[inline]
    pub fn http_status(&self) -> u16 {
        match self.ran {
            Some(ran) => ran.status(self.status),
            None => self.status,
        }
    }

    /// Returns whether the request was executed, if that is stated.
    #[inline]
    pub fn ran_status(&self) -> Option<Ran> {
        self.ran
    }

    /// Returns the document as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let mut json = serde_json::json!({
            "type": format!("{TYPE_PREFIX}{}", self.kind.slug()),
            "title": self.kind.title(),
            "status": self.http_status(),
            "detail": self.detail,
        });
        if let Some(ran) = self.ran {
            json["ran"] = serde_json::json!(ran);
        }
        if let Some(ms) = self.retry_after_ms {
            json["retry_after_ms"] = ms.into();
        }
        for (name, value) in &self.extra {
            json[name] = value.clone();
        }
        json
    }
}

impl fmt::Display for Problem {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}: {}", self.kind.title(), self.detail)
    }
}

impl std::error::Error for Problem {}

impl<'r> Responder<'r, 'static> for Problem {
    fn respond_to(self, _: &'r Request<'_>) -> RocketResult<'static> {
        let body = self.to_json().to_string();
        let mut response = Response::build();
        response
            .status(Status::new(self.http_status()))
            .header(ContentType::new("application", "problem+json"))
            .sized_body(body.len(), Cursor::new(body));
        if let Some(ms) = self.retry_after_ms {
            // `Retry-After` has whole seconds. They are rounded up because a
            // client that retries early would be rejected again.
            let seconds = ms.div_ceil(1_000).max(1).to_string();
            response.header(Header::new("Retry-After", seconds));
        }
        if self.kind == ProblemKind::Unauthorized {
            response.header(Header::new("WWW-Authenticate", "Bearer"));
        }
        response.ok()
    }
}

/// Stores the problem of a failed request guard for the catcher.
///
/// Rocket does not pass the error of a guard to the catcher; without the
/// stored problem, the client would get an internal error instead.
///
/// # Example
///
/// ```
/// use pomeloslip_web::{Problem, ProblemKind, Ran, catchers, record_problem};
/// use rocket::{
///     Request, get,
///     http::Status,
///     local::blocking::Client,
///     request::{FromRequest, Outcome},
///     routes,
/// };
///
/// struct Slot;
///
/// #[rocket::async_trait]
/// impl<'r> FromRequest<'r> for Slot {
///     type Error = Problem;
///
///     async fn from_request(
///         request: &'r Request<'_>,
///     ) -> Outcome<Self, Problem> {
///         let detail = "all are busy";
///         let problem = Problem::new(ProblemKind::Overloaded, detail);
///         let problem = problem.ran(Ran::No);
///         record_problem(request, &problem);
///         Outcome::Error((Status::ServiceUnavailable, problem))
///     }
/// }
///
/// #[get("/")]
/// fn hello(_slot: Slot) -> &'static str {
///     "hello"
/// }
///
/// let rocket = rocket::build().mount("/", routes![hello]);
/// let rocket = rocket.register("/", catchers());
/// let client = Client::untracked(rocket).unwrap();
/// let text = client.get("/").dispatch().into_string().unwrap();
/// assert!(text.contains("all are busy"));
/// ```
pub fn record_problem(request: &Request<'_>, problem: &Problem) {
    request.local_cache(|| Some(problem.clone()));
}

/// Returns catchers that convert Rocket's own errors to problem documents.
///
/// A request with such an error never reached a handler and was therefore not
/// executed.
pub fn catchers() -> Vec<Catcher> {
    catchers![default_catcher]
}

#[catch(default)]
fn default_catcher(status: Status, request: &Request<'_>) -> Problem {
    if let Some(problem) = request.local_cache(|| None::<Problem>) {
        return problem.clone();
    }
    let uri = request.uri().path();
    let (kind, detail) = match status.code {
        401 => (ProblemKind::Unauthorized, "send a bearer key".to_owned()),
        404 => (ProblemKind::NotFound, format!("nothing is at {uri}")),
        413 => (ProblemKind::TooLarge, "the body is too large".to_owned()),
        422 => (ProblemKind::Invalid, "the body is not valid".to_owned()),
        431 => {
            let detail = "the headers are too large".to_owned();
            (ProblemKind::HeadersTooLarge, detail)
        }
        code if code >= 500 => {
            let detail = "the request failed inside".to_owned();
            return Problem::new(ProblemKind::Internal, detail)
                .ran(Ran::Unknown);
        }
        _ => (ProblemKind::BadRequest, format!("cannot serve {uri}")),
    };
    Problem::new(kind, detail).status(status.code).ran(Ran::No)
}
