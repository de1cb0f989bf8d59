//! Assignment of jobs and endpoints to nodes.

use std::sync::Arc;

use fleet::{
    Config, Endpoint, EndpointRecord, EndpointState, EndpointTable, Route,
    RouteKind, RouteTable,
};
use pomeloslip_jobs::{
    Assignment, Backlog, JobKey, JobManifest, Members, NodeRecord, Planner,
};
use yare::parameterized;

fn node(name: &str, domain: &str) -> NodeRecord {
    NodeRecord {
        node: name.to_owned(),
        failure_domain: domain.to_owned(),
        runs_items: true,
        address: None,
        limits: None,
        origins: None,
        lease_s: 0,
        spool: Default::default(),
    }
}

fn endpoints(by_domain: &[(&str, usize)]) -> Vec<Endpoint> {
    let mut all = Vec::new();
    for (domain, count) in by_domain {
        for number in 0..*count {
            all.push(Endpoint::new(EndpointRecord {
                id: format!("{domain}-{number}"),
                started_at: None,
                version: None,
                address: ([127, 0, 0, 1], 80).into(),
                service: "engines".to_owned(),
                failure_domain: (*domain).to_owned(),
                slots: 8,
                state: EndpointState::Ready,
            }));
        }
    }
    all
}

fn manifest(owner: &str, total: u32) -> JobManifest {
    JobManifest {
        total,
        input_chunks: 1,
        owner: owner.to_owned(),
        ..JobManifest::default()
    }
}

/// Guards against items that do not run while endpoints are idle. A node joins
/// a domain that already has one, and plain hashing assigns one of the two a
/// single endpoint and as many jobs as to the other nodes.
#[parameterized(
    two_nodes_in_one_domain = {
        &[("a1", "a"), ("a2", "a"), ("b1", "b"), ("c1", "c"), ("d1", "d")],
        &[("a", 5), ("b", 5), ("c", 4), ("d", 4)],
    },
    a_domain_without_node = {
        &[("a1", "a"), ("b1", "b")],
        &[("a", 3), ("b", 3), ("c", 6)],
    },
    a_domain_with_more_nodes_than_others = {
        &[("a1", "a"), ("a2", "a"), ("a3", "a"), ("b1", "b"), ("c1", "c")],
        &[("a", 4), ("b", 9), ("c", 9)],
    },
    one_node = { &[("a1", "a")], &[("a", 3), ("b", 4)] },
    more_nodes_than_endpoints = {
        &[("a1", "a"), ("a2", "a"), ("a3", "a")],
        &[("a", 2)],
    },
)]
fn every_endpoint_has_one_user_and_shares_are_even(
    nodes: &[(&str, &str)],
    by_domain: &[(&str, usize)],
) {
    let members = Members::new(nodes.iter().map(|(n, d)| node(n, d)));
    let endpoints = endpoints(by_domain);
    let counts: Vec<usize> = nodes
        .iter()
        .map(|(name, _)| {
            let assignment =
                Assignment::new(name, members.clone(), &endpoints);
            let used = endpoints.iter();
            used.filter(|e| assignment.uses_endpoint(e.incarnation_key()))
                .count()
        })
        .collect();
    assert_eq!(counts.iter().sum::<usize>(), endpoints.len());
    let max = endpoints.len().div_ceil(nodes.len());
    assert!(counts.iter().all(|count| *count <= max), "{counts:?}");
    let min = endpoints.len() / nodes.len();
    assert!(counts.iter().all(|count| *count >= min), "{counts:?}");
}

#[test]
fn endpoints_stay_in_their_domain_where_that_is_even() {
    let nodes = [node("a1", "a"), node("b1", "b")];
    let members = Members::new(nodes);
    let endpoints = endpoints(&[("a", 4), ("b", 4)]);
    let assignment = Assignment::new("a1", members, &endpoints);
    for endpoint in &endpoints {
        let record = endpoint.record();
        let near = record.failure_domain == "a";
        assert_eq!(
            assignment.uses_endpoint(endpoint.incarnation_key()),
            near,
            "{}",
            record.id
        );
    }
}

#[test]
fn jobs_of_a_lost_node_spread_over_the_others() {
    let members = Members::new(["a", "b", "c"].map(|n| node(n, "x")));
    let lost = manifest("gone", 3);
    let mut owners: Vec<String> = (0..60)
        .map(|number| {
            let job: JobKey = format!("job-{number}").parse().expect("key");
            members.owner(&job, &lost).expect("an owner").to_owned()
        })
        .collect();
    owners.sort();
    let count = |name| owners.iter().filter(|o| *o == name).count();
    for name in ["a", "b", "c"] {
        assert!(count(name) > 8, "{name} has {} of 60", count(name));
    }
}

#[test]
fn the_named_node_owns_a_job_as_long_as_it_is_there() {
    let job: JobKey = "job".parse().expect("key");
    let members = Members::new([node("a", "x"), node("b", "x")]);
    assert_eq!(members.owner(&job, &manifest("b", 1)), Some("b"));
    let fewer = Members::new([node("a", "x")]);
    assert_eq!(fewer.owner(&job, &manifest("b", 1)), Some("a"));
    assert_eq!(Members::default().owner(&job, &manifest("b", 1)), None);
}

#[test]
fn a_new_job_goes_to_the_node_with_the_least_open_items() {
    let members = Members::new([node("a", "x"), node("b", "x")]);
    let jobs: Vec<(JobKey, JobManifest)> = [("1", "a", 9), ("2", "b", 4)]
        .map(|(key, owner, total)| {
            (key.parse().expect("key"), manifest(owner, total))
        })
        .into();
    let backlog = Backlog::of(&members, jobs.iter().map(|(k, h)| (k, h)));
    let new: JobKey = "new".parse().expect("key");
    assert_eq!(members.least_loaded(&new, &backlog), Some("b"));
    assert_eq!((backlog.items_of("a"), backlog.items_of("b")), (9, 4));
}

/// Guards against two moves for each job, of which each costs several calls,
/// while the fleet has enough slots for all jobs. Twenty jobs arrive before
/// any backlog report about them, and all go to the same node, which looks
/// idle to every front.
#[test]
fn jobs_of_one_moment_do_not_all_go_to_the_same_node() {
    let nodes = (0..30).map(|at| node(&format!("node-{at}"), "a"));
    let members = Members::new(nodes);
    let mut counts: Vec<usize> = vec![0; members.len()];
    for job in 0..20 {
        let job: JobKey = format!("job-{job}").parse().expect("key");
        let owner = members.least_loaded(&job, &Backlog::default());
        let index = members
            .nodes()
            .iter()
            .position(|n| Some(n.node.as_str()) == owner);
        counts[index.expect("a member")] += 1;
    }
    assert!(counts.iter().all(|count| *count <= 5), "{counts:?}");
}

/// If half of the nodes are busy, a sample of four contains a node that is not
/// busy in fifteen of sixteen cases, whatever the size of the fleet.
#[test]
fn a_new_job_avoids_nodes_that_are_busy() {
    let nodes = (0..32).map(|at| node(&format!("node-{at:02}"), "a"));
    let members = Members::new(nodes);
    // Every other node has a job of ten items.
    let busy: Vec<(JobKey, JobManifest)> = (0..32)
        .step_by(2)
        .map(|at| {
            let key = format!("old-{at}").parse().expect("key");
            (key, manifest(&format!("node-{at:02}"), 10))
        })
        .collect();
    let backlog = Backlog::of(&members, busy.iter().map(|(k, h)| (k, h)));
    let to_busy = (0..100).filter(|job| {
        let job: JobKey = format!("job-{job}").parse().expect("key");
        let owner = members.least_loaded(&job, &backlog).expect("one");
        backlog.items_of(owner) > 0
    });
    assert!(to_busy.count() <= 12);
}

#[test]
fn fronts_are_no_members() {
    let front = NodeRecord {
        runs_items: false,
        ..node("front", "x")
    };
    assert!(Members::new([front]).is_empty());
}

/// Guards against an item that never runs. Endpoints are removed until a node
/// has none, and the node keeps its jobs of which something is listed, since
/// nobody detects that it cannot run anything.
#[test]
fn a_node_without_endpoints_is_detected() {
    let members = Members::new(["a1", "a2", "a3"].map(|n| node(n, "a")));
    let endpoints = endpoints(&[("a", 2)]);
    let assignment = Assignment::new("a1", members, &endpoints);
    let without = ["a1", "a2", "a3"]
        .map(|node| assignment.has_no_endpoints(node))
        .into_iter()
        .filter(|without| *without);
    assert_eq!(without.count(), 1);
}

fn fleet(nodes: usize) -> (Members, Vec<Endpoint>) {
    let domains = ["a", "b", "c", "d", "e", "f"];
    let nodes = (0..nodes).map(|at| {
        let domain = domains[at % domains.len()];
        node(&format!("node-{at}"), domain)
    });
    let members = Members::new(nodes);
    let each = members.len() * 10 / domains.len();
    let by_domain = domains.map(|domain| (domain, each));
    (members, endpoints(&by_domain))
}

/// Guards against nodes that are busy for seconds after a restart of the whole
/// fleet, and serve nothing meanwhile. Nodes come back one after the other,
/// and each computes its assignment again for each of them, visiting every
/// node for every endpoint.
#[test]
fn the_steps_of_an_assignment_grow_with_the_endpoints_alone() {
    let steps = |nodes: usize| {
        let (members, endpoints) = fleet(nodes);
        let assignment = Assignment::new("node-0", members, &endpoints);
        (assignment.steps(), endpoints.len())
    };
    for nodes in [30, 300] {
        let (steps, endpoints) = steps(nodes);
        assert!(steps < 12 * endpoints, "{steps} steps, {nodes} nodes");
    }
}

/// Each endpoint that a node loses or gains by a change elsewhere costs
/// connections and prompts that were prefilled in vain.
#[test]
fn few_endpoints_change_their_user_when_a_node_leaves() {
    let (members, endpoints) = fleet(60);
    let fewer = members.nodes().iter().skip(1).cloned();
    let before = Assignment::new("node-0", members.clone(), &endpoints);
    let after = Assignment::new("node-0", Members::new(fewer), &endpoints);
    let user = |assignment: &Assignment, endpoint: &Endpoint| {
        assignment
            .user_of(endpoint.incarnation_key())
            .map(|user| user.node.clone())
    };
    let moved = endpoints
        .iter()
        .filter(|e| user(&before, e) != user(&after, e))
        .count();
    // Ten endpoints belonged to the removed node; the others move because the
    // endpoint counts become uneven.
    assert!(
        moved < endpoints.len() / 4,
        "{moved} of {}",
        endpoints.len()
    );
}

/// Guards against an idle front that spends half of its processor time on
/// assignments, because each pass builds the lists of inputs again to compare
/// them.
#[test]
fn an_assignment_is_computed_once_for_the_same_fleet() {
    let (members, endpoints) = fleet(30);
    let table = Arc::new(EndpointTable::new(endpoints.iter().cloned()));
    let route = Route::new("jobs", "a.example", "/", "engines")
        .with_kind(RouteKind::Batch);
    let config = |version| {
        Some(Arc::new(Config {
            version,
            routes: RouteTable::new(vec![route.clone()]),
            ..Config::default()
        }))
    };
    let (first, members) = (config(1), Arc::new(members));
    let mut planner = Planner::new("node-0");
    let assignment = planner.assignment(&first, &table, &members);
    assert!(!assignment.own_endpoints().is_empty());
    for _ in 0..1_000 {
        planner.assignment(&first, &table, &members);
    }
    // Another configuration that leads to the same services.
    planner.assignment(&config(2), &table, &members);
    assert_eq!(planner.computed_count(), 1);
    let other = Arc::new(EndpointTable::new(endpoints.into_iter().skip(1)));
    planner.assignment(&first, &other, &members);
    assert_eq!(planner.computed_count(), 2);
}
