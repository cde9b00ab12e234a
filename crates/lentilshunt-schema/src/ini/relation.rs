//! Checks constraints between the settings of one program.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde_json::Value;

use super::Problem;

/// Returns the conflicts between settings that are valid by themselves.
pub(super) fn check_relations(file: &str, settings: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    check_address_conflicts(file, settings, &mut problems);
    check_advertised_address(file, settings, &mut problems);
    check_seeds(file, settings, &mut problems);
    problems
}

/// Reports addresses shared by two listeners, or by a listener and a connection target.
fn check_address_conflicts(file: &str, settings: &Value, problems: &mut Vec<Problem>) {
    let mut used: BTreeMap<SocketAddr, String> = BTreeMap::new();
    let keys = [
        ("listen", "callers"),
        ("listen", "peers"),
        ("listen", "admin"),
        ("listen", "address"),
        ("platform", "address"),
        ("upstream", "node"),
    ];
    for (section, key) in keys {
        let Some(address) = address(settings, section, key) else {
            continue;
        };
        if address.port() == 0 {
            continue;
        }
        let name = format!("[{section}] {key}");
        if let Some(other) = used.get(&address) {
            let message = format!("must differ from {other}");
            let problem = Problem::new(file, message).section(section).key(key);
            problems.push(problem.value(&address.to_string()));
        } else {
            used.insert(address, name);
        }
    }
}

/// Reports an advertised address that other nodes cannot reach.
fn check_advertised_address(file: &str, settings: &Value, problems: &mut Vec<Problem>) {
    let advertised = address(settings, "listen", "advertise");
    let (key, address) = match advertised {
        Some(address) => ("advertise", address),
        None => match address(settings, "listen", "peers") {
            Some(address) => ("peers", address),
            None => return,
        },
    };
    if address.ip().is_unspecified() {
        let message = "other nodes cannot reach this address; \
                       set advertise to a reachable address of this instance";
        let problem = Problem::new(file, message).section("listen").key(key);
        problems.push(problem.value(&address.to_string()));
    }
}

/// Reports duplicate seeds and seeds that are addresses of the node itself.
fn check_seeds(file: &str, settings: &Value, problems: &mut Vec<Problem>) {
    let text = settings["peers"]["seeds"].as_str().unwrap_or_default();
    let own = [
        address(settings, "listen", "peers"),
        address(settings, "listen", "advertise"),
    ];
    let mut seen = BTreeSet::new();
    for seed in text.split(',').map(str::trim) {
        let Ok(address) = seed.parse::<SocketAddr>() else {
            continue;
        };
        let problem = |message: &str| {
            let problem = Problem::new(file, message).section("peers").key("seeds");
            problem.value(seed)
        };
        if own.contains(&Some(address)) {
            problems.push(problem("must not be an address of this node"));
        }
        if !seen.insert(address) {
            problems.push(problem("duplicate address; remove one"));
        }
    }
}

fn address(settings: &Value, section: &str, key: &str) -> Option<SocketAddr> {
    settings[section][key].as_str()?.parse().ok()
}
