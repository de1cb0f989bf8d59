//! Choice, incarnations and recovery of endpoints.

use base::{Incarnation, Millis};
use pomeloslip_router::{
    Affinity, EndpointKey, EndpointReport, Failure, HealthPolicy,
    ListedEndpoint, Policy, PoolKey, Probing, Query, Refusal, Router,
    RouterOptions,
};
use yare::parameterized;

const T0: Millis = Millis::new(0);

fn listed(name: &str, same_domain: bool) -> ListedEndpoint {
    let valid = name.parse().expect("a valid name");
    ListedEndpoint::new(valid, same_domain, &format!("{name}:7000"))
}

fn many(count: usize, same_domain: usize) -> Vec<ListedEndpoint> {
    (0..count)
        .map(|at| listed(&format!("e{at}"), at < same_domain))
        .collect()
}

fn router(
    options: RouterOptions,
    list: &[ListedEndpoint],
) -> (Router, PoolKey) {
    let mut router = Router::new("entry-1", options);
    let pool = router.pool("pool");
    router.list(pool, list);
    (router, pool)
}

fn plain() -> RouterOptions {
    RouterOptions::default().affinity(None)
}

fn report(incarnation: u64) -> EndpointReport {
    EndpointReport {
        up: true,
        incarnation: Incarnation::new(incarnation),
        ..EndpointReport::default()
    }
}

fn choose(
    router: &mut Router,
    pool: PoolKey,
    now: Millis,
    random: u64,
) -> Option<EndpointKey> {
    let choice = router.choose(pool, &Query::default(), now, random);
    choice.map(|choice| choice.endpoint)
}

fn key(router: &Router, name: &str) -> EndpointKey {
    let mut all = router.endpoints();
    let found = all.find(|one| one.name.as_str() == name);
    found.expect("a known endpoint").key
}

#[parameterized(
    random = { Policy::Random },
    round_robin = { Policy::RoundRobin },
    least_of_two = { Policy::PowerOfTwoChoices },
    probing = { Policy::Probing(Probing::default()) },
)]
fn every_policy_spreads_and_never_repeats_a_try(policy: Policy) {
    let (mut router, pool) = router(plain().policy(policy), &many(4, 4));
    let mut tried = Vec::new();
    for random in 0..4 {
        let query = Query::default().tried(&tried);
        let choice = router.choose(pool, &query, T0, random).unwrap();
        assert!(!tried.contains(&choice.endpoint));
        tried.push(choice.endpoint);
    }
    let query = Query::default().tried(&tried);
    assert_eq!(router.choose(pool, &query, T0, 9), None);
}

#[test]
fn an_unknown_pool_has_no_endpoint() {
    let (mut router, _) = router(plain(), &many(2, 2));
    assert_eq!(router.find_pool("other"), None);
    let other = router.pool("other");
    assert_eq!(choose(&mut router, other, T0, 1), None);
}

#[test]
fn own_domain_first_and_others_by_need() {
    let options = plain()
        .policy(Policy::PowerOfTwoChoices)
        .other_domain_penalty(2);
    let (mut router, pool) = router(options, &many(2, 1));
    let (same_domain, far) = (key(&router, "e0"), key(&router, "e1"));
    let mut chosen = Vec::new();
    for random in 0..5 {
        let key = choose(&mut router, pool, T0, random).unwrap();
        router.sent(key, T0);
        chosen.push(key);
    }
    // The endpoint of the other domain is taken once it is less loaded by more
    // than two.
    assert_eq!(
        chosen,
        [same_domain, same_domain, same_domain, far, same_domain]
    );
}

/// Guards against requests to endpoints of a failed failure domain: all
/// endpoints of the entry's own domain become unreachable, and the subset or
/// the preference must not be limited to that domain.
#[test]
fn a_lost_own_domain_spills_over() {
    let (mut router, pool) = router(plain().subset(8), &many(100, 50));
    let views: Vec<_> = router.endpoints().collect();
    assert_eq!(views.len(), 8);
    let is_near = |name: &str| name[1..].parse::<usize>().unwrap() < 50;
    let same_domain: Vec<_> =
        views.iter().filter(|v| is_near(v.name.as_str())).collect();
    assert_eq!(same_domain.len(), 6);
    for view in &same_domain {
        router.failed(view.key, Failure::Unreachable, T0);
    }
    let chosen = choose(&mut router, pool, T0, 3).unwrap();
    assert!(same_domain.iter().all(|view| view.key != chosen));
}

#[test]
fn entries_use_different_parts_and_keep_them() {
    let list = many(100, 0);
    let subset_names = |entry: &str, list: &[ListedEndpoint]| {
        let mut router = Router::new(entry, plain().subset(10));
        let pool = router.pool("pool");
        router.list(pool, list);
        let mut names: Vec<String> =
            router.endpoints().map(|v| v.name.to_string()).collect();
        names.sort();
        names
    };
    let first = subset_names("entry-1", &list);
    assert_ne!(first, subset_names("entry-2", &list));
    let without: Vec<ListedEndpoint> = list
        .iter()
        .filter(|one| one.name().as_str() != first[0])
        .cloned()
        .collect();
    let after = subset_names("entry-1", &without);
    assert!(first[1..].iter().all(|name| after.contains(name)));
}

/// Guards against a restarted endpoint that gets no calls or a wrong in-flight
/// count. Calls run at one incarnation, the companion restarts at the same
/// address and responds, and the old calls end; one record for both
/// incarnations would mix them up.
#[test]
fn a_new_incarnation_is_a_new_endpoint() {
    let (mut router, pool) = router(plain(), &many(1, 1));
    let old = choose(&mut router, pool, T0, 1).unwrap();
    router.sent(old, T0);
    assert_eq!(router.reported(old, &report(1), T0), old);
    router.refused(old, Refusal::Leaving, T0);
    assert_eq!(choose(&mut router, pool, T0, 1), None);

    let new = router.probed(old, &report(2), T0);
    assert_ne!(new, old);
    assert_eq!(choose(&mut router, pool, T0, 1), Some(new));
    router.sent(new, T0);
    router.ended(old);
    router.failed(old, Failure::Unreachable, T0);
    let views: Vec<_> = router.endpoints().collect();
    assert_eq!(views.len(), 1);
    assert_eq!((views[0].in_flight, views[0].selectable), (1, true));
}

/// Guards against new work at a leaving endpoint. Its companion has announced
/// that it is leaving, but the platform's list still has it for a minute; the
/// list must not override the companion.
#[test]
fn a_lagging_list_does_not_bring_a_leaving_one_back() {
    let list = many(3, 3);
    let (mut router, pool) = router(plain().subset(2), &list);
    let leaving = router.endpoints().next().unwrap();
    router.reported(leaving.key, &report(7), T0);
    router.mark_leaving(Incarnation::new(7));
    let listing = router.list(pool, &list);
    // Another endpoint replaces it in the subset.
    assert_eq!(listing.added.len(), 1);
    for random in 0..50 {
        let chosen = choose(&mut router, pool, T0, random).unwrap();
        assert_ne!(chosen, leaving.key);
    }
}

#[test]
fn an_incarnation_that_left_before_it_was_known_gets_nothing() {
    let (mut router, pool) = router(plain(), &many(1, 1));
    router.mark_leaving(Incarnation::new(7));
    let key = key(&router, "e0");
    router.probed(key, &report(7), T0);
    assert_eq!(choose(&mut router, pool, T0, 1), None);
}

#[test]
fn an_ejected_endpoint_recovers_by_a_probe_and_one_call() {
    let (mut router, pool) = router(plain(), &many(2, 2));
    let (bad, good) = (key(&router, "e0"), key(&router, "e1"));
    router.reported(bad, &report(1), T0);
    router.reported(good, &report(2), T0);
    for _ in 0..3 {
        router.failed(bad, Failure::Lost, T0);
    }
    assert_eq!(router.tick(T0), []);
    let only_good = |router: &mut Router, now| {
        (0..20).all(|r| choose(router, pool, now, r) == Some(good))
    };
    assert!(only_good(&mut router, T0));
    // A probe that succeeds too early changes nothing.
    router.probed(bad, &report(1), T0);
    assert!(only_good(&mut router, T0));

    let later = Millis::new(1_000);
    assert_eq!(router.tick(later), [bad]);
    router.probed(bad, &report(1), later);
    assert!(!only_good(&mut router, later));
    // One call at a time until one is answered.
    router.sent(bad, later);
    assert!(only_good(&mut router, later));
    router.answered(bad, None, later);
    router.ended(bad);
    assert!(!only_good(&mut router, later));
}

#[test]
fn a_second_ejection_is_longer() {
    let (mut router, _) = router(plain(), &many(1, 1));
    let key = key(&router, "e0");
    router.reported(key, &report(1), T0);
    router.failed(key, Failure::Unreachable, T0);
    let second = Millis::new(1_000);
    assert_eq!(router.tick(second), [key]);
    router.probed(key, &report(1), second);
    router.failed(key, Failure::Unreachable, second);
    assert_eq!(router.tick(Millis::new(2_500)), []);
    assert_eq!(router.tick(Millis::new(3_000)), [key]);
}

/// Guards against ejecting one endpoint after the other when every call to
/// every endpoint fails for a while, which would leave the load of all to one
/// endpoint.
#[test]
fn a_brown_out_ejects_at_most_half() {
    let (mut router, _) = router(plain(), &many(10, 10));
    let keys: Vec<_> = router.endpoints().map(|v| v.key).collect();
    for _ in 0..20 {
        for key in &keys {
            router.failed(*key, Failure::Lost, T0);
        }
    }
    assert_eq!(router.endpoints().filter(|v| v.selectable).count(), 5);
}

#[test]
fn refusals_say_nothing_against_health() {
    let (mut router, _) = router(plain(), &many(1, 1));
    let key = key(&router, "e0");
    for _ in 0..50 {
        router.refused(key, Refusal::Full, T0);
    }
    assert!(router.endpoints().all(|view| view.selectable));
}

#[test]
fn retries_have_a_budget() {
    let (mut router, pool) = router(plain(), &many(2, 2));
    let key = key(&router, "e0");
    for _ in 0..100 {
        router.sent(key, T0);
    }
    let allowed = (0..100).filter(|_| router.try_retry(pool, T0)).count();
    assert_eq!(allowed, 30);
}

#[test]
fn a_prefix_stays_until_its_endpoint_is_loaded() {
    let options = plain().affinity(Some(Affinity { bound: 1.25 }));
    let (mut router, pool) = router(options, &many(4, 4));
    let query = Query::default().prefix(Some(42));
    let home = router.choose(pool, &query, T0, 1).unwrap().endpoint;
    for random in 0..20 {
        let again = router.choose(pool, &query, T0, random).unwrap();
        assert_eq!(again.endpoint, home);
    }
    let mut at_home = 0;
    for random in 0..40 {
        let key = router.choose(pool, &query, T0, random).unwrap().endpoint;
        router.sent(key, T0);
        at_home += u32::from(key == home);
    }
    // The final mean is 10; the bound allows a quarter more, and rounding adds
    // one.
    assert!((10..=14).contains(&at_home), "{at_home}");
}

#[test]
fn health_scores_prefer_the_best_and_recover_by_probes() {
    let health = HealthPolicy::Score { sensitivity: 2 };
    let (mut router, pool) = router(plain().health(health), &many(2, 2));
    let (bad, good) = (key(&router, "e0"), key(&router, "e1"));
    router.reported(bad, &report(1), T0);
    router.reported(good, &report(2), T0);
    router.failed(bad, Failure::Lost, T0);
    for second in 1..3 {
        let now = Millis::new(second * 1_000);
        assert_eq!(choose(&mut router, pool, now, second), Some(good));
        assert_eq!(router.tick(now), [bad]);
        router.probed(bad, &report(1), now);
    }
    let now = Millis::new(3_000);
    assert_eq!(router.tick(now), []);
    let seen = (0..20).filter_map(|r| choose(&mut router, pool, now, r));
    assert!(seen.into_iter().any(|key| key == bad));
}

#[test]
fn probing_may_prefer_the_cold_with_low_latency() {
    let policy = Policy::Probing(Probing {
        hot_quantile: 0.75,
        ..Probing::default()
    });
    let (mut router, pool) = router(plain().policy(policy), &many(3, 3));
    let reports = [(4, 10), (0, 90), (1, 20)];
    for (at, (running, first_token_ms)) in reports.into_iter().enumerate() {
        let key = key(&router, &format!("e{at}"));
        let report = EndpointReport {
            running,
            first_token_ms,
            ..report(at as u64 + 1)
        };
        router.reported(key, &report, T0);
    }
    let choice = router.choose(pool, &Query::default(), T0, 5).unwrap();
    assert_eq!(choice.endpoint, key(&router, "e2"));
    assert!(!choice.probes.is_empty());
}

#[test]
fn a_prefix_does_not_wait_in_a_queue() {
    let options = RouterOptions::default();
    let (mut router, pool) = router(options, &many(4, 4));
    let query = Query::default().prefix(Some(42));
    let home = router.choose(pool, &query, T0, 1).unwrap().endpoint;
    let report = EndpointReport {
        waiting: 1,
        ..report(1)
    };
    router.reported(home, &report, T0);
    let other = router.choose(pool, &query, T0, 1).unwrap().endpoint;
    assert_ne!(other, home);
    let later = Millis::new(2_000);
    let again = router.choose(pool, &query, later, 1).unwrap().endpoint;
    assert_eq!(again, home);
}
