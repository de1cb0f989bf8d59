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
    /// It did not answer; tried again then.
    down_until: Option<Millis>,
}

/// Decides how one process takes part in spreading configurations.
///
/// [`Spread::handle`] takes what happened with the time and a random number
/// and says what to do. A revision is applied only if it is higher than the
/// one in force, whoever offers it and in whatever order.
///
/// # Example
///
/// ```
/// use base::{Millis, Revision};
/// use pomeloslip_spread::{Action, Event, Options, Spread, Stamp};
///
/// let vm = "entry-1".parse()?;
/// let domain = "tallinn-a".parse()?;
/// let now = Millis::new(0);
/// let mut spread = Spread::new(vm, domain, vec![], Options::default(), now);
/// let mut offer = |revision| {
///     let event = Event::Found {
///         revision: Revision::new(revision),
///         text: "rules: []\n".to_owned(),
///         stamp: Stamp::default(),
///     };
///     let actions = spread.handle(now, event, 1);
///     actions.iter().any(|action| matches!(action, Action::Apply(_)))
/// };
/// assert!(offer(2));
/// assert!(!offer(1));
/// # Ok::<(), base::IdError>(())
/// ```
#[derive(Clone, Debug)]
pub struct Spread {
    vm: VmId,
    failure_domain: FailureDomain,
    options: Options,
    started: Millis,
    /// In the order in which this process prefers them.
    peers: Vec<Peer>,
    members: Members,
    document: Option<Document>,
    since: Millis,
    heard: Revision,
    /// Found before the first may be applied.
    candidate: Option<Document>,
    answers: usize,
    next_ask: Millis,
    turn: u64,
    wants_whole: bool,
    is_relay: bool,
    conflicts: u64,
}

impl Spread {
    /// Makes the state of a process that has just started.
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
        let members = Members::new(vm.clone(), domain, options.live_ms);
        Self {
            vm,
            failure_domain,
            options,
            started: now,
            peers: peers.collect(),
            members,
            document: None,
            since: now,
            heard: Revision::default(),
            candidate: None,
            answers: 0,
            next_ask: now,
            turn: 0,
            wants_whole: false,
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

    /// Returns since when it is in force.
    #[inline]
    pub fn since(&self) -> Millis {
        self.since
    }

    /// Returns the newest revision heard of, in force here or not.
    #[inline]
    pub fn heard(&self) -> Revision {
        self.heard
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
    pub fn change(
        &self,
        revision: Revision,
        text: &str,
        stamp: Stamp,
    ) -> Option<Delta> {
        let now = self.document.as_ref()?;
        (now.revision().get() + 1 == revision.get()).then(|| {
            now.successor(revision, text, stamp).since(now.revision())
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
                self.answers = self.answers.max(self.options.settle_answers);
                self.found(now, revision, &text, stamp, false, &mut actions);
            }
            Event::Accepted {
                revision,
                text,
                stamp,
            } => {
                self.answers = self.answers.max(self.options.settle_answers);
                self.found(now, revision, &text, stamp, true, &mut actions);
            }
            Event::Changed(delta) => {
                self.hear_of(delta.revision());
                if delta.revision() > self.revision()
                    && !self.put_on(now, &delta, &mut actions)
                {
                    actions.push(Action::Read);
                }
            }
            Event::Noticed(revision) => {
                self.hear_of(revision);
                if revision > self.revision() {
                    actions.push(Action::Read);
                }
            }
            Event::Question(question) => {
                self.question(now, &question, random, &mut actions);
            }
            Event::Answer { peer, message } => {
                self.answer(now, peer, &message, &mut actions);
            }
            Event::Failed { peer } => self.failed(now, peer),
        }
        self.settle(now, &mut actions);
        actions
    }

    fn tick(&mut self, now: Millis, actions: &mut Vec<Action>) {
        self.members.expire(now);
        self.elect(now, actions);
        self.probe(now, actions);
        if now < self.next_ask {
            return;
        }
        let pause_ms = match self.document {
            Some(_) => self.options.ask_ms,
            None => self.options.ask_first_ms,
        };
        self.next_ask = now.saturating_add_ms(pause_ms);
        let contacts = self.contacts(now);
        if contacts.is_empty() {
            return;
        }
        let at = (self.turn % contacts.len() as u64) as usize;
        self.ask(contacts[at], actions);
    }

    fn ask(&mut self, peer: SocketAddr, actions: &mut Vec<Action>) {
        let mut message = self.message(Step::Ask);
        message.wants_hints =
            self.turn.is_multiple_of(self.options.hints_every);
        self.turn += 1;
        actions.push(send(peer, message));
    }

    /// Decides whether this process watches the service.
    fn elect(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let learns =
            now.saturating_ms_since(self.started) < self.options.learn_ms;
        let relays = self.members.relays(self.options.relays, now);
        let chosen = relays.iter().any(|(vm, _)| *vm == self.vm);
        let is_relay = chosen && (!learns || self.peers.is_empty());
        if is_relay != self.is_relay {
            self.is_relay = is_relay;
            actions.push(Action::Watch(is_relay));
        }
    }

    /// Tries preferred neighbours again that did not answer, so that parted
    /// regions find each other soon after they are connected again.
    fn probe(&mut self, now: Millis, actions: &mut Vec<Action>) {
        let until = now.saturating_add_ms(self.options.down_ms);
        let preferred = self.peers.iter_mut().take(self.options.fanout);
        let due: Vec<_> = preferred
            .filter(|peer| peer.down_until.is_some_and(|at| at <= now))
            .map(|peer| {
                peer.down_until = Some(until);
                peer.address
            })
            .collect();
        for peer in due {
            self.ask(peer, actions);
        }
    }

    /// Returns whom this process talks to: the first neighbours in its
    /// order that answer, and the relays of its failure domain.
    fn contacts(&self, now: Millis) -> Vec<SocketAddr> {
        let up = self.peers.iter().filter(|p| p.down_until.is_none());
        let up = up.map(|peer| peer.address);
        let mut contacts: Vec<_> = up.take(self.options.fanout).collect();
        if contacts.is_empty() {
            // Nobody answers; somebody may by now.
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
            heard: self.heard,
            base: match self.wants_whole {
                true => Revision::default(),
                false => revision,
            },
            wants_hints: false,
            delta: None,
            hints: Vec::new(),
        }
    }

    fn question(
        &mut self,
        now: Millis,
        question: &Message,
        random: u64,
        actions: &mut Vec<Action>,
    ) {
        self.hear(now, question, None, actions);
        let mut reply = self.message(question.step);
        reply.delta = self.lacked_by(question);
        if question.wants_hints {
            let domain = &question.failure_domain;
            reply.hints = self.members.hints(domain, now, random);
        }
        actions.push(Action::Reply(Box::new(reply)));
    }

    fn answer(
        &mut self,
        now: Millis,
        peer: SocketAddr,
        answer: &Message,
        actions: &mut Vec<Action>,
    ) {
        self.answers += 1;
        if let Some(peer) = self.peer(peer) {
            peer.down_until = None;
        }
        for hint in &answer.hints {
            self.members.hear(hint, now);
        }
        self.hear(now, answer, Some(peer), actions);
        if answer.step == Step::FollowUp {
            return;
        }
        if let Some(delta) = self.lacked_by(answer) {
            let mut message = self.message(Step::FollowUp);
            message.delta = Some(delta);
            actions.push(send(peer, message));
        }
    }

    /// Takes in what any message says.
    fn hear(
        &mut self,
        now: Millis,
        message: &Message,
        address: Option<SocketAddr>,
        actions: &mut Vec<Action>,
    ) {
        let domain = &message.failure_domain;
        self.members.heard(&message.vm, domain, address, now);
        self.hear_of(message.heard.max(message.revision));
        let digest = self.document.as_ref().map(Document::digest);
        let same = message.revision == self.revision();
        if same && digest.is_some_and(|digest| digest != message.digest) {
            self.conflicts += 1;
        }
        let Some(delta) = &message.delta else { return };
        self.hear_of(delta.revision());
        if delta.revision() <= self.revision() {
            return;
        }
        let fits = self.put_on(now, delta, actions);
        // One that starts later only means that a revision was missed;
        // one that leads elsewhere, that what it is put on is not what
        // its sender means by this revision.
        if !fits && delta.base() <= self.revision() {
            self.wants_whole = true;
        }
    }

    fn hear_of(&mut self, revision: Revision) {
        self.heard = self.heard.max(revision);
    }

    /// Returns what the sender of a message lacks.
    fn lacked_by(&self, message: &Message) -> Option<Delta> {
        let document = self.document.as_ref()?;
        let lacks = message.revision < document.revision();
        lacks.then(|| document.since(message.base))
    }

    fn found(
        &mut self,
        now: Millis,
        revision: Revision,
        text: &str,
        stamp: Stamp,
        is_edit: bool,
        actions: &mut Vec<Action>,
    ) {
        self.hear_of(revision);
        if revision <= self.revision() {
            return;
        }
        let next = match &self.document {
            Some(now) => now.successor(revision, text, stamp),
            None => Document::new(revision, text, stamp),
        };
        if is_edit && self.document.is_none() {
            self.tell(now, &next, Revision::default(), actions);
        }
        self.adopt(now, next, actions);
    }

    fn put_on(
        &mut self,
        now: Millis,
        delta: &Delta,
        actions: &mut Vec<Action>,
    ) -> bool {
        let next = match &self.document {
            Some(document) => document.apply(delta),
            None => Document::of_whole(delta),
        };
        let fits = next.is_some();
        if let Some(next) = next {
            self.adopt(now, next, actions);
        }
        fits
    }

    /// Takes a document that is newer than the one in force; the first one
    /// waits for [`Spread::settle`].
    fn adopt(
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
                self.tell(now, &next, before.revision(), actions);
                self.put_in_force(now, next, actions);
            }
            None => {
                let known = self.candidate.as_ref().map(Document::revision);
                if known < Some(next.revision()) {
                    self.candidate = Some(next);
                }
            }
        }
    }

    fn put_in_force(
        &mut self,
        now: Millis,
        next: Document,
        actions: &mut Vec<Action>,
    ) {
        self.wants_whole = false;
        self.since = now;
        self.document = Some(next.clone());
        actions.push(Action::Apply(next));
    }

    /// Applies the newest of what was found first, once enough others were
    /// asked.
    ///
    /// A process that restarts does not know which revision it had. The
    /// first neighbour that answers may lag behind it, so some more are
    /// awaited, but not for long: one that serves nobody is worse.
    fn settle(&mut self, now: Millis, actions: &mut Vec<Action>) {
        if self.document.is_none()
            && self.is_settled(now)
            && let Some(found) = self.candidate.take()
        {
            self.put_in_force(now, found, actions);
        }
    }

    fn is_settled(&self, now: Millis) -> bool {
        let wanted = self.options.settle_answers.min(self.peers.len());
        let waited = now.saturating_ms_since(self.started);
        self.answers >= wanted || waited >= self.options.settle_ms
    }

    fn tell(
        &self,
        now: Millis,
        next: &Document,
        base: Revision,
        actions: &mut Vec<Action>,
    ) {
        let delta = next.since(base);
        for peer in self.contacts(now) {
            let mut message = self.message(Step::Tell);
            message.revision = next.revision();
            message.base = next.revision();
            message.digest = next.digest();
            message.heard = self.heard.max(next.revision());
            message.delta = Some(delta.clone());
            actions.push(send(peer, message));
        }
    }

    fn failed(&mut self, now: Millis, address: SocketAddr) {
        self.answers += 1;
        self.members.failed(address, now);
        let until = now.saturating_add_ms(self.options.down_ms);
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
