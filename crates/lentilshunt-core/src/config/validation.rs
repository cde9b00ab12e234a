//! Validation of a snapshot.

use std::ops::RangeInclusive;

use snafu::ensure;

use super::{
    CountSnafu, Error, Pattern, ReferenceSnafu, Service, Snapshot, Topology, ValueSnafu,
    limit::{
        CONNECTIONS_RANGE, MAX_CALLERS, MAX_DOMAINS, MAX_PATTERNS, MAX_REGIONS, MAX_SERVICES,
        SLOTS_RANGE, is_method, is_name, is_path,
    },
};

/// Checks names, values, counts and references.
pub(super) fn validate(snapshot: &Snapshot) -> Result<(), Error> {
    check_topology(&snapshot.topology)?;
    check_count("services", snapshot.services.len(), MAX_SERVICES)?;
    for (name, service) in &snapshot.services {
        check_name("service", name)?;
        check_service(name, service)?;
    }
    Ok(())
}

fn check_topology(topology: &Topology) -> Result<(), Error> {
    check_count("regions", topology.regions.len(), MAX_REGIONS)?;
    check_count("failure domains", topology.domains.len(), MAX_DOMAINS)?;
    for region in &topology.regions {
        check_name("region", region)?;
    }
    for (domain, region) in &topology.domains {
        check_name("failure domain", domain)?;
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

fn check_service(name: &str, service: &Service) -> Result<(), Error> {
    check_number(
        &format!("slots of service {name}"),
        service.slots,
        SLOTS_RANGE,
    )?;
    let connections = format!("connections of service {name}");
    check_number(&connections, service.connections, CONNECTIONS_RANGE)?;
    let callers = format!("callers of service {name}");
    check_count(&callers, service.callers.len(), MAX_CALLERS)?;
    for caller in &service.callers {
        check_name("caller", caller)?;
    }
    let patterns = format!("patterns of service {name}");
    check_count(&patterns, service.non_idempotent.len(), MAX_PATTERNS)?;
    for pattern in &service.non_idempotent {
        check_pattern(name, pattern)?;
    }
    let is_ascending = service
        .non_idempotent
        .is_sorted_by(|left, right| left < right);
    ensure!(
        is_ascending,
        ValueSnafu {
            what: "list of patterns (must be sorted, without duplicates) of service",
            value: name
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

fn check_name(what: &str, value: &str) -> Result<(), Error> {
    ensure!(is_name(value), ValueSnafu { what, value });
    Ok(())
}

fn check_number(what: &str, value: u32, range: RangeInclusive<u32>) -> Result<(), Error> {
    let text = value.to_string();
    ensure!(range.contains(&value), ValueSnafu { what, value: text });
    Ok(())
}

fn check_count(what: &str, found: usize, limit: usize) -> Result<(), Error> {
    ensure!(found <= limit, CountSnafu { what, found, limit });
    Ok(())
}
