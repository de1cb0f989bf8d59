use base::RequestDigest;

/// The keys under which evidence against a request is recorded: its own
/// digest, those of the groups to which it belongs, and those of the parts of
/// its prompt that other requests share.
///
/// A crash counts against the request and each of its groups, and the request
/// is not sent while any of them is quarantined. A job whose items have
/// different contents but all crash endpoints therefore costs no more
/// endpoints than a single request. A complete response to any member releases
/// the group, since most of its members are then not poison requests.
///
/// Requests that have nothing in common but one part of their prompts may all
/// crash endpoints. A crash counts against each shared part, and a complete
/// response releases all of them: the part that is in all crashes and in no
/// response is left.
///
/// Items are owed whatever happens under them. They are held for a short time
/// only, not for the parts of their prompts, and are no evidence against these.
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
    parts: Vec<RequestDigest>,
    is_item: bool,
}

impl From<RequestDigest> for EvidenceKeys {
    fn from(request: RequestDigest) -> Self {
        Self {
            request,
            groups: Vec::new(),
            parts: Vec::new(),
            is_item: false,
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

    /// Adds a part of the prompt that other requests may share.
    #[must_use]
    pub fn with_part(mut self, part: RequestDigest) -> Self {
        self.parts.push(part);
        self
    }

    /// Marks the request as an item.
    #[must_use]
    pub fn of_item(mut self) -> Self {
        self.is_item = true;
        self
    }

    /// Reports whether the request is an item.
    #[inline]
    pub fn is_item(&self) -> bool {
        self.is_item
    }

    /// Returns the keys of the shared parts of the prompt.
    #[inline]
    pub fn parts(&self) -> &[RequestDigest] {
        &self.parts
    }

    /// Returns the keys for which the request may be held.
    pub fn held_by(&self) -> impl Iterator<Item = RequestDigest> {
        let parts: &[RequestDigest] = match self.is_item {
            true => &[],
            false => &self.parts,
        };
        self.all().chain(parts.iter().copied())
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

    /// Returns the keys of the request and its groups, starting with that of
    /// the request.
    pub fn all(&self) -> impl Iterator<Item = RequestDigest> {
        std::iter::once(self.request).chain(self.groups.iter().copied())
    }
}
