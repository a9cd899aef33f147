//! Checks a request against the declarations, and reads it whole.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ingress::{Declared, Organisation, Route},
    poison::Fingerprint,
};
use bluebell_platform::headers::{self, CallerHeaders};
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{Request, Uri, body::Incoming, header};

use super::refusal::Refusal;
use crate::gateway::{job::Job, state::Gateway};

/// Longest time that a caller waits where neither it nor the route says.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Time for which a request waits for a process that has just started to know its declarations.
const START_TIME: Duration = Duration::from_millis(400);

/// Checks a request and reads its body.
///
/// # Errors
/// When the request is not to be served.
pub async fn admit(gateway: &Gateway, asked: CallerHeaders, request: Request<Incoming>) -> Result<Job, Refusal> {
    let arrived = gateway.now();
    wait_informed(gateway).await;
    let beliefs = gateway.beliefs.load_full();
    let Some(declared) = beliefs.declared.clone() else {
        return Err(Refusal::NotReady);
    };
    let (head, body) = request.into_parts();
    let host = head.headers.get(header::HOST).and_then(|value| value.to_str().ok()).unwrap_or_default();
    let unless_current = |refusal| if beliefs.are_current(arrived) { refusal } else { Refusal::Outdated };
    let Some(route) = declared.route(host, head.uri.path()) else {
        return Err(unless_current(Refusal::NoRoute));
    };
    let organisation = caller(&declared, route, &asked).map_err(unless_current)?;
    let service = route.service(asked.request.as_str()).ok_or(Refusal::NoRoute)?.clone();
    let waits = asked.deadline.unwrap_or(DEFAULT_DEADLINE).min(route.timeout);
    let limit = declared.limits.body;
    let body = match Limited::new(body, limit).collect().await {
        Ok(body) => body.to_bytes(),
        Err(error) if error.is::<LengthLimitError>() => return Err(Refusal::TooLarge { limit }),
        Err(error) => return Err(Refusal::Body { reason: error.to_string() }),
    };
    let path = head.uri.path_and_query().map_or_else(|| head.uri.path(), |path| path.as_str());
    let fingerprint = Fingerprint::of(path, organisation.as_ref().map(|caller| &caller.id), &body);
    let engine = declared.services.get(&service).and_then(|service| service.engine.clone());
    Ok(Job {
        rank: organisation.as_ref().and_then(|caller| caller.rank).unwrap_or(route.rank),
        organisation: organisation.map(|caller| caller.id.clone()),
        engine,
        route: Arc::clone(route),
        service,
        method: head.method,
        uri: origin_form(&head.uri),
        headers: head.headers,
        body,
        fingerprint,
        end: arrived + waits,
        arrived,
        asked,
    })
}

// A process that has just started knows everything within tens of milliseconds, sooner than a caller would be back.
async fn wait_informed(gateway: &Gateway) {
    if !*gateway.informed.borrow() {
        let mut informed = gateway.informed.subscribe();
        // Whoever waited in vain is refused by what is not known.
        let _ = tokio::time::timeout(START_TIME, informed.wait_for(|informed| *informed)).await;
    }
}

fn caller(declared: &Declared, route: &Route, asked: &CallerHeaders) -> Result<Option<Arc<Organisation>>, Refusal> {
    let known = asked.api_key.as_ref().and_then(|key| declared.keys.get(key)).cloned();
    if known.is_none() && declared.keyed && !route.public {
        return Err(Refusal::NoKey);
    }
    Ok(known)
}

fn origin_form(uri: &Uri) -> Uri {
    let path = uri.path_and_query().cloned();
    path.map_or_else(|| uri.clone(), Uri::from)
}

/// What a caller's headers ask for.
///
/// # Errors
/// When the request has no usable id.
pub fn asked(request: &Request<Incoming>) -> Result<CallerHeaders, Refusal> {
    headers::decode_caller(request.headers()).ok_or(Refusal::NoId)
}
