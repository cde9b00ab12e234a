//! Answers of other processes that are read whole.

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

/// Longest wait for the next piece of an answer whose head has arrived.
///
/// A long answer may take its time on a narrow link as long as it moves; a lost
/// packet is sent again after 200 ms and 600 ms.
const PIECE_TIME: Duration = Duration::from_secs(1);

/// Failure to get a whole answer.
#[derive(Debug, Snafu)]
pub enum Error {
    /// The answer did not begin in time.
    #[snafu(display("no answer in time"))]
    Silent,
    /// The exchange failed before the answer began.
    #[snafu(display("{source}"))]
    Failed {
        /// What failed.
        source: Failure,
    },
    /// The answer stopped before its end.
    #[snafu(display("the answer stopped after {read} bytes"))]
    Stalled {
        /// Bytes that had arrived.
        read: usize,
    },
    /// The answer broke off.
    #[snafu(display("the answer broke off after {read} bytes"))]
    Broken {
        /// Bytes that had arrived.
        read: usize,
    },
    /// The answer is longer than the caller takes.
    #[snafu(display("the answer has more than {limit} bytes"))]
    TooLong {
        /// Bytes that the caller takes.
        limit: usize,
    },
    /// The server answered with another status than 200.
    #[snafu(display("the answer has status {status}"))]
    Refused {
        /// Status of the answer.
        status: StatusCode,
    },
}

impl Pool {
    /// Sends a request and returns the body of an answer with status 200.
    ///
    /// The answer must begin by `begin_by`; then it may take as long as its
    /// pieces keep arriving, up to `limit` bytes.
    ///
    /// # Errors
    ///
    /// Returns an error when the answer is missing, broken, too long or has
    /// another status.
    pub async fn fetch(
        &self,
        address: SocketAddr,
        request: Request<Body>,
        begin_by: Instant,
        limit: usize,
    ) -> Result<Bytes, Error> {
        let sent = timeout_at(begin_by.into(), self.send(address, request)).await;
        let response: Response<Body> = sent.ok().context(SilentSnafu)?.context(FailedSnafu)?;
        let status = response.status();
        if status != StatusCode::OK {
            return RefusedSnafu { status }.fail();
        }
        let mut body = response.into_body();
        let mut held = BytesMut::new();
        loop {
            let read = held.len();
            let piece_by = Instant::now() + PIECE_TIME;
            let frame = timeout_at(piece_by.into(), body.frame()).await;
            match frame.ok().context(StalledSnafu { read })? {
                None => return Ok(held.freeze()),
                Some(Err(_broken)) => return BrokenSnafu { read }.fail(),
                Some(Ok(frame)) => {
                    if let Ok(data) = frame.into_data() {
                        held.extend_from_slice(&data);
                    }
                }
            }
            if held.len() > limit {
                return TooLongSnafu { limit }.fail();
            }
        }
    }
}
