//! Tests of the status report, from given nodes and from node processes.

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
        address: "10.0.0.1:7001".parse().expect("a valid address"),
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

/// Runs `lentilshunt status` and returns its exit code and report.
fn status(layout: &Layout, options: &[&str]) -> (i32, Value) {
    let platform = layout.platform_address().to_string();
    let mut command = Command::new(COMMAND);
    command.args([
        "status",
        "--json",
        "--timeout-ms",
        "2000",
        "--platform",
        &platform,
    ]);
    let output = command.args(options).output().expect("the command starts");
    let report = serde_json::from_slice(&output.stdout).expect("the output is JSON");
    (
        output.status.code().expect("no signal ended the command"),
        report,
    )
}

/// Returns the instances that a report lists as unreachable.
fn unreachable(report: &Value) -> Vec<&Value> {
    let domains = report["domains"].as_array().into_iter().flatten();
    let nodes = domains.flat_map(|domain| domain["unreachable"].as_array().into_iter().flatten());
    nodes.map(|node| &node["instance"]).collect()
}

#[tokio::test(flavor = "multi_thread")]
async fn status_of_processes() {
    let name = "mesh.ini";
    let bytes = INVENTORY;
    let snapshot = compile(&[Source { name, bytes }]).expect("the inventory is valid");
    // Concurrent runs on one machine use different addresses.
    let network = u8::try_from(31 + std::process::id() % 8).expect("the network number fits");
    let layout = Layout::new(&snapshot, 4, network);
    let programs = Path::new(COMMAND)
        .parent()
        .expect("the command is in a folder");
    let folder = tempfile::tempdir().expect("a temporary folder can be created");
    let mut fleet =
        Fleet::start(layout.clone(), programs, folder.path()).expect("the processes start");
    let client = Client::new(layout.platform_address(), Duration::from_secs(2));
    let accepted = accept(&client, &client, &snapshot, 0, "maria/1".to_owned()).await;
    assert_eq!(accepted.expect("the acceptance succeeds").version, 1);

    let deadline = Instant::now() + CONVERGENCE_TIMEOUT;
    let report = loop {
        let (code, report) = status(&layout, &[]);
        let domains = report["domains"]
            .as_array()
            .expect("the report has domains");
        let current = domains
            .iter()
            .filter_map(|domain| domain["current"].as_u64());
        if code == 0 && current.sum::<u64>() == 4 {
            break report;
        }
        assert!(Instant::now() < deadline, "{report}");
    };
    assert_eq!(report["newest"], json!(1));

    let suspended = layout.servers[0].instance.clone();
    let process = fleet.nodes.get_mut(&suspended).expect("the node runs");
    process.signal(Signal::SIGSTOP).expect("the signal is sent");
    let (code, report) = status(&layout, &[]);
    assert_eq!(
        (code, unreachable(&report)),
        (i32::from(LAGGING), vec![&json!(suspended)])
    );
    let process = fleet.nodes.get_mut(&suspended).expect("the node runs");
    process.signal(Signal::SIGCONT).expect("the signal is sent");

    fleet.platform.kill().expect("the platform is killed");
    let seed = layout.servers[1].peer_address().to_string();
    let (code, report) = status(&layout, &["--node", &seed]);
    assert_eq!((code, &report["head"]), (i32::from(LAGGING), &Value::Null));
    assert_eq!(report["newest"], json!(1));
    let routes = Command::new(COMMAND)
        .args(["routes", "--json", &seed])
        .output();
    let routes: Value = serde_json::from_slice(&routes.expect("the command completes").stdout)
        .expect("the output is JSON");
    assert_eq!(routes["routes"][0]["callers"], json!(["patio"]));
}
