use std::{sync::Arc, time::Instant};

use base::{Millis, mix, stable_hash};
use fleet::{
    Directory, EndpointRecord, EndpointState, EndpointTable, Listing,
    Selection,
};
use jobs::{Assignment, Members, NodeRecord};

/// Service of all endpoints.
pub(crate) const SERVICE: &str = "engines";

/// Endpoints for each node.
const ENDPOINTS_PER_NODE: usize = 10;

/// Nodes for each worker; the others are fronts.
const NODES_PER_WORKER: usize = 5;

const FAILURE_DOMAINS: usize = 6;

const SLOTS: u32 = 7;

/// The nodes and endpoints of a fleet, as every node knows them.
pub(crate) struct Installation {
    pub(crate) seed: u64,
    pub(crate) fronts: Arc<Members>,
    pub(crate) workers: Arc<Members>,
    pub(crate) directory: Directory,
    pub(crate) table: EndpointTable,
    /// Endpoints by the front that uses them first.
    pub(crate) by_front: Assignment,
    /// Endpoints by the worker that runs items there.
    pub(crate) by_worker: Assignment,
}

impl Installation {
    pub(crate) fn new(nodes: usize, seed: u64) -> Self {
        let records: Vec<NodeRecord> = (0..nodes).map(node_record).collect();
        let fronts = Arc::new(Members::fronts(records.clone()));
        let workers = Arc::new(Members::new(records));
        let directory = list_endpoints(nodes * ENDPOINTS_PER_NODE, seed);
        let table = directory.table();
        Self {
            seed,
            by_front: assign(&fronts, &table),
            by_worker: assign(&workers, &table),
            fronts,
            workers,
            directory,
            table,
        }
    }

    /// Returns the endpoints that a front sends requests to.
    pub(crate) fn selection(&self, front: &str) -> Selection {
        Selection::new(front, &self.table, |endpoint| {
            let user = self.by_front.user_of(endpoint.incarnation_key());
            user.is_some_and(|user| user.node == front)
        })
    }
}

/// Lists endpoints as one full read does.
pub(crate) fn list_endpoints(count: usize, seed: u64) -> Directory {
    let records = (0..count).map(|number| endpoint_record(number, seed));
    let listing = Listing {
        revision: 1,
        records: records.collect(),
    };
    let mut directory = Directory::default();
    directory.reconcile(listing, Millis::new(0));
    directory
}

/// Assigns all endpoints, as seen by the first of the members.
pub(crate) fn assign(
    members: &Arc<Members>,
    table: &EndpointTable,
) -> Assignment {
    let node = members.nodes().first();
    let node = node.map_or("", |record| record.node.as_str());
    Assignment::new(node, members.clone(), table.iter())
}

/// Returns the entry of an endpoint.
pub(crate) fn endpoint_record(number: usize, seed: u64) -> EndpointRecord {
    let id = mix(stable_hash(&["endpoint"]) ^ seed ^ number as u64);
    EndpointRecord {
        id: format!("i-{id:016x}"),
        started_at: None,
        version: None,
        address: ([127, 0, 0, 1], 80).into(),
        service: SERVICE.to_owned(),
        failure_domain: failure_domain(number),
        slots: SLOTS,
        state: EndpointState::Ready,
    }
}

fn node_record(number: usize) -> NodeRecord {
    NodeRecord {
        node: format!("node-{number}"),
        failure_domain: failure_domain(number / NODES_PER_WORKER),
        runs_items: number.is_multiple_of(NODES_PER_WORKER),
        address: None,
        limits: None,
        origins: None,
        lease_s: 0,
        spool: Default::default(),
    }
}

fn failure_domain(number: usize) -> String {
    format!("zone-{}", number % FAILURE_DOMAINS)
}

/// Returns the mean time of a call in microseconds.
pub(crate) fn time_us(rounds: usize, mut call: impl FnMut(usize)) -> f64 {
    let began = Instant::now();
    for round in 0..rounds {
        call(round);
    }
    began.elapsed().as_secs_f64() * 1e6 / rounds as f64
}
