use access::KeyHeaders;
use http::HeaderName;

/// The header names of a dialect.
///
/// The adapter of each platform creates one; no other code contains the
/// names.
#[derive(Clone, Debug)]
pub struct HeaderNames {
    /// Id of one attempt of a client; endpoints echo it.
    pub request_id: HeaderName,
    /// Remaining time in milliseconds that the sender waits.
    pub deadline_ms: HeaderName,
    /// Id of the last event received; the stream resumes after it.
    pub resume_after: HeaderName,
    /// Id of the client attempt that received the first event of the stream
    /// that a request resumes.
    pub resumes: HeaderName,
    /// Proof that the response was produced by the endpoint.
    pub seal: HeaderName,
    /// Id of the only endpoint that may run the request.
    pub target: HeaderName,
    /// Marks a response to a request that the endpoint did not run.
    pub not_executed: HeaderName,
    /// Load of the endpoint: running requests, waiting requests, slots.
    pub load: HeaderName,
    /// Parts of the prompt, in order, each with its token count.
    pub prompt_parts: HeaderName,
    /// API key of the client, and name of its customer.
    pub keys: KeyHeaders,
}
