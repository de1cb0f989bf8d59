//! Messages between the nodes of a simulated fleet.

use pomeloslip_limits::{
    CustomerHistory, LimitAction, LimitDecision, TokenEvent,
};

use super::{UNCOUNTED_RETRY_MS, World};
use crate::{
    event::{Event, Message},
    scenario::InjectedBug,
};

/// Returns the number of requests in a report.
fn total(history: &[CustomerHistory]) -> u32 {
    let counts = history.iter().flat_map(|customer| &customer.counts);
    counts.map(|(_, count)| count).sum()
}

impl World {
    pub(super) fn act(&mut self, at: usize) {
        let Some(limiter) = &mut self.nodes[at].limiter else {
            return;
        };
        let actions = limiter.take_actions();
        let due = limiter.next_tick();
        for action in actions {
            match action {
                LimitAction::Send { to, request } => {
                    self.nodes[at].sent += 1;
                    let to = self.by_name[&to];
                    self.send(at, to, Message::Request(request));
                }
                LimitAction::Decide { ticket, decision } => {
                    let key = (at, ticket.0);
                    let request = self.tickets.remove(&key);
                    let request = request.expect("one decision per request");
                    self.decide(at, request, decision);
                }
            }
        }
        if let Some(due) = due {
            let due_ms = self.nodes[at].started_ms + due.as_ms();
            let offset_ms = self.scenario.clock_offset_ms();
            let at_ms = due_ms.saturating_sub(offset_ms);
            let at_ms = at_ms.max(self.now_ms + 1);
            if at_ms < self.nodes[at].wake_at_ms {
                self.nodes[at].wake_at_ms = at_ms;
                let process = self.nodes[at].process;
                self.push(at_ms, Event::Wake { node: at, process });
            }
        }
    }

    fn count_events(&mut self, node: usize) {
        for event in self.nodes[node].server.take_events() {
            match event {
                TokenEvent::Restored { .. } => self.outcome.restored += 1,
                TokenEvent::NotRestored { .. } => {
                    self.outcome.not_restored += 1;
                }
                TokenEvent::ReportRefused { .. } => {}
            }
        }
    }

    fn decide(
        &mut self,
        node: usize,
        (customer, first_ms): (usize, u64),
        decision: LimitDecision,
    ) {
        let retry_after_ms = match decision {
            LimitDecision::Admitted(_) => {
                self.counted[customer].push(self.now_ms);
                return;
            }
            LimitDecision::OverLimit(over) => over.retry_after_ms(),
            LimitDecision::Unavailable => UNCOUNTED_RETRY_MS,
        };
        let again_ms = self.now_ms + retry_after_ms.max(1);
        if again_ms <= first_ms + self.scenario.patience_ms {
            let retry = Event::Retry {
                customer,
                node,
                first_ms,
            };
            self.push(again_ms, retry);
        } else {
            self.outcome.refused[customer] += 1;
        }
    }

    pub(super) fn send(&mut self, from: usize, to: usize, message: Message) {
        if self.below(200) == 0 {
            return;
        }
        let mut delay_ms = 1 + self.below(4);
        if self.below(300) == 0 {
            delay_ms += self.below(3_000);
        }
        if self.below(200) == 0 {
            let again_ms = self.now_ms + delay_ms + self.below(500);
            let message = message.clone();
            self.push(again_ms, Event::Deliver { from, to, message });
        }
        let at_ms = self.now_ms + delay_ms;
        self.push(at_ms, Event::Deliver { from, to, message });
    }

    pub(super) fn deliver(
        &mut self,
        from: usize,
        to: usize,
        message: Message,
    ) {
        let cut = self.nodes[from].cut_from_all
            || self.nodes[to].cut_from_all
            || self.nodes[from].partition_side
                != self.nodes[to].partition_side;
        if !self.nodes[to].alive || (cut && from != to) {
            return;
        }
        if self.nodes[to].frozen {
            let event = Event::Deliver { from, to, message };
            self.nodes[to].deferred.push(event);
            return;
        }
        self.nodes[to].received += 1;
        let now = self.local(to);
        match message {
            Message::Request(mut request) => {
                if self.scenario.bug == InjectedBug::OldLimitWins {
                    for demand in &mut request.demands {
                        demand.limit = demand.limit.with_version(self.number);
                    }
                }
                let has_report = request.has_report();
                if has_report && self.nodes[to].is_old {
                    return;
                }
                if self.scenario.bug == InjectedBug::ReportCountedTwice
                    && request.history_slots != 0
                {
                    let key = (to, request.history_slots);
                    let least = self.reports.entry(key);
                    let least =
                        least.or_insert_with(|| request.history.clone());
                    if total(&request.history) < total(least) {
                        *least = request.history;
                    }
                    request.history = least.clone();
                }
                let reply = self.nodes[to].server.handle(&request, now);
                self.count_events(to);
                if let Some(reply) = reply {
                    self.send(to, from, Message::Response(reply));
                }
            }
            Message::Response(reply) => {
                let server = self.nodes[from].name.clone();
                if let Some(limiter) = &mut self.nodes[to].limiter {
                    limiter.receive(&server, &reply, now);
                }
                self.tick(to);
            }
        }
    }
}
