use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::Snapshot;
use fleet::{Config, Endpoint, EndpointTable, RouteKind};
use pass::DirectoryView;

use crate::{Assignment, JobView, Members};

/// Computes a new assignment whenever its inputs have changed.
///
/// The planner keeps the inputs of the last assignment and compares pointers.
/// When lists of ids were built and compared in each pass, nodes with three
/// thousand endpoints spent half of their processor time on assignments that
/// did not change.
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
    /// Creates a planner for one node.
    pub fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the assignment for these members and endpoints. Only endpoints
    /// of services that batch routes lead to are assigned.
    pub fn assignment(
        &mut self,
        config: &Option<Arc<Config>>,
        table: &Arc<EndpointTable>,
        members: &Arc<Members>,
    ) -> Arc<Assignment> {
        let Some(last_inputs) = &mut self.inputs else {
            return self.compute(config, table, members);
        };
        if !is_same_config(&last_inputs.config, config) {
            let services = config.as_deref().map(batch_services);
            if services.unwrap_or_default() != last_inputs.services {
                return self.compute(config, table, members);
            }
            last_inputs.config.clone_from(config);
        }
        let is_unchanged = Arc::ptr_eq(&last_inputs.table, table)
            && Arc::ptr_eq(&last_inputs.members, members);
        match is_unchanged {
            true => self.assignment.clone(),
            false => self.compute(config, table, members),
        }
    }

    /// Returns the number of assignments computed so far.
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

/// The current assignments as seen by one node, shared by all of its tasks.
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
    /// Creates the assignments of one node from its views of nodes, endpoints
    /// and configuration.
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

    /// Returns the assignment of endpoints to workers, for batch items.
    pub fn for_items(&self) -> Arc<Assignment> {
        let (config, table) = self.inputs();
        let members = self.view.roster().workers;
        self.lock().items.assignment(&config, &table, &members)
    }

    /// Returns the assignment of endpoints to fronts: the front that sends
    /// requests to an endpoint before all other fronts.
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
