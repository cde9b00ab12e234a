//! A changed grace period that the node does not apply cuts requests off at its end.

use std::{
    path::Path,
    sync::{Arc, Mutex},
    thread::{self, sleep},
    time::{Duration, Instant},
};

use crate::{
    Verdict,
    http::Connection,
    node::{Machine, Node, address, free, send},
    record::Record,
    server::Server,
    store::{Store, base64},
};

/// Grace period in force when the node is stopped.
const GRACE: Duration = Duration::from_secs(6);
/// Grace period before the settings file changes.
const EARLIER_GRACE: Duration = Duration::from_secs(10);
/// Machines, of which one is signalled.
const MACHINES: u8 = 4;
/// Requests sent up to this time after SIGTERM may be cut off if their server is at work late.
const EXCUSED: Duration = Duration::from_secs(3);

pub fn run(has_trouble: bool, folder: &Path, record: &Arc<Record>) -> Verdict {
    let store_address = free([127, 0, 0, 1]);
    let store = Store::start(store_address, record);
    let ports = [(); 4].map(|()| free(address(1)).port());
    let mut machine = Machine::new(1, "orders", ports, store_address, folder);
    machine.grace = if has_trouble { EARLIER_GRACE } else { GRACE };
    let config = r#"{"Version":1,"Services":[{"Name":"orders","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false},{"Name":"reads","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},"VirtualHosts":[{"Host":"a.example","HostRoutes":[{"Name":"orders","Prefix":"/orders/","Kind":"non_idempotent","Timeout":"3000ms","TargetLatency":"800ms","Priority":1,"Service":"orders","MaxAttempts":2}]}]}"#;
    store.put("op", "config", Some(base64(config.as_bytes())));
    let runs = Arc::default();
    let mut node = Node::start(&machine, record);
    // One of four machines gets the signals.
    let others: Vec<_> = (2..=MACHINES)
        .map(|number| Machine::new(number, "reads", ports, store_address, folder))
        .collect();
    let _nodes: Vec<_> = others.iter().map(|machine| Node::start(machine, record)).collect();
    let _server =
        Server::start("i-1", "orders", machine.app, machine.admin, &runs, record);
    let _servers: Vec<_> = others
        .iter()
        .map(|machine| {
            let id = format!("i-{}", machine.name);
            Server::start(&id, "reads", machine.app, machine.admin, &runs, record)
        })
        .collect();
    if !node.is_ready_within(Duration::from_secs(15)) {
        return Verdict::NotRun("the node is not ready");
    }
    sleep(Duration::from_secs(4));
    machine.grace = GRACE;
    machine.write_settings();
    record.line("settings file written with a grace period of 6 s");
    node.signal("HUP");
    sleep(Duration::from_secs(6));
    let outcomes = Arc::new(Mutex::new(Vec::new()));
    let send_one = |number: usize| {
        let (outcomes, record, outbound) =
            (Arc::clone(&outcomes), Arc::clone(record), machine.outbound);
        thread::spawn(move || {
            let attempt = format!("order-{number}");
            let Ok(mut connection) = Connection::open(outbound, Duration::from_secs(8)) else {
                record.line(&format!("client: {attempt} no connection"));
                return;
            };
            let headers = [("Deadline-Ms", "6000"), ("Work-Ms", "2500")];
            let target = ("a.example", "/orders/x");
            let outcome = send(&mut connection, "POST", target, &headers, &attempt, &record);
            outcomes.lock().unwrap().push(outcome);
        })
    };
    let mut clients = vec![send_one(0)];
    sleep(Duration::from_millis(200));
    node.signal("TERM");
    let stopped = record.now();
    let killed_at = Instant::now() + GRACE;
    // The only node of its zone gets new requests also while it stops.
    for number in 1.. {
        if Instant::now() + Duration::from_millis(400) > killed_at {
            break;
        }
        clients.push(send_one(number));
        sleep(Duration::from_millis(300));
    }
    if !node.has_ended_by(killed_at) {
        node.signal("KILL");
    } else {
        record.line("the node has ended by itself");
    }
    for client in clients {
        client.join().expect("a client");
    }
    let runs = runs.lock().unwrap().clone();
    let outcomes = outcomes.lock().unwrap().clone();
    let lost: Vec<_> = outcomes
        .iter()
        .filter(|outcome| outcome.status == 0 && outcome.sent > stopped + EXCUSED)
        .filter(|outcome| runs.iter().any(|run| run.attempt == outcome.attempt))
        .map(|outcome| outcome.attempt.clone())
        .collect();
    let served = outcomes.iter().filter(|outcome| outcome.status == 200).count();
    record.line(&format!("{} requests answered or cut, {served} served; cut at work though sent later than 3 s after SIGTERM: {lost:?}", outcomes.len()));
    if served == 0 {
        return Verdict::NotRun("nothing is served");
    }
    if lost.is_empty() { Verdict::Held } else { Verdict::Broken }
}
