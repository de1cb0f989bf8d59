use std::sync::Arc;

use fleet::{EndpointTable, Selection};
use indexmap::IndexMap;
use share::ServiceSlots;

/// The numbers of slots of services, computed once for each version of the
/// table of endpoints and of the selection.
#[derive(Default)]
pub(super) struct SlotTotals {
    endpoints: Option<Arc<EndpointTable>>,
    selection: Option<Arc<Selection>>,
    by_service: IndexMap<String, ServiceSlots>,
}

impl SlotTotals {
    /// Sets the table and the selection that are in force.
    pub(super) fn update(
        &mut self,
        endpoints: &Arc<EndpointTable>,
        selection: &Arc<Selection>,
    ) {
        let is_same = is_same(self.endpoints.as_ref(), endpoints)
            && is_same(self.selection.as_ref(), selection);
        if !is_same {
            self.endpoints = Some(endpoints.clone());
            self.selection = Some(selection.clone());
            self.by_service.clear();
        }
    }

    /// Returns the numbers of a service, which are 0 before the first update.
    pub(super) fn get(&mut self, service: &str) -> ServiceSlots {
        if let Some(slots) = self.by_service.get(service) {
            return *slots;
        }
        let known = self.endpoints.as_ref().zip(self.selection.as_ref());
        let Some((endpoints, selection)) = known else {
            return ServiceSlots::default();
        };
        let all = endpoints.of_service(service).iter();
        let own = selection.own(service);
        let own = own.filter_map(|incarnation| endpoints.get(incarnation));
        let slots = ServiceSlots {
            all: all.map(|e| u64::from(e.record().slots)).sum(),
            own: own.map(|e| u64::from(e.record().slots)).sum(),
        };
        self.by_service.insert(service.to_owned(), slots);
        slots
    }
}

fn is_same<T>(known: Option<&Arc<T>>, other: &Arc<T>) -> bool {
    known.is_some_and(|known| Arc::ptr_eq(known, other))
}
