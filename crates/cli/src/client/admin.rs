use error_stack::Report;
use indexmap::IndexMap;
use serde::{Deserialize, Serialize};

use super::{Client, ClientError, retry::until_known};

/// A revision of the configuration with its text.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct ConfigText {
    /// The revision.
    pub revision: u64,
    /// YAML text.
    pub text: String,
}

/// One line of the configuration's history.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct HistoryItem {
    /// The revision.
    pub revision: u64,
    /// When it was accepted.
    #[serde(default)]
    pub accepted_unix_ms: Option<i64>,
    /// All other members, for example the text.
    #[serde(flatten)]
    pub other: IndexMap<String, serde_json::Value>,
}

/// A configuration that is to replace an expected revision.
#[derive(Clone, Debug, Eq, PartialEq, Serialize, Deserialize)]
pub struct NewConfig {
    /// Revision that must be in force for it to be accepted.
    pub expect_revision: u64,
    /// Identity of this change; sending it again does nothing twice.
    pub operation_id: String,
    /// YAML text.
    pub text: String,
}

#[derive(Deserialize)]
struct Applied {
    revision: u64,
}

#[derive(Deserialize)]
#[serde(untagged)]
enum History {
    Items(Vec<HistoryItem>),
    Object { data: Vec<HistoryItem> },
}

impl Client {
    /// Returns the configuration in force.
    ///
    /// # Errors
    ///
    /// As all calls: see [`ClientError`].
    pub async fn config(&self) -> Result<ConfigText, Report<ClientError>> {
        self.get("/admin/config").await
    }

    /// Returns an earlier configuration.
    ///
    /// # Errors
    ///
    /// [`ClientError::Refused`] with status 404 if it is not kept any more.
    pub async fn config_at(
        &self,
        revision: u64,
    ) -> Result<ConfigText, Report<ClientError>> {
        self.get(&format!("/admin/config/{revision}")).await
    }

    /// Returns the newest revisions, newest first.
    ///
    /// # Errors
    ///
    /// As all calls: see [`ClientError`].
    pub async fn config_history(
        &self,
        limit: u32,
    ) -> Result<Vec<HistoryItem>, Report<ClientError>> {
        let path = format!("/admin/config/history?limit={limit}");
        Ok(match self.get(&path).await? {
            History::Items(items) | History::Object { data: items } => items,
        })
    }

    /// Replaces the configuration and returns the new revision.
    ///
    /// An apply whose answer is lost, here or between the entry and the
    /// key-value service, is neither done nor not done. It is sent again
    /// with the same operation id, by which the entry finds out whether the
    /// first took effect; it never takes effect twice.
    ///
    /// # Errors
    ///
    /// [`ClientError::Refused`]: status 409 if another revision is in
    /// force, 422 if the text has faults. An error for which
    /// [`ClientError::may_have_run`] holds if it is still unknown after the
    /// last attempt.
    pub async fn apply_config(
        &self,
        new: &NewConfig,
    ) -> Result<u64, Report<ClientError>> {
        let call = async || self.post::<Applied>("/admin/config", new).await;
        until_known(call).await.map(|applied| applied.revision)
    }

    /// Asks for the planned stop of the endpoint on a VM.
    ///
    /// # Errors
    ///
    /// [`ClientError::Refused`] with status 404 if no such VM is known.
    pub async fn stop_vm(
        &self,
        vm: &base::VmId,
    ) -> Result<serde_json::Value, Report<ClientError>> {
        let path = format!("/admin/vms/{vm}/stop");
        self.post(&path, &serde_json::json!({})).await
    }

    /// Returns the status page of the entry.
    ///
    /// # Errors
    ///
    /// As all calls: see [`ClientError`].
    pub async fn status(
        &self,
    ) -> Result<serde_json::Value, Report<ClientError>> {
        self.get("/status").await
    }
}
