//! Checks a snapshot as a whole.

use std::ops::RangeInclusive;

use snafu::ensure;

use super::{
    CountSnafu, Error, Pattern, ReferenceSnafu, Service, Snapshot, Topology, ValueSnafu,
    limit::{
        CONNECTIONS, MAX_CALLERS, MAX_DOMAINS, MAX_PATTERNS, MAX_REGIONS, MAX_SERVICES, SLOTS,
        is_method, is_name, is_path,
    },
};

/// Checks names, values, counts and references.
pub(super) fn validate(snapshot: &Snapshot) -> Result<(), Error> {
    topology(&snapshot.topology)?;
    count("services", snapshot.services.len(), MAX_SERVICES)?;
    for (id, content) in &snapshot.services {
        name("service", id)?;
        service(id, content)?;
    }
    Ok(())
}

fn topology(topology: &Topology) -> Result<(), Error> {
    count("regions", topology.regions.len(), MAX_REGIONS)?;
    count("failure domains", topology.domains.len(), MAX_DOMAINS)?;
    for region in &topology.regions {
        name("region", region)?;
    }
    for (domain, region) in &topology.domains {
        name("failure domain", domain)?;
        ensure!(
            topology.regions.contains(region),
            ReferenceSnafu {
                from: format!("failure domain {domain}"),
                to: format!("region {region}"),
            }
        );
    }
    Ok(())
}

fn service(id: &str, service: &Service) -> Result<(), Error> {
    number(&format!("slots of service {id}"), service.slots, SLOTS)?;
    let connections = format!("connections of service {id}");
    number(&connections, service.connections, CONNECTIONS)?;
    let callers = format!("callers of service {id}");
    count(&callers, service.callers.len(), MAX_CALLERS)?;
    for caller in &service.callers {
        name("caller", caller)?;
    }
    let patterns = format!("patterns of service {id}");
    count(&patterns, service.non_idempotent.len(), MAX_PATTERNS)?;
    for pattern in &service.non_idempotent {
        check_pattern(id, pattern)?;
    }
    let ascending = service
        .non_idempotent
        .is_sorted_by(|left, right| left < right);
    ensure!(
        ascending,
        ValueSnafu {
            what: "order of the patterns of service",
            value: id
        }
    );
    Ok(())
}

fn check_pattern(service: &str, pattern: &Pattern) -> Result<(), Error> {
    ensure!(
        is_method(&pattern.method),
        ValueSnafu {
            what: format!("method of a pattern of service {service}"),
            value: &pattern.method
        }
    );
    ensure!(
        is_path(&pattern.path),
        ValueSnafu {
            what: format!("path of a pattern of service {service}"),
            value: &pattern.path
        }
    );
    Ok(())
}

fn name(what: &str, value: &str) -> Result<(), Error> {
    ensure!(is_name(value), ValueSnafu { what, value });
    Ok(())
}

fn number(what: &str, value: u32, range: RangeInclusive<u32>) -> Result<(), Error> {
    let value_text = value.to_string();
    ensure!(
        range.contains(&value),
        ValueSnafu {
            what,
            value: value_text
        }
    );
    Ok(())
}

fn count(what: &str, found: usize, limit: usize) -> Result<(), Error> {
    ensure!(found <= limit, CountSnafu { what, found, limit });
    Ok(())
}
