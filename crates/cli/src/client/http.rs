use std::time::Duration;

use error_stack::{Report, ResultExt};
use reqwest::{
    Method, RequestBuilder, Response, Url,
    header::{AUTHORIZATION, RETRY_AFTER},
};
use serde::{Serialize, de::DeserializeOwned};

use super::{ClientError, Problem};

const CONNECT_TIMEOUT: Duration = Duration::from_secs(5);
const SCHEME: &str = "http";

/// Where and as whom a [`Client`] calls.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct ClientSettings {
    /// Address of an entry, `http://IP:PORT`.
    pub server: String,
    /// Bearer key of a customer or an operator.
    pub key: Option<String>,
    /// Longest silence in an answer before it is given up.
    pub silence_timeout_ms: u64,
}

/// Calls one entry.
///
/// # Example
///
/// ```
/// use pomeloslip::client::{Client, ClientSettings};
///
/// let mut settings = ClientSettings {
///     server: "http://127.0.0.1:8080".to_owned(),
///     key: None,
///     silence_timeout_ms: 30_000,
/// };
/// assert!(Client::try_new(&settings).is_ok());
/// settings.server = "127.0.0.1:8080".to_owned();
/// assert!(Client::try_new(&settings).is_err());
/// ```
#[derive(Clone, Debug)]
pub struct Client {
    http: reqwest::Client,
    server: String,
    key: Option<String>,
}

impl Client {
    /// Makes a client; nothing is sent yet.
    ///
    /// # Errors
    ///
    /// [`ClientError::Address`] if the server is no plain-HTTP URL.
    pub fn try_new(
        settings: &ClientSettings,
    ) -> Result<Self, Report<ClientError>> {
        let address = || ClientError::Address {
            server: settings.server.clone(),
        };
        let url = Url::parse(&settings.server).change_context_lazy(address)?;
        if url.scheme() != SCHEME || !url.has_host() {
            return Err(Report::new(address()));
        }
        let http = reqwest::Client::builder()
            .connect_timeout(CONNECT_TIMEOUT)
            // A connection may go silent for good while new ones work; a
            // limit on the whole call would instead cut long downloads.
            .read_timeout(Duration::from_millis(settings.silence_timeout_ms))
            .no_proxy()
            .build()
            .change_context_lazy(address)?;
        Ok(Self {
            http,
            server: settings.server.trim_end_matches('/').to_owned(),
            key: settings.key.clone(),
        })
    }

    /// Returns the address of the entry.
    #[inline]
    pub fn server(&self) -> &str {
        &self.server
    }

    pub(super) fn request(
        &self,
        method: Method,
        path: &str,
    ) -> RequestBuilder {
        let url = format!("{}{path}", self.server);
        let request = self.http.request(method, url);
        match &self.key {
            Some(key) => {
                request.header(AUTHORIZATION, format!("Bearer {key}"))
            }
            None => request,
        }
    }

    pub(super) async fn get<T: DeserializeOwned>(
        &self,
        path: &str,
    ) -> Result<T, Report<ClientError>> {
        let request = self.request(Method::GET, path);
        self.json(path, request).await
    }

    pub(super) async fn post<T: DeserializeOwned>(
        &self,
        path: &str,
        body: &(impl Serialize + Sync),
    ) -> Result<T, Report<ClientError>> {
        let request = self.request(Method::POST, path).json(body);
        self.json(path, request).await
    }

    pub(super) async fn json<T: DeserializeOwned>(
        &self,
        path: &str,
        request: RequestBuilder,
    ) -> Result<T, Report<ClientError>> {
        let response = self.send(request).await?;
        let body =
            response.bytes().await.change_context_lazy(|| self.lost())?;
        let body: &[u8] = if body.is_empty() { b"null" } else { &body };
        serde_json::from_slice(body).change_context_lazy(|| {
            ClientError::BadAnswer {
                path: path.to_owned(),
            }
        })
    }

    /// Sends a request and turns an error status into its problem.
    pub(super) async fn send(
        &self,
        request: RequestBuilder,
    ) -> Result<Response, Report<ClientError>> {
        let sent = request.send().await;
        let response = sent.map_err(|error| {
            let context = if error.is_connect() {
                ClientError::Unreachable {
                    server: self.server.clone(),
                }
            } else {
                self.lost()
            };
            Report::new(error).change_context(context)
        })?;
        let status = response.status();
        if status.is_success() {
            return Ok(response);
        }
        let retry_after_s = response
            .headers()
            .get(RETRY_AFTER)
            .and_then(|value| value.to_str().ok()?.parse().ok());
        let body = response.text().await.unwrap_or_default();
        let problem =
            Problem::from_body(status.as_u16(), retry_after_s, &body);
        Err(Report::new(ClientError::Refused(Box::new(problem))))
    }

    pub(super) fn lost(&self) -> ClientError {
        ClientError::Lost {
            server: self.server.clone(),
        }
    }
}
