//! The platform's metadata store: rows, transactions and the feed.

use std::{
    collections::BTreeMap,
    net::{SocketAddr, TcpListener},
    sync::{Arc, Condvar, Mutex},
    thread,
    time::{Duration, Instant},
};

use crate::{
    http::{Connection, Message},
    json::Json,
    record::Record,
};

/// Which transaction loses its answer, and how much later it is performed.
pub struct Loss {
    /// Whether the transaction removes the row; otherwise it writes it.
    pub removes: bool,
    pub key: String,
    pub late: Duration,
}

#[derive(Default)]
struct State {
    rows: BTreeMap<(String, String), (String, u64)>,
    /// Changes in their order: version, table, key, content unless removed.
    changes: Vec<(u64, String, String, Option<String>)>,
    version: u64,
    loss: Option<Loss>,
    transactions: usize,
    is_silent: bool,
}

/// The store.
pub struct Store {
    state: Mutex<State>,
    changed: Condvar,
    started_at: Instant,
    record: Arc<Record>,
}

impl Store {
    /// Starts the store on an address.
    pub fn start(address: SocketAddr, record: &Arc<Record>) -> Arc<Self> {
        let listener = TcpListener::bind(address).expect("an address for the store");
        let store = Arc::new(Self {
            state: Mutex::default(),
            changed: Condvar::new(),
            started_at: Instant::now(),
            record: Arc::clone(record),
        });
        let shared = Arc::clone(&store);
        thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                let store = Arc::clone(&shared);
                thread::spawn(move || {
                    let mut connection = Connection::new(stream);
                    while let Ok(request) = connection.read(false) {
                        if store.is_silent() {
                            thread::sleep(Duration::from_secs(60));
                            return;
                        }
                        let Some((status, body)) = store.respond(&request) else {
                            // A connection on which an answer is lost delivers nothing further.
                            thread::sleep(Duration::from_secs(60));
                            return;
                        };
                        // What was asked before it went away has no answer either.
                        if store.is_silent() {
                            thread::sleep(Duration::from_secs(60));
                            return;
                        }
                        let start = format!("HTTP/1.1 {status} -");
                        let headers = [("Content-Type", "application/json"), ("Store-Era", "0")];
                        if connection.write(&start, &headers, body.as_bytes()).is_err() {
                            return;
                        }
                    }
                });
            }
        });
        store
    }

    /// Loses the answer of the next transaction that fits, and performs it late.
    pub fn lose(&self, loss: Loss) {
        self.state.lock().unwrap().loss = Some(loss);
    }

    /// Sets whether the store is away: it accepts connections and calls, and does and answers nothing.
    pub fn set_silent(&self, is_silent: bool) {
        self.state.lock().unwrap().is_silent = is_silent;
        self.record.line(&format!("store: {}", if is_silent { "away" } else { "back" }));
    }

    fn is_silent(&self) -> bool {
        self.state.lock().unwrap().is_silent
    }

    /// Returns the number of transactions so far.
    pub fn transactions(&self) -> usize {
        self.state.lock().unwrap().transactions
    }

    /// Writes or removes a row.
    pub fn put(&self, table: &str, key: &str, data: Option<String>) {
        let mut state = self.state.lock().unwrap();
        state.version += 1;
        let version = state.version;
        let place = (table.to_owned(), key.to_owned());
        match &data {
            Some(data) => drop(state.rows.insert(place, (data.clone(), version))),
            None => drop(state.rows.remove(&place)),
        }
        state.changes.push((version, table.to_owned(), key.to_owned(), data));
        drop(state);
        self.changed.notify_all();
    }

    fn respond(self: &Arc<Self>, request: &Message) -> Option<(u16, String)> {
        let (path, query) = request.target().split_once('?').unwrap_or((request.target(), ""));
        let parameter = |name: &str| {
            let mut pairs = query.split('&').filter_map(|pair| pair.split_once('='));
            pairs.find(|(key, _)| *key == name).map(|(_, value)| decode(value))
        };
        let table = parameter("Table").unwrap_or_default();
        match path {
            "/-/rows-get" => Some((200, self.read(&table, parameter("StartKey"), parameter("To")))),
            "/-/rows-feed" => {
                let after = parameter("after").and_then(|after| after.parse().ok()).unwrap_or(0);
                let wait = parameter("WaitMs").and_then(|wait| wait.parse().ok()).unwrap_or(0);
                Some((200, self.feed(&table, after, Duration::from_millis(wait))))
            }
            "/-/rows-tx" => self.transact(&String::from_utf8_lossy(&request.body)),
            _ => Some((404, "{}".to_owned())),
        }
    }

    fn transact(self: &Arc<Self>, text: &str) -> Option<(u16, String)> {
        let transaction = Json::parse(text);
        let mut state = self.state.lock().unwrap();
        state.transactions += 1;
        let number = state.transactions;
        let keys = |list: &str| -> Vec<String> {
            let entries = transaction.get(list).entries().iter();
            entries.map(|entry| entry.get("Key").text().to_owned()).collect()
        };
        let (written, removed) = (keys("Writes"), keys("Remove"));
        let is_lost = state.loss.as_ref().is_some_and(|loss| {
            let keys = if loss.removes { &removed } else { &written };
            keys.contains(&loss.key)
        });
        let late = if is_lost { state.loss.take().map(|loss| loss.late) } else { None };
        drop(state);
        let what = format!("transaction {number}: writes {written:?}, removes {removed:?}");
        if let Some(late) = late {
            self.record.line(&format!("store: {what}; no answer, performed {late:?} later"));
            let store = Arc::clone(self);
            thread::spawn(move || {
                thread::sleep(late);
                let status = store.perform(&transaction).0;
                store.record.line(&format!("store: transaction {number} performed, {status}"));
            });
            return None;
        }
        self.record.line(&format!("store: {what}"));
        Some(self.perform(&transaction))
    }

    fn perform(&self, transaction: &Json) -> (u16, String) {
        for expected in transaction.get("Expect").entries() {
            let place =
                (expected.get("Table").text().to_owned(), expected.get("Key").text().to_owned());
            let version = self.state.lock().unwrap().rows.get(&place).map_or(0, |row| row.1);
            if version != expected.get("Ver").number() {
                return (412, r#"{"Rows":[]}"#.to_owned());
            }
        }
        for row in transaction.get("Writes").entries() {
            let data = row.get("Data").text().to_owned();
            self.put(row.get("Table").text(), row.get("Key").text(), Some(data));
        }
        for row in transaction.get("Remove").entries() {
            self.put(row.get("Table").text(), row.get("Key").text(), None);
        }
        (200, format!(r#"{{"Ver":{},{}}}"#, self.state.lock().unwrap().version, self.now()))
    }

    fn now(&self) -> String {
        format!(r#""Now":"{}ms""#, self.started_at.elapsed().as_millis())
    }

    fn read(&self, table: &str, start: Option<String>, to: Option<String>) -> String {
        let state = self.state.lock().unwrap();
        let rows = state.rows.iter().filter(|((of, key), _)| {
            of == table
                && start.as_ref().is_none_or(|start| key >= start)
                && to.as_ref().is_none_or(|to| key < to)
        });
        let rows: Vec<_> =
            rows.map(|((_, key), (data, version))| row(table, key, data, *version)).collect();
        let (rows, version) = (rows.join(","), state.version);
        format!(r#"{{"Rows":[{rows}],"HasMore":false,"Ver":{version},{}}}"#, self.now())
    }

    fn feed(&self, table: &str, after: u64, wait: Duration) -> String {
        let until = Instant::now() + wait;
        let mut state = self.state.lock().unwrap();
        loop {
            let changes = state.changes.iter();
            let changes = changes.filter(|(version, of, ..)| *version > after && of == table);
            let rows: Vec<_> = changes
                .map(|(version, _, key, data)| match data {
                    Some(data) => row(table, key, data, *version),
                    None => format!(
                        r#"{{"Table":"{table}","part":"","Key":"{key}","Ver":{version},"Tombstone":true}}"#
                    ),
                })
                .collect();
            let left = until.saturating_duration_since(Instant::now());
            if !rows.is_empty() || left.is_zero() {
                let (rows, version) = (rows.join(","), state.version);
                return format!(r#"{{"Rows":[{rows}],"Ver":{version},{}}}"#, self.now());
            }
            state = self.changed.wait_timeout(state, left).unwrap().0;
        }
    }
}

fn row(table: &str, key: &str, data: &str, version: u64) -> String {
    format!(r#"{{"Table":"{table}","part":"","Key":"{key}","Data":"{data}","Ver":{version}}}"#)
}

/// Decodes percent signs in a query.
fn decode(text: &str) -> String {
    let bytes = text.as_bytes();
    let mut decoded = Vec::new();
    let mut at = 0;
    while at < bytes.len() {
        let code = (bytes[at] == b'%').then(|| text.get(at + 1..at + 3)).flatten();
        match code.and_then(|code| u8::from_str_radix(code, 16).ok()) {
            Some(byte) => {
                decoded.push(byte);
                at += 3;
            }
            None => {
                decoded.push(bytes[at]);
                at += 1;
            }
        }
    }
    String::from_utf8_lossy(&decoded).into_owned()
}

/// Encodes the content of a row.
pub fn base64(bytes: &[u8]) -> String {
    const DIGITS: &[u8; 64] = b"ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    let mut text = String::new();
    for group in bytes.chunks(3) {
        let mut number = 0u32;
        for index in 0..3 {
            number = number << 8 | u32::from(*group.get(index).unwrap_or(&0));
        }
        for index in 0..4 {
            let digit = DIGITS[(number >> (18 - 6 * index) & 63) as usize] as char;
            text.push(if index <= group.len() { digit } else { '=' });
        }
    }
    text
}
