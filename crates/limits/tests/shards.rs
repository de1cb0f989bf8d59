//! The servers that the shards of customers are reported to.

use base::Millis;
use pomeloslip_limits::{
    FleetLimiter, LimitAction, LimitNodes, SLOT_COUNT, TokenClient,
    TokenServer, TokenServerOptions, Tolerance, customer_shard,
};

fn at(ms: u64) -> Millis {
    Millis::new(ms)
}

/// Guards against reports to a server that was lost, while the one of the
/// other replica counts the same customers.
#[test]
fn the_second_replica_stands_in_for_the_first() {
    let (tolerance, options) =
        (Tolerance::default(), TokenServerOptions::default());
    let mut front = TokenClient::new("f1", 1, tolerance, options);
    let nodes = LimitNodes {
        fronts: vec!["f1".to_owned()],
        workers: vec!["w1".to_owned(), "w2".to_owned()],
    };
    front.set_nodes(&nodes, at(0));
    front.tick(at(1));
    let before: Vec<String> = front
        .shard_servers(at(1))
        .iter()
        .map(|server| server.expect("a server").to_owned())
        .collect();
    assert_eq!(before.len() * 2, SLOT_COUNT);
    let lost = before[0].clone();
    let mut servers =
        ["w1", "w2"].map(|node| TokenServer::new(node, 1, tolerance, options));
    for action in front.take_actions() {
        let LimitAction::Send { to, request } = action else {
            continue;
        };
        if to != lost {
            let at_server = usize::from(to == "w2");
            let reply = servers[at_server].handle(&request, at(1));
            front.receive(&to, &reply.expect("valid"), at(2));
        }
    }
    let after = front.shard_servers(at(200));
    assert!(
        after
            .iter()
            .all(|server| { server.is_some_and(|server| server != lost) })
    );
}

#[test]
fn customers_are_divided_into_all_shards() {
    let mut counts = [0; SLOT_COUNT / 2];
    for n in 0..800 {
        let name = format!("customer-{n}").parse().expect("a name");
        counts[customer_shard(&name)] += 1;
    }
    assert!(counts.iter().all(|count| (60..140).contains(count)));
}
