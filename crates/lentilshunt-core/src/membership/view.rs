//! The endpoints that a node may route to.

use std::sync::Arc;

use super::{Endpoint, Phase, Record, address_of};

/// Endpoints that a node may route to at one instant.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct View {
    /// Endpoints in the order of their instances.
    pub endpoints: Vec<Arc<Endpoint>>,
}

impl View {
    /// Builds a view from records.
    ///
    /// Records without a service, of gone upstreams, or with an address at which no
    /// node can listen yield no endpoint.
    #[must_use]
    pub fn new<'a>(records: impl IntoIterator<Item = &'a Record>) -> Self {
        let mut endpoints: Vec<_> = records.into_iter().filter_map(endpoint).collect();
        endpoints.sort_by(|left, right| left.instance.cmp(&right.instance));
        Self { endpoints }
    }
}

fn endpoint(record: &Record) -> Option<Arc<Endpoint>> {
    if record.service.is_empty() || record.phase == Phase::Gone {
        return None;
    }
    Some(Arc::new(Endpoint {
        instance: record.instance.clone(),
        address: address_of(record)?,
        region: record.region.clone(),
        domain: record.domain.clone(),
        incarnation: record.incarnation,
        service: record.service.clone(),
        version: record.version.clone().unwrap_or_default(),
        phase: record.phase,
        slots: record.slots,
        free_slots: record.room,
    }))
}
