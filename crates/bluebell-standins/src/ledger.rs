//! A ledger of loans whose calls are not idempotent: each call is executed and logged, even a repeated one. Its log
//! shows a test whether a request was executed twice.

use std::{
    fs::File,
    io::Write,
    sync::{Arc, Mutex, PoisonError},
    time::Duration,
};

use poem::{
    Body, EndpointExt, Request, Response, Route, get, handler,
    http::StatusCode,
    web::{Data, Path},
};
use serde::Serialize;
use snafu::ResultExt;

use crate::{
    args::LedgerOptions,
    error::{FileSnafu, StandinError},
    web,
};

/// Calls whose path contains this text get an unbounded answer.
pub const ENDLESS: &str = "endless";

struct Ledger {
    processing_time: Duration,
    log: Mutex<Option<File>>,
    count: Mutex<u64>,
}

/// A line of the ledger's call log.
#[derive(Debug, Serialize)]
struct LogLine<'a> {
    key: &'a str,
    path: &'a str,
    number: u64,
}

/// Serves a ledger until the process ends.
///
/// # Errors
/// If the log cannot be opened or the address cannot be bound.
pub async fn serve(options: LedgerOptions) -> Result<(), StandinError> {
    let open = |path: &String| File::options().create(true).append(true).open(path).context(FileSnafu { path });
    let log = Mutex::new(options.log.as_ref().map(open).transpose()?);
    let processing_time = Duration::from_micros(options.work);
    let ledger = Arc::new(Ledger { processing_time, log, count: Mutex::new(0) });
    let app = Route::new().at("/*path", get(call).post(call)).data(ledger);
    web::serve(&options.listen, app).await
}

#[handler]
async fn call(ledger: Data<&Arc<Ledger>>, Path(path): Path<String>, request: &Request, body: Body) -> Response {
    let key = request.header("idempotency-key").unwrap_or_default();
    let Ok(bytes) = body.into_bytes().await else {
        return Response::builder().status(StatusCode::BAD_REQUEST).finish();
    };
    let number = ledger.record(key, &path);
    if path.contains(ENDLESS) {
        return Response::builder().status(StatusCode::CREATED).body(web::endless());
    }
    tokio::time::sleep(ledger.processing_time).await;
    let text = String::from_utf8_lossy(&bytes);
    let reply = serde_json::json!({"entry": number, "path": path, "received": text});
    Response::builder().status(StatusCode::CREATED).content_type("application/json").body(reply.to_string())
}

impl Ledger {
    // Counts and logs a call; returns its number.
    fn record(&self, key: &str, path: &str) -> u64 {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        *count += 1;
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let line = serde_json::to_string(&LogLine { key, path, number: *count });
        if let (Some(file), Ok(line)) = (log.as_mut(), line) {
            // A failed write is ignored: tests notice the call that is missing from the log.
            let _ = writeln!(file, "{line}");
        }
        *count
    }
}
