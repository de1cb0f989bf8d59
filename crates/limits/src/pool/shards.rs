use base::{Customer, Millis};

use super::{REPLICAS, SHARD_COUNT, TokenClient, allotment::Target};

/// Returns the shard of a customer, below half of
/// [`SLOT_COUNT`](super::SLOT_COUNT).
pub fn customer_shard(customer: &Customer) -> usize {
    super::shard_of(customer)
}

impl TokenClient {
    /// Returns the server of each shard: that of replica 0, or that of replica
    /// 1 while the first does not respond in time.
    pub fn shard_servers(
        &self,
        now: Millis,
    ) -> [Option<&str>; SHARD_COUNT as usize] {
        std::array::from_fn(|shard| {
            let first = shard * REPLICAS;
            let is_responsive =
                |slot| self.allotments.is_responsive(slot, now);
            let is_second = !is_responsive(first) && is_responsive(first + 1);
            let slot = first + usize::from(is_second);
            match self.allotments.target_of(slot, now) {
                Target::Server(node) => Some(node),
                Target::Lost { .. } | Target::Unknown => None,
            }
        })
    }
}
