//! The platform's services in one process: table, object store, instance list, ratings and weights.

mod faults;
mod instances;
mod store;
mod table;

use std::{collections::HashMap, sync::Arc};

use bluebell_core::members::Listed;
use bluebell_platform::{
    ratings::Rating,
    table::{ReadCall, Row, WriteCall, WriteReply},
    weights::Weights,
};
use faults::Faults;
use poem::{
    EndpointExt, Response, Route, get, handler,
    http::StatusCode,
    post,
    web::{Data, Json, Path, Query},
};
use serde::Deserialize;
use store::Store;

use crate::{error::StandinError, web};

/// Serves the platform.
///
/// # Errors
/// When the address can't be listened on.
pub async fn serve(listen: &str) -> Result<(), StandinError> {
    let app = Route::new()
        .at("/table/read", post(read_rows))
        .at("/table/write", post(write_rows))
        .at("/table/scan", get(scan_rows))
        .at("/objects/:key", get(get_object).put(put_object))
        .at("/instances", get(list_instances).put(set_instances))
        .at("/ratings", get(list_ratings).post(add_rating))
        .at("/weights/:version", get(weights))
        .at("/faults", post(set_faults))
        .at("/counts", get(counts))
        .data(Arc::new(Store::default()));
    web::serve(listen, app).await
}

#[handler]
async fn read_rows(store: Data<&Arc<Store>>, Json(call): Json<ReadCall>) -> Response {
    let fault = store.faults().table;
    if fault.before().await {
        return refused();
    }
    let rows: Vec<Option<Row>> = store.table(|table| table.read(&call.keys));
    json(&rows)
}

#[handler]
async fn write_rows(store: Data<&Arc<Store>>, Json(call): Json<WriteCall>) -> Response {
    let fault = store.faults().table;
    if fault.before().await {
        return refused();
    }
    let applied = store.table(|table| table.write(&call));
    fault.after().await;
    json(&WriteReply { applied })
}

/// Prefix of the rows asked for.
#[derive(Debug, Deserialize)]
struct Scan {
    prefix: String,
}

// For tests and the demo; the product doesn't scan.
#[handler]
fn scan_rows(store: Data<&Arc<Store>>, Query(scan): Query<Scan>) -> Response {
    json(&store.table(|table| table.scan(&scan.prefix)))
}

#[handler]
async fn get_object(store: Data<&Arc<Store>>, Path(key): Path<String>) -> Response {
    if store.faults().objects.before().await {
        return refused();
    }
    store.object(&key).map_or_else(missing, |value| json(&value))
}

#[handler]
async fn put_object(
    store: Data<&Arc<Store>>,
    Path(key): Path<String>,
    Json(value): Json<serde_json::Value>,
) -> Response {
    if store.faults().objects.before().await {
        return refused();
    }
    store.put_object(key, value);
    json(&())
}

#[handler]
async fn list_instances(store: Data<&Arc<Store>>, Query(query): Query<After>) -> Response {
    if store.faults().instances.before().await {
        return refused();
    }
    json(&store.instances(|instances| instances.after(query.after)))
}

#[handler]
fn set_instances(store: Data<&Arc<Store>>, Json(list): Json<Vec<Listed>>) -> Response {
    store.instances(|instances| instances.replace(list));
    json(&())
}

/// Position after which ratings or changes of the list are asked for.
#[derive(Debug, Deserialize)]
struct After {
    after: u64,
}

#[handler]
fn list_ratings(store: Data<&Arc<Store>>, Query(query): Query<After>) -> Response {
    json(&store.ratings(query.after))
}

#[handler]
fn add_rating(store: Data<&Arc<Store>>, Json(rating): Json<Rating>) -> Response {
    store.add_rating(rating);
    json(&())
}

/// Size that the weight store gives for any version, in bytes.
const WEIGHT_BYTES: u64 = 16 << 30;

#[handler]
fn weights(store: Data<&Arc<Store>>, Path(version): Path<String>) -> Response {
    if !store.weights_allowed() {
        return Response::builder().status(StatusCode::TOO_MANY_REQUESTS).finish();
    }
    match version.parse() {
        Ok(version) => json(&Weights { version, bytes: WEIGHT_BYTES }),
        Err(_) => missing(),
    }
}

#[handler]
fn set_faults(store: Data<&Arc<Store>>, Json(faults): Json<Faults>) -> Response {
    store.set_faults(faults);
    json(&())
}

#[handler]
fn counts(store: Data<&Arc<Store>>) -> Response {
    let counts: HashMap<&str, u64> = store.table(|table| table.counts());
    json(&counts)
}

fn json<T: serde::Serialize>(value: &T) -> Response {
    match serde_json::to_vec(value) {
        Ok(body) => Response::builder().content_type("application/json").body(body),
        Err(_) => Response::builder().status(StatusCode::INTERNAL_SERVER_ERROR).finish(),
    }
}

fn refused() -> Response {
    Response::builder().status(StatusCode::SERVICE_UNAVAILABLE).finish()
}

fn missing() -> Response {
    Response::builder().status(StatusCode::NOT_FOUND).finish()
}
