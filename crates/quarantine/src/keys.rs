use base::RequestDigest;

/// Under which keys evidence on a request is kept: its own, and those of the
/// groups that it belongs to.
///
/// A crash speaks against the request and each of its groups, and it is not
/// sent while one of them is held. So the items of a job whose contents differ
/// and that all crash endpoints cost as many of them as a single request
/// does. A whole answer to any member clears a group: most members are sound
/// then.
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
    /// Adds a group that the request belongs to.
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

    /// Returns the keys of its groups.
    #[inline]
    pub fn groups(&self) -> &[RequestDigest] {
        &self.groups
    }

    /// Returns all keys, that of the request first.
    pub fn all(&self) -> impl Iterator<Item = RequestDigest> {
        std::iter::once(self.request).chain(self.groups.iter().copied())
    }
}
