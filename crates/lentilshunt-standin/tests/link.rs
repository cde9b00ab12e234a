//! Tests of the link stand-in with connections between two failure domains.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lentilshunt_schema::platform::{Direction, Forward, LinkMode, Links, Source};
use lentilshunt_standin::link::Topology;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};

/// Timeout for a few bytes over an open link, also on a busy machine.
const RESPONSE_TIMEOUT: Duration = Duration::from_secs(5);
/// Time for which a cut link must deliver nothing.
const SILENCE_TIME: Duration = Duration::from_millis(200);

/// An echo server in failure domain `b`, reached through a link.
struct EchoLink {
    topology: Arc<Topology>,
    link: SocketAddr,
}

impl EchoLink {
    async fn start() -> Self {
        let server = TcpListener::bind("127.88.1.1:0")
            .await
            .expect("should bind a port");
        let target = server.local_addr().expect("should have a valid address");
        tokio::spawn(echo(server));
        let free_listener = TcpListener::bind("127.88.2.1:0")
            .await
            .expect("should bind a port");
        let link = free_listener
            .local_addr()
            .expect("should have a valid address");
        drop(free_listener);
        let topology = Arc::new(Topology::default());
        let added = topology.add_links(&Links {
            forwards: vec![Forward {
                listen: link.to_string(),
                target: target.to_string(),
                domain: "b".to_owned(),
            }],
            sources: vec![Source {
                ip: "127.88.3.1".to_owned(),
                domain: "a".to_owned(),
            }],
        });
        assert_eq!(added, Some(()));
        Self { topology, link }
    }

    fn set_direction(&self, from: &str, to: &str, cut: LinkMode, delay_us: u64, silence: bool) {
        self.topology.set_direction(&Direction {
            from: from.to_owned(),
            to: to.to_owned(),
            delay_us,
            cut,
            silence,
        });
    }

    /// Connects from failure domain `a`, waiting until the link listens.
    async fn connect(&self) -> TcpStream {
        loop {
            let socket = TcpSocket::new_v4().expect("should create a socket");
            socket
                .bind("127.88.3.1:0".parse().expect("should have a valid address"))
                .expect("should bind a port");
            if let Ok(stream) = socket.connect(self.link).await {
                return stream;
            }
            sleep(Duration::from_millis(10)).await;
        }
    }
}

async fn echo(server: TcpListener) {
    while let Ok((mut stream, _peer)) = server.accept().await {
        tokio::spawn(async move {
            let (mut reader, mut writer) = stream.split();
            drop(tokio::io::copy(&mut reader, &mut writer).await);
        });
    }
}

/// Sends a byte and returns how many bytes come back, or `None` on timeout.
async fn echo_byte(stream: &mut TcpStream, limit: Duration) -> Option<usize> {
    let exchange = async {
        stream.write_all(b"x").await?;
        stream.read(&mut [0; 8]).await
    };
    let length = timeout(limit, exchange).await.ok()?;
    Some(length.unwrap_or(0))
}

#[tokio::test]
async fn relay_delay() {
    let link = EchoLink::start().await;
    link.set_direction("a", "b", LinkMode::Open, 100_000, false);
    link.set_direction("b", "a", LinkMode::Open, 50_000, false);
    let mut stream = link.connect().await;
    let started_at = Instant::now();
    assert_eq!(echo_byte(&mut stream, RESPONSE_TIMEOUT).await, Some(1));
    assert!(started_at.elapsed() >= Duration::from_millis(150));
}

#[tokio::test]
async fn relay_blackhole() {
    for (from, to) in [("a", "b"), ("b", "a")] {
        let link = EchoLink::start().await;
        let mut stream = link.connect().await;
        assert_eq!(echo_byte(&mut stream, RESPONSE_TIMEOUT).await, Some(1));
        link.set_direction(from, to, LinkMode::Blackhole, 0, false);
        assert_eq!(echo_byte(&mut stream, SILENCE_TIME).await, None);
        assert_eq!(
            echo_byte(&mut link.connect().await, SILENCE_TIME).await,
            None
        );
        link.set_direction(from, to, LinkMode::Open, 0, false);
        assert_eq!(
            echo_byte(&mut link.connect().await, RESPONSE_TIMEOUT).await,
            Some(1)
        );
    }
}

#[tokio::test]
async fn relay_refuse() {
    let link = EchoLink::start().await;
    let mut stream = link.connect().await;
    assert_eq!(echo_byte(&mut stream, RESPONSE_TIMEOUT).await, Some(1));
    link.set_direction("b", "a", LinkMode::Refuse, 0, false);
    let mut other = link.connect().await;
    for stream in [&mut stream, &mut other] {
        let closed = timeout(RESPONSE_TIMEOUT, stream.read(&mut [0; 8])).await;
        assert!(matches!(closed, Ok(Ok(0) | Err(_))));
    }
}

#[tokio::test]
async fn relay_silence() {
    let link = EchoLink::start().await;
    let mut stream = link.connect().await;
    assert_eq!(echo_byte(&mut stream, RESPONSE_TIMEOUT).await, Some(1));
    link.set_direction("b", "a", LinkMode::Open, 0, true);
    assert_eq!(echo_byte(&mut stream, SILENCE_TIME).await, None);
    assert_eq!(
        echo_byte(&mut link.connect().await, RESPONSE_TIMEOUT).await,
        Some(1)
    );
    assert_eq!(echo_byte(&mut stream, SILENCE_TIME).await, None);
}
