//! Two servers of fifteen crash; a request that the others have answered is refused from then on.

use std::{
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

/// Servers of the service, of which [`CRASHED`] crash.
const SERVERS: u8 = 15;
const CRASHED: usize = 2;
/// Time for which they are down.
const DOWN: Duration = Duration::from_millis(3500);
/// Time from the end of the disruption in which nothing is judged.
const CALM: Duration = Duration::from_secs(10);
/// Requests on each route that are judged.
const REQUESTS: usize = 60;

pub fn run(has_trouble: bool, folder: &Path, record: &Arc<Record>) -> Verdict {
    let store_address = free([127, 0, 0, 1]);
    let store = Store::start(store_address, record);
    let ports = [(); 4].map(|()| free(address(1)).port());
    let reads = Machine::new(1, "reads", ports, store_address, folder);
    let orders: Vec<_> = (2..2 + SERVERS)
        .map(|number| Machine::new(number, "orders", ports, store_address, folder))
        .collect();
    let configure = |version: u32, services: &[&str]| {
        let routes: Vec<_> = services
            .iter()
            .map(|service| format!(
                r#"{{"Name":"{service}","Prefix":"/{service}/","Kind":"idempotent","Timeout":"2000ms","TargetLatency":"1500ms","Priority":1,"Service":"{service}","MaxAttempts":2}}"#
            ))
            .collect();
        let text = format!(
            r#"{{"Version":{version},"Services":[{{"Name":"reads","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}},{{"Name":"orders","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}},"VirtualHosts":[{{"Host":"a.example","HostRoutes":[{}]}}]}}"#,
            routes.join(",")
        );
        store.put("op", "config", Some(base64(text.as_bytes())));
        record.line(&format!("operator: version {version} acknowledged"));
    };
    configure(1, &["reads"]);
    let runs: Arc<Mutex<Vec<Run>>> = Arc::default();
    let start = |id: &str, machine: &Machine| {
        Server::start(id, &machine.service, machine.app, machine.admin, &runs, record)
    };
    let nodes: Vec<_> =
        [&reads].into_iter().chain(&orders).map(|machine| Node::start(machine, record)).collect();
    let _reads = start("i-reads", &reads);
    let servers: Vec<_> = orders
        .iter()
        .enumerate()
        .map(|(index, machine)| start(&format!("i-orders-{index}"), machine))
        .collect();
    if !nodes.iter().all(|node| node.is_ready_within(Duration::from_secs(15))) {
        return Verdict::NotRun("a node is not ready");
    }
    sleep(Duration::from_secs(5));
    configure(2, &["reads", "orders"]);
    sleep(Duration::from_secs(4));
    // The first requests on the new route: clients ask for the same.
    let clients: Vec<_> = (0..3 * usize::from(SERVERS))
        .map(|number| {
            let (record, outbound) = (Arc::clone(record), reads.outbound);
            thread::spawn(move || {
                let Ok(mut connection) = Connection::open(outbound, Duration::from_secs(4)) else {
                    return 0;
                };
                let headers = [("Deadline-Ms", "2000"), ("Work-Ms", "800")];
                let target = ("a.example", "/orders/list");
                let attempt = format!("first-{number}");
                send(&mut connection, "GET", target, &headers, &attempt, &record).status
            })
        })
        .collect();
    sleep(Duration::from_millis(400));
    let busy: Vec<_> = servers
        .iter()
        .zip(&orders)
        .filter(|(server, _)| runs.lock().unwrap().iter().any(|run| run.server == server.id))
        .take(CRASHED)
        .collect();
    if busy.len() < CRASHED {
        return Verdict::NotRun("the first requests reach too few servers");
    }
    if has_trouble {
        for (server, _) in &busy {
            server.crash();
        }
        sleep(DOWN);
    }
    let statuses: Vec<_> = clients.into_iter().filter_map(|client| client.join().ok()).collect();
    let answered = statuses.iter().filter(|status| **status == 200).count();
    record.line(&format!("{answered} of the first {} requests answered by servers", statuses.len()));
    let _restarted: Vec<_> = if has_trouble {
        let again = |(server, machine): &(&Arc<Server>, &Machine)| {
            start(&format!("{}-again", server.id), machine)
        };
        busy.iter().map(again).collect()
    } else {
        Vec::new()
    };
    sleep(CALM);
    let mut served = [0, 0];
    for number in 0..REQUESTS {
        for (route, path) in ["/reads/list", "/orders/list"].into_iter().enumerate() {
            let Ok(mut connection) = Connection::open(reads.outbound, Duration::from_secs(4)) else {
                return Verdict::NotRun("a node accepts no connection");
            };
            let headers = [("Deadline-Ms", "2000"), ("Work-Ms", "20")];
            let attempt = format!("{}-{number}", &path[1..]);
            let target = ("a.example", path);
            let outcome = send(&mut connection, "GET", target, &headers, &attempt, record);
            served[route] += usize::from(outcome.status == 200);
        }
        sleep(Duration::from_millis(900));
    }
    let [reads, orders] = served;
    record.line(&format!(
        "of {REQUESTS} requests each: {reads} served on the first route, {orders} on the one added later"
    ));
    if reads < REQUESTS / 2 || answered == 0 {
        return Verdict::NotRun("too little is served");
    }
    if orders * 4 < reads { Verdict::Broken } else { Verdict::Held }
}
