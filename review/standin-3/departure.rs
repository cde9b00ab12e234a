//! A departure that was acknowledged while the store is away is forgotten if all nodes are killed.

use std::{
    path::Path,
    sync::Arc,
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

const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
const CONTACT: Duration = Duration::from_secs(3);

pub fn run(has_trouble: bool, folder: &Path, record: &Arc<Record>) -> Verdict {
    let store_address = free([127, 0, 0, 1]);
    let store = Store::start(store_address, record);
    let ports = [(); 4].map(|()| free(address(1)).port());
    let machine = |number, service| Machine::new(number, service, ports, store_address, folder);
    // One of five servers of the service leaves.
    let mut machines = vec![machine(1, "reads")];
    machines.extend((2..=6).map(|number| machine(number, "orders")));
    let config = r#"{"Version":1,"Services":[{"Name":"reads","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false},{"Name":"orders","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}],"Limits":{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"},"VirtualHosts":[{"Host":"a.example","HostRoutes":[{"Name":"orders","Prefix":"/orders/","Kind":"non_idempotent","Timeout":"3000ms","TargetLatency":"800ms","Priority":1,"Service":"orders","MaxAttempts":2}]}]}"#;
    store.put("op", "config", Some(base64(config.as_bytes())));
    let runs = Arc::default();
    let start = |id: &str, machine: &Machine| {
        Server::start(id, &machine.service, machine.app, machine.admin, &runs, record)
    };
    let mut nodes: Vec<_> = machines.iter().map(|machine| Node::start(machine, record)).collect();
    let _reads = start("i-reads", &machines[0]);
    let leaving = start("i-orders-1", &machines[1]);
    let _staying: Vec<_> = machines[2..]
        .iter()
        .map(|machine| start(&format!("i-orders-{}", machine.name), machine))
        .collect();
    if !nodes.iter().all(|node| node.is_ready_within(Duration::from_secs(15))) {
        return Verdict::NotRun("a node is not ready");
    }
    sleep(Duration::from_secs(6));
    let zero = Instant::now();
    let until = |seconds: f64| {
        sleep((zero + Duration::from_secs_f64(seconds)).saturating_duration_since(Instant::now()));
    };
    if has_trouble {
        store.set_silent(true);
    }
    until(0.9);
    let late = leaving.next_heartbeat();
    record.line("server i-orders-1: a heartbeat is on its way and will be late");
    until(1.0);
    if !leaving.deregister() {
        return Verdict::NotRun("the departure was not acknowledged");
    }
    let acknowledged = record.now();
    until(2.2);
    if has_trouble {
        for node in &nodes {
            node.signal("KILL");
        }
        nodes.clear();
    }
    until(2.7);
    if has_trouble {
        nodes = machines.iter().map(|machine| Node::start(machine, record)).collect();
    }
    until(6.4);
    leaving.deliver(&late);
    until(7.0);
    if has_trouble {
        store.set_silent(false);
    }
    until(7.0 + CONTACT.as_secs_f64() + 0.3);
    let judged = record.now();
    let mut served = 0;
    for wave in 0..6 {
        let clients: Vec<_> = (0..24)
            .map(|client| {
                let outbound = machines[client % machines.len()].outbound;
                let record = Arc::clone(record);
                thread::spawn(move || {
                    let attempt = format!("order-{wave}-{client}");
                    let Ok(mut connection) = Connection::open(outbound, Duration::from_secs(3))
                    else {
                        record.line(&format!("client: {attempt} no connection"));
                        return false;
                    };
                    let headers = [("Deadline-Ms", "1500"), ("Work-Ms", "150")];
                    let target = ("a.example", "/orders/x");
                    send(&mut connection, "POST", target, &headers, &attempt, &record).status == 200
                })
            })
            .collect();
        served += clients.into_iter().filter_map(|client| client.join().ok()).filter(|is| *is).count();
        sleep(Duration::from_millis(50));
    }
    // The server has served on for some seconds and ends.
    leaving.end();
    let runs = runs.lock().unwrap().clone();
    let late_runs = runs
        .iter()
        .filter(|run| run.server == leaving.id && run.began > judged)
        .filter(|run| run.began > acknowledged + DRAIN_TIMEOUT)
        .count();
    record.line(&format!(
        "{served} of 144 requests served; {late_runs} reached i-orders-1 later than DrainTimeout after its departure was acknowledged"
    ));
    if nodes.is_empty() || served == 0 {
        return Verdict::NotRun("nothing is served");
    }
    if late_runs > 0 { Verdict::Broken } else { Verdict::Held }
}
