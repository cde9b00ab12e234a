//! Bytes that have arrived and that hyper has not read.

use std::{
    io,
    pin::Pin,
    sync::{Arc, Mutex},
    task::{Context, Poll, Waker},
};

use bytes::{Buf, BytesMut};
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::tcp::OwnedWriteHalf,
};

use crate::executor::lock;

/// Maximum number of bytes that are read before hyper has read them.
const MAX_BUFFERED_BYTES: usize = 64 * 1024;

/// Bytes that have arrived and that hyper has not read.
#[derive(Debug, Default)]
pub(super) struct Buffer(Mutex<State>);

#[derive(Debug, Default)]
struct State {
    bytes: BytesMut,
    has_ended: bool,
    /// Wakes hyper when bytes arrive.
    reader: Option<Waker>,
    /// Wakes the task that reads from the client when there is room again.
    writer: Option<Waker>,
}

/// The connection as hyper sees it.
#[derive(Debug)]
pub(in crate::relay) struct Stream {
    buffer: Arc<Buffer>,
    write: OwnedWriteHalf,
}

impl Buffer {
    /// Adds bytes that have arrived.
    pub(super) fn push(&self, bytes: &[u8]) {
        let mut state = lock(&self.0);
        state.bytes.extend_from_slice(bytes);
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }

    /// Records that the client sends nothing more.
    pub(super) fn end(&self) {
        let mut state = lock(&self.0);
        state.has_ended = true;
        if let Some(reader) = state.reader.take() {
            reader.wake();
        }
    }

    /// Waits until there is room for further bytes.
    pub(super) fn poll_room(&self, cx: &Context<'_>) -> Poll<()> {
        let mut state = lock(&self.0);
        if state.bytes.len() < MAX_BUFFERED_BYTES {
            return Poll::Ready(());
        }
        state.writer = Some(cx.waker().clone());
        Poll::Pending
    }
}

impl Stream {
    pub(super) fn new(buffer: Arc<Buffer>, write: OwnedWriteHalf) -> Self {
        Self { buffer, write }
    }
}

impl AsyncRead for Stream {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let mut state = lock(&self.buffer.0);
        if state.bytes.is_empty() {
            if state.has_ended {
                return Poll::Ready(Ok(()));
            }
            state.reader = Some(cx.waker().clone());
            return Poll::Pending;
        }
        let count = state.bytes.len().min(buf.remaining());
        buf.put_slice(&state.bytes[..count]);
        state.bytes.advance(count);
        if let Some(writer) = state.writer.take() {
            writer.wake();
        }
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for Stream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.write).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.write.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.write).poll_shutdown(cx)
    }
}
