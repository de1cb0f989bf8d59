//! Reports of admitted requests by a front.

use base::{Customer, Millis};
use pomeloslip_limits::{
    FleetLimiter, LimitAction, LimitDecision, LimitNodes, RateLimit,
    SLOT_COUNT, Ticket, TokenClient, TokenEvent, TokenRequest, TokenServer,
    TokenServerOptions, Tolerance,
};
use yare::parameterized;

const ALLOWANCE: Tolerance = Tolerance {
    window_ms: 5_000,
    excess: 0.1,
    slack: 20,
};

fn customer() -> Customer {
    "alama".parse().expect("a valid name")
}

fn usual_limit() -> RateLimit {
    RateLimit::try_new(20.0, 100).expect("a valid limit")
}

/// A front with its servers, which share its clock.
struct Fleet {
    front: TokenClient,
    servers: Vec<(String, TokenServer)>,
    now_ms: u64,
    next_ticket: u64,
    /// Whether servers drop messages with reports.
    are_old: bool,
    reports: Vec<TokenRequest>,
    admitted: u32,
    /// Retry times of the refused requests, in milliseconds from now.
    refused: Vec<u64>,
}

impl Fleet {
    /// Starts a fleet and lets a window pass.
    fn start(workers: usize, options: TokenServerOptions) -> Self {
        let mut fleet = Self::new(workers, options);
        fleet.pass(6_000);
        fleet
    }

    fn new(workers: usize, options: TokenServerOptions) -> Self {
        let names: Vec<String> =
            (0..workers).map(|at| format!("worker-{at}")).collect();
        let nodes = LimitNodes {
            fronts: vec!["front-1".to_owned()],
            workers: names.clone(),
        };
        let servers = names.into_iter().map(|name| {
            let server = TokenServer::new(&name, 1, ALLOWANCE, options);
            (name, server)
        });
        let mut fleet = Self {
            front: TokenClient::new("front-1", 1, ALLOWANCE, options),
            servers: servers.collect(),
            now_ms: 0,
            next_ticket: 0,
            are_old: false,
            reports: Vec::new(),
            admitted: 0,
            refused: Vec::new(),
        };
        fleet.front.set_nodes(&nodes, Millis::new(0));
        fleet
    }

    fn pass(&mut self, ms: u64) {
        for _ in 0..ms {
            self.now_ms += 1;
            self.front.tick(Millis::new(self.now_ms));
            self.act();
        }
    }

    fn act(&mut self) {
        let now = Millis::new(self.now_ms);
        loop {
            let actions = self.front.take_actions();
            if actions.is_empty() {
                return;
            }
            for action in actions {
                match action {
                    LimitAction::Send { to, request } => {
                        if request.has_report() {
                            self.reports.push(request.clone());
                        }
                        if self.are_old && request.has_report() {
                            continue;
                        }
                        let server = self
                            .servers
                            .iter_mut()
                            .find(|(name, _)| *name == to);
                        let reply = server.and_then(|(_, server)| {
                            server.handle(&request, now)
                        });
                        if let Some(reply) = reply {
                            self.front.receive(&to, &reply, now);
                        }
                    }
                    LimitAction::Decide { decision, .. } => match decision {
                        LimitDecision::Admitted(_) => self.admitted += 1,
                        LimitDecision::OverLimit(over) => {
                            self.refused.push(over.retry_after_ms());
                        }
                        LimitDecision::Unavailable => {}
                    },
                }
            }
        }
    }

    fn request(&mut self, count: u32) {
        for _ in 0..count {
            self.next_ticket += 1;
            let ticket = Ticket(self.next_ticket);
            let now = Millis::new(self.now_ms);
            self.front.request(ticket, &customer(), usual_limit(), now);
            self.act();
        }
    }

    /// Loses the servers that have the customer's slots, and returns when.
    fn lose_servers(&mut self) -> u64 {
        let slots = self.customer_slots();
        self.servers.retain(|(_, server)| {
            slots.iter().all(|slot| server.allotted(*slot) == 0.0)
        });
        self.now_ms
    }

    fn customer_slots(&self) -> [usize; 2] {
        let shards = (SLOT_COUNT / 2) as u64;
        let hash = base::stable_hash(&[customer().as_str()]);
        let shard = (base::mix(hash) % shards) as usize;
        [shard * 2, shard * 2 + 1]
    }

    fn events(&mut self) -> Vec<TokenEvent> {
        let servers = self.servers.iter_mut();
        servers
            .flat_map(|(_, server)| server.take_events())
            .collect()
    }
}

/// Guards against callers that return while no server can count them: the
/// estimate of a server without shares is not when the lease ends.
#[test]
fn refused_callers_are_told_when_the_lease_of_a_lost_server_ends() {
    let lease_ms = 2_000;
    let options = TokenServerOptions {
        min_lease_ms: lease_ms,
        ..TokenServerOptions::default()
    };
    let mut fleet = Fleet::start(4, options);
    fleet.request(4);
    assert_eq!((fleet.admitted, fleet.refused.len()), (4, 0));
    let lost_ms = fleet.lose_servers();
    fleet.pass(1_000);
    fleet.request(2);
    assert_eq!(fleet.refused.len(), 2);
    let told_ms = fleet.now_ms + fleet.refused[0];
    let ends_ms = lost_ms + lease_ms;
    // The front notices the loss with its next message, a quarter of a lease
    // later at most.
    let may_end = ends_ms - lease_ms / 4..=ends_ms + lease_ms / 4 + 100;
    assert!(may_end.contains(&told_ms), "{told_ms} not in {may_end:?}");
    fleet.pass(fleet.refused[0].max(fleet.refused[1]) + 2);
    fleet.request(4);
    assert_eq!((fleet.admitted, fleet.refused.len()), (8, 2));
}

/// Guards against a new server that starts empty although the only front has
/// reported what it admitted.
#[test]
fn a_front_reports_to_the_server_that_replaces_a_lost_one() {
    let mut fleet = Fleet::start(4, TokenServerOptions::default());
    fleet.events();
    fleet.request(3);
    fleet.lose_servers();
    fleet.reports.clear();
    fleet.pass(1_000);
    let slots = fleet.customer_slots();
    for slot in slots {
        let sent: Vec<_> = fleet
            .reports
            .iter()
            .filter(|report| report.history_slots & (1 << slot) != 0)
            .collect();
        assert_eq!(sent.len(), 1, "one answered report of a slot");
        assert!(sent[0].demands.is_empty());
    }
    let counted = fleet.reports.iter().flat_map(|report| &report.history);
    let counted = counted.flat_map(|history| &history.counts);
    assert_eq!(counted.map(|(_, count)| count).sum::<u32>(), 3);
    let restored = fleet.events().into_iter().filter(|event| match event {
        TokenEvent::Restored { slot, .. } => slots.contains(slot),
        _ => false,
    });
    assert_eq!(restored.count(), 2);
}

/// Guards against a server of an older version that counts nothing because it
/// drops the messages with reports.
#[test]
fn an_old_server_gets_few_reports_and_counts_as_before() {
    let mut fleet = Fleet::start(4, TokenServerOptions::default());
    fleet.request(3);
    fleet.lose_servers();
    fleet.are_old = true;
    fleet.reports.clear();
    fleet.pass(1_500);
    for slot in fleet.customer_slots() {
        let sent = fleet.reports.iter();
        let sent = sent.filter(|it| it.history_slots & (1 << slot) != 0);
        assert_eq!(sent.count(), 3);
    }
    let admitted = fleet.admitted;
    fleet.request(2);
    assert_eq!(fleet.admitted, admitted + 2);
}

/// Guards against an admitted request that is in no report: its response
/// arrives after the front has allotted its share to another server.
#[test]
fn a_late_grant_of_a_former_server_admits_nothing() {
    let mut fleet = Fleet::start(4, TokenServerOptions::default());
    let now = Millis::new(fleet.now_ms);
    fleet
        .front
        .request(Ticket(1), &customer(), usual_limit(), now);
    let actions = fleet.front.take_actions();
    let [LimitAction::Send { to, request }] = &actions[..] else {
        panic!("one message: {actions:?}");
    };
    let server = fleet.servers.iter_mut().find(|(name, _)| name == to);
    let (_, server) = server.expect("a server");
    let granted = server.handle(request, now).expect("valid");
    assert_eq!(granted.grants[0].granted, 1);
    // A later process of the server has answered before.
    let mut later = granted.clone();
    later.timestamp.incarnation += 1;
    later.sequence = 1;
    fleet.front.receive(to, &later, now);
    // Another late response of the former process must not make it seem the
    // present one.
    let mut former = granted.clone();
    former.sequence = 2;
    former.grants.clear();
    fleet.front.receive(to, &former, now);
    fleet.front.receive(to, &granted, now);
    let decided = fleet.front.take_actions();
    let admitted = decided.iter().any(|action| {
        matches!(
            action,
            LimitAction::Decide {
                decision: LimitDecision::Admitted(_),
                ..
            }
        )
    });
    assert!(!admitted, "{decided:?}");
}

/// Guards against a report that lacks what an earlier process of the front
/// admitted.
#[test]
fn a_young_process_reports_nothing_as_complete() {
    let mut fleet = Fleet::new(4, TokenServerOptions::default());
    fleet.pass(ALLOWANCE.window_ms - 1_000);
    fleet.lose_servers();
    fleet.pass(900);
    let complete = fleet.reports.iter().map(|it| it.history_slots);
    assert_eq!(complete.fold(0, |all, slots| all | slots), 0);
    let incomplete = fleet.reports.iter().map(|it| it.incomplete_slots);
    assert_eq!(incomplete.fold(0, |all, slots| all | slots), u16::MAX);
}

/// Guards against requests that another server admits while the share is still
/// counted by the one that has the report.
#[test]
fn requests_follow_the_share_in_a_planned_move() {
    let mut fleet = Fleet::new(1, TokenServerOptions::default());
    fleet.pass(6_000);
    let nodes = LimitNodes {
        fronts: vec!["front-1".to_owned()],
        workers: vec!["worker-0".to_owned(), "worker-1".to_owned()],
    };
    let server = TokenServer::new(
        "worker-1",
        1,
        ALLOWANCE,
        TokenServerOptions::default(),
    );
    fleet.servers.push(("worker-1".to_owned(), server));
    let now = Millis::new(fleet.now_ms);
    fleet.front.set_nodes(&nodes, now);
    for ticket in 1..=2 {
        let now = Millis::new(fleet.now_ms);
        let ticket = Ticket(ticket);
        fleet.front.request(ticket, &customer(), usual_limit(), now);
    }
    for action in fleet.front.take_actions() {
        if let LimitAction::Send { to, request } = action {
            assert!(request.demands.is_empty() || to != "worker-1", "{to}");
        }
    }
}

/// Guards against a share that is counted twice: a server of an older version
/// counts it for 1,500 ms, whatever this version's leases are.
#[parameterized(
    at_this_version = { false, 1_000 },
    at_an_older_version = { true, 1_800 },
)]
fn a_share_moves_when_its_lease_has_ended(are_old: bool, moved_ms: u64) {
    let mut fleet = Fleet::new(4, TokenServerOptions::default());
    fleet.are_old = are_old;
    fleet.pass(6_000);
    fleet.lose_servers();
    let slots = fleet.customer_slots();
    let is_moved = |fleet: &Fleet| {
        let mut servers = fleet.servers.iter();
        servers.any(|(_, server)| {
            slots.iter().any(|slot| server.allotted(*slot) > 0.0)
        })
    };
    // Renewals are sent up to 200 ms apart.
    let earliest_ms = if are_old { 1_200 } else { 290 };
    fleet.pass(earliest_ms);
    assert!(!is_moved(&fleet));
    fleet.pass(moved_ms - earliest_ms);
    assert!(is_moved(&fleet));
}
