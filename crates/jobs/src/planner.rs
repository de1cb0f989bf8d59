use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

use base::Snapshot;
use fleet::{Config, Endpoint, EndpointTable, RouteKind};
use pass::DirectoryView;

use crate::{JobView, Members, Plan};

/// Makes a new plan whenever what it is made of has changed.
///
/// It keeps what the last plan was made of and compares pointers: with lists
/// of ids that were made and compared at each look, nodes before three
/// thousand endpoints spent half of their processor on plans that stayed the
/// same.
#[derive(Debug, Default)]
pub struct Planner {
    node: String,
    plan: Arc<Plan>,
    made_of: Option<MadeOf>,
    made: u64,
}

#[derive(Debug)]
struct MadeOf {
    table: Arc<EndpointTable>,
    config: Option<Arc<Config>>,
    members: Arc<Members>,
    services: Vec<String>,
}

impl Planner {
    /// Plans for one node.
    pub fn new(node: &str) -> Self {
        Self {
            node: node.to_owned(),
            ..Self::default()
        }
    }

    /// Returns the plan for these members and endpoints; only those count
    /// that batch routes lead to.
    pub fn plan(
        &mut self,
        config: &Option<Arc<Config>>,
        table: &Arc<EndpointTable>,
        members: &Arc<Members>,
    ) -> Arc<Plan> {
        let Some(known) = &mut self.made_of else {
            return self.make(config, table, members);
        };
        if !is_same_config(&known.config, config) {
            let services = config.as_deref().map(batch_services);
            if services.unwrap_or_default() != known.services {
                return self.make(config, table, members);
            }
            known.config.clone_from(config);
        }
        let same = Arc::ptr_eq(&known.table, table)
            && Arc::ptr_eq(&known.members, members);
        match same {
            true => self.plan.clone(),
            false => self.make(config, table, members),
        }
    }

    /// Returns how many plans were made.
    pub fn made(&self) -> u64 {
        self.made
    }

    fn make(
        &mut self,
        config: &Option<Arc<Config>>,
        table: &Arc<EndpointTable>,
        members: &Arc<Members>,
    ) -> Arc<Plan> {
        let services = config.as_deref().map(batch_services);
        let services = services.unwrap_or_default();
        let endpoints: Vec<&Endpoint> = services
            .iter()
            .flat_map(|service| table.of_service(service))
            .collect();
        let plan = Plan::new(&self.node, members.clone(), endpoints);
        self.plan = Arc::new(plan);
        self.made += 1;
        self.made_of = Some(MadeOf {
            table: table.clone(),
            config: config.clone(),
            members: members.clone(),
            services,
        });
        self.plan.clone()
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

/// The plans of one node, which all of its parts share.
#[derive(Clone)]
pub struct Plans {
    view: JobView,
    endpoints: Arc<Snapshot<DirectoryView>>,
    config: Arc<Snapshot<Option<Arc<Config>>>>,
    planners: Arc<Mutex<Planners>>,
}

struct Planners {
    items: Planner,
    requests: Planner,
}

impl Plans {
    /// Plans for one node by what it knows.
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
    pub fn of_items(&self) -> Arc<Plan> {
        let (config, table) = self.inputs();
        let members = self.view.roster().workers;
        self.lock().items.plan(&config, &table, &members)
    }

    /// Returns which front uses each endpoint before all others.
    pub fn of_requests(&self) -> Arc<Plan> {
        let (config, table) = self.inputs();
        let members = self.view.roster().fronts;
        self.lock().requests.plan(&config, &table, &members)
    }

    fn inputs(&self) -> (Option<Arc<Config>>, Arc<EndpointTable>) {
        let config = (**self.config.load()).clone();
        (config, self.endpoints.load().table.clone())
    }

    fn lock(&self) -> MutexGuard<'_, Planners> {
        self.planners.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
