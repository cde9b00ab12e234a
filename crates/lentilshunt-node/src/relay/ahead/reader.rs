//! Reads from a client ahead of hyper.

use std::{future::poll_fn, sync::Arc};

use tokio::{
    io::AsyncReadExt,
    net::{TcpStream, tcp::OwnedReadHalf},
};

use super::{Queue, Scanner, Stream, buffer::Buffer};

/// Number of bytes that are read at once.
const READ_BYTES: usize = 4 * 1024;

/// Reads from a client ahead of hyper, and shows what it reads to the queue.
#[derive(Debug)]
pub(in crate::relay) struct Reader {
    read: OwnedReadHalf,
    buffer: Arc<Buffer>,
    scanner: Scanner,
    queue: Arc<Queue>,
}

impl Reader {
    /// Splits a connection into the reader and the stream for hyper.
    pub(in crate::relay) fn split(
        stream: TcpStream,
        max_head_bytes: usize,
        queue: Arc<Queue>,
    ) -> (Self, Stream) {
        let (read, write) = stream.into_split();
        let buffer = Arc::<Buffer>::default();
        let reader = Self {
            read,
            buffer: Arc::clone(&buffer),
            scanner: Scanner::new(max_head_bytes),
            queue,
        };
        (reader, Stream::new(buffer, write))
    }

    /// Reads until the client has left while a request of it is not answered.
    ///
    /// If none is, it leaves the end of the connection to hyper and does not complete.
    pub(in crate::relay) async fn run(mut self) {
        let mut bytes = [0; READ_BYTES];
        loop {
            poll_fn(|cx| self.buffer.poll_room(cx)).await;
            let count = match self.read.read(&mut bytes).await {
                Ok(0) | Err(_) => break,
                Ok(count) => count,
            };
            self.scanner.push(&bytes[..count]);
            while let Some(scanned) = self.scanner.next_request() {
                self.queue.push(scanned);
            }
            self.buffer.push(&bytes[..count]);
        }
        if self.queue.is_answered() {
            self.buffer.end();
            std::future::pending::<()>().await;
        }
    }
}
