//! Reports of admitted requests, and the restore of buckets from them.

use base::{Customer, Millis};
use pomeloslip_limits::{
    CustomerHistory, Demand, FleetLimiter, LimitAction, LimitDecision,
    LimitNodes, RateLimit, SLOT_COUNT, ServerTimestamp, Ticket, TokenClient,
    TokenEvent, TokenRequest, TokenServer, TokenServerOptions, Tolerance,
};
use yare::parameterized;

const ALLOWANCE: Tolerance = Tolerance {
    window_ms: 5_000,
    excess: 0.1,
    slack: 20,
};

const INCARNATION: u64 = 5;

/// On the clock of the server: later than new processes get initial tokens.
const ALLOTTED_MS: u64 = 10_000;

fn customer() -> Customer {
    "alama".parse().expect("a valid name")
}

fn limit(per_s: f64, burst: u32, version: u64) -> RateLimit {
    let limit = RateLimit::try_new(per_s, burst).expect("a valid limit");
    limit.with_version(version)
}

fn usual_limit() -> RateLimit {
    limit(20.0, 100, 1)
}

/// Tokens of a replica that counted nothing.
fn full() -> u32 {
    (ALLOWANCE.burst_tokens(usual_limit()) / 2.0) as u32
}

fn server() -> TokenServer {
    let options = TokenServerOptions::default();
    TokenServer::new("worker-1", INCARNATION, ALLOWANCE, options)
}

/// A message of one of two fronts that allots all slots.
fn allotting(front: &str, sequence: u64, at_ms: u64) -> TokenRequest {
    TokenRequest {
        front: front.to_owned(),
        incarnation: 1,
        sequence,
        lease_start: Some(ServerTimestamp {
            incarnation: INCARNATION,
            at_ms,
        }),
        slots: u16::MAX,
        fronts: 2,
        demands: Vec::new(),
        history: Vec::new(),
        history_slots: 0,
        incomplete_slots: 0,
    }
}

fn reporting(front: &str, sequence: u64, counts: &[u32]) -> TokenRequest {
    let history = CustomerHistory {
        customer: customer(),
        replica: 0,
        limit: usual_limit(),
        counts: counts.iter().map(|count| (0, *count)).collect(),
    };
    TokenRequest {
        history: vec![history],
        history_slots: u16::MAX,
        ..allotting(front, sequence, ALLOTTED_MS)
    }
}

/// Asks for many tokens, 10 ms after the reports.
fn granted(server: &mut TokenServer, limit: RateLimit) -> u32 {
    let demand = Demand {
        customer: customer(),
        replica: 0,
        limit,
        count: 1_000,
    };
    let request = TokenRequest {
        demands: vec![demand],
        ..allotting("front-1", 1_000, ALLOTTED_MS)
    };
    let now = Millis::new(ALLOTTED_MS + 10);
    let reply = server.handle(&request, now).expect("valid");
    reply.grants[0].granted
}

fn receive(server: &mut TokenServer, messages: &[TokenRequest]) {
    for message in messages {
        server.handle(message, Millis::new(ALLOTTED_MS));
    }
}

/// Guards against refusals below the limit after the loss of a server, and
/// against restored tokens while a front may have used any part of the limit.
#[parameterized(
    both_reported = {
        &[reporting("front-1", 1, &[4]), reporting("front-2", 1, &[2])], 6, true
    },
    nothing_was_admitted = {
        &[reporting("front-1", 1, &[]), reporting("front-2", 1, &[])], 0, true
    },
    one_is_missing = {
        &[reporting("front-1", 1, &[4]),
          allotting("front-2", 1, ALLOTTED_MS)],
        full(), false
    },
    one_is_young = {
        &[reporting("front-1", 1, &[4]), TokenRequest {
            incomplete_slots: u16::MAX,
            ..allotting("front-2", 1, ALLOTTED_MS)
        }],
        full(), false
    },
    one_has_released_its_share = {
        &[reporting("front-1", 1, &[4]), reporting("front-2", 1, &[2]),
          TokenRequest {
            slots: 0,
            ..allotting("front-2", 2, ALLOTTED_MS)
        }],
        full(), false
    },
    one_has_started_anew = {
        &[reporting("front-1", 1, &[4]), reporting("front-2", 1, &[2]),
          TokenRequest {
            incarnation: 2,
            ..allotting("front-2", 2, ALLOTTED_MS)
        }],
        full(), false
    },
    a_report_is_repeated = {
        &[reporting("front-1", 1, &[4]), reporting("front-1", 2, &[4]),
          reporting("front-2", 1, &[2])],
        6, true
    },
    a_report_arrives_twice_and_late = {
        &[reporting("front-1", 2, &[4]), reporting("front-1", 2, &[4]),
          reporting("front-1", 1, &[1]), reporting("front-2", 1, &[2])],
        6, true
    },
    more_was_admitted_than_the_limit = {
        &[reporting("front-1", 1, &[9_000]), reporting("front-2", 1, &[2])],
        full(), true
    },
)]
fn tokens_after_reports(
    messages: &[TokenRequest],
    missing: u32,
    is_restored: bool,
) {
    assert!(full() > 20);
    let mut server = server();
    receive(&mut server, messages);
    let found = granted(&mut server, usual_limit());
    // Ten milliseconds refill a tenth of a token.
    assert_eq!(found, full() - missing);
    let events = server.take_events();
    let restored = |event| matches!(event, TokenEvent::Restored { .. });
    assert_eq!(events.into_iter().any(restored), is_restored);
}

/// Guards against a limit that operators have lowered and that a restore
/// raises again: a front does not know the lower limit yet.
#[parameterized(
    known_to_the_front_that_asks = { 1, 2 },
    known_to_a_front_that_reports = { 2, 1 },
)]
fn a_lowered_limit_applies_to_restored_tokens(reported: u64, asked: u64) {
    let of_version = |version| match version {
        1 => usual_limit(),
        _ => limit(4.0, 4, version),
    };
    let mut server = server();
    let mut first = reporting("front-1", 1, &[]);
    first.history[0].limit = of_version(reported);
    receive(&mut server, &[first, reporting("front-2", 1, &[])]);
    let lower = ALLOWANCE.burst_tokens(of_version(2)) / 2.0;
    assert!(f64::from(full()) > lower + 1.0);
    let found = granted(&mut server, of_version(asked));
    assert!(f64::from(found) <= lower + 0.1, "{found}, at most {lower}");
}

/// Guards against tokens of a restored bucket that are still there although a
/// part of the shares has been counted elsewhere meanwhile.
#[test]
fn restored_tokens_end_with_the_shares() {
    let mut server = server();
    let messages =
        [reporting("front-1", 1, &[]), reporting("front-2", 1, &[])];
    receive(&mut server, &messages);
    let at = |ms| Millis::new(ALLOTTED_MS + ms);
    server.handle(&allotting("front-1", 2, ALLOTTED_MS), at(1));
    let released = TokenRequest {
        slots: 0,
        ..allotting("front-2", 2, ALLOTTED_MS)
    };
    server.handle(&released, at(2));
    server.handle(&allotting("front-2", 3, ALLOTTED_MS), at(3));
    assert!(granted(&mut server, usual_limit()) <= full() / 2);
}

#[parameterized(
    of_an_unknown_replica = {
        |request: &mut TokenRequest| request.history[0].replica = 2
    },
    of_a_slot_that_is_not_reported = {
        |request: &mut TokenRequest| request.history_slots = 0
    },
    of_a_slot_that_is_not_allotted = {
        |request: &mut TokenRequest| request.slots = 0
    },
    both_complete_and_not = {
        |request: &mut TokenRequest| request.incomplete_slots = 1
    },
    too_many_requests = {
        |request: &mut TokenRequest|
            request.history[0].counts = vec![(0, u32::MAX)]
    },
    too_old = {
        |request: &mut TokenRequest|
            request.history[0].counts = vec![(u64::MAX, 1)]
    },
    too_many_counts = {
        |request: &mut TokenRequest|
            request.history[0].counts = vec![(0, 1); 2_000]
    },
    too_many_customers = {
        |request: &mut TokenRequest|
            request.history = vec![request.history[0].clone(); 401]
    },
    a_rate_that_is_none = {
        |request: &mut TokenRequest| {
            let text = r#"{"per_s":-1.0,"burst":1,"version":1}"#;
            request.history[0].limit =
                serde_json::from_str(text).expect("decoded");
        }
    },
)]
fn out_of_range_reports_change_nothing(corrupt: fn(&mut TokenRequest)) {
    let mut server = server();
    let mut corrupted = reporting("front-1", 1, &[1]);
    corrupt(&mut corrupted);
    let now = Millis::new(ALLOTTED_MS);
    assert!(server.handle(&corrupted, now).is_none());
    let allotted = (0..SLOT_COUNT).map(|slot| server.allotted(slot));
    assert_eq!(allotted.sum::<f64>(), 0.0);
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
        fleet.pass(6_000);
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
