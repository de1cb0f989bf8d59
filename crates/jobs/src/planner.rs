use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::Snapshot;
use fleet::{Config, Endpoint, EndpointTable, RouteKind};
use pass::DirectoryView;

use crate::{Assignment, JobView, Members};

/// Makes a new assignment whenever what it is computed of has changed.
///
/// It keeps what the last assignment was computed of and compares pointers: with lists
/// of ids that were computed and compared at each look, nodes before three
/// thousand endpoints spent half of their processor on assignments that stayed the
/// same.
#[derive(Debug, Default)]
pub struct Planner {
    node: String,
    assignment: Arc<Assignment>,
    inputs: Option<AssignmentInputs>,
    computed_count: u64,
}

#[derive(Debug)]
struct AssignmentInputs {
    table: Arc<EndpointTable>,
    config: Option<Arc<Config>>,
    members: Arc<Members>,
    services: Vec<String>,
}

impl Planner {
    /// Assignments for one node.
    pub fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the assignment for these members and endpoints; only those count
    /// that batch routes lead to.
    pub fn assignment(
        &mut self,
        config: &Option<Arc<Config>>,
        table: &Arc<EndpointTable>,
        members: &Arc<Members>,
    ) -> Arc<Assignment> {
        let Some(known) = &mut self.inputs else {
            return self.compute(config, table, members);
        };
        if !is_same_config(&known.config, config) {
            let services = config.as_deref().map(batch_services);
            if services.unwrap_or_default() != known.services {
                return self.compute(config, table, members);
            }
            known.config.clone_from(config);
        }
        let same = Arc::ptr_eq(&known.table, table)
            && Arc::ptr_eq(&known.members, members);
        match same {
            true => self.assignment.clone(),
            false => self.compute(config, table, members),
        }
    }

    /// Returns how many assignments were computed.
    pub fn computed_count(&self) -> u64 {
        self.computed_count
    }

    fn compute(
        &mut self,
        config: &Option<Arc<Config>>,
        table: &Arc<EndpointTable>,
        members: &Arc<Members>,
    ) -> Arc<Assignment> {
        let services = config.as_deref().map(batch_services);
        let services = services.unwrap_or_default();
        let endpoints: Vec<&Endpoint> = services
            .iter()
            .flat_map(|service| table.of_service(service))
            .collect();
        let assignment =
            Assignment::new(&self.node, members.clone(), endpoints);
        self.assignment = Arc::new(assignment);
        self.computed_count += 1;
        self.inputs = Some(AssignmentInputs {
            table: table.clone(),
            config: config.clone(),
            members: members.clone(),
            services,
        });
        self.assignment.clone()
    }
}

fn is_same_config(a: &Option<Arc<Config>>, b: &Option<Arc<Config>>) -> bool {
    match (a, b) {
        (Some(a), Some(b)) => Arc::ptr_eq(a, b),
        (None, None) => true,
        _ => false,
    }
}

/// Returns the services that batch routes lead to.
pub fn batch_services(config: &Config) -> Vec<String> {
    let mut services: Vec<String> = Vec::new();
    let routes = config.routes.iter();
    for route in routes.filter(|r| r.kind() == RouteKind::Batch) {
        for destination in route.destinations() {
            if !services.contains(&destination.service) {
                services.push(destination.service.clone());
            }
        }
    }
    services
}

/// The assignments of one node, which all of its parts share.
#[derive(Clone)]
pub struct Assignments {
    view: JobView,
    endpoints: Arc<Snapshot<DirectoryView>>,
    config: Arc<Snapshot<Option<Arc<Config>>>>,
    planners: Arc<Mutex<Planners>>,
}

struct Planners {
    items: Planner,
    requests: Planner,
}

impl Assignments {
    /// Assignments for one node by what it knows.
    pub fn new(
        node: &str,
        view: JobView,
        endpoints: Arc<Snapshot<DirectoryView>>,
        config: Arc<Snapshot<Option<Arc<Config>>>>,
    ) -> Self {
        let planners = Planners {
            items: Planner::new(node),
            requests: Planner::new(node),
        };
        Self {
            view,
            endpoints,
            config,
            planners: Arc::new(Mutex::new(planners)),
        }
    }

    /// Returns which worker uses each endpoint for items.
    pub fn for_items(&self) -> Arc<Assignment> {
        let (config, table) = self.inputs();
        let members = self.view.roster().workers;
        self.lock().items.assignment(&config, &table, &members)
    }

    /// Returns which front uses each endpoint before all others.
    pub fn for_requests(&self) -> Arc<Assignment> {
        let (config, table) = self.inputs();
        let members = self.view.roster().fronts;
        self.lock().requests.assignment(&config, &table, &members)
    }

    fn inputs(&self) -> (Option<Arc<Config>>, Arc<EndpointTable>) {
        let config = (**self.config.load()).clone();
        (config, self.endpoints.load().table.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Planners> {
        self.planners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
