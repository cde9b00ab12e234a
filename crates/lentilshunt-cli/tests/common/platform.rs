//! A platform process and the operators' command.

use std::{
    net::{SocketAddr, TcpListener},
    path::{Path, PathBuf},
    process::{Command, Output},
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request};
use lentilshunt_load::fleet::Process;
use lentilshunt_net::{
    http::{Exchange, Pool},
    platform::{Client, Table},
};
use lentilshunt_schema::platform::Fault;

const COMMAND: &str = env!("CARGO_BIN_EXE_lentilshunt");
const START_TIMEOUT: Duration = Duration::from_secs(20);
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// The stand-in for the platform as a process.
#[derive(Debug)]
pub struct Platform {
    pub address: SocketAddr,
    pub folder: tempfile::TempDir,
    pool: Pool,
    _process: Process,
}

impl Platform {
    /// Starts the process at a free port of the address 127.30.`host`.1.
    pub async fn start(host: u8) -> Self {
        let listener = TcpListener::bind(format!("127.30.{host}.1:0")).expect("a free port");
        let address = listener.local_addr().expect("an address");
        drop(listener);
        let folder = tempfile::tempdir().expect("a folder");
        let settings = format!("[listen]\naddress = {address}\n");
        let program = program("lentilshunt-platform");
        let process = Process::start(&program, "platform", &settings, folder.path());
        let platform = Self {
            address,
            folder,
            pool: Pool::default(),
            _process: process.expect("cargo build --workspace must have run"),
        };
        let deadline = Instant::now() + START_TIMEOUT;
        while platform.client().read("head".to_owned()).await.is_err() {
            assert!(Instant::now() < deadline, "the platform does not start");
            tokio::time::sleep(POLL_INTERVAL).await;
        }
        platform
    }

    pub fn client(&self) -> Client {
        Client::new(self.address, Duration::from_secs(5))
    }

    /// Tells the platform which faults to show.
    pub async fn fault(&self, change: impl FnOnce(&mut Fault)) {
        let mut fault = Fault {
            down: false,
            objects_down: false,
            delay_ms: 0,
            lose_replies: 0,
            lose_requests: 0,
        };
        change(&mut fault);
        let body = rmp_serde::to_vec_named(&fault).expect("an encoding");
        let mut request = Request::new(Bytes::from(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = "/admin/fault".parse().expect("a path");
        let exchange = Exchange {
            address: self.address,
            deadline: Instant::now() + START_TIMEOUT,
            max_body_bytes: 1024,
        };
        let answer = self.pool.exchange(exchange, request).await;
        assert!(answer.expect("an answer").status().is_success());
    }

    /// Writes a file of the inventory with `slots` for its service.
    pub fn file(&self, slots: u32) -> PathBuf {
        let text = format!(
            "[region sierra]\n[domain ambato]\nregion = sierra\n\
             [service boletas]\nslots = {slots}\nconnections = 110\n\
             [caller patio]\nservices = boletas\n"
        );
        let file = self.folder.path().join(format!("mesh-{slots}.ini"));
        std::fs::write(&file, text).expect("a file");
        file
    }

    /// Runs the command with the address of the platform.
    pub fn run(&self, arguments: &[&str]) -> Run {
        let mut command = Command::new(COMMAND);
        command.args(arguments);
        command.arg("--platform").arg(self.address.to_string());
        Run::new(command.output().expect("the command starts"))
    }

    /// Accepts a file with `slots`, waiting at most 300 ms for each request.
    pub fn accept(&self, base: u64, slots: u32, more: &[&str]) -> Run {
        let file = self.file(slots);
        let base = base.to_string();
        let mut arguments = vec!["accept", "--timeout-ms", "300", "--base", &base];
        arguments.extend(more);
        arguments.push(file.to_str().expect("a path in UTF-8"));
        self.run(&arguments)
    }
}

/// What a run of the command printed and returned.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub output: String,
    pub errors: String,
}

impl Run {
    fn new(output: Output) -> Self {
        Self {
            code: output.status.code().expect("an exit code"),
            output: String::from_utf8(output.stdout).expect("text"),
            errors: String::from_utf8(output.stderr).expect("text"),
        }
    }
}

/// Returns the path of a program that the workspace builds.
fn program(name: &str) -> PathBuf {
    let folder = Path::new(COMMAND).parent().expect("a folder");
    folder.join(name)
}
