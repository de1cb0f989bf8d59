use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

/// What an order asks for.
#[derive(Clone, Copy, Debug, Eq, PartialEq, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum OrderKind {
    /// Load a model, or another version of it.
    LoadModel,
    /// Load an adapter, which then answers to its own name.
    LoadAdapter,
    /// Change the role of the engine, for example to prefill only.
    SetRole,
}

/// An order to the engine.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Order {
    /// Fencing number of whoever gives the order.
    pub fence: u64,
    /// What is asked for.
    pub kind: OrderKind,
    /// Model or adapter to load, or the new role.
    pub model: String,
    /// Version to load.
    #[serde(default)]
    pub version: String,
}

/// Answer to an order with a fencing number that is too old.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) struct StaleFence {
    pub(super) newest: u64,
}

/// What the engine has loaded and been ordered.
#[derive(Debug)]
pub(super) struct OrderBook {
    check_fence: bool,
    load_us: u64,
    newest_fence: u64,
    obeyed: Vec<Order>,
    ready_us: IndexMap<String, u64>,
}

impl OrderBook {
    pub(super) fn new(
        models: &[String],
        check_fence: bool,
        load_model_ms: u64,
    ) -> Self {
        Self {
            check_fence,
            load_us: load_model_ms.saturating_mul(1_000),
            newest_fence: 0,
            obeyed: Vec::new(),
            ready_us: models.iter().map(|m| (m.clone(), 0)).collect(),
        }
    }

    pub(super) fn obey(
        &mut self,
        now_us: u64,
        order: Order,
    ) -> Result<(), StaleFence> {
        let newest = self.newest_fence;
        if self.check_fence && order.fence < newest {
            return Err(StaleFence { newest });
        }
        self.newest_fence = newest.max(order.fence);
        if order.kind != OrderKind::SetRole {
            let ready_us = now_us.saturating_add(self.load_us);
            self.ready_us.insert(order.model.clone(), ready_us);
        }
        self.obeyed.push(order);
        Ok(())
    }

    pub(super) fn obeyed(&self) -> &[Order] {
        &self.obeyed
    }

    pub(super) fn serves(&self, now_us: u64, model: &str) -> bool {
        self.ready_us.get(model).is_some_and(|at| *at <= now_us)
    }

    pub(super) fn models(&self, now_us: u64) -> Vec<String> {
        let ready = self.ready_us.iter().filter(|(_, at)| **at <= now_us);
        ready.map(|(model, _)| model.clone()).collect()
    }
}
