//! Connections that let other tasks run.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    task::{Context, Poll},
};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};

/// Number of bytes after which a connection lets other tasks run.
const MAX_BYTES_AT_ONCE: usize = 16 * 1024;

/// A connection that lets other tasks run after each [`MAX_BYTES_AT_ONCE`] that it has read.
///
/// A peer may send bytes without end of which a parser passes nothing on. The runtime counts reads
/// and not bytes, so that the task would go on for a long time, in which no timer expires.
#[derive(Debug)]
pub(super) struct Yielding<S> {
    stream: S,
    /// Bytes that were read since the task was last suspended by a read.
    read: usize,
}

impl<S> Yielding<S> {
    pub(super) fn new(stream: S) -> Self {
        Self { stream, read: 0 }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for Yielding<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        if self.read >= MAX_BYTES_AT_ONCE {
            self.read = 0;
            cx.waker().wake_by_ref();
            return Poll::Pending;
        }
        let length = buf.remaining().min(MAX_BYTES_AT_ONCE - self.read);
        let mut part = ReadBuf::new(buf.initialize_unfilled_to(length));
        let Poll::Ready(result) = Pin::new(&mut self.stream).poll_read(cx, &mut part) else {
            self.read = 0;
            return Poll::Pending;
        };
        let read = part.filled().len();
        buf.advance(read);
        self.read += read;
        Poll::Ready(result)
    }
}

impl<S: AsyncWrite + Unpin> AsyncWrite for Yielding<S> {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
