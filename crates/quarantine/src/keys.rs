use base::RequestDigest;

/// The keys under which evidence against a request is recorded: its own
/// digest, and those of the groups to which it belongs.
///
/// A crash counts against the request and each of its groups, and the request
/// is not sent while any of them is quarantined. A job whose items have
/// different contents but all crash endpoints therefore costs no more
/// endpoints than a single request. A complete response to any member releases
/// the group, since most of its members are then not poison requests.
///
/// # Example
///
/// ```
/// use base::{RequestContent, RequestDigest};
/// use pomeloslip_quarantine::EvidenceKeys;
///
/// let request = RequestDigest::of(RequestContent {
///     customer: "",
///     method: "POST",
///     host: "a.example",
///     target: "/batch/1",
///     body: b"one item",
/// });
/// let job = RequestDigest::of_group("job", &["job-1"]);
/// let keys = EvidenceKeys::from(request).with_group(job);
/// assert_eq!(keys.request(), request);
/// assert_eq!(keys.all().collect::<Vec<_>>(), [request, job]);
/// ```
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct EvidenceKeys {
    request: RequestDigest,
    groups: Vec<RequestDigest>,
}

impl From<RequestDigest> for EvidenceKeys {
    fn from(request: RequestDigest) -> Self {
        Self {
            request,
            groups: Vec::new(),
        }
    }
}

impl EvidenceKeys {
    /// Adds a group to which the request belongs.
    #[must_use]
    pub fn with_group(mut self, group: RequestDigest) -> Self {
        self.groups.push(group);
        self
    }

    /// Returns the key of the request itself.
    #[inline]
    pub fn request(&self) -> RequestDigest {
        self.request
    }

    /// Returns the keys of the groups.
    #[inline]
    pub fn groups(&self) -> &[RequestDigest] {
        &self.groups
    }

    /// Returns all keys, starting with that of the request.
    pub fn all(&self) -> impl Iterator<Item = RequestDigest> {
        std::iter::once(self.request).chain(self.groups.iter().copied())
    }
}
