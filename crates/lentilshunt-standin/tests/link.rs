//! What the link stand-in does to connections between two failure domains.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use lentilshunt_schema::platform::{Direction, Forward, LinkMode, Links, Source};
use lentilshunt_standin::link::Topology;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpSocket, TcpStream},
    time::{Instant, sleep, timeout},
};

/// Time within which an open link carries a few bytes, also on a busy machine.
const PATIENCE: Duration = Duration::from_secs(5);
/// Time for which a cut link is watched.
const WATCH: Duration = Duration::from_millis(200);

/// A server that sends back what it gets, behind a link from `a` to `b`.
struct Bench {
    topology: Arc<Topology>,
    link: SocketAddr,
}

impl Bench {
    async fn start() -> Self {
        let server = TcpListener::bind("127.88.1.1:0").await.expect("a port");
        let target = server.local_addr().expect("an address");
        tokio::spawn(echo(server));
        let free = TcpListener::bind("127.88.2.1:0").await.expect("a port");
        let link = free.local_addr().expect("an address");
        drop(free);
        let topology = Arc::new(Topology::default());
        let added = topology.add(&Links {
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

    fn set(&self, from: &str, to: &str, cut: LinkMode, delay_us: u64, silence: bool) {
        self.topology.set(&Direction {
            from: from.to_owned(),
            to: to.to_owned(),
            delay_us,
            cut,
            silence,
        });
    }

    /// Connects from failure domain `a`, once the link listens.
    async fn connect(&self) -> TcpStream {
        loop {
            let socket = TcpSocket::new_v4().expect("a socket");
            socket
                .bind("127.88.3.1:0".parse().expect("an address"))
                .expect("a port");
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

/// Sends a byte and returns how many come back within a time; none for silence.
async fn ask(stream: &mut TcpStream, time: Duration) -> Option<usize> {
    let exchange = async {
        stream.write_all(b"x").await?;
        stream.read(&mut [0; 8]).await
    };
    let answer = timeout(time, exchange).await.ok()?;
    Some(answer.unwrap_or(0))
}

#[tokio::test]
async fn relay_delay() {
    let bench = Bench::start().await;
    bench.set("a", "b", LinkMode::Open, 100_000, false);
    bench.set("b", "a", LinkMode::Open, 50_000, false);
    let mut stream = bench.connect().await;
    let begun_at = Instant::now();
    assert_eq!(ask(&mut stream, PATIENCE).await, Some(1));
    assert!(begun_at.elapsed() >= Duration::from_millis(150));
}

#[tokio::test]
async fn relay_blackhole() {
    for (from, to) in [("a", "b"), ("b", "a")] {
        let bench = Bench::start().await;
        let mut stream = bench.connect().await;
        assert_eq!(ask(&mut stream, PATIENCE).await, Some(1));
        bench.set(from, to, LinkMode::Blackhole, 0, false);
        assert_eq!(ask(&mut stream, WATCH).await, None);
        assert_eq!(ask(&mut bench.connect().await, WATCH).await, None);
        bench.set(from, to, LinkMode::Open, 0, false);
        assert_eq!(ask(&mut bench.connect().await, PATIENCE).await, Some(1));
    }
}

#[tokio::test]
async fn relay_refuse() {
    let bench = Bench::start().await;
    let mut stream = bench.connect().await;
    assert_eq!(ask(&mut stream, PATIENCE).await, Some(1));
    bench.set("b", "a", LinkMode::Refuse, 0, false);
    let mut other = bench.connect().await;
    for stream in [&mut stream, &mut other] {
        let closed = timeout(PATIENCE, stream.read(&mut [0; 8])).await;
        assert!(matches!(closed, Ok(Ok(0) | Err(_))));
    }
}

#[tokio::test]
async fn relay_silence() {
    let bench = Bench::start().await;
    let mut stream = bench.connect().await;
    assert_eq!(ask(&mut stream, PATIENCE).await, Some(1));
    bench.set("b", "a", LinkMode::Open, 0, true);
    assert_eq!(ask(&mut stream, WATCH).await, None);
    assert_eq!(ask(&mut bench.connect().await, PATIENCE).await, Some(1));
    assert_eq!(ask(&mut stream, WATCH).await, None);
}
