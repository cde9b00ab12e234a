//! Checks how the settings of one program fit together.

use std::{
    collections::{BTreeMap, BTreeSet},
    net::SocketAddr,
};

use serde_json::Value;

use super::Problem;

/// Returns every way in which valid settings contradict each other.
pub(super) fn relations(file: &str, settings: &Value) -> Vec<Problem> {
    let mut problems = Vec::new();
    listen(file, settings, &mut problems);
    advertise(file, settings, &mut problems);
    seeds(file, settings, &mut problems);
    problems
}

/// Finds addresses that two listeners share, or a listener and the platform.
fn listen(file: &str, settings: &Value, problems: &mut Vec<Problem>) {
    let mut taken: BTreeMap<SocketAddr, String> = BTreeMap::new();
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
        if let Some(other) = taken.get(&address) {
            let message = format!("must be another address than {other}");
            let problem = Problem::new(file, message).section(section).key(key);
            problems.push(problem.value(&address.to_string()));
        } else {
            taken.insert(address, name);
        }
    }
}

/// Finds an address at which other nodes cannot reach this one.
fn advertise(file: &str, settings: &Value, problems: &mut Vec<Problem>) {
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
                       advertise must name one of this instance";
        let problem = Problem::new(file, message).section("listen").key(key);
        problems.push(problem.value(&address.to_string()));
    }
}

/// Finds seeds that stand twice or are the node itself.
fn seeds(file: &str, settings: &Value, problems: &mut Vec<Problem>) {
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
            problems.push(problem("must not name this node itself"));
        }
        if !seen.insert(address) {
            problems.push(problem("this address stands twice; keep one"));
        }
    }
}

fn address(settings: &Value, section: &str, key: &str) -> Option<SocketAddr> {
    settings[section][key].as_str()?.parse().ok()
}
