//! Sends the calls of a plan.

use std::{
    net::SocketAddr,
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Request, Response};
use lentilshunt_core::verdict::Verdict;
use lentilshunt_net::{
    call::Name,
    history::{Writer, event},
    http::{Error, Exchange, Pool},
};
use lentilshunt_schema::history::Kind;
use rand::{RngExt, SeedableRng, rngs::StdRng};
use tokio::task::JoinSet;

use super::{Plan, Target};

/// Longest wait of a caller.
const CALL_TIMEOUT: Duration = Duration::from_secs(12);
/// Largest answer, in bytes.
const ANSWER_LIMIT: usize = 1024 * 1024;

/// How one call ended.
#[derive(Clone, Debug)]
pub struct Outcome {
    /// Verdict of the answer, or none when there was no answer.
    pub verdict: Option<Verdict>,
    /// Whether the body was the answer to this call.
    pub is_own_answer: bool,
    /// Time from the planned instant of sending to the whole answer.
    pub latency: Duration,
}

/// Sends every call of a plan and waits for all outcomes.
pub async fn run(plan: Plan, history: Writer) -> Vec<Outcome> {
    let mut random = StdRng::seed_from_u64(plan.seed);
    let pool = Arc::new(Pool::default());
    let interval = Duration::from_secs_f64(1.0 / plan.rate);
    let mut due = Instant::now();
    let mut calls = JoinSet::new();
    let mut serial = 0_u64;
    while due < plan.ends_at {
        tokio::time::sleep_until(due.into()).await;
        let target =
            plan.targets[usize::try_from(serial).unwrap_or(0) % plan.targets.len()].clone();
        let node = plan.nodes[random.random_range(0..plan.nodes.len())];
        let call = Call {
            node,
            path: format!("{}/{}-{serial}", target.path, plan.seed),
            body: Bytes::from(format!("{:016x}", random.random::<u64>())),
            target,
            due,
        };
        calls.spawn(call.send(Arc::clone(&pool), history.clone()));
        serial += 1;
        due += interval;
    }
    calls.join_all().await
}

struct Call {
    node: SocketAddr,
    target: Target,
    path: String,
    body: Bytes,
    due: Instant,
}

impl Call {
    async fn send(self, pool: Arc<Pool>, history: Writer) -> Outcome {
        let expected = self.expected();
        let mut sent = event(Kind::Sent);
        sent.key = Some(self.path.clone());
        sent.service = Some(self.target.service.clone());
        sent.idempotent = Some(self.target.idempotent);
        sent.expected = Some(digest(&expected));
        history.write(sent.clone());
        let exchange = Exchange {
            address: self.node,
            deadline: Instant::now() + CALL_TIMEOUT,
            limit: ANSWER_LIMIT,
        };
        let answer = pool.exchange(exchange, self.request()).await;
        let outcome = Outcome {
            verdict: verdict(&answer),
            is_own_answer: answer
                .as_ref()
                .is_ok_and(|answer| *answer.body() == expected),
            latency: self.due.elapsed(),
        };
        let mut replied = sent;
        replied.at_us = lentilshunt_net::history::now_us();
        replied.kind = Kind::Replied;
        replied.verdict = outcome.verdict.map(|verdict| verdict.to_string());
        if let Ok(answer) = &answer {
            replied.status = Some(answer.status().as_u16());
            replied.digest = Some(digest(answer.body()));
            replied.detail = header(answer, Name::REASON);
        }
        history.write(replied);
        outcome
    }

    fn request(&self) -> Request<Bytes> {
        Request::builder()
            .method(self.target.method.clone())
            .uri(&self.path)
            .header(Name::SERVICE, &self.target.service)
            .header(Name::CALLER, &self.target.caller)
            .header(Name::KEY, &self.path)
            .body(self.body.clone())
            .expect("plans make valid requests")
    }

    /// Returns the answer that the upstream stand-in gives to this call.
    fn expected(&self) -> Bytes {
        let mut answer = format!("{} {}\n", self.target.method, self.path).into_bytes();
        answer.extend_from_slice(&self.body);
        Bytes::from(answer)
    }
}

fn verdict(answer: &Result<Response<Bytes>, Error>) -> Option<Verdict> {
    match answer {
        Ok(answer) => Verdict::from_header(&header(answer, Name::VERDICT)?),
        Err(error) if error.verdict() == Verdict::NotRun => Some(Verdict::NotRun),
        Err(_unknown) => None,
    }
}

fn header(answer: &Response<Bytes>, name: &str) -> Option<String> {
    let value = answer.headers().get(name)?;
    value.to_str().ok().map(ToOwned::to_owned)
}

fn digest(body: &[u8]) -> String {
    blake3::hash(body).to_hex().to_string()
}
