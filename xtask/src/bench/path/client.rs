//! Sends calls at a fixed rate, whether or not earlier ones have ended.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::Request;
use lentilshunt_net::{
    call::Header,
    http::{Exchange, Pool},
};
use rand::{RngExt, rngs::StdRng};
use tokio::task::JoinSet;

/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 1024 * 1024;
/// Longest pause before a caller sends a call again.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

/// One call.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where each attempt of the caller is sent.
    pub addresses: Vec<SocketAddr>,
    /// Service that is called.
    pub service: String,
    /// Caller that the call names.
    pub caller: String,
    /// Path, unique in the run.
    pub path: String,
    /// Body of the request.
    pub body: Bytes,
    /// Time that the caller gives each attempt.
    pub timeout: Duration,
}

/// How a call ended.
#[derive(Clone, Copy, Debug)]
pub struct Outcome {
    /// Index that the call was given.
    pub kind: usize,
    /// Whether the own answer arrived whole.
    pub is_answered: bool,
    /// Time from sending to the end.
    pub latency: Duration,
}

/// Sends calls at a rate for a time, and waits for all outcomes.
///
/// `next` makes the call of a serial number, with the index of its kind.
pub async fn run(
    rate: f64,
    duration: Duration,
    random: &mut StdRng,
    mut next: impl FnMut(u64, &mut StdRng) -> (usize, Call),
) -> Vec<Outcome> {
    let pool = Arc::new(Pool::default());
    let interval = Duration::from_secs_f64(1.0 / rate);
    let begun_at = Instant::now();
    let mut due = begun_at;
    let mut calls = JoinSet::new();
    let mut serial = 0;
    while due < begun_at + duration {
        tokio::time::sleep_until(due.into()).await;
        let (kind, call) = next(serial, random);
        let pause = RETRY_PAUSE.mul_f64(random.random());
        calls.spawn(call.send(kind, pause, Arc::clone(&pool)));
        serial += 1;
        due += interval;
    }
    calls.join_all().await
}

impl Call {
    async fn send(self, kind: usize, pause: Duration, pool: Arc<Pool>) -> Outcome {
        let sent_at = Instant::now();
        let expected = [format!("GET {}\n", self.path).as_bytes(), &self.body].concat();
        let mut is_answered = false;
        for (index, address) in self.addresses.iter().enumerate() {
            if index > 0 {
                tokio::time::sleep(pause).await;
            }
            let exchange = Exchange {
                address: *address,
                deadline: Instant::now() + self.timeout,
                max_body_bytes: ANSWER_LIMIT,
            };
            let answer = pool.exchange(exchange, self.request()).await;
            is_answered = answer.is_ok_and(|answer| *answer.body() == expected);
            if is_answered {
                break;
            }
        }
        Outcome {
            kind,
            is_answered,
            latency: sent_at.elapsed(),
        }
    }

    fn request(&self) -> Request<Bytes> {
        Request::builder()
            .uri(&self.path)
            .header(Header::SERVICE, &self.service)
            .header(Header::CALLER, &self.caller)
            .header(Header::DEADLINE, self.timeout.as_millis().to_string())
            .body(self.body.clone())
            .expect("the calls are valid")
    }
}
