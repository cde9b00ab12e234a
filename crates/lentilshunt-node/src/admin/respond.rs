//! Responses to status requests of operators.

use bytes::Bytes;
use http_body_util::Full;
use hyper::{Response, StatusCode};
use lentilshunt_core::membership::Endpoint;
use lentilshunt_net::http::{empty_response, full_response};
use lentilshunt_schema::operate::{Member, Members, Route, Routes, Status};
use serde::Serialize;

use crate::context::Context;

/// Prefix of the paths at which a node serves its state to operators.
pub const OPERATE_PATH: &str = "/.lentilshunt/operate";

/// Responds to a read-only request for the state of a node.
#[must_use]
pub fn respond(context: &Context, path: &str) -> Response<Full<Bytes>> {
    match path {
        "/status" => json(&status(context)),
        "/members" => json(&members(context)),
        "/routes" => json(&routes(context)),
        _ => empty_response(StatusCode::NOT_FOUND),
    }
}

fn status(context: &Context) -> Status {
    let locality = &context.locality;
    Status {
        instance: locality.instance.clone(),
        region: locality.region.clone(),
        domain: locality.domain.clone(),
        incarnation: context.incarnation,
        version: context.route_table.load().version(),
    }
}

fn members(context: &Context) -> Members {
    let view = context.view.load();
    let endpoints = view.endpoints.iter();
    Members {
        members: endpoints.map(|endpoint| member(endpoint)).collect(),
    }
}

fn routes(context: &Context) -> Routes {
    let table = context.route_table.load();
    let routes = table.routes().map(|(service, route)| Route {
        service: service.clone(),
        callers: route.service.callers.iter().cloned().collect(),
        endpoints: route.endpoints().map(|endpoint| member(endpoint)).collect(),
    });
    let mut routes: Vec<Route> = routes.collect();
    routes.sort_by(|left, right| left.service.cmp(&right.service));
    Routes {
        version: table.version(),
        routes,
    }
}

fn member(endpoint: &Endpoint) -> Member {
    Member {
        instance: endpoint.instance.clone(),
        address: endpoint.address.to_string(),
        region: endpoint.region.clone(),
        domain: endpoint.domain.clone(),
        service: endpoint.service.clone(),
        phase: endpoint.phase.to_string(),
    }
}

fn json<T: Serialize>(value: &T) -> Response<Full<Bytes>> {
    let body = serde_json::to_vec(value).expect("responses can be encoded as JSON");
    full_response(StatusCode::OK, body)
}
