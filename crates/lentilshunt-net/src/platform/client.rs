//! A client of the platform over HTTP.

use std::{
    net::SocketAddr,
    time::{Duration, Instant},
};

use bytes::Bytes;
use hyper::{Method, Request, Response, StatusCode};
use lentilshunt_schema::platform::{Outcome, Row, Scan, Transaction};
use serde::de::DeserializeOwned;
use snafu::{ResultExt, ensure};

use super::{
    Error, Store, Table,
    error::{DecodeSnafu, RefusedSnafu, UnavailableSnafu},
};
use crate::{
    BoxFuture,
    http::{Exchange, Pool},
};

/// Largest answer of the platform, in bytes.
const ANSWER_LIMIT: usize = 64 * 1024 * 1024;

/// A client of the table service and the object store.
#[derive(Debug)]
pub struct Client {
    pool: Pool,
    address: SocketAddr,
    timeout: Duration,
}

impl Client {
    /// Creates a client that waits at most `timeout` for each request.
    #[must_use]
    pub fn new(address: SocketAddr, timeout: Duration) -> Self {
        Self {
            pool: Pool::default(),
            address,
            timeout,
        }
    }

    /// Creates a client whose connections come from `pool`.
    #[must_use]
    pub fn with_pool(mut self, pool: Pool) -> Self {
        self.pool = pool;
        self
    }

    async fn send(
        &self,
        method: Method,
        path: String,
        body: Vec<u8>,
    ) -> Result<Response<Bytes>, Error> {
        let mut request = Request::new(Bytes::from(body));
        *request.method_mut() = method;
        *request.uri_mut() = path.parse().expect("paths of the platform are URIs");
        let exchange = Exchange {
            address: self.address,
            deadline: Instant::now() + self.timeout,
            max_body_bytes: ANSWER_LIMIT,
        };
        let exchanged = self.pool.exchange(exchange, request).await;
        exchanged.context(UnavailableSnafu)
    }
}

impl Table for Client {
    fn read(&self, key: String) -> BoxFuture<'_, Result<Option<Row>, Error>> {
        Box::pin(async move {
            let path = format!("/table/row/{key}");
            let answer = self.send(Method::GET, path, Vec::new()).await?;
            if answer.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            decode(&answer).map(Some)
        })
    }

    fn scan(&self, prefix: String) -> BoxFuture<'_, Result<Vec<Row>, Error>> {
        Box::pin(async move {
            let path = format!("/table/scan/{prefix}");
            let answer = self.send(Method::GET, path, Vec::new()).await?;
            decode::<Scan>(&answer).map(|scan| scan.rows)
        })
    }

    fn transact(&self, transaction: Transaction) -> BoxFuture<'_, Result<Outcome, Error>> {
        Box::pin(async move {
            let body =
                rmp_serde::to_vec_named(&transaction).expect("transactions have an encoding");
            let path = "/table/transact".to_owned();
            let answer = self.send(Method::POST, path, body).await?;
            decode(&answer)
        })
    }
}

impl Store for Client {
    fn put(&self, name: String, content: Vec<u8>) -> BoxFuture<'_, Result<(), Error>> {
        Box::pin(async move {
            let path = format!("/object/{name}");
            let answer = self.send(Method::PUT, path, content).await?;
            accepted(&answer)
        })
    }

    fn get(&self, name: String) -> BoxFuture<'_, Result<Option<Vec<u8>>, Error>> {
        Box::pin(async move {
            let path = format!("/object/{name}");
            let answer = self.send(Method::GET, path, Vec::new()).await?;
            if answer.status() == StatusCode::NOT_FOUND {
                return Ok(None);
            }
            accepted(&answer)?;
            Ok(Some(answer.into_body().to_vec()))
        })
    }
}

fn accepted(answer: &Response<Bytes>) -> Result<(), Error> {
    let status = answer.status();
    ensure!(status.is_success(), RefusedSnafu { status });
    Ok(())
}

fn decode<T: DeserializeOwned>(answer: &Response<Bytes>) -> Result<T, Error> {
    accepted(answer)?;
    rmp_serde::from_slice(answer.body()).context(DecodeSnafu)
}
