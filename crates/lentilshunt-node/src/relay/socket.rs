//! Connections to servers that may read a long body late.

use std::{
    io::{self, IoSlice},
    pin::Pin,
    sync::{
        Arc,
        atomic::{AtomicBool, Ordering},
    },
    task::{Context, Poll},
    time::Duration,
};

use socket2::SockRef;
use tokio::{
    io::{AsyncRead, AsyncWrite, ReadBuf},
    net::TcpStream,
};

/// Time without a TCP acknowledgement after which a connection is closed (`TCP_USER_TIMEOUT`).
///
/// A lost packet is retransmitted after 200 ms, 600 ms and 1.4 s.
pub(super) const TCP_USER_TIMEOUT: Duration = Duration::from_secs(2);

/// A connection that is closed if the server acknowledges nothing, unless a long body is sent.
///
/// The operating system also closes a connection whose server acknowledges all and does not read, so
/// that its receive window stays closed. A server may be at work on a request before it reads the rest
/// of a long body, so the deadline of the request ends that wait.
#[derive(Debug)]
pub(super) struct Socket {
    stream: TcpStream,
    /// Whether the body of the request in flight is a long one.
    sends_long_body: Arc<AtomicBool>,
    /// Whether the time limit is off.
    is_unlimited: bool,
}

impl Socket {
    /// Creates a connection from a stream with the time limit set.
    ///
    /// `sends_long_body` is set before a request is sent.
    pub(super) fn new(stream: TcpStream, sends_long_body: Arc<AtomicBool>) -> Self {
        Self {
            stream,
            sends_long_body,
            is_unlimited: false,
        }
    }

    /// Sets the time limit for what is written next.
    fn update_limit(&mut self) -> io::Result<()> {
        let is_unlimited = self.sends_long_body.load(Ordering::Relaxed);
        if is_unlimited != self.is_unlimited {
            let limit = (!is_unlimited).then_some(TCP_USER_TIMEOUT);
            SockRef::from(&self.stream).set_tcp_user_timeout(limit)?;
            self.is_unlimited = is_unlimited;
        }
        Ok(())
    }
}

impl AsyncRead for Socket {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Socket {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        self.update_limit()?;
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        self.update_limit()?;
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
