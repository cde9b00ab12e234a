//! An application server: heartbeats, health, requests.

use std::{
    collections::BTreeMap,
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, AtomicU64, AtomicUsize, Ordering},
    },
    thread::{self, JoinHandle},
    time::{Duration, SystemTime},
};

use crate::{
    http::{Connection, Message},
    record::Record,
};

/// Interval between heartbeats.
pub const HEARTBEAT: Duration = Duration::from_millis(1500);
/// Requests that a server runs at once.
pub const SLOTS: usize = 13;

/// Size of each part of a large response, in bytes.
const PART_BYTES: usize = 25_000;

/// A run of a request.
#[derive(Clone, Debug)]
pub struct Run {
    pub attempt: String,
    pub server: String,
    /// Since the start of the case.
    pub began: Duration,
}

/// A server process.
pub struct Server {
    pub id: String,
    pub service: String,
    address: SocketAddr,
    admin: SocketAddr,
    born: u128,
    sequence: AtomicU64,
    running: AtomicUsize,
    has_ended: AtomicBool,
    is_leaving: AtomicBool,
    connections: Mutex<BTreeMap<u64, TcpStream>>,
    /// Thread that accepts connections, which has the listener.
    accepting: Mutex<Option<JoinHandle<()>>>,
    runs: Arc<Mutex<Vec<Run>>>,
    record: Arc<Record>,
}

impl Server {
    /// Starts a server that reports itself to `admin`.
    pub fn start(
        id: &str,
        service: &str,
        address: SocketAddr,
        admin: SocketAddr,
        runs: &Arc<Mutex<Vec<Run>>>,
        record: &Arc<Record>,
    ) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("an address for a server");
        let since_epoch = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
        let server = Arc::new(Self {
            id: id.to_owned(),
            service: service.to_owned(),
            address,
            admin,
            born: since_epoch.expect("a time after the epoch").as_millis(),
            sequence: AtomicU64::new(0),
            running: AtomicUsize::new(0),
            has_ended: AtomicBool::new(false),
            is_leaving: AtomicBool::new(false),
            connections: Mutex::default(),
            accepting: Mutex::default(),
            runs: Arc::clone(runs),
            record: Arc::clone(record),
        });
        record.line(&format!("server {id} of {service} starts"));
        let accepting = Arc::clone(&server);
        let thread = thread::spawn(move || {
            for (number, stream) in (0..).zip(listener.incoming().flatten()) {
                if accepting.has_ended.load(Ordering::SeqCst) {
                    return;
                }
                let server = Arc::clone(&accepting);
                thread::spawn(move || server.serve(number, stream));
            }
        });
        *server.accepting.lock().unwrap() = Some(thread);
        let reporting = Arc::clone(&server);
        thread::spawn(move || {
            while !reporting.is_leaving.load(Ordering::SeqCst) {
                let heartbeat = reporting.next_heartbeat();
                reporting.report("instances.heartbeat", &heartbeat);
                thread::sleep(HEARTBEAT);
            }
        });
        server
    }

    /// Returns the body of the next heartbeat.
    pub fn next_heartbeat(&self) -> String {
        let sequence = self.sequence.fetch_add(1, Ordering::SeqCst) + 1;
        format!(
            r#"{{"Address":"{}","born":{},"Info":{{"Service":"{}","Version":"v1","Zone":"z-1","Concurrency":{SLOTS}}},"Status":{{"State":"ready","Sequence":{sequence},"WarmupLeft":"0ms"}}}}"#,
            self.address, self.born, self.service
        )
    }

    /// Delivers a heartbeat that was sent before and is late.
    pub fn deliver(&self, heartbeat: &str) -> bool {
        self.report("instances.heartbeat", heartbeat)
    }

    /// Says that the server leaves, until that is acknowledged.
    pub fn deregister(&self) -> bool {
        self.is_leaving.store(true, Ordering::SeqCst);
        let body = format!(r#"{{"born":{}}}"#, self.born);
        (0..5).any(|_| {
            let is_acknowledged = self.report("instances.deregister", &body);
            if !is_acknowledged {
                thread::sleep(Duration::from_millis(300));
            }
            is_acknowledged
        })
    }

    fn report(&self, call: &str, body: &str) -> bool {
        let exchange = || {
            let mut connection = Connection::open(self.admin, Duration::from_secs(1))?;
            let start = format!("POST /-/rpc?call={call}&of={} HTTP/1.1", self.id);
            let host = self.admin.to_string();
            let headers = [("Host", host.as_str()), ("Content-Type", "application/json")];
            connection.write(&start, &headers, body.as_bytes())?;
            connection.read(true)
        };
        let status = exchange().map(|answer| answer.status()).unwrap_or(0);
        self.record.line(&format!("server {}: {call} answered {status}", self.id));
        (200..300).contains(&status)
    }

    /// Crashes: nothing is said, the listener and all connections close.
    pub fn crash(&self) {
        self.record.line(&format!("server {} crashes", self.id));
        self.is_leaving.store(true, Ordering::SeqCst);
        self.end();
    }

    /// Ends the process: the listener and all connections close.
    pub fn end(&self) {
        self.has_ended.store(true, Ordering::SeqCst);
        self.record.line(&format!("server {} ends", self.id));
        // The listener closes first, as its descriptor does at the end of a process; the connection
        // wakes the thread that has it.
        let _woken = TcpStream::connect(self.address);
        if let Some(thread) = self.accepting.lock().unwrap().take() {
            thread.join().expect("the thread that accepts connections");
        }
        for stream in self.connections.lock().unwrap().values() {
            // One that is closed already needs no end.
            let _closed = stream.shutdown(Shutdown::Both);
        }
    }

    fn serve(&self, number: u64, stream: TcpStream) {
        let mut connection = Connection::new(stream);
        if let Ok(stream) = connection.stream() {
            self.connections.lock().unwrap().insert(number, stream);
        }
        while let Ok(request) = connection.read(false) {
            if self.respond(&mut connection, &request).is_err() {
                break;
            }
        }
        self.connections.lock().unwrap().remove(&number);
    }

    fn respond(&self, connection: &mut Connection, request: &Message) -> std::io::Result<()> {
        let attempt = request.header("attempt-id");
        if request.target() == "/healthz" {
            let headers = [("Instance-Id", self.id.as_str()), ("Server-Load", "0,0,13")];
            let status = if self.is_leaving.load(Ordering::SeqCst) { 503 } else { 200 };
            return connection.write(&format!("HTTP/1.1 {status} -"), &headers, b"");
        }
        let refusal = [("Not-Executed", "1"), ("Attempt-Id", attempt), ("Instance-Id", &self.id)];
        let expected = request.header("expect-instance");
        if !expected.is_empty() && expected != self.id {
            return connection.write("HTTP/1.1 421 Misdirected Request", &refusal[1..], b"");
        }
        if self.running.fetch_add(1, Ordering::SeqCst) >= SLOTS {
            self.running.fetch_sub(1, Ordering::SeqCst);
            return connection.write("HTTP/1.1 503 Service Unavailable", &refusal, b"");
        }
        let began = self.record.now();
        let run = Run { attempt: attempt.to_owned(), server: self.id.clone(), began };
        self.runs.lock().unwrap().push(run);
        self.record.line(&format!("server {} runs {attempt}", self.id));
        let work = request.header("work-ms").parse().unwrap_or(20);
        thread::sleep(Duration::from_millis(work));
        self.running.fetch_sub(1, Ordering::SeqCst);
        let body = format!("answer of {} to {attempt}", self.id);
        let parts = request.header("body-parts").parse().unwrap_or(0);
        let mut headers =
            vec![("Attempt-Id", attempt), ("Server-Seal", &self.id), ("Server-Load", "1,0,13")];
        if self.is_leaving.load(Ordering::SeqCst) {
            headers.push(("Server-Leaving", "1"));
        }
        if parts > 0 {
            return connection.write_in_parts("HTTP/1.1 200 OK", &headers, PART_BYTES, parts);
        }
        connection.write("HTTP/1.1 200 OK", &headers, body.as_bytes())
    }
}
