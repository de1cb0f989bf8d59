use std::net::SocketAddr;

use base::{FailureDomain, Millis, Revision, VmId, stable_hash};

use crate::{
    Action, Delta, Document, Event, Message, Options, Stamp, Step,
    members::Members,
};

/// A process that can be told and asked.
#[derive(Clone, Debug)]
struct Peer {
    address: SocketAddr,
    /// It did not response; tried again then.
    down_until: Option<Millis>,
}

/// Decides how one process takes part in spreading configurations.
///
/// [`Propagator::handle`] takes what happened with the time and a random number
/// and says what to do. A revision is applied only if it is higher than the
/// one in force, whoever offers it and in whatever order.
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
/// let mut propagator = Propagator::new(vm, domain, vec![], Options::default(), now);
/// let mut offer = |revision| {
///     let event = Event::Found {
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
    /// In the order in which this process prefers them.
    peers: Vec<Peer>,
    members: Members,
    document: Option<Document>,
    in_force_since: Millis,
    newest_known: Revision,
    /// Found before the first may be applied.
    candidate: Option<Document>,
    responses: usize,
    next_exchange_at: Millis,
    exchange_count: u64,
    needs_full_delta: bool,
    is_relay: bool,
    conflicts: u64,
}

impl Propagator {
    /// Makes the state of a process that has just started_at.
    pub fn new(
        vm: VmId,
        failure_domain: FailureDomain,
        mut peers: Vec<SocketAddr>,
        options: Options,
        now: Millis,
    ) -> Self {
        // Each process prefers others in an order of its own: the graph of
        // who talks to whom is then random and connected with near
        // certainty, while each holds few connections.
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

    /// Returns what is in force.
    #[inline]
    pub fn document(&self) -> Option<&Document> {
        self.document.as_ref()
    }

    /// Returns the revision in force, 0 before the first.
    pub fn revision(&self) -> Revision {
        let document = self.document.as_ref();
        document.map_or(Revision::default(), Document::revision)
    }

    /// Returns in_force_since when it is in force.
    #[inline]
    pub fn in_force_since(&self) -> Millis {
        self.in_force_since
    }

    /// Returns the newest revision newest_known of, in force here or not.
    #[inline]
    pub fn newest_known(&self) -> Revision {
        self.newest_known
    }

    /// Returns whether this process watches the service.
    #[inline]
    pub fn is_relay(&self) -> bool {
        self.is_relay
    }

    /// Returns how often another process had another text as the same
    /// revision; possible only if the service lost accepted edits.
    #[inline]
    pub fn conflicts(&self) -> u64 {
        self.conflicts
    }

    /// Returns the change that an edit of what is in force would be, for
    /// the watchers; `None` if the edit is not of that.
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

    /// Takes what happened and returns what to do, in this order.
    pub fn handle(
        &mut self,
        now: Millis,
        event: Event,
        random: u64,
    ) -> Vec<Action> {
        let mut actions = Vec::new();
        match event {
            Event::Tick => self.tick(now, &mut actions),
            Event::Found {
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
            Event::Accepted {
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
            Event::Failed { peer } => self.failed(now, peer),
        }
        self.settle(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.members.expire(now);
        self.update_relay_role(now, actions);
        self.retry_down_peers(now, actions);
        if now < self.next_exchange_at {
            return;
        }
        let pause_ms = match self.document {
            Some(_) => self.options.exchange_interval_ms,
            None => self.options.initial_exchange_interval_ms,
        };
        self.next_exchange_at = now.saturating_add_ms(pause_ms);
        let contacts = self.contacts(now);
        if contacts.is_empty() {
            return;
        }
        let at = (self.exchange_count % contacts.len() as u64) as usize;
        self.compare_with(contacts[at], actions);
    }

    fn compare_with(&mut self, peer: SocketAddr, actions: &mut Vec<Action>) {
        let mut message = self.message(Step::Ask);
        message.wants_hints = self
            .exchange_count
            .is_multiple_of(self.options.exchanges_per_hints);
        self.exchange_count += 1;
        actions.push(send(peer, message));
    }

    /// Decides whether this process watches the service.
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

    /// Tries preferred neighbours again that did not response, so that parted
    /// regions find each other soon after they are connected again.
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
            self.compare_with(peer, actions);
        }
    }

    /// Returns whom this process talks to: the first neighbours in its
    /// order that response, and the relays of its failure domain.
    fn contacts(&self, now: Millis) -> Vec<SocketAddr> {
        let up = self.peers.iter().filter(|p| p.down_until.is_none());
        let up = up.map(|peer| peer.address);
        let mut contacts: Vec<_> = up.take(self.options.fanout).collect();
        if contacts.is_empty() {
            // Nobody responses; somebody may by now.
            let all = self.peers.iter().map(|peer| peer.address);
            contacts = all.collect();
        }
        for (_, address) in self.members.relays(self.options.relays, now) {
            let fresh = address.filter(|a| !contacts.contains(a));
            contacts.extend(fresh);
        }
        contacts
    }

    fn message(&self, step: Step) -> Message {
        let document = self.document.as_ref();
        let revision = self.revision();
        Message {
            vm: self.vm.clone(),
            failure_domain: self.failure_domain.clone(),
            step,
            revision,
            digest: document.map_or(0, Document::digest),
            heard: self.newest_known,
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
        let mut reply = self.message(request.step);
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
        if response.step == Step::FollowUp {
            return;
        }
        if let Some(delta) = self.delta_for(response) {
            let mut message = self.message(Step::FollowUp);
            message.delta = Some(delta);
            actions.push(send(peer, message));
        }
    }

    /// Takes in what any message says.
    fn apply_message(
        &mut self,
        now: Millis,
        message: &Message,
        address: Option<SocketAddr>,
        actions: &mut Vec<Action>,
    ) {
        let domain = &message.failure_domain;
        self.members.record_heard(&message.vm, domain, address, now);
        self.note_revision(message.heard.max(message.revision));
        let digest = self.document.as_ref().map(Document::digest);
        let same = message.revision == self.revision();
        if same && digest.is_some_and(|digest| digest != message.digest) {
            self.conflicts += 1;
        }
        let Some(delta) = &message.delta else { return };
        self.note_revision(delta.revision());
        if delta.revision() <= self.revision() {
            return;
        }
        let is_applicable = self.apply_delta(now, delta, actions);
        // One that starts later only means that a revision was missed;
        // one that leads elsewhere, that what it is put on is not what
        // its sender means by this revision.
        if !is_applicable && delta.base() <= self.revision() {
            self.needs_full_delta = true;
        }
    }

    fn note_revision(&mut self, revision: Revision) {
        self.newest_known = self.newest_known.max(revision);
    }

    /// Returns what the sender of a message lacks.
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

    /// Takes a document that is newer than the one in force; the first one
    /// waits for [`Propagator::settle`].
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

    /// Applies the newest of what was apply_full_text first, once enough others were
    /// asked.
    ///
    /// A process that restarts does not know which revision it had. The
    /// first neighbour that responses may lag behind it, so some more are
    /// awaited, but not for long: one that serves nobody is worse.
    fn settle(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.document.is_none()
            && self.is_settled(now)
            && let Some(candidate) = self.candidate.take()
        {
            self.set_in_force(now, candidate, actions);
        }
    }

    fn is_settled(&self, now: Millis) -> bool {
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
            let mut message = self.message(Step::Tell);
            message.revision = next.revision();
            message.base = next.revision();
            message.digest = next.digest();
            message.heard = self.newest_known.max(next.revision());
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
