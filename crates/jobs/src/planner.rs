use std::sync::Arc;

use fleet::{Config, Endpoint, EndpointTable, RouteKind};

use crate::{Members, Plan};

/// Makes a new plan whenever what it is made of has changed.
#[derive(Debug, Default)]
pub struct Planner {
    node: String,
    plan: Arc<Plan>,
    planned_for: Vec<String>,
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
        config: Option<&Config>,
        table: &EndpointTable,
        members: Members,
    ) -> Arc<Plan> {
        let services = config.map(batch_services).unwrap_or_default();
        let endpoints: Vec<&Endpoint> = services
            .iter()
            .flat_map(|service| table.of_service(service))
            .collect();
        let ids = endpoints.iter().map(|e| e.record().id.clone()).collect();
        if self.planned_for != ids || *self.plan.members() != members {
            let plan = Plan::new(&self.node, members, endpoints);
            self.plan = Arc::new(plan);
            self.planned_for = ids;
        }
        self.plan.clone()
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
