//! A platform process and runs of the operators' command against it.

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

/// A process of the platform stand-in, stopped on drop.
#[derive(Debug)]
pub struct Platform {
    pub address: SocketAddr,
    pub folder: tempfile::TempDir,
    pool: Pool,
    _process: Process,
}

impl Platform {
    /// Starts the process on a free port of the address 127.30.`host`.1.
    pub async fn start(host: u8) -> Self {
        let listener = TcpListener::bind(format!("127.30.{host}.1:0")).expect("a port is free");
        let address = listener.local_addr().expect("the socket is bound");
        drop(listener);
        let folder = tempfile::tempdir().expect("a temporary folder can be created");
        let settings = format!("[listen]\naddress = {address}\n");
        let program = program_path("lentilshunt-platform");
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

    /// Sets the faults that the platform injects, changed from none by `change`.
    pub async fn fault(&self, change: impl FnOnce(&mut Fault)) {
        let mut fault = Fault {
            down: false,
            objects_down: false,
            delay_ms: 0,
            lose_replies: 0,
            lose_requests: 0,
        };
        change(&mut fault);
        let body = rmp_serde::to_vec_named(&fault).expect("the faults can be encoded");
        let mut request = Request::new(Bytes::from(body));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = "/admin/fault".parse().expect("the path is a valid URI");
        let exchange = Exchange {
            address: self.address,
            deadline: Instant::now() + START_TIMEOUT,
            max_body_bytes: 1024,
        };
        let response = self.pool.exchange(exchange, request).await;
        assert!(response.expect("a response").status().is_success());
    }

    /// Writes an inventory file whose service has `slots`.
    pub fn file(&self, slots: u32) -> PathBuf {
        let text = format!(
            "[region sierra]\n[domain ambato]\nregion = sierra\n\
             [service boletas]\nslots = {slots}\nconnections = 110\n\
             [caller patio]\nservices = boletas\n"
        );
        let file = self.folder.path().join(format!("mesh-{slots}.ini"));
        std::fs::write(&file, text).expect("the file can be written");
        file
    }

    /// Runs the command with the address of the platform.
    pub fn run(&self, arguments: &[&str]) -> Run {
        let mut command = Command::new(COMMAND);
        command.args(arguments);
        command.arg("--platform").arg(self.address.to_string());
        Run::new(command.output().expect("the command starts"))
    }

    /// Accepts an inventory with `slots`, with a timeout of 300 ms for each request.
    pub fn accept(&self, base: u64, slots: u32, options: &[&str]) -> Run {
        let file = self.file(slots);
        let base = base.to_string();
        let mut arguments = vec!["accept", "--timeout-ms", "300", "--base", &base];
        arguments.extend(options);
        arguments.push(file.to_str().expect("the path is UTF-8"));
        self.run(&arguments)
    }
}

/// Exit code and output of one run of the command.
#[derive(Debug)]
pub struct Run {
    pub code: i32,
    pub output: String,
    pub errors: String,
}

impl Run {
    fn new(output: Output) -> Self {
        Self {
            code: output.status.code().expect("no signal ended the command"),
            output: String::from_utf8(output.stdout).expect("the output is UTF-8"),
            errors: String::from_utf8(output.stderr).expect("the output is UTF-8"),
        }
    }
}

/// Returns the path of a program that is built with the workspace.
fn program_path(name: &str) -> PathBuf {
    let folder = Path::new(COMMAND)
        .parent()
        .expect("the command is in a folder");
    folder.join(name)
}
