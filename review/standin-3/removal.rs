//! A removal that the store performs late takes the row of the next server away.

use std::{
    path::Path,
    sync::Arc,
    thread::sleep,
    time::Duration,
};

use crate::{
    Verdict,
    http::Connection,
    node::{Machine, Node, address, free, send},
    record::Record,
    server::Server,
    store::{Loss, Store, base64},
};

const DRAIN_TIMEOUT: Duration = Duration::from_secs(3);
/// How late the store performs the transaction whose answer is lost.
const LATE: Duration = Duration::from_secs(5);
/// Time from the end of the disruption in which nothing is judged.
const CALM: Duration = Duration::from_secs(10);
/// Requests on each route.
const REQUESTS: usize = 40;

pub fn run(has_trouble: bool, folder: &Path, record: &Arc<Record>) -> Verdict {
    let store_address = free([127, 0, 0, 1]);
    let store = Store::start(store_address, record);
    let ports = [(); 4].map(|()| free(address(1)).port());
    let first = Machine::new(1, "reads", ports, store_address, folder);
    let second = Machine::new(2, "orders", ports, store_address, folder);
    let configure = |version: u32, has_orders: bool| {
        let route = |prefix: &str, service: &str| {
            format!(
                r#"{{"Name":"{service}","Prefix":"{prefix}","Kind":"idempotent","Timeout":"1500ms","TargetLatency":"600ms","Priority":1,"Service":"{service}","MaxAttempts":2}}"#
            )
        };
        let mut routes = vec![route("/reads/", "reads")];
        if has_orders {
            routes.push(route("/orders/", "orders"));
        }
        let text = format!(
            r#"{{"Version":{version},"Services":[{{"Name":"reads","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}},{{"Name":"orders","HealthPath":"/healthz","MaxConnections":110,"Protocol":"h1","Tls":false}}],"Limits":{{"MaxHeaderBytes":16384,"MaxBodyBytes":67108864,"HeaderTimeout":"3000ms","IdleTimeout":"15000ms"}},"VirtualHosts":[{{"Host":"a.example","HostRoutes":[{}]}}]}}"#,
            routes.join(",")
        );
        store.put("op", "config", Some(base64(text.as_bytes())));
        record.line(&format!("operator: version {version} acknowledged"));
    };
    configure(1, false);
    let runs = Arc::default();
    let start = |id: &str, machine: &Machine| {
        Server::start(id, &machine.service, machine.app, machine.admin, &runs, record)
    };
    // One of four servers is restarted.
    let others: Vec<_> = (3..=4)
        .map(|number| Machine::new(number, "reads", ports, store_address, folder))
        .collect();
    let nodes: Vec<_> = [&first, &second]
        .into_iter()
        .chain(&others)
        .map(|machine| Node::start(machine, record))
        .collect();
    let _reads = start("i-reads-1", &first);
    let _others: Vec<_> =
        others.iter().map(|machine| start(&format!("i-{}", machine.name), machine)).collect();
    let orders = start("i-orders-1", &second);
    if !nodes.iter().all(|node| node.is_ready_within(Duration::from_secs(15))) {
        return Verdict::NotRun("a node is not ready");
    }
    sleep(Duration::from_secs(5));
    let before = store.transactions();
    if has_trouble {
        store.lose(Loss { removes: true, key: second.name.clone(), late: LATE });
    }
    // A planned restart of the server: it says that it leaves, serves on, ends and starts again.
    if !orders.deregister() {
        return Verdict::NotRun("the departure was not acknowledged");
    }
    sleep(DRAIN_TIMEOUT + Duration::from_millis(300));
    orders.end();
    sleep(Duration::from_millis(200));
    let _next = start("i-orders-2", &second);
    sleep(LATE);
    record.line(&format!("{} transactions around the restart", store.transactions() - before));
    sleep(CALM);
    configure(2, true);
    sleep(Duration::from_secs(4));
    let mut served = [0, 0];
    for number in 0..REQUESTS {
        for (node, machine) in [&first, &second].into_iter().enumerate() {
            for (route, path) in ["/reads/x", "/orders/x"].into_iter().enumerate() {
                let Ok(mut connection) = Connection::open(machine.outbound, Duration::from_secs(4))
                else {
                    return Verdict::NotRun("a node accepts no connection");
                };
                let attempt = format!("{path}-{node}-{number}");
                let headers = [("Deadline-Ms", "1500")];
                let target = ("a.example", path);
                let outcome = send(&mut connection, "GET", target, &headers, &attempt, record);
                served[route] += usize::from(outcome.status == 200);
            }
        }
        sleep(Duration::from_millis(50));
    }
    let [reads, orders] = served;
    record.line(&format!(
        "of {} requests each: {reads} served on the first route, {orders} on the one added later",
        2 * REQUESTS
    ));
    if reads < REQUESTS {
        return Verdict::NotRun("the first route is not served");
    }
    if orders * 4 < reads { Verdict::Broken } else { Verdict::Held }
}
