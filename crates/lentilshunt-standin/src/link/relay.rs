//! Relay of one connection.

use std::{io, net::SocketAddr, sync::Arc, time::Duration};

use bytes::{Bytes, BytesMut};
use lentilshunt_schema::platform::LinkMode;
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{
        TcpStream,
        tcp::{OwnedReadHalf, OwnedWriteHalf},
    },
    sync::{Notify, mpsc},
    time::{Instant, sleep, sleep_until},
};

use super::direction::Direction;

/// Time between checks of the mode of a direction.
const MODE_POLL_INTERVAL: Duration = Duration::from_millis(10);
/// Maximum number of buffered chunks in one direction of a connection.
const MAX_BUFFERED_CHUNKS: usize = 64;
/// Maximum size of a chunk.
const MAX_CHUNK_BYTES: usize = 64 * 1024;

/// One connection and the directions that it uses.
#[derive(Clone, Debug)]
pub(super) struct Relay {
    pub(super) serial: u64,
    pub(super) out: Arc<Direction>,
    pub(super) back: Arc<Direction>,
    /// Notified when the target refuses the connection.
    pub(super) refused: Arc<Notify>,
}

/// Bytes and the instant at which they are delivered; an empty chunk ends the stream.
#[derive(Debug)]
struct Chunk {
    bytes: Bytes,
    due_at: Instant,
}

/// Relays a connection until both sides have ended it, one fails, or it is cut.
pub(super) async fn relay(relay: Relay, client: TcpStream, target: SocketAddr) {
    if relay.is_refused() {
        return;
    }
    let Ok(server) = TcpStream::connect(target).await else {
        relay.refused.notify_one();
        return;
    };
    if client.set_nodelay(true).is_err() || server.set_nodelay(true).is_err() {
        return;
    }
    let (client_read, client_write) = client.into_split();
    let (server_read, server_write) = server.into_split();
    let out = forward_bytes(client_read, server_write, &relay.out, relay.serial);
    let back = forward_bytes(server_read, client_write, &relay.back, relay.serial);
    tokio::select! {
        _ended = async { tokio::try_join!(out, back) } => {}
        () = relay.wait_until_refused() => {}
    }
}

impl Relay {
    fn is_refused(&self) -> bool {
        self.out.mode() == LinkMode::Refuse || self.back.mode() == LinkMode::Refuse
    }

    async fn wait_until_refused(&self) {
        while !self.is_refused() {
            sleep(MODE_POLL_INTERVAL).await;
        }
    }
}

async fn forward_bytes(
    reader: OwnedReadHalf,
    writer: OwnedWriteHalf,
    direction: &Direction,
    serial: u64,
) -> io::Result<()> {
    let (chunks, received) = mpsc::channel(MAX_BUFFERED_CHUNKS);
    let reading = read_chunks(reader, chunks, direction);
    let writing = write_chunks(writer, received, direction, serial);
    tokio::try_join!(reading, writing).map(drop)
}

async fn read_chunks(
    mut reader: OwnedReadHalf,
    chunks: mpsc::Sender<Chunk>,
    direction: &Direction,
) -> io::Result<()> {
    loop {
        let mut buffer = BytesMut::with_capacity(MAX_CHUNK_BYTES);
        let length = reader.read_buf(&mut buffer).await?;
        let chunk = Chunk {
            bytes: buffer.freeze(),
            due_at: Instant::now() + direction.delay(),
        };
        if chunks.send(chunk).await.is_err() || length == 0 {
            return Ok(());
        }
    }
}

async fn write_chunks(
    mut writer: OwnedWriteHalf,
    mut received: mpsc::Receiver<Chunk>,
    direction: &Direction,
    serial: u64,
) -> io::Result<()> {
    while let Some(chunk) = received.recv().await {
        sleep_until(chunk.due_at).await;
        while direction.mode() == LinkMode::Blackhole || direction.is_silent(serial) {
            sleep(MODE_POLL_INTERVAL).await;
        }
        if chunk.bytes.is_empty() {
            return writer.shutdown().await;
        }
        writer.write_all(&chunk.bytes).await?;
    }
    Ok(())
}
