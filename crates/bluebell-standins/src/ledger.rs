//! A ledger of loans. Each call is carried out and logged, however often it comes: calling it twice does harm.

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

/// Path to which the ledger answers with bytes without end.
pub const ENDLESS: &str = "endless";

struct Ledger {
    work: Duration,
    log: Mutex<Option<File>>,
    count: Mutex<u64>,
}

/// A line of the ledger's log.
#[derive(Debug, Serialize)]
struct LogLine<'a> {
    key: &'a str,
    path: &'a str,
    number: u64,
}

/// Serves a ledger.
///
/// # Errors
/// When the log can't be opened or the address can't be listened on.
pub async fn serve(options: LedgerOptions) -> Result<(), StandinError> {
    let open = |path: &String| File::options().create(true).append(true).open(path).context(FileSnafu { path });
    let log = Mutex::new(options.log.as_ref().map(open).transpose()?);
    let work = Duration::from_micros(options.work);
    let ledger = Arc::new(Ledger { work, log, count: Mutex::new(0) });
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
    tokio::time::sleep(ledger.work).await;
    let text = String::from_utf8_lossy(&bytes);
    let reply = serde_json::json!({"entry": number, "path": path, "received": text});
    Response::builder().status(StatusCode::CREATED).content_type("application/json").body(reply.to_string())
}

impl Ledger {
    fn record(&self, key: &str, path: &str) -> u64 {
        let mut count = self.count.lock().unwrap_or_else(PoisonError::into_inner);
        *count += 1;
        let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
        let line = serde_json::to_string(&LogLine { key, path, number: *count });
        if let (Some(file), Ok(line)) = (log.as_mut(), line) {
            // A line that can't be written shows up as a call missing from the log.
            let _ = writeln!(file, "{line}");
        }
        *count
    }
}
