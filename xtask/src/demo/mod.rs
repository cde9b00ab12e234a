//! Starts a fleet, calls it, changes its configuration and reports.

use std::{
    fs,
    path::Path,
    time::{Duration, Instant},
};

use bpaf::Bpaf;
use hyper::Method;
use lentilshunt_cli::accept::accept;
use lentilshunt_core::config::{Head, Pattern, Snapshot};
use lentilshunt_load::{
    caller::{self, Plan, Target},
    check,
    fleet::{Fleet, Layout, Server},
    report::Report,
};
use lentilshunt_net::{
    history::{Writer, event},
    platform::{Client, Table},
};
use lentilshunt_schema::history::Kind;
use snafu::{ResultExt, Whatever, ensure_whatever};

use crate::{cargo::cargo, example::example};

/// Servers of each service.
const SERVERS: usize = 6;
/// Longest wait for the platform.
const PLATFORM_TIMEOUT: Duration = Duration::from_secs(2);
/// Longest wait for the start of the platform.
const START_TIMEOUT: Duration = Duration::from_secs(10);
/// Pause between two looks at the platform.
const POLL_INTERVAL: Duration = Duration::from_millis(50);
/// Longest wait for a graceful stop.
const STOP_TIMEOUT: Duration = Duration::from_secs(20);
/// Time from the start of the fleet to the first call.
const WARM_UP: Duration = Duration::from_secs(3);

/// Arguments of the demo.
#[derive(Bpaf, Clone, Debug)]
pub struct Arguments {
    /// Example inventory
    #[bpaf(argument("NAME"), fallback("andina".to_owned()), display_fallback)]
    inventory: String,
    /// Seed of all random choices
    #[bpaf(argument("SEED"), fallback(1), display_fallback)]
    seed: u64,
    /// Seconds under load
    #[bpaf(argument("SECONDS"), fallback(10), display_fallback)]
    duration: u64,
    /// Calls each second
    #[bpaf(argument("RATE"), fallback(400.0), display_fallback)]
    rate: f64,
    /// Second part of the loopback addresses
    #[bpaf(argument("NETWORK"), fallback(20), display_fallback)]
    network: u8,
}

/// Runs the demo and writes `target/demo/report.json`.
///
/// # Errors
///
/// Returns an error when a step fails or a promise was broken.
pub fn run(root: &Path, arguments: &Arguments) -> Result<(), Whatever> {
    cargo(root, &["build", "--workspace"], &[])?;
    let runtime = tokio::runtime::Runtime::new().whatever_context("no runtime")?;
    let report = runtime.block_on(play(root, arguments))?;
    println!("{report}");
    let json = serde_json::to_string_pretty(&report).whatever_context("no report")?;
    let file = root.join("target/demo/report.json");
    fs::write(&file, json).whatever_context("the report cannot be written")?;
    ensure_whatever!(!report.has_violation(), "a promise was broken");
    Ok(())
}

async fn play(root: &Path, arguments: &Arguments) -> Result<Report, Whatever> {
    let snapshot = example(root, &arguments.inventory)?;
    let layout = Layout::new(&snapshot, SERVERS, arguments.network);
    let folder = root.join("target/demo");
    let programs = root.join("target/debug");
    println!("starting {} nodes and upstreams", layout.servers.len());
    let mut fleet =
        Fleet::start(layout, &programs, &folder).whatever_context("the fleet cannot be started")?;
    let history = Writer::open(&fleet.history().display().to_string(), "demo", 0)
        .whatever_context("the history cannot be opened")?;

    wait_for_platform(&fleet).await?;
    put_in_force(&fleet, &history, &snapshot, 0).await?;
    tokio::time::sleep(WARM_UP).await;
    println!("calling for {} s", arguments.duration);
    let half = Duration::from_secs(arguments.duration) / 2;
    let load = tokio::spawn(caller::run(
        plan(&fleet, &snapshot, arguments),
        history.clone(),
    ));
    tokio::time::sleep(half).await;
    put_in_force(&fleet, &history, &changed(&snapshot), 1).await?;
    let outcomes = load.await.whatever_context("the load failed")?;
    println!("{} calls ended, stopping the fleet", outcomes.len());
    let deadline = Instant::now() + STOP_TIMEOUT;
    let stopped = tokio::task::block_in_place(|| fleet.stop(deadline))
        .whatever_context("the fleet cannot be stopped")?;
    ensure_whatever!(stopped, "not every process stopped in time");

    let events = check::read(&fleet.history()).whatever_context("the history cannot be read")?;
    let runs = check::Runs::judge(&events);
    let versions = check::Versions::judge(&events);
    Ok(Report::new(fleet.layout.servers.len(), &runs, &versions))
}

async fn wait_for_platform(fleet: &Fleet) -> Result<(), Whatever> {
    let client = Client::new(fleet.layout.platform(), PLATFORM_TIMEOUT);
    let deadline = Instant::now() + START_TIMEOUT;
    while client.read(Head::KEY.to_owned()).await.is_err() {
        ensure_whatever!(Instant::now() < deadline, "the platform does not start");
        tokio::time::sleep(POLL_INTERVAL).await;
    }
    Ok(())
}

async fn put_in_force(
    fleet: &Fleet,
    history: &Writer,
    snapshot: &Snapshot,
    base: u64,
) -> Result<(), Whatever> {
    let client = Client::new(fleet.layout.platform(), PLATFORM_TIMEOUT);
    let operation = format!("demo-{base}");
    let head = accept(&client, &client, snapshot, base, operation)
        .await
        .whatever_context("a version cannot be accepted")?;
    println!("accepted version {}", head.version);
    let mut accepted = event(Kind::Accepted);
    accepted.version = Some(head.version);
    accepted.digest = Some(head.digest);
    history.write(accepted);
    Ok(())
}

/// Returns the snapshot with one more rule.
fn changed(snapshot: &Snapshot) -> Snapshot {
    let mut changed = snapshot.clone();
    if let Some(service) = changed.services.values_mut().next() {
        service.non_idempotent.push(Pattern {
            method: "DELETE".to_owned(),
            path: "/**".to_owned(),
        });
        service.non_idempotent.sort();
    }
    changed
}

/// Plans consultations of every service, and the first non-idempotent request of each.
fn plan(fleet: &Fleet, snapshot: &Snapshot, arguments: &Arguments) -> Plan {
    let mut targets = Vec::new();
    for (name, service) in &snapshot.services {
        let Some(caller) = service.callers.iter().next() else {
            continue;
        };
        let target = |method: Method, path: String, idempotent| Target {
            service: name.clone(),
            caller: caller.clone(),
            method,
            path,
            idempotent,
        };
        targets.push(target(Method::GET, format!("/{name}"), true));
        if let Some(pattern) = service.non_idempotent.first() {
            let path = pattern.path.trim_end_matches("/**").to_owned();
            targets.push(target(Method::POST, path, false));
        }
    }
    Plan {
        targets,
        nodes: fleet.layout.servers.iter().map(Server::callers).collect(),
        rate: arguments.rate,
        ends_at: Instant::now() + Duration::from_secs(arguments.duration),
        seed: arguments.seed,
    }
}
