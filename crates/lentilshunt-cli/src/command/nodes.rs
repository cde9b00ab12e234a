//! Commands that query nodes.

use std::{net::SocketAddr, process::ExitCode};

use lentilshunt_schema::{operate::Member, settings};
use serde_json::json;

use super::{Access, Failure, LAGGING, access::client, output::print};
use crate::{
    fleet::{self, Fleet, Report},
    version::Reader,
};

/// Shows which version every node has in force.
pub(super) async fn status(
    access: &Access,
    json: bool,
    mut seeds: Vec<SocketAddr>,
) -> Result<ExitCode, Failure> {
    let settings = access.settings()?;
    seeds.extend(configured_seeds(&settings));
    let client = client(&settings);
    let head = Reader::new(&client, &client).head().await.ok();
    let known = fleet::registered_nodes(&client).await;
    let nodes = Fleet::default().discover(known, seeds).await;
    let report = Report::new(head, nodes);
    if json {
        print(&json!(report))?;
    } else {
        print(&report)?;
    }
    Ok(if report.is_converged() {
        ExitCode::SUCCESS
    } else {
        ExitCode::from(LAGGING)
    })
}

/// Shows the routes of one node.
pub(super) async fn routes(json: bool, node: SocketAddr) -> Result<(), Failure> {
    let routes = Fleet::default().routes(node).await?;
    if json {
        print(&json!(routes))?;
        return Ok(());
    }
    let mut lines = vec![format!("version {}", routes.version)];
    for route in routes.routes {
        let callers = route.callers.join(", ");
        lines.push(format!("\n{} for {callers}", route.service));
        if route.endpoints.is_empty() {
            lines.push("  no endpoint".to_owned());
        }
        lines.extend(route.endpoints.iter().map(endpoint_line));
    }
    print(&lines.join("\n"))?;
    Ok(())
}

fn endpoint_line(endpoint: &Member) -> String {
    let Member {
        instance,
        address,
        region,
        domain,
        phase,
        ..
    } = endpoint;
    format!("  {instance} {address} {region} {domain} {phase}")
}

fn configured_seeds(settings: &settings::Operator) -> impl Iterator<Item = SocketAddr> {
    let seeds = settings.peers.seeds.split(',');
    seeds.filter_map(|seed| seed.trim().parse().ok())
}
