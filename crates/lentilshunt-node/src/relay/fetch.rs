//! Requests whose response is read completely.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::{Request, Response, StatusCode};
use snafu::{OptionExt, ResultExt, Snafu};
use tokio::time::timeout_at;

use super::{Failure, Pool, body::Body};

/// Time limit for the next frame of a response body.
///
/// A long response may be slow on a narrow link as long as it makes progress; a
/// lost packet is retransmitted after 200 ms and 600 ms.
const FRAME_TIMEOUT: Duration = Duration::from_secs(1);

/// Failure to read a complete response.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The response did not begin in time.
    #[snafu(display("response did not begin in time"))]
    Timeout,
    /// The exchange failed before the response began.
    #[snafu(display("{source}"))]
    Exchange {
        /// Failure of the exchange.
        source: Failure,
    },
    /// No further data of the response arrived in time.
    #[snafu(display("response stalled after {read} bytes"))]
    Stalled {
        /// Number of bytes read before.
        read: usize,
    },
    /// The connection failed before the end of the response.
    #[snafu(display("connection failed after {read} bytes of the response"))]
    Interrupted {
        /// Number of bytes read before.
        read: usize,
    },
    /// The response is longer than the limit.
    #[snafu(display("response has more than {limit} bytes"))]
    TooLong {
        /// Maximum length, in bytes.
        limit: usize,
    },
    /// The response has a status other than 200.
    #[snafu(display("response has status {status}"))]
    Status {
        /// Status of the response.
        status: StatusCode,
    },
}

impl Pool {
    /// Sends a request and returns a response with status 200, read completely.
    ///
    /// The response must begin by `response_deadline`. Its body of up to `max_body_bytes` may
    /// take any time as long as data keeps arriving.
    ///
    /// # Errors
    ///
    /// Returns an error if the response is missing, incomplete or too long, or
    /// has another status.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        response_deadline: Instant,
        max_body_bytes: usize,
    ) -> Result<Response<Bytes>, Error> {
        let sent = timeout_at(response_deadline.into(), self.send(address, request)).await;
        let response: Response<Body> = sent.ok().context(TimeoutSnafu)?.context(ExchangeSnafu)?;
        let status = response.status();
        if status != StatusCode::OK {
            return StatusSnafu { status }.fail();
        }
        let (parts, mut body) = response.into_parts();
        let mut buffer = BytesMut::new();
        loop {
            let read = buffer.len();
            let frame_by = Instant::now() + FRAME_TIMEOUT;
            let frame = timeout_at(frame_by.into(), body.frame()).await;
            match frame.ok().context(StalledSnafu { read })? {
                None => return Ok(Response::from_parts(parts, buffer.freeze())),
                Some(Err(_broken)) => return InterruptedSnafu { read }.fail(),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        buffer.extend_from_slice(&data);
                    }
                }
            }
            if buffer.len() > max_body_bytes {
                return TooLongSnafu {
                    limit: max_body_bytes,
                }
                .fail();
            }
        }
    }
}
