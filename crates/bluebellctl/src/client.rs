//! Requests to an entry.

use std::time::Duration;

use bluebell_core::settings::State;
use reqwest::Method;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::ResultExt;

use crate::{
    args::Options,
    error::{AnswerSnafu, CtlError, ReachSnafu, RefusedSnafu},
};

/// Time that one request has.
const CALL_TIME: Duration = Duration::from_secs(30);

/// Client of an entry.
pub struct Client {
    entry: String,
    key: String,
    client: reqwest::Client,
}

#[derive(Debug, Deserialize)]
struct Problem {
    error: ProblemFields,
}

#[derive(Debug, Deserialize)]
struct ProblemFields {
    code: String,
    message: String,
}

impl Client {
    /// A client for the entry of the command line.
    ///
    /// # Errors
    /// When the HTTP client can't be built.
    pub fn new(options: &Options) -> Result<Self, CtlError> {
        let client = reqwest::Client::builder().timeout(CALL_TIME).build().context(ReachSnafu)?;
        Ok(Self { entry: options.entry.clone(), key: options.key.clone(), client })
    }

    /// Asks the entry.
    ///
    /// # Errors
    /// When the entry can't be reached or refuses.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.send(Method::GET, path, None::<&()>).await
    }

    /// Sends something to the entry.
    ///
    /// # Errors
    /// When the entry can't be reached or refuses.
    pub async fn post<B: Serialize + Sync, T: DeserializeOwned>(&self, path: &str, body: &B) -> Result<T, CtlError> {
        self.send(Method::POST, path, Some(body)).await
    }

    /// The state in force at the entry.
    ///
    /// # Errors
    /// When the entry can't be reached or refuses.
    pub async fn state(&self) -> Result<State, CtlError> {
        self.get("/admin/settings").await
    }

    async fn send<B: Serialize + Sync, T: DeserializeOwned>(
        &self,
        method: Method,
        path: &str,
        body: Option<&B>,
    ) -> Result<T, CtlError> {
        let mut request = self.client.request(method, format!("{}{path}", self.entry)).bearer_auth(&self.key);
        if let Some(body) = body {
            request = request.json(body);
        }
        let response = request.send().await.context(ReachSnafu)?;
        let status = response.status();
        let bytes = response.bytes().await.context(ReachSnafu)?;
        if status.is_success() {
            return serde_json::from_slice(&bytes).context(AnswerSnafu);
        }
        match serde_json::from_slice::<Problem>(&bytes) {
            Ok(problem) => RefusedSnafu { code: problem.error.code, message: problem.error.message }.fail(),
            Err(_) => {
                let message = format!("status {status}: {}", String::from_utf8_lossy(&bytes));
                RefusedSnafu { code: "refused", message }.fail()
            }
        }
    }
}
