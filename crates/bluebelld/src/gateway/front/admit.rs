//! Checks a request against the declarations, and reads it whole.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::{ModelId, OrgId, ServiceId},
    ingress::{Declared, Engine, Organisation, Route},
    units::Tokens,
};
use bluebell_platform::headers::{self, Asked};
use bytes::Bytes;
use http_body_util::{BodyExt, LengthLimitError, Limited};
use hyper::{HeaderMap, Method, Request, Uri, body::Incoming, header};

use super::refusal::Refusal;
use crate::gateway::state::Gateway;

/// Longest time that a caller waits where neither it nor the route says.
const DEFAULT_DEADLINE: Duration = Duration::from_secs(30);

/// Time for which a request waits for a process that has just started to know its declarations.
const START_TIME: Duration = Duration::from_millis(400);

/// A request that was admitted.
#[derive(Debug)]
pub struct Job {
    /// What it asks for.
    pub asked: Asked,
    /// Its route.
    pub route: Arc<Route>,
    /// The service that takes it.
    pub service: ServiceId,
    /// Organisation of the caller.
    pub organisation: Option<OrgId>,
    /// Its rank, 0 the most urgent.
    pub rank: u8,
    /// Its method.
    pub method: Method,
    /// Its path and query.
    pub uri: Uri,
    /// Its headers.
    pub headers: HeaderMap,
    /// Its body.
    pub body: Bytes,
    /// The engine behind the service, where it runs models.
    pub engine: Option<Engine>,
    /// When it arrived.
    pub arrived: Duration,
    /// When it must be answered.
    pub end: Duration,
}

impl Job {
    /// Memory of an engine of the service.
    #[must_use]
    pub fn memory(&self) -> Tokens {
        self.engine.as_ref().map_or(Tokens::default(), |engine| engine.memory)
    }

    /// Kind of work, for counts by release.
    #[must_use]
    pub fn kind(&self, model: Option<&ModelId>) -> String {
        format!("{}/{}", self.route.id, model.map_or("", ModelId::as_str))
    }

    /// Work that a token makes with a model, against the mean of the models.
    #[must_use]
    pub fn weight(&self, model: Option<&ModelId>) -> f64 {
        self.engine.as_ref().zip(model).map_or(1.0, |(engine, model)| engine.weight(model))
    }
}

/// Checks a request and reads its body.
///
/// # Errors
/// When the request is not to be served.
pub async fn admit(gateway: &Gateway, asked: Asked, request: Request<Incoming>) -> Result<Job, Refusal> {
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

fn caller(declared: &Declared, route: &Route, asked: &Asked) -> Result<Option<Arc<Organisation>>, Refusal> {
    let known = asked.key.as_ref().and_then(|key| declared.keys.get(key)).cloned();
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
pub fn asked(request: &Request<Incoming>) -> Result<Asked, Refusal> {
    headers::decode_asked(request.headers()).ok_or(Refusal::NoId)
}
