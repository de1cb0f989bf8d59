//! Bursts of one customer among many, on a stepped clock.
//!
//! The load that the decision is designed for: 54 endpoints with 8 slots, one
//! request queued at each, four fronts and three token servers; requests take
//! 600 ms on average, so that the service serves 720 requests per second.

mod sim;

use pomeloslip_share::{CustomerTerms, TermsTable};
use sim::{Fleet, Sender, Served, Setup};
use yare::parameterized;

const SLOTS: u64 = 432;
const QUEUE: u64 = 54;

/// Requests per second that the service serves.
const CAPACITY_PER_S: f64 = 720.0;

fn setup(shares: bool, seed: u64) -> Setup {
    Setup {
        fronts: 4,
        servers: 3,
        slots: SLOTS,
        queue: QUEUE,
        shares,
        seed,
    }
}

/// Returns 80 customers that send 90 percent of the capacity, the first of
/// them a tenth of it.
fn senders() -> Vec<Sender> {
    let all = CAPACITY_PER_S * 0.9;
    let sender = |n: usize| Sender {
        name: format!("c{n}").parse().expect("a name"),
        per_s: match n {
            0 => all * 0.1,
            _ => all * 0.9 / 79.0,
        },
        priority: 0,
    };
    (0..80).map(sender).collect()
}

fn others(served: &[Served]) -> Served {
    let mut sum = Served::default();
    for one in &served[1..] {
        sum.add(*one);
    }
    sum
}

/// Runs two seconds at the usual rates, then a burst of customer 0 that
/// sends four times its rate. Returns what happened in the burst after its
/// first second, in which the first counts of other fronts arrive.
fn burst(fleet: &mut Fleet, disturb: impl FnOnce(&mut Fleet)) -> Vec<Served> {
    fleet.run_ms(2_000);
    fleet.senders[0].per_s *= 4.0;
    fleet.run_ms(1_000);
    disturb(fleet);
    fleet.take_served();
    fleet.run_ms(5_000);
    fleet.take_served()
}

/// Sums over five seeds: customer 0, and all others.
fn five_bursts(shares: bool, disturb: fn(&mut Fleet)) -> (Served, Served) {
    let (mut first, mut rest) = (Served::default(), Served::default());
    for seed in 1..=5 {
        let mut fleet = Fleet::new(setup(shares, seed), senders());
        let served = burst(&mut fleet, disturb);
        first.add(served[0]);
        rest.add(others(&served));
    }
    (first, rest)
}

fn print(what: &str, served: (Served, Served)) {
    println!(
        "{what}: served {:.3} of the customer with the burst, {:.4} of the \
         others; {} and {} refused over the share",
        served.0.fraction(),
        served.1.fraction(),
        served.0.over_share,
        served.1.over_share,
    );
}

/// Guards against a burst of one customer that takes the slots of the others:
/// without shares, all are refused alike.
///
/// The others send 81 percent of the capacity and have to be served.
#[test]
fn others_are_served_while_one_sends_four_times_its_rate() {
    let before = five_bursts(false, |_| ());
    let after = five_bursts(true, |_| ());
    print("without shares", before);
    print("with shares", after);
    let refused = |served: Served| 1.0 - served.fraction();
    assert!(refused(after.1) < refused(before.1) / 5.0);
    // Of customers with few requests, some exceed their share by chance.
    assert!(after.1.over_share * 200 < after.1.sent, "{after:?}");
}

/// Guards against shares that fail with the nodes that count: the others are
/// still served better than without shares.
#[parameterized(
    one_server = { "one of three servers is lost", |f| f.lose_server(0) },
    all_servers = { "all servers are lost", |f| {
        (0..3).for_each(|at| f.lose_server(at));
    } },
    one_front_cut_off = { "a front receives nothing", |f| f.cut_off(0) },
    all_fronts_cut_off = { "no front receives anything", |f| {
        (0..4).for_each(|at| f.cut_off(at));
    } },
    half_of_the_fronts = { "half of the fronts are lost", |f| {
        (0..2).for_each(|at| f.lose_front(at));
    } },
)]
fn shares_survive_losses(what: &str, disturb: fn(&mut Fleet)) {
    let before = five_bursts(false, disturb);
    let after = five_bursts(true, disturb);
    print(&format!("{what}, without shares"), before);
    print(&format!("{what}, with shares"), after);
    let refused = |served: Served| 1.0 - served.fraction();
    assert!(refused(after.1) < refused(before.1) / 2.0);
}

/// Guards against limiting a customer while slots are free.
#[test]
fn nobody_is_limited_while_slots_are_free() {
    let mut all = senders();
    for sender in &mut all {
        sender.per_s *= 0.6;
    }
    let mut fleet = Fleet::new(setup(true, 7), all);
    let served = burst(&mut fleet, |_| ());
    assert_eq!(served[0].over_share + others(&served).over_share, 0);
    assert!(served[0].fraction() > 0.99, "{:?}", served[0]);
}

fn equal_senders(count: usize, load: impl Fn(usize) -> f64) -> Vec<Sender> {
    let sender = |n: usize| Sender {
        name: format!("c{n}").parse().expect("a name"),
        per_s: CAPACITY_PER_S / count as f64 * load(n),
        priority: 0,
    };
    (0..count).map(sender).collect()
}

/// Returns the mean slots in use of each customer.
fn slots_of(senders: Vec<Sender>, shares: bool) -> Vec<u64> {
    let mut fleet = Fleet::new(setup(shares, 3), senders);
    fleet.run_ms(3_000);
    fleet.take_served();
    fleet.run_ms(10_000);
    let served = fleet.take_served();
    served.iter().map(|one| one.slot_ms / 10_000).collect()
}

/// Guards against a customer that gets more than an equal one because it
/// sends more: a customer may exceed the fair share of 54 slots only by the
/// tolerance of 25 percent, and a twentieth that is random.
#[test]
fn equal_customers_get_equal_shares() {
    let unequal_loads = |n: usize| match n % 2 {
        0 => 1.5,
        _ => 4.0,
    };
    let before = slots_of(equal_senders(8, unequal_loads), false);
    let after = slots_of(equal_senders(8, unequal_loads), true);
    println!("slots without shares {before:?}, with shares {after:?}");
    let fair = SLOTS / 8;
    assert!(after.iter().all(|slots| *slots < fair * 130 / 100));
    assert!(before.iter().any(|slots| *slots > fair * 130 / 100));
    let same = slots_of(equal_senders(8, |_| 3.0), true);
    println!("slots at equal rates {same:?}");
    let near = |slots: &u64| slots.abs_diff(fair) * 10 < fair;
    assert!(same.iter().all(near), "{same:?}");
}

/// Guards against weights that take effect only for new customers. With the
/// weight 10 of one customer, the fair share of each other one is 25 slots.
#[test]
fn weights_change_in_the_middle_of_a_burst() {
    let mut fleet = Fleet::new(setup(true, 4), equal_senders(8, |_| 3.0));
    fleet.run_ms(4_000);
    fleet.take_served();
    fleet.run_ms(4_000);
    let before = fleet.take_served()[0].slot_ms / 4_000;
    let terms = CustomerTerms::default().with_weight(10).expect("valid");
    let name = fleet.senders[0].name.clone();
    fleet.set_terms([(name, terms)].into_iter().collect());
    fleet.run_ms(3_000);
    fleet.take_served();
    fleet.run_ms(4_000);
    let after = fleet.take_served()[0].slot_ms / 4_000;
    println!("slots before {before}, with the weight 10 {after}");
    assert!(after > before * 2, "{before} to {after}");
    fleet.set_terms(TermsTable::default());
    fleet.run_ms(3_000);
    fleet.take_served();
    fleet.run_ms(4_000);
    let again = fleet.take_served()[0].slot_ms / 4_000;
    println!("slots with the weight 1 again {again}");
    assert!(again < after / 2, "{after} to {again}");
}

/// Returns what happened to the requests of an urgent kind and of another one,
/// which are equally many. `customer_of` returns the customer of a sender;
/// every other sender sends urgent requests.
fn two_kinds(seed: u64, customer_of: fn(usize) -> usize) -> [Served; 2] {
    let mut all = equal_senders(40, |_| 1.4);
    for (n, sender) in all.iter_mut().enumerate() {
        let name = format!("c{}", customer_of(n));
        sender.name = name.parse().expect("a name");
        sender.priority = n as u32 % 2 * 5;
    }
    let mut fleet = Fleet::new(setup(true, seed), all);
    fleet.run_ms(3_000);
    fleet.take_served();
    fleet.run_ms(6_000);
    let mut kinds = [Served::default(); 2];
    for (n, one) in fleet.take_served().into_iter().enumerate() {
        kinds[n % 2].add(one);
    }
    println!(
        "seed {seed}: served {:.3} of the urgent, {:.3} of the others",
        kinds[0].fraction(),
        kinds[1].fraction(),
    );
    assert_eq!(fleet.inversions, 0);
    kinds
}

/// Guards against an urgent kind of request that is served less than another
/// kind, in any burst.
#[test]
fn the_urgent_kind_is_never_served_less() {
    for seed in 1..=10 {
        let [urgent, usual] = two_kinds(seed, |n| n / 2);
        assert!(urgent.fraction() >= usual.fraction(), "{seed}");
    }
}

/// Guards against urgent customers that are served less than equal ones with
/// less urgent requests. Which customers exceed their shares in one burst is
/// random: in two of these bursts, the urgent ones are served up to 2.5 percent
/// less. The test compares the sums over ten bursts.
#[test]
fn urgent_customers_are_not_served_less() {
    let mut kinds = [Served::default(); 2];
    for seed in 1..=10 {
        let served = two_kinds(seed, |n| n);
        for (kind, served) in kinds.iter_mut().zip(served) {
            kind.add(served);
        }
    }
    let [urgent, usual] = kinds;
    assert!(urgent.fraction() >= usual.fraction(), "{kinds:?}");
}
