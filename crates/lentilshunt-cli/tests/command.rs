//! Tests of the operators' command against a platform process.

mod common;

use std::{
    process::Command,
    sync::Arc,
    time::{Duration, Instant},
};

use lentilshunt_cli::{
    command::{CONFLICT, INVALID, LAGGING, UNAVAILABLE, UNREADABLE, UNSETTLED},
    version::Reader,
};
use lentilshunt_core::config::Head;
use tokio::task::JoinSet;

use common::{
    history::{Operation, Outcome, check},
    platform::Platform,
};

/// Runs the command on a separate thread, so that faults can be injected meanwhile.
async fn run_blocking<T: Send + 'static>(work: impl FnOnce() -> T + Send + 'static) -> T {
    tokio::task::spawn_blocking(work)
        .await
        .expect("the command completes")
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_lost_response() {
    let platform = Platform::start(1).await;
    // Three puts and the transaction are writes; for each, the response or the request is lost.
    for (base, lost) in [(0, 1), (1, 4), (2, 7)] {
        platform.fault(|fault| fault.lose_replies = lost).await;
        let run = platform.accept(base, 9, &[]);
        assert_eq!((run.code, &*run.errors), (0, ""), "{run:?}");
        platform.fault(|fault| fault.lose_requests = lost).await;
        let run = platform.accept(base, 9, &[]);
        assert_eq!(run.code, i32::from(CONFLICT), "{run:?}");
    }
    let client = platform.client();
    let history = Reader::new(&client, &client)
        .history()
        .await
        .expect("the history can be read");
    let versions: Vec<u64> = history.iter().map(|head| head.version).collect();
    assert_eq!(versions, [1, 2, 3]);
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_slow_platform() {
    let platform = Platform::start(2).await;
    platform.fault(|fault| fault.delay_ms = 200).await;
    assert_eq!(platform.accept(0, 9, &[]).code, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_platform_outage() {
    let platform = Arc::new(Platform::start(3).await);
    platform.fault(|fault| fault.down = true).await;
    let settings = platform.folder.path().join("operator.ini");
    let text = format!(
        "[platform]\naddress = {}\n[acceptance]\ntimeout_ms = 500\n",
        platform.address
    );
    std::fs::write(&settings, text).expect("the file can be written");
    let settings = settings.to_str().expect("the path is UTF-8");
    let run = platform.accept(0, 9, &["--settings", settings]);
    assert_eq!(run.code, i32::from(UNAVAILABLE), "{run:?}");
    assert_eq!(platform.run(&["history"]).code, i32::from(UNAVAILABLE));
    platform.fault(|fault| fault.objects_down = true).await;
    let run = platform.accept(0, 9, &["--settings", settings]);
    assert_eq!(run.code, i32::from(UNAVAILABLE), "{run:?}");
    assert_eq!(platform.run(&["history"]).output, "\n");
    platform.fault(|fault| fault.down = true).await;
    let shared = Arc::clone(&platform);
    let accepting = tokio::spawn(run_blocking(move || shared.accept(0, 9, &[])));
    tokio::time::sleep(Duration::from_millis(700)).await;
    platform.fault(|_| {}).await;
    assert_eq!(accepting.await.expect("the command completes").code, 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_unsettled_resolved_by_operation_id() {
    let platform = Platform::start(4).await;
    let settings = platform.folder.path().join("operator.ini");
    let text = format!(
        "[platform]\naddress = {}\n[acceptance]\ntimeout_ms = 100\n",
        platform.address
    );
    std::fs::write(&settings, text).expect("the file can be written");
    let settings = settings.to_str().expect("the path is UTF-8");
    // The objects are stored already; only the transaction is pending at the timeout.
    assert_eq!(platform.accept(0, 9, &[]).code, 0);
    platform.fault(|fault| fault.lose_requests = 1000).await;
    let proposal = ["--settings", settings, "--operation", "maria/1"];
    let run = platform.accept(1, 9, &proposal);
    assert_eq!(
        run.code,
        i32::from(UNAVAILABLE),
        "no transaction was sent: {run:?}"
    );
    let rollback = ["rollback", "--base", "1", "--timeout-ms", "300", "1"];
    let run = platform.run(&[&rollback[..], &proposal].concat());
    assert_eq!(run.code, i32::from(UNSETTLED), "{run:?}");
    assert!(run.errors.contains("--operation maria/1"), "{run:?}");
    platform.fault(|_| {}).await;
    let run = platform.run(&[&rollback[..], &proposal].concat());
    assert_eq!(run.code, 0, "{run:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_conflict_reports_changes() {
    let platform = Platform::start(5).await;
    assert_eq!(platform.accept(0, 9, &["--operation", "maria/1"]).code, 0);
    assert_eq!(platform.accept(1, 12, &["--operation", "jens/1"]).code, 0);
    let run = platform.accept(1, 10, &[]);
    assert_eq!(run.code, i32::from(CONFLICT));
    insta::assert_snapshot!(run.errors);
    let run = platform.accept(u64::MAX, 10, &[]);
    assert_eq!(run.code, i32::from(CONFLICT), "{run:?}");
    let run = platform.accept(1, 10, &["--json"]);
    let json: serde_json::Value = serde_json::from_str(&run.output).expect("the output is JSON");
    let found = [
        &json["exit_code"],
        &json["conflict"]["revisions"][0]["operation"],
    ];
    assert_eq!(found, [&serde_json::json!(4), &serde_json::json!("jens/1")]);
}

#[tokio::test(flavor = "multi_thread")]
async fn show_rollback_and_diff() {
    let platform = Platform::start(6).await;
    for (base, slots) in [(0, 9), (1, 12)] {
        assert_eq!(platform.accept(base, slots, &[]).code, 0);
    }
    assert_eq!(platform.run(&["rollback", "--base", "2", "1"]).code, 0);
    let client = platform.client();
    let history = Reader::new(&client, &client)
        .history()
        .await
        .expect("the history can be read");
    assert_eq!(history[2].version, 3);
    assert_eq!(history[2].digest, history[0].digest);
    let shown = platform.run(&["show", "3"]);
    let file = platform.folder.path().join("shown.ini");
    std::fs::write(&file, &shown.output).expect("the file can be written");
    let same = platform.run(&["diff", file.to_str().expect("the path is UTF-8")]);
    assert_eq!(same.output, "no difference from version 3\n");
    let changed = platform.run(&["diff", "--from", "1", "--to", "2"]);
    insta::assert_snapshot!(changed.output);
    let codes = [
        platform.run(&["show", "9"]).code,
        platform.run(&["rollback", "--base", "2", "1"]).code,
        platform.run(&["rollback", "--base", "3", "9"]).code,
        platform.run(&["status"]).code,
    ];
    assert_eq!(
        codes,
        [UNREADABLE, CONFLICT, UNREADABLE, LAGGING].map(i32::from)
    );
}

#[test]
fn check_exit_codes() {
    let examples = concat!(env!("CARGO_MANIFEST_DIR"), "/../../examples");
    let code = |arguments: &[String]| {
        let mut command = Command::new(env!("CARGO_BIN_EXE_lentilshunt"));
        let output = command
            .args(arguments)
            .output()
            .expect("the command starts");
        output.status.code().expect("an exit code")
    };
    let file = |name: &str| format!("{examples}/{name}");
    let check = |files: &[&str]| {
        let files = files.iter().map(|name| file(name));
        code(
            &std::iter::once("check".to_owned())
                .chain(files)
                .collect::<Vec<_>>(),
        )
    };
    let codes = [
        check(&["andina/inventory.ini", "andina/rules.ini"]),
        check(&["nordvind/inventory.ini", "nordvind/rules.ini"]),
        check(&["andina/rules.ini"]),
        check(&["none.ini"]),
        code(&["history".to_owned()]),
        code(&["unknown".to_owned()]),
    ];
    let invalid = i32::from(INVALID);
    assert_eq!(codes, [0, 0, invalid, invalid, invalid, 1]);
}

/// Lets operators race until each has accepted a version, and checks the history.
async fn race(host: u8, operators: u32, lost: u64) {
    let platform = Arc::new(Platform::start(host).await);
    platform.fault(|fault| fault.lose_replies = lost).await;
    let mut racing = JoinSet::new();
    for operator in 1..=operators {
        let platform = Arc::clone(&platform);
        racing.spawn_blocking(move || accept_until_success(&platform, operator));
    }
    let operations: Vec<Operation> = racing.join_all().await.into_iter().flatten().collect();
    let client = platform.client();
    let reader = Reader::new(&client, &client);
    let history = reader.history().await.expect("the history can be read");
    check(&history, &operations).expect("the history matches the model");
    assert_eq!(history.len(), operators as usize);
    assert_eq!(history.last(), reader.head().await.ok().as_ref());
}

/// Retries the acceptance with the newest version of each conflict, until it succeeds.
fn accept_until_success(platform: &Platform, operator: u32) -> Vec<Operation> {
    let mut operations = Vec::new();
    let mut base = 0;
    loop {
        let id = format!("operator-{operator}/{base}");
        let called_at = Instant::now();
        let run = platform.accept(base, operator, &["--json", "--operation", &id]);
        let returned_at = Instant::now();
        let json: serde_json::Value =
            serde_json::from_str(&run.output).expect("the output is JSON");
        let outcome = match run.code {
            0 => Outcome::Accepted,
            code if code == i32::from(CONFLICT) => Outcome::NotAccepted,
            _ => panic!("{run:?}"),
        };
        operations.push(Operation {
            id,
            base,
            outcome,
            called_at,
            returned_at,
        });
        if outcome == Outcome::Accepted {
            return operations;
        }
        base = json["conflict"]["newest"]["version"]
            .as_u64()
            .expect("a version number");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_two_operators_race() {
    race(7, 2, 3).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn accept_eight_operators_race() {
    race(8, 8, 12).await;
}

#[test]
fn check_rejects_invalid_histories() {
    let start = Instant::now();
    let at = |millis| start + Duration::from_millis(millis);
    let operation = |id: &str, base, outcome, from, to| Operation {
        id: id.to_owned(),
        base,
        outcome,
        called_at: at(from),
        returned_at: at(to),
    };
    let head = |version, operation: &str| Head {
        version,
        digest: String::new(),
        operation: operation.to_owned(),
    };
    let (accepted, rejected, unknown) = (Outcome::Accepted, Outcome::NotAccepted, Outcome::Unknown);
    let (a, b) = (
        operation("a", 0, accepted, 0, 9),
        operation("b", 1, accepted, 5, 20),
    );
    let versions = [head(1, "a"), head(2, "b")];
    let cases: [(&[Head], Vec<Operation>, bool); 8] = [
        (&versions, vec![a.clone(), b.clone()], true),
        (
            &versions,
            vec![a.clone(), operation("b", 1, unknown, 5, 20)],
            true,
        ),
        (&versions[1..], vec![a.clone(), b.clone()], false),
        (&versions[..1], vec![a.clone(), b.clone()], false),
        (&versions, vec![a.clone()], false),
        (
            &versions,
            vec![a.clone(), operation("b", 1, rejected, 5, 20)],
            false,
        ),
        (
            &versions,
            vec![a.clone(), operation("b", 0, accepted, 5, 20)],
            false,
        ),
        (
            &versions,
            vec![operation("a", 0, accepted, 30, 40), b],
            false,
        ),
    ];
    for (versions, operations, expected) in cases {
        let checked = check(versions, &operations);
        assert_eq!(checked.is_ok(), expected, "{checked:?} {operations:?}");
    }
}
