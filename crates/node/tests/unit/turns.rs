//! Simulates readers that read in round robin, on a stepped clock.

use base::Millis;
use yare::parameterized;

use super::RoundRobinSlot;

const PERIOD_MS: u64 = 600;

/// Time in which a read of one reader reaches all others, in milliseconds.
const PROPAGATION_MS: u64 = 15;

/// The time up to which a reader knows all changes, and the reader that read
/// them.
type Known = Option<(Millis, usize)>;

/// Simulates a minute, in which the first `lost` readers stop at 20 s. Returns
/// the number of reads of each reader and the maximum age of the data.
fn simulate(readers: usize, lost: usize) -> (Vec<usize>, u64) {
    let mut known: Vec<Known> = vec![None; readers];
    let mut in_transit: Vec<(u64, (Millis, usize))> = Vec::new();
    let mut reads = vec![0; readers];
    let mut max_age_ms = 0;
    for now_ms in 1_000..61_000 {
        let now = Millis::new(now_ms);
        in_transit.retain(|(at_ms, read)| {
            if *at_ms <= now_ms {
                for known in &mut known {
                    *known = (*known).max(Some(*read));
                }
            }
            *at_ms > now_ms
        });
        let first = match now_ms < 20_000 {
            true => 0,
            false => lost,
        };
        for reader in first..readers {
            let slot = RoundRobinSlot {
                index: reader,
                readers,
            };
            let wait_ms = known[reader].map_or(0, |(fresh_at, last)| {
                slot.wait_ms(Some(last), PERIOD_MS, fresh_at, now)
            });
            if wait_ms == 0 {
                known[reader] = Some((now, reader));
                reads[reader] += 1;
                in_transit.push((now_ms + PROPAGATION_MS, (now, reader)));
            }
        }
        if now_ms > 3_000 {
            let age = |known: &Known| {
                let at = known.map(|(fresh_at, _)| fresh_at);
                now.saturating_ms_since(at.unwrap_or_default())
            };
            let ages = known[first..].iter().map(age);
            max_age_ms = ages.max().unwrap_or(0).max(max_age_ms);
        }
    }
    (reads, max_age_ms)
}

/// Guards against calls that grow with the number of readers, and against one
/// reader that makes most of them. Load: a fleet whose endpoints all write
/// their entries every second.
#[parameterized(
    one = { 1 },
    two = { 2 },
    five = { 5 },
    eight = { 8 },
)]
fn readers_share_the_reads_of_one(readers: usize) {
    let (reads, max_age_ms) = simulate(readers, 0);
    let total: usize = reads.iter().sum();
    assert!((98..=110).contains(&total), "{reads:?}");
    let max = reads.iter().max().copied().unwrap_or(0);
    assert!(max <= total / readers + 4, "{reads:?}");
    assert!(max_age_ms <= PERIOD_MS + PROPAGATION_MS, "{max_age_ms} ms");
}

/// Guards against stale data after the loss of the reader that is next.
#[parameterized(
    one_of_two = { 2, 1 },
    four_of_five = { 5, 4 },
    half_of_eight = { 8, 4 },
)]
fn each_lost_reader_delays_reads_by_one_turn(readers: usize, lost: usize) {
    let (_, max_age_ms) = simulate(readers, lost);
    let limit_ms = PERIOD_MS + lost as u64 * 100 + PROPAGATION_MS;
    assert!(max_age_ms <= limit_ms, "{max_age_ms} ms");
}

/// Guards against readers that wait for each other while another one reads.
#[test]
fn all_others_query_the_next_reader() {
    for readers in 1..=8 {
        for last in 0..readers {
            let slot = |index| RoundRobinSlot { index, readers };
            let queried = (0..readers)
                .map(|index| slot(index).nth_reader(Some(last), 0));
            let mut queried: Vec<usize> = queried.collect();
            queried.dedup();
            assert_eq!(queried.len(), 1);
            let now = Millis::new(9_000);
            let next = slot(queried[0]);
            let wait_ms = next.wait_ms(Some(last), PERIOD_MS, now, now);
            assert_eq!(wait_ms, PERIOD_MS);
        }
    }
}
