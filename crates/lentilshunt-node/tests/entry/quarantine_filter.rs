//! Tests of requests that an executing node refuses because of suspicions of other nodes.

use std::{
    net::{Ipv4Addr, SocketAddr},
    sync::Arc,
    time::{Duration, Instant},
};

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Method, Request, Response, body::Incoming};
use lentilshunt_core::{
    quarantine::{QuarantineStatus, Suspects, Suspicion, encode},
    verdict::{Reason, Verdict},
};
use lentilshunt_net::{
    BoxFuture,
    call::{Header, Reply, read_reply, write_reply},
    http::{Exchange, Handler, Pool, Server, Shutdown},
};
use lentilshunt_node::entry::QuarantineFilter;
use tokio_util::sync::CancellationToken;

use super::fixture::{context, response};

const RAN: (Verdict, Option<Reason>) = (Verdict::Ran, None);
const REFUSED: (Verdict, Option<Reason>) = (Verdict::NotRun, Some(Reason::Quarantined));
const LOST: (Verdict, Option<Reason>) = (Verdict::MayHaveRun, Some(Reason::UpstreamLost));

/// Handler of an executing node whose upstream crashes on one path.
#[derive(Debug)]
struct CrashingHandler;

impl Handler for CrashingHandler {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        let is_crash = request.uri().path().ends_with("/crash");
        let reply = if is_crash {
            Reply::unknown(Reason::UpstreamLost)
        } else {
            response()
        };
        Box::pin(std::future::ready(write_reply(reply).map(Full::new)))
    }
}

struct Fixture {
    address: SocketAddr,
    suspects: Arc<Suspects>,
    pool: Pool,
}

impl Fixture {
    /// Starts the filter of an instance, with `count` other instances.
    async fn new(count: usize) -> Self {
        let suspects = Arc::new(Suspects::new(Instant::now()));
        let filter = QuarantineFilter::new(
            context(count, "local"),
            Arc::clone(&suspects),
            CrashingHandler,
        );
        let address = (Ipv4Addr::new(127, 50, 0, 3), 0).into();
        let server = Server::bind(address, Arc::new(filter))
            .await
            .expect("failed to bind to a free port");
        let address = server.address().expect("no local address");
        tokio::spawn(server.run(Shutdown::at_once(CancellationToken::new())));
        Self {
            address,
            suspects,
            pool: Pool::default(),
        }
    }

    async fn send(&self, request: Request<Bytes>) -> Response<Bytes> {
        let exchange = Exchange {
            address: self.address,
            deadline: Instant::now() + Duration::from_secs(10),
            max_body_bytes: 1024,
        };
        let response = self.pool.exchange(exchange, request).await;
        response.expect("no response")
    }

    async fn call(&self, path: &str, fingerprint: u128) -> (Verdict, Option<Reason>) {
        let request = Request::builder()
            .uri(format!("/.lentilshunt/call{path}"))
            .header(Header::SERVICE, "s")
            .header("lentilshunt-fingerprint", format!("{fingerprint:x}"))
            .body(Bytes::new())
            .expect("invalid request");
        let reply = read_reply(self.send(request).await).expect("no reply");
        (reply.verdict, reply.reason)
    }

    async fn report_suspicions(&self, fingerprint: u128, instances: &[&str]) {
        let suspicions: Vec<_> = instances
            .iter()
            .map(|instance| Suspicion {
                request: fingerprint,
                instance: (*instance).to_owned(),
                repeat: 0,
            })
            .collect();
        let mut request = Request::new(Bytes::from(encode(&suspicions)));
        *request.method_mut() = Method::POST;
        *request.uri_mut() = "/.lentilshunt/suspicions".parse().expect("invalid path");
        assert!(self.send(request).await.status().is_success());
    }
}

#[tokio::test]
async fn handle_quarantined() {
    let fixture = Fixture::new(6).await;
    assert_eq!(fixture.call("/a", 1).await, RAN);
    fixture.report_suspicions(2, &["i1", "i2"]).await;
    assert_eq!(fixture.call("/b", 2).await, REFUSED);
    assert_eq!(fixture.call("/a", 1).await, RAN);
}

/// A suspected request runs on one further upstream only, and this
/// instance has no endpoint, so it refuses the request.
#[tokio::test]
async fn handle_suspected() {
    let fixture = Fixture::new(6).await;
    fixture.report_suspicions(3, &["i1"]).await;
    assert_eq!(fixture.call("/c", 3).await, REFUSED);
}

/// A request that has run here recently is not refused because of later suspicions.
#[tokio::test]
async fn handle_suspicion_after_response() {
    let fixture = Fixture::new(6).await;
    assert_eq!(fixture.call("/a", 1).await, RAN);
    fixture.report_suspicions(1, &["i1", "i2"]).await;
    assert_eq!(fixture.call("/a", 1).await, RAN);
}

/// A request that was lost with the upstream becomes a suspect on its node.
#[tokio::test]
async fn handle_lost_upstream() {
    let fixture = Fixture::new(6).await;
    assert_eq!(fixture.call("/crash", 4).await, LOST);
    let status = fixture.suspects.status(4, Instant::now());
    assert_eq!(status, QuarantineStatus::Suspect);
}
