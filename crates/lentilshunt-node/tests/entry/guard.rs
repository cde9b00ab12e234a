//! What an executing node refuses on the word of another node.

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
use lentilshunt_node::entry::Guard;
use tokio_util::sync::CancellationToken;

use super::fixture::{answer, context};

const RAN: (Verdict, Option<Reason>) = (Verdict::Ran, None);
const REFUSED: (Verdict, Option<Reason>) = (Verdict::NotRun, Some(Reason::Quarantined));
const LOST: (Verdict, Option<Reason>) = (Verdict::MayHaveRun, Some(Reason::UpstreamLost));

/// An executing node whose upstream answers all paths but one, which crashes it.
#[derive(Debug)]
struct Inner;

impl Handler for Inner {
    fn handle(&self, request: Request<Incoming>) -> BoxFuture<'_, Response<Full<Bytes>>> {
        let crashes = request.uri().path().ends_with("/crash");
        let reply = if crashes {
            Reply::unknown(Reason::UpstreamLost)
        } else {
            answer()
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
    /// Starts the guard of an instance in a fleet of `count` others.
    async fn new(count: usize) -> Self {
        let suspects = Arc::new(Suspects::new(Instant::now()));
        let guard = Guard::new(context(count, "own"), Arc::clone(&suspects), Inner);
        let address = (Ipv4Addr::new(127, 50, 0, 3), 0).into();
        let server = Server::bind(address, Arc::new(guard))
            .await
            .expect("a free port");
        let address = server.address().expect("an address");
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
        let answer = self.pool.exchange(exchange, request).await;
        answer.expect("an answer")
    }

    async fn call(&self, path: &str, fingerprint: u128) -> (Verdict, Option<Reason>) {
        let request = Request::builder()
            .uri(format!("/.lentilshunt/call{path}"))
            .header(Header::SERVICE, "s")
            .header("lentilshunt-fingerprint", format!("{fingerprint:x}"))
            .body(Bytes::new())
            .expect("a valid request");
        let reply = read_reply(self.send(request).await).expect("a reply");
        (reply.verdict, reply.reason)
    }

    async fn tell(&self, request: u128, instances: &[&str]) {
        let suspicions: Vec<_> = instances
            .iter()
            .map(|instance| Suspicion {
                request,
                instance: (*instance).to_owned(),
                repeat: 0,
            })
            .collect();
        let mut notice = Request::new(Bytes::from(encode(&suspicions)));
        *notice.method_mut() = Method::POST;
        *notice.uri_mut() = "/.lentilshunt/suspicions".parse().expect("a path");
        assert!(self.send(notice).await.status().is_success());
    }
}

#[tokio::test]
async fn handle_quarantined() {
    let fixture = Fixture::new(6).await;
    assert_eq!(fixture.call("/a", 1).await, RAN);
    fixture.tell(2, &["i1", "i2"]).await;
    assert_eq!(fixture.call("/b", 2).await, REFUSED);
    assert_eq!(fixture.call("/a", 1).await, RAN);
}

/// A suspect runs on one further upstream only, and the own instance has none.
#[tokio::test]
async fn handle_suspect() {
    let fixture = Fixture::new(6).await;
    fixture.tell(3, &["i1"]).await;
    assert_eq!(fixture.call("/c", 3).await, REFUSED);
}

/// A notice about a request that was answered here lately is no reason to refuse it.
#[tokio::test]
async fn handle_answered_lately() {
    let fixture = Fixture::new(6).await;
    assert_eq!(fixture.call("/a", 1).await, RAN);
    fixture.tell(1, &["i1", "i2"]).await;
    assert_eq!(fixture.call("/a", 1).await, RAN);
}

#[tokio::test]
async fn handle_lost() {
    let fixture = Fixture::new(6).await;
    assert_eq!(fixture.call("/crash", 4).await, LOST);
    let admittance = fixture.suspects.status(4, Instant::now());
    assert_eq!(admittance, QuarantineStatus::Suspect);
}
