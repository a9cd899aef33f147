//! Admission of a request: checks it against the declarations, and reads its body.

use std::{sync::Arc, sync::atomic::AtomicU32, time::Duration};

use bluebell_core::{
    ingress::{Declared, Organisation, Route},
    poison::Fingerprint,
};
use bluebell_platform::headers::{self, CallerHeaders};
use bytes::Bytes;
use hyper::{Request, Uri, body::Incoming, header};

use super::{
    body_budget::{self, BodyError},
    refusal::Refusal,
};
use crate::gateway::{
    job::{Job, shared_parts},
    pool::UsedConnections,
    state::Gateway,
};

/// Time limit of a request whose caller sets no deadline; the route's time limit applies as well.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Maximum time that a request waits for a process that has just started to receive its declarations.
const STARTUP_WAIT: Duration = Duration::from_millis(400);

/// Checks a request and reads its body.
///
/// # Errors
/// When the request is refused.
pub async fn admit(gateway: &Gateway, caller: CallerHeaders, request: Request<Incoming>) -> Result<Job, Refusal> {
    let arrived = gateway.now();
    wait_for_initial_state(gateway).await;
    let routing = gateway.routing.load_full();
    let Some(declared) = routing.declared.clone() else {
        return Err(Refusal::NotReady);
    };
    let (head, body) = request.into_parts();
    let host = head.headers.get(header::HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let or_stale = |refusal| if routing.is_current(arrived) { refusal } else { Refusal::StaleDeclarations };
    let Some(route) = declared.route(host, head.uri.path()) else {
        return Err(or_stale(Refusal::NoRoute));
    };
    let organisation = authenticate(&declared, route, &caller).map_err(or_stale)?;
    let service = route.service(caller.request.as_str()).ok_or(Refusal::NoRoute)?.clone();
    let time_limit = caller.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let limit = declared.limits.body;
    let deadline = arrived + time_limit;
    let body = read_body(gateway, body, limit, deadline.saturating_sub(gateway.now())).await?;
    let path = head.uri.path_and_query().map_or_else(|| head.uri.path(), |path| path.as_str());
    let fingerprint = Fingerprint::of(path, organisation.as_ref().map(|org| &org.id), &body);
    let parts = shared_parts(&service, &caller.parts);
    let engine = declared.services.get(&service).and_then(|service| service.engine.clone());
    Ok(Job {
        rank: organisation.as_ref().and_then(|org| org.rank).unwrap_or(route.rank),
        organisation: organisation.map(|org| org.id.clone()),
        engine,
        route: Arc::clone(route),
        service,
        method: head.method,
        uri: origin_form(&head.uri),
        headers: head.headers,
        body,
        fingerprint,
        parts,
        deadline,
        used: UsedConnections::default(),
        passed_over: AtomicU32::default(),
        arrived,
        caller,
    })
}

async fn read_body(gateway: &Gateway, body: Incoming, limit: usize, time_limit: Duration) -> Result<Bytes, Refusal> {
    // A body that is complete is not late: the deadline of its request is checked later.
    let reading = tokio::time::timeout(time_limit, body_budget::read(body, limit, &gateway.callers.bodies));
    reading.await.map_err(|_| Refusal::BodyTimeout)?.map_err(|error| match error {
        BodyError::TooLong => Refusal::TooLarge { limit },
        BodyError::TotalExceeded => Refusal::BodyMemory,
        BodyError::Broken { reason } => Refusal::UnreadableBody { reason },
    })
}

// A process that has just started receives the declarations and upstreams within tens of milliseconds, so waiting is
// faster for the caller than a refusal and a retry.
async fn wait_for_initial_state(gateway: &Gateway) {
    if !*gateway.synced.borrow() {
        let mut synced = gateway.synced.subscribe();
        // After a timeout, the request is refused according to what is still missing.
        let _ = tokio::time::timeout(STARTUP_WAIT, synced.wait_for(|synced| *synced)).await;
    }
}

fn authenticate(
    declared: &Declared,
    route: &Route,
    caller: &CallerHeaders,
) -> Result<Option<Arc<Organisation>>, Refusal> {
    let organisation = caller.api_key.as_ref().and_then(|key| declared.keys.get(key)).cloned();
    if organisation.is_none() && declared.keyed && !route.public {
        return Err(Refusal::UnknownKey);
    }
    Ok(organisation)
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

/// Decodes the headers of a caller's request.
///
/// # Errors
/// When the request has no valid id.
pub fn caller_headers(request: &Request<Incoming>) -> Result<CallerHeaders, Refusal> {
    headers::decode_caller(request.headers()).ok_or(Refusal::NoRequestId)
}
