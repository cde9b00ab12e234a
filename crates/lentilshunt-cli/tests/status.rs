//! What operators are told of the nodes, from reports and from processes.

use std::{
    path::Path,
    process::Command,
    time::{Duration, Instant},
};

use lentilshunt_cli::{
    accept::accept,
    command::LAGGING,
    fleet::{Node, Report},
};
use lentilshunt_core::config::{Head, Source, compile};
use lentilshunt_load::fleet::{Fleet, Layout};
use lentilshunt_net::platform::Client;
use nix::sys::signal::Signal;
use serde_json::{Value, json};

const COMMAND: &str = env!("CARGO_BIN_EXE_lentilshunt");
const INVENTORY: &[u8] = b"[region sierra]\n[domain ambato]\nregion = sierra\n\
    [domain quito]\nregion = sierra\n[service boletas]\nslots = 9\nconnections = 110\n\
    [caller patio]\nservices = boletas\n";
const CONVERGENCE_TIMEOUT: Duration = Duration::from_mins(1);

fn node(instance: &str, domain: &str, version: Option<u64>) -> Node {
    Node {
        instance: instance.to_owned(),
        region: "sierra".to_owned(),
        domain: domain.to_owned(),
        address: "10.0.0.1:7001".parse().expect("an address"),
        version,
    }
}

#[test]
fn report_lagging_and_unreachable() {
    let head = |version| Head {
        version,
        digest: "5c3f".to_owned(),
        operation: "maria/1".to_owned(),
    };
    let nodes = [
        node("a-1", "ambato", Some(5)),
        node("a-2", "ambato", Some(4)),
        node("q-1", "quito", None),
    ];
    let current = [
        node("a-1", "ambato", Some(5)),
        node("q-1", "quito", Some(5)),
    ];
    let reports = [
        Report::new(Some(head(5)), nodes.to_vec()),
        Report::new(Some(head(5)), current.to_vec()),
        Report::new(Some(head(6)), current.to_vec()),
        Report::new(None, nodes.to_vec()),
        Report::new(None, Vec::new()),
    ];
    let converged = reports.each_ref().map(Report::is_converged);
    assert_eq!(converged, [false, true, false, false, false]);
    insta::assert_snapshot!(reports.map(|report| report.to_string()).join("\n"));
}

/// Returns the exit code and the report of `lentilshunt status`.
fn status(layout: &Layout, more: &[&str]) -> (i32, Value) {
    let platform = layout.platform().to_string();
    let mut command = Command::new(COMMAND);
    command.args([
        "status",
        "--json",
        "--timeout-ms",
        "2000",
        "--platform",
        &platform,
    ]);
    let output = command.args(more).output().expect("the command runs");
    let report = serde_json::from_slice(&output.stdout).expect("JSON");
    (output.status.code().expect("an exit code"), report)
}

/// Returns the instances that a report calls unreachable.
fn unreachable(report: &Value) -> Vec<&Value> {
    let domains = report["domains"].as_array().into_iter().flatten();
    let nodes = domains.flat_map(|domain| domain["unreachable"].as_array().into_iter().flatten());
    nodes.map(|node| &node["instance"]).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn status_of_processes() {
    let name = "mesh.ini";
    let bytes = INVENTORY;
    let snapshot = compile(&[Source { name, bytes }]).expect("valid");
    // Runs at the same time on one machine use different addresses.
    let network = u8::try_from(31 + std::process::id() % 8).expect("a small number");
    let layout = Layout::new(&snapshot, 4, network);
    let programs = Path::new(COMMAND).parent().expect("a folder");
    let folder = tempfile::tempdir().expect("a folder");
    let mut fleet = Fleet::start(layout.clone(), programs, folder.path()).expect("a fleet");
    let client = Client::new(layout.platform(), Duration::from_secs(2));
    let accepted = accept(&client, &client, &snapshot, 0, "maria/1".to_owned()).await;
    assert_eq!(accepted.expect("a version").version, 1);

    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    let report = loop {
        let (code, report) = status(&layout, &[]);
        let domains = report["domains"].as_array().expect("domains");
        let current = domains
            .iter()
            .filter_map(|domain| domain["current"].as_u64());
        if code == 0 && current.sum::<u64>() == 4 {
            break report;
        }
        assert!(Instant::now() < deadline, "{report}");
    };
    assert_eq!(report["newest"], json!(1));

    let frozen = layout.servers[0].instance.clone();
    let process = fleet.nodes.get_mut(&frozen).expect("a node");
    process.signal(Signal::SIGSTOP).expect("a signal");
    let (code, report) = status(&layout, &[]);
    assert_eq!(
        (code, unreachable(&report)),
        (i32::from(LAGGING), vec![&json!(frozen)])
    );
    let process = fleet.nodes.get_mut(&frozen).expect("a node");
    process.signal(Signal::SIGCONT).expect("a signal");

    fleet.platform.kill().expect("a kill");
    let seed = layout.servers[1].peers().to_string();
    let (code, report) = status(&layout, &["--node", &seed]);
    assert_eq!((code, &report["head"]), (i32::from(LAGGING), &Value::Null));
    assert_eq!(report["newest"], json!(1));
    let routes = Command::new(COMMAND)
        .args(["routes", "--json", &seed])
        .output();
    let routes: Value = serde_json::from_slice(&routes.expect("a run").stdout).expect("JSON");
    assert_eq!(routes["routes"][0]["callers"], json!(["patio"]));
}
