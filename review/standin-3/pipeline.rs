//! The end of one node breaks off a download; requests behind it, which other servers run, are lost.

use std::{
    io::Write,
    path::Path,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::Duration,
};

use crate::{
    Verdict,
    http::Connection,
    node::{Machine, Node, address, free, send},
    record::Record,
    server::{Run, Server},
    store::{Store, base64},
};

const SERVERS: u8 = 6;
/// Connections of clients.
const CONNECTIONS: usize = 12;
/// Requests that a client sends before the first is answered.
const AHEAD: usize = 4;
/// Parts of a download, of 25 kB each.
const PARTS: &str = "12";
/// Number of lost requests that the rule allows.
const ALLOWED: usize = 3;

pub fn run(has_trouble: bool, folder: &Path, record: &Arc<Record>) -> Verdict {
    let store_address = free([127, 0, 0, 1]);
    let store = Store::start(store_address, record);
    let ports = [(); 4].map(|()| free(address(1)).port());
    let front = Machine::new(1, "reads", ports, store_address, folder);
    let exports: Vec<_> = (2..2 + SERVERS)
        .map(|number| Machine::new(number, "exports", ports, store_address, folder))
        .collect();
    let config = r#"{"Version":1,"Services":[{"Name":"reads","HealthPath":"/healthz","MaxConnections":550,"Protocol":"h1","Tls":false},{"Name":"exports","HealthPath":"/healthz","MaxConnections":550,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},"VirtualHosts":[{"Host":"a.example","HostRoutes":[{"Name":"exports","Prefix":"/exports/","Kind":"download","Timeout":"5000ms","TargetLatency":"3000ms","Priority":1,"Service":"exports","MaxAttempts":2}]}]}"#;
    store.put("op", "config", Some(base64(config.as_bytes())));
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let nodes: Vec<_> =
        [&front].into_iter().chain(&exports).map(|machine| Node::start(machine, record)).collect();
    let start = |id: &str, machine: &Machine| {
        Server::start(id, &machine.service, machine.app, machine.admin, &runs, record)
    };
    let _reads = start("i-reads", &front);
    let _exports: Vec<_> =
        exports.iter().map(|machine| start(&format!("i-{}", machine.name), machine)).collect();
    if !nodes.iter().all(|node| node.is_ready_within(Duration::from_secs(15))) {
        return Verdict::NotRun("a node is not ready");
    }
    sleep(Duration::from_secs(6));
    // Each client has used its connection before.
    let clients: Vec<_> = (0..CONNECTIONS)
        .map(|client| {
            let (record, outbound) = (Arc::clone(record), front.outbound);
            thread::spawn(move || client_of(client, outbound, &record))
        })
        .collect();
    sleep(Duration::from_millis(1500));
    // The node that the most clients get their first download through.
    let firsts = |server: &str| {
        let runs = runs.lock().unwrap();
        runs.iter().filter(|run| run.server == server && run.attempt.ends_with("-0")).count()
    };
    let servers = exports.iter().map(|machine| format!("i-{}", machine.name));
    let Some(server) = servers.max_by_key(|server| firsts(server)) else {
        return Verdict::NotRun("no download has begun");
    };
    let killed = nodes.iter().position(|node| server == format!("i-{}", node.machine.name));
    let Some(killed) = killed else {
        return Verdict::NotRun("the server of the first download is not known");
    };
    if has_trouble {
        nodes[killed].signal("KILL");
    }
    let mut unanswered = Vec::new();
    let mut answered = 0;
    for client in clients {
        let (complete, without_answer) = client.join().expect("a client");
        answered += complete;
        unanswered.extend(without_answer);
    }
    let runs = runs.lock().unwrap().clone();
    let lost: Vec<_> = unanswered
        .into_iter()
        .filter(|attempt| {
            let mut runs = runs.iter().filter(|run| run.attempt == **attempt);
            runs.any(|run| run.server != server)
        })
        .collect();
    record.line(&format!(
        "{answered} requests answered; passed on to a server whose node was not killed, and their connection closed without an answer: {lost:?}"
    ));
    if answered < CONNECTIONS {
        return Verdict::NotRun("too little is answered");
    }
    if lost.len() > ALLOWED { Verdict::Broken } else { Verdict::Held }
}

/// Uses a connection once, then sends downloads ahead.
///
/// Returns the number of complete answers, and the requests without a byte of an answer when the
/// connection had ended.
fn client_of(client: usize, outbound: std::net::SocketAddr, record: &Record) -> (usize, Vec<String>) {
    let Ok(mut connection) = Connection::open(outbound, Duration::from_secs(8)) else {
        record.line(&format!("client {client}: no connection"));
        return (0, Vec::new());
    };
    let target = ("a.example", "/exports/list");
    let headers = [("Deadline-Ms", "5000")];
    let attempt = format!("first-{client}");
    if send(&mut connection, "GET", target, &headers, &attempt, record).status != 200 {
        return (0, Vec::new());
    }
    sleep(Duration::from_millis(1000));
    let attempts: Vec<_> = (0..AHEAD).map(|number| format!("export-{client}-{number}")).collect();
    let requests: String = attempts
        .iter()
        .map(|attempt| format!("GET /exports/{attempt} HTTP/1.1\r\nHost: a.example\r\nAttempt-Id: {attempt}\r\nDeadline-Ms: 5000\r\nBody-Parts: {PARTS}\r\n\r\n"))
        .collect();
    let sent = connection.stream().and_then(|mut stream| stream.write_all(requests.as_bytes()));
    record.line(&format!("client {client}: {attempts:?} sent, {sent:?}"));
    for (number, attempt) in attempts.iter().enumerate() {
        match connection.read(true) {
            Ok(answer) => record.line(&format!(
                "client: {attempt} -> {}, {} bytes", answer.status(), answer.body.len()
            )),
            Err(error) => {
                record.line(&format!("client: {attempt} -> connection ended, {error}"));
                // The first one without a complete answer may have got a part of it.
                let rest = attempts[number + 1..].to_vec();
                return (number, rest);
            }
        }
    }
    (AHEAD, Vec::new())
}
