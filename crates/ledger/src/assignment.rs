use base::stable_hash;

/// Assigns partitions to members and returns the index in `members` for each
/// partition.
///
/// Uses rendezvous hashing with bounded loads: each partition goes to the
/// member with the highest weight that has spare capacity, and the loads of
/// two members differ by at most one. All entries that see the same members
/// compute the same assignment without coordination. Plain rendezvous hashing
/// moves slightly fewer partitions but can give some members twice the load of
/// others; a hash ring needs many points per member to be as even.
///
/// # Example
///
/// ```
/// use pomeloslip_ledger::assign;
///
/// let assignment = assign(32, &["a", "b", "c"]);
/// let load = |member| assignment.iter().filter(|m| **m == member).count();
/// assert!((0..3).all(|member| (10..=11).contains(&load(member))));
/// assert!(assign(32, &[]).is_empty());
/// ```
pub fn assign(partitions: u32, members: &[&str]) -> Vec<usize> {
    if members.is_empty() {
        return Vec::new();
    }
    let floor = partitions as usize / members.len();
    // Number of members that get one partition more than the others.
    let mut extra = partitions as usize % members.len();
    let mut load = vec![0; members.len()];
    (0..partitions)
        .map(|partition| {
            let owner = members_by_weight(partition, members)
                .into_iter()
                .find(|m| load[*m] < floor || (load[*m] == floor && extra > 0))
                .unwrap_or(0);
            if load[owner] == floor {
                extra = extra.saturating_sub(1);
            }
            load[owner] += 1;
            owner
        })
        .collect()
}

fn members_by_weight(partition: u32, members: &[&str]) -> Vec<usize> {
    let number = partition.to_string();
    let mut order: Vec<(u64, usize)> = members
        .iter()
        .enumerate()
        .map(|(at, member)| (stable_hash(&[&number, member]), at))
        .collect();
    order.sort_by(|a, b| b.cmp(a));
    order.into_iter().map(|(_, at)| at).collect()
}
