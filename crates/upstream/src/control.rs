//! Orders to an endpoint and checks of its health.

use std::time::Duration;

use bytes::Bytes;
use reqwest::{Response, StatusCode};
use tokio::time::timeout;
use wire::message::{Order, Refusal, RefusalKind};

use crate::client::{EndpointClient, body_check};

/// Identifies one incarnation of an endpoint; fields that the endpoint does
/// not report are empty.
///
/// # Example
///
/// ```
/// use pomeloslip_upstream::EndpointIncarnation;
///
/// let body = br#"{"status":"ok","version":"1.0.0","incarnation":7}"#;
/// let reported = EndpointIncarnation::from_health_response(body);
/// assert_eq!(reported.version, "1.0.0");
/// assert_ne!(reported, EndpointIncarnation::from_health_response(b"ok"));
/// ```
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct EndpointIncarnation {
    /// Version of the endpoint's software.
    pub version: String,
    /// Incarnation of the endpoint's process, as the endpoint formats it.
    pub incarnation: String,
}

impl EndpointIncarnation {
    /// Reads the body of a response to a health check.
    pub fn from_health_response(body: &[u8]) -> Self {
        let body: serde_json::Value =
            serde_json::from_slice(body).unwrap_or_default();
        Self {
            version: json_text(&body["version"]),
            incarnation: json_text(&body["incarnation"]),
        }
    }
}

fn json_text(value: &serde_json::Value) -> String {
    match value {
        serde_json::Value::Null => String::new(),
        serde_json::Value::String(text) => text.clone(),
        other => other.to_string(),
    }
}

/// Reads an answer to its end; `None` if its content shows that it broke off.
async fn read_whole(
    reply: Response,
) -> Result<Option<(StatusCode, Bytes)>, reqwest::Error> {
    let status = reply.status();
    let mut check = body_check(&reply, false);
    let body = reply.bytes().await?;
    check.push(&body);
    Ok(check.finish().is_ok().then_some((status, body)))
}

impl EndpointClient {
    /// Sends an order to the endpoint.
    ///
    /// # Errors
    ///
    /// A refusal with the endpoint's reason. An order that timed out, or whose
    /// answer broke off, may or may not have been applied; orders are
    /// idempotent and can be repeated.
    pub async fn order(&self, order: &Order) -> Result<(), Refusal> {
        let mut body: serde_json::Value = serde_json::from_slice(&order.body)
            .map_err(|error| {
                Refusal::new(RefusalKind::Invalid, error.to_string())
            })?;
        body["fence"] = order.fence.into();
        body["kind"] = order.kind.clone().into();
        let url = self.address.join("/orders");
        let call = async {
            let reply = self.unpooled.post(url).json(&body).send().await?;
            read_whole(reply).await
        };
        let failed =
            |detail: String| Refusal::new(RefusalKind::Failed, detail);
        match timeout(self.first_byte_timeout, call).await {
            Ok(Ok(Some((status, _)))) if status.is_success() => Ok(()),
            Ok(Ok(Some((StatusCode::CONFLICT, _)))) => {
                let why = "the endpoint has obeyed a newer order";
                Err(Refusal::new(RefusalKind::StaleFence, why))
            }
            Ok(Ok(Some((status, _)))) => Err(failed(status.to_string())),
            Ok(Ok(None)) => Err(failed("the answer broke off".to_owned())),
            Ok(Err(error)) => Err(failed(error.to_string())),
            Err(_) => Err(failed("no answer in time".to_owned())),
        }
    }

    /// Reports whether the endpoint passes a health check.
    pub async fn is_healthy(&self, wait: Duration) -> bool {
        self.health(wait).await.is_some()
    }

    /// Checks the endpoint's health; returns its incarnation if it is healthy.
    pub async fn health(&self, wait: Duration) -> Option<EndpointIncarnation> {
        let url = self.address.join("/health");
        let check = async {
            let reply = self.unpooled.get(url).send().await.ok()?;
            if !reply.status().is_success() {
                return None;
            }
            let (_, body) = read_whole(reply).await.ok()??;
            Some(EndpointIncarnation::from_health_response(&body))
        };
        timeout(wait, check).await.ok().flatten()
    }
}
