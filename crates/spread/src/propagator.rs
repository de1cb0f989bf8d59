use std::net::SocketAddr;

use base::{FailureDomain, Millis, Revision, VmId, stable_hash};

use crate::{
    Action, Delta, Document, Event, Message, MessageKind, Options, Stamp,
    members::Members,
};

/// A configured peer.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// Time of the next retry, if the peer did not respond.
    down_until: Option<Millis>,
}

/// Decides how one process takes part in the propagation of configurations.
///
/// [`Propagator::handle`] takes an event with the time and a random number and
/// returns the actions to perform. A revision is applied only if it is higher
/// than the one in force, whichever process offers it and in whatever order.
///
/// # Example
///
/// ```
/// use base::{Millis, Revision};
/// use pomeloslip_spread::{Action, Event, Options, Propagator, Stamp};
///
/// let vm = "entry-1".parse()?;
/// let domain = "tallinn-a".parse()?;
/// let now = Millis::new(0);
/// let options = Options::default();
/// let mut propagator = Propagator::new(vm, domain, vec![], options, now);
/// let mut offer = |revision| {
///     let event = Event::ConfigRead {
///         revision: Revision::new(revision),
///         text: "rules: []\n".to_owned(),
///         stamp: Stamp::default(),
///     };
///     let actions = propagator.handle(now, event, 1);
///     actions.iter().any(|action| matches!(action, Action::Apply(_)))
/// };
/// assert!(offer(2));
/// assert!(!offer(1));
/// # Ok::<(), base::IdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Propagator {
    vm: VmId,
    failure_domain: FailureDomain,
    options: Options,
    started_at: Millis,
    /// In this process's order of preference.
    peers: Vec<Peer>,
    members: Members,
    document: Option<Document>,
    in_force_since: Millis,
    newest_known: Revision,
    /// Newest document received before the first one may be applied.
    candidate: Option<Document>,
    responses: usize,
    next_exchange_at: Millis,
    exchange_count: u64,
    needs_full_delta: bool,
    is_relay: bool,
    conflicts: u64,
}

impl Propagator {
    /// Creates the state of a process that has just started.
    pub fn new(
        vm: VmId,
        failure_domain: FailureDomain,
        mut peers: Vec<SocketAddr>,
        options: Options,
        now: Millis,
    ) -> Self {
        // Each process has its own order of preference. The graph of contacts
        // is then random and almost certainly connected, while each process
        // holds few connections.
        peers.sort_by_cached_key(|address| {
            stable_hash(&[vm.as_str(), &address.to_string()])
        });
        peers.dedup();
        let peers = peers.into_iter().map(|address| Peer {
            address,
            down_until: None,
        });
        let domain = failure_domain.clone();
        let members = Members::new(vm.clone(), domain, options.member_ttl_ms);
        Self {
            vm,
            failure_domain,
            options,
            started_at: now,
            peers: peers.collect(),
            members,
            document: None,
            in_force_since: now,
            newest_known: Revision::default(),
            candidate: None,
            responses: 0,
            next_exchange_at: now,
            exchange_count: 0,
            needs_full_delta: false,
            is_relay: false,
            conflicts: 0,
        }
    }

    /// Returns the configuration in force.
    #[inline]
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Returns the revision in force, 0 before the first.
    pub fn revision(&self) -> Revision {
        let document = self.document.as_ref();
        document.map_or(Revision::default(), Document::revision)
    }

    /// Returns since when it is in force.
    #[inline]
    pub fn in_force_since(&self) -> Millis {
        self.in_force_since
    }

    /// Returns the newest known revision, whether or not it is in force here.
    #[inline]
    pub fn newest_known(&self) -> Revision {
        self.newest_known
    }

    /// Reports whether this process watches the key-value service.
    #[inline]
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Returns how often another process had a different text for the same
    /// revision; possible only if the key-value service lost accepted edits.
    #[inline]
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Returns the delta of an edit of the configuration in force, for the
    /// watchers; `None` if the edit is not based on it.
    pub fn delta_for_edit(
        &self,
        revision: Revision,
        text: &str,
        stamp: Stamp,
    ) -> Option<Delta> {
        let now = self.document.as_ref()?;
        (now.revision().get() + 1 == revision.get()).then(|| {
            now.successor(revision, text, stamp)
                .delta_since(now.revision())
        })
    }

    /// Handles an event and returns the actions to perform, in this order.
    pub fn handle(
        &mut self,
        now: Millis,
        event: Event,
        random: u64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::ConfigRead {
                revision,
                text,
                stamp,
            } => {
                self.responses =
                    self.responses.max(self.options.settle_responses);
                self.apply_full_text(
                    now,
                    revision,
                    &text,
                    stamp,
                    false,
                    &mut actions,
                );
            }
            Event::EditAccepted {
                revision,
                text,
                stamp,
            } => {
                self.responses =
                    self.responses.max(self.options.settle_responses);
                self.apply_full_text(
                    now,
                    revision,
                    &text,
                    stamp,
                    true,
                    &mut actions,
                );
            }
            Event::Changed(delta) => {
                self.note_revision(delta.revision());
                if delta.revision() > self.revision()
                    && !self.apply_delta(now, &delta, &mut actions)
                {
                    actions.push(Action::Read);
                }
            }
            Event::RevisionAnnounced(revision) => {
                self.note_revision(revision);
                if revision > self.revision() {
                    actions.push(Action::Read);
                }
            }
            Event::Request(request) => {
                self.request(now, &request, random, &mut actions);
            }
            Event::Response { peer, message } => {
                self.response(now, peer, &message, &mut actions);
            }
            Event::PeerFailed { peer } => self.failed(now, peer),
        }
        self.apply_candidate_if_settled(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.members.expire(now);
        self.update_relay_role(now, actions);
        self.retry_down_peers(now, actions);
        if now < self.next_exchange_at {
            return;
        }
        let interval_ms = match self.document {
            Some(_) => self.options.exchange_interval_ms,
            None => self.options.initial_exchange_interval_ms,
        };
        self.next_exchange_at = now.saturating_add_ms(interval_ms);
        let contacts = self.contacts(now);
        if contacts.is_empty() {
            return;
        }
        let at = (self.exchange_count % contacts.len() as u64) as usize;
        self.send_comparison(contacts[at], actions);
    }

    fn send_comparison(
        &mut self,
        peer: SocketAddr,
        actions: &mut Vec<Action>,
    ) {
        let mut message = self.message(MessageKind::Compare);
        message.wants_hints = self
            .exchange_count
            .is_multiple_of(self.options.exchanges_per_hints);
        self.exchange_count += 1;
        actions.push(send(peer, message));
    }

    /// Decides whether this process watches the key-value service.
    fn update_relay_role(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let is_discovering = now.saturating_ms_since(self.started_at)
            < self.options.discovery_ms;
        let relays = self.members.relays(self.options.relays, now);
        let chosen = relays.iter().any(|(vm, _)| *vm == self.vm);
        let is_relay = chosen && (!is_discovering || self.peers.is_empty());
        if is_relay != self.is_relay {
            self.is_relay = is_relay;
            actions.push(Action::Watch(is_relay));
        }
    }

    /// Retries preferred peers that did not respond, so that the sides of a
    /// network partition reconnect soon after it ends.
    fn retry_down_peers(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let until = now.saturating_add_ms(self.options.peer_retry_ms);
        let preferred = self.peers.iter_mut().take(self.options.fanout);
        let due: Vec<_> = preferred
            .filter(|peer| peer.down_until.is_some_and(|at| at <= now))
            .map(|peer| {
                peer.down_until = Some(until);
                peer.address
            })
            .collect();
        for peer in due {
            self.send_comparison(peer, actions);
        }
    }

    /// Returns the peers that this process contacts: the first ones in its
    /// order that respond, and the relays of its failure domain.
    fn contacts(&self, now: Millis) -> Vec<SocketAddr> {
        let up = self.peers.iter().filter(|p| p.down_until.is_none());
        let up = up.map(|peer| peer.address);
        let mut contacts: Vec<_> = up.take(self.options.fanout).collect();
        if contacts.is_empty() {
            // No peer responded; some may be available again.
            let all = self.peers.iter().map(|peer| peer.address);
            contacts = all.collect();
        }
        for (_, address) in self.members.relays(self.options.relays, now) {
            let fresh = address.filter(|a| !contacts.contains(a));
            contacts.extend(fresh);
        }
        contacts
    }

    fn message(&self, kind: MessageKind) -> Message {
        let document = self.document.as_ref();
        let revision = self.revision();
        Message {
            vm: self.vm.clone(),
            failure_domain: self.failure_domain.clone(),
            kind,
            revision,
            digest: document.map_or(0, Document::digest),
            newest_known: self.newest_known,
            base: match self.needs_full_delta {
                true => Revision::default(),
                false => revision,
            },
            wants_hints: false,
            delta: None,
            hints: Vec::new(),
        }
    }

    fn request(
        &mut self,
        now: Millis,
        request: &Message,
        random: u64,
        actions: &mut Vec<Action>,
    ) {
        self.apply_message(now, request, None, actions);
        let mut reply = self.message(request.kind);
        reply.delta = self.delta_for(request);
        if request.wants_hints {
            let domain = &request.failure_domain;
            reply.hints = self.members.hints(domain, now, random);
        }
        actions.push(Action::Reply(Box::new(reply)));
    }

    fn response(
        &mut self,
        now: Millis,
        peer: SocketAddr,
        response: &Message,
        actions: &mut Vec<Action>,
    ) {
        self.responses += 1;
        if let Some(peer) = self.peer(peer) {
            peer.down_until = None;
        }
        for hint in &response.hints {
            self.members.apply_hint(hint, now);
        }
        self.apply_message(now, response, Some(peer), actions);
        if response.kind == MessageKind::FollowUp {
            return;
        }
        if let Some(delta) = self.delta_for(response) {
            let mut message = self.message(MessageKind::FollowUp);
            message.delta = Some(delta);
            actions.push(send(peer, message));
        }
    }

    /// Applies the contents of a request or response.
    fn apply_message(
        &mut self,
        now: Millis,
        message: &Message,
        address: Option<SocketAddr>,
        actions: &mut Vec<Action>,
    ) {
        let domain = &message.failure_domain;
        self.members.record_heard(&message.vm, domain, address, now);
        self.note_revision(message.newest_known.max(message.revision));
        let digest = self.document.as_ref().map(Document::digest);
        let same_revision = message.revision == self.revision();
        if same_revision
            && digest.is_some_and(|digest| digest != message.digest)
        {
            self.conflicts += 1;
        }
        let Some(delta) = &message.delta else { return };
        self.note_revision(delta.revision());
        if delta.revision() <= self.revision() {
            return;
        }
        let is_applicable = self.apply_delta(now, delta, actions);
        // A delta that starts later only means that a revision was missed. One
        // that results in another text means that the local document differs
        // from the sender's document of the same revision.
        if !is_applicable && delta.base() <= self.revision() {
            self.needs_full_delta = true;
        }
    }

    fn note_revision(&mut self, revision: Revision) {
        self.newest_known = self.newest_known.max(revision);
    }

    /// Returns the delta that the sender of a message lacks.
    fn delta_for(&self, message: &Message) -> Option<Delta> {
        let document = self.document.as_ref()?;
        let lacks = message.revision < document.revision();
        lacks.then(|| document.delta_since(message.base))
    }

    fn apply_full_text(
        &mut self,
        now: Millis,
        revision: Revision,
        text: &str,
        stamp: Stamp,
        is_edit: bool,
        actions: &mut Vec<Action>,
    ) {
        self.note_revision(revision);
        if revision <= self.revision() {
            return;
        }
        let next = match &self.document {
            Some(now) => now.successor(revision, text, stamp),
            None => Document::new(revision, text, stamp),
        };
        if is_edit && self.document.is_none() {
            self.push_to_contacts(now, &next, Revision::default(), actions);
        }
        self.accept_document(now, next, actions);
    }

    fn apply_delta(
        &mut self,
        now: Millis,
        delta: &Delta,
        actions: &mut Vec<Action>,
    ) -> bool {
        let next = match &self.document {
            Some(document) => document.apply(delta),
            None => Document::from_full_delta(delta),
        };
        let is_applicable = next.is_some();
        if let Some(next) = next {
            self.accept_document(now, next, actions);
        }
        is_applicable
    }

    /// Accepts a document that is newer than the one in force; the first one
    /// waits for [`Propagator::apply_candidate_if_settled`].
    fn accept_document(
        &mut self,
        now: Millis,
        next: Document,
        actions: &mut Vec<Action>,
    ) {
        if next.revision() <= self.revision() {
            return;
        }
        match &self.document {
            Some(before) => {
                self.push_to_contacts(now, &next, before.revision(), actions);
                self.set_in_force(now, next, actions);
            }
            None => {
                let known = self.candidate.as_ref().map(Document::revision);
                if known < Some(next.revision()) {
                    self.candidate = Some(next);
                }
            }
        }
    }

    fn set_in_force(
        &mut self,
        now: Millis,
        next: Document,
        actions: &mut Vec<Action>,
    ) {
        self.needs_full_delta = false;
        self.in_force_since = now;
        self.document = Some(next.clone());
        actions.push(Action::Apply(next));
    }

    /// Applies the newest document received at startup, once enough peers were
    /// asked.
    ///
    /// A restarted process does not know which revision it had, and the first
    /// peer that responds may lag behind it. Some more responses are awaited,
    /// but not for long: a process that serves no requests is worse.
    fn apply_candidate_if_settled(
        &mut self,
        now: Millis,
        actions: &mut Vec<Action>,
    ) {
        if self.document.is_none()
            && self.has_enough_responses(now)
            && let Some(candidate) = self.candidate.take()
        {
            self.set_in_force(now, candidate, actions);
        }
    }

    fn has_enough_responses(&self, now: Millis) -> bool {
        let wanted = self.options.settle_responses.min(self.peers.len());
        let waited = now.saturating_ms_since(self.started_at);
        self.responses >= wanted || waited >= self.options.settle_ms
    }

    fn push_to_contacts(
        &self,
        now: Millis,
        next: &Document,
        base: Revision,
        actions: &mut Vec<Action>,
    ) {
        let delta = next.delta_since(base);
        for peer in self.contacts(now) {
            let mut message = self.message(MessageKind::Push);
            message.revision = next.revision();
            message.base = next.revision();
            message.digest = next.digest();
            message.newest_known = self.newest_known.max(next.revision());
            message.delta = Some(delta.clone());
            actions.push(send(peer, message));
        }
    }

    fn failed(&mut self, now: Millis, address: SocketAddr) {
        self.responses += 1;
        self.members.record_failure(address, now);
        let until = now.saturating_add_ms(self.options.peer_retry_ms);
        if let Some(peer) = self.peer(address) {
            peer.down_until = Some(until);
        }
    }

    fn peer(&mut self, address: SocketAddr) -> Option<&mut Peer> {
        self.peers.iter_mut().find(|peer| peer.address == address)
    }
}

fn send(peer: SocketAddr, message: Message) -> Action {
    Action::Send {
        peer,
        message: Box::new(message),
    }
}
