//! HTTP client for the operator API of an entry.

use std::time::Duration;

use bluebell_core::settings::State;
use reqwest::Method;
use serde::{Deserialize, Serialize, de::DeserializeOwned};
use snafu::ResultExt;

use crate::{
    args::Options,
    error::{CtlError, InvalidAnswerSnafu, RefusedSnafu, UnreachableSnafu},
};

/// Timeout of one request.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(30);

/// HTTP client for the operator API of an entry.
pub struct Client {
    entry: String,
    key: String,
    client: reqwest::Client,
}

#[derive(Debug, Deserialize)]
struct ErrorBody {
    error: ErrorFields,
}

#[derive(Debug, Deserialize)]
struct ErrorFields {
    code: String,
    message: String,
}

impl Client {
    /// Creates a client for the entry given by the options.
    ///
    /// # Errors
    /// If the HTTP client can't be built.
    pub fn new(options: &Options) -> Result<Self, CtlError> {
        let client = reqwest::Client::builder().timeout(REQUEST_TIMEOUT).build().context(UnreachableSnafu)?;
        Ok(Self { entry: options.entry.clone(), key: options.key.clone(), client })
    }

    /// Sends a GET request and parses the answer.
    ///
    /// # Errors
    /// If the entry can't be reached, refuses the request, or sends an answer that can't be parsed.
    pub async fn get<T: DeserializeOwned>(&self, path: &str) -> Result<T, CtlError> {
        self.send(Method::GET, path, None::<&()>).await
    }

    /// Sends a POST request with a JSON body and parses the answer.
    ///
    /// # Errors
    /// If the entry can't be reached, refuses the request, or sends an answer that can't be parsed.
    pub async fn post<B: Serialize + Sync, T: DeserializeOwned>(&self, path: &str, body: &B) -> Result<T, CtlError> {
        self.send(Method::POST, path, Some(body)).await
    }

    /// Fetches the state of the settings that is in force at the entry.
    ///
    /// # Errors
    /// If the entry can't be reached, refuses the request, or sends an answer that can't be parsed.
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
        let response = request.send().await.context(UnreachableSnafu)?;
        let status = response.status();
        let bytes = response.bytes().await.context(UnreachableSnafu)?;
        if status.is_success() {
            return serde_json::from_slice(&bytes).context(InvalidAnswerSnafu);
        }
        match serde_json::from_slice::<ErrorBody>(&bytes) {
            Ok(body) => RefusedSnafu { code: body.error.code, message: body.error.message }.fail(),
            Err(_) => {
                let message = format!("status {status}: {}", String::from_utf8_lossy(&bytes));
                RefusedSnafu { code: "refused", message }.fail()
            }
        }
    }
}
