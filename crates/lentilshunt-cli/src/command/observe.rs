//! Commands that ask nodes.

use std::{net::SocketAddr, process::ExitCode};

use lentilshunt_net::platform::Table;
use lentilshunt_schema::{operate::Member, peer::Record, settings};
use serde_json::json;

use super::{Access, Failure, LAGGING, access::client, output::print};
use crate::{
    fleet::{Fleet, Node, Report},
    version::Reader,
};

/// Start of the keys of member rows.
const MEMBER_PREFIX: &str = "member/";

/// Shows which version every node has in force.
pub(super) async fn status(
    access: &Access,
    json: bool,
    mut seeds: Vec<SocketAddr>,
) -> Result<ExitCode, Failure> {
    let settings = access.settings()?;
    seeds.extend(configured(&settings));
    let client = client(&settings);
    let head = Reader::new(&client, &client).head().await.ok();
    let rows = client.scan(MEMBER_PREFIX.to_owned()).await;
    let rows = rows.unwrap_or_default();
    let records = rows
        .iter()
        .filter_map(|row| rmp_serde::from_slice::<Record>(&row.value).ok());
    let known: Vec<Node> = records
        .filter_map(|record| Node::from_record(&record))
        .collect();
    let fleet = Fleet::default();
    let nodes = fleet.survey(known, seeds).await;
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
        lines.extend(route.endpoints.iter().map(endpoint));
    }
    print(&lines.join("\n"))?;
    Ok(())
}

fn endpoint(endpoint: &Member) -> String {
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

fn configured(settings: &settings::Operator) -> impl Iterator<Item = SocketAddr> {
    let seeds = settings.peers.seeds.split(',');
    seeds.filter_map(|seed| seed.trim().parse().ok())
}
