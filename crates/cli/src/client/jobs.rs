use std::path::Path;

use error_stack::{Report, ResultExt};
use indexmap::IndexMap;
use reqwest::{
    Body, Method,
    multipart::{Form, Part},
};
use serde::{Deserialize, Serialize};
use tokio::{
    fs::File,
    io::{AsyncWrite, AsyncWriteExt},
};

use super::{Client, ClientError, retry::until_known};

const IDEMPOTENCY_KEY: &str = "Idempotency-Key";
const JSON_LINES: &str = "application/jsonl";

/// An uploaded file, in the OpenAI shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct UploadedFile {
    /// Names the file.
    pub id: String,
    /// All other members.
    #[serde(flatten)]
    pub other: IndexMap<String, serde_json::Value>,
}

/// Counts of a job's items.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Serialize, Deserialize,
)]
#[serde(default)]
pub struct RequestCounts {
    /// All items.
    pub total: u64,
    /// Items with a result.
    pub completed: u64,
    /// Items that can never complete.
    pub failed: u64,
}

/// A batch job, in the OpenAI shape.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Batch {
    /// Names the job.
    pub id: String,
    /// State, for example `in_progress`.
    pub status: String,
    /// File of the results, once there are any.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub output_file_id: Option<String>,
    /// File of the items that can never complete.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub error_file_id: Option<String>,
    /// Seconds since 1970.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub created_at: Option<i64>,
    /// When the job is due, in seconds since 1970.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub expires_at: Option<i64>,
    /// Counts of its items.
    #[serde(default)]
    pub request_counts: RequestCounts,
    /// All other members.
    #[serde(flatten)]
    pub other: IndexMap<String, serde_json::Value>,
}

/// Part of the list of jobs.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct BatchPage {
    /// Jobs, newest first.
    pub data: Vec<Batch>,
    /// Tells whether there are more after these.
    #[serde(default)]
    pub has_more: bool,
}

/// What to start as a job.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct JobRequest {
    /// Uploaded input.
    pub input_file_id: String,
    /// Endpoint of the items, for example `/v1/chat/completions`.
    pub endpoint: String,
    /// Time to the due time, for example `24h`.
    pub completion_window: String,
    /// Names and values kept with the job; `due_at` is its due time.
    pub metadata: IndexMap<String, String>,
    /// Makes a resend return the first job.
    pub idempotency_key: Option<String>,
}

impl JobRequest {
    fn body(&self) -> serde_json::Value {
        let mut body = serde_json::json!({
            "input_file_id": self.input_file_id,
            "endpoint": self.endpoint,
            "completion_window": self.completion_window,
        });
        if !self.metadata.is_empty() {
            body["metadata"] = serde_json::json!(self.metadata);
        }
        body
    }
}

impl Client {
    /// Uploads the input of a job, without holding it in memory.
    ///
    /// # Errors
    ///
    /// [`ClientError::File`] if it cannot be read; [`ClientError::Refused`]
    /// naming the line if the input is broken.
    pub async fn upload(
        &self,
        path: &Path,
    ) -> Result<UploadedFile, Report<ClientError>> {
        let file_error = || ClientError::File {
            path: path.display().to_string(),
        };
        let file = File::open(path).await.change_context_lazy(file_error)?;
        let bytes =
            file.metadata().await.change_context_lazy(file_error)?.len();
        let name = path.file_name().unwrap_or(path.as_os_str());
        let part = Part::stream_with_length(Body::from(file), bytes)
            .file_name(name.to_string_lossy().into_owned())
            .mime_str(JSON_LINES)
            .change_context_lazy(file_error)?;
        let form = Form::new().text("purpose", "batch").part("file", part);
        let url = "/v1/files";
        let request = self.request(Method::POST, url).multipart(form);
        self.json(url, request).await
    }

    /// Starts a job.
    ///
    /// A call whose answer is lost is made again: a resend returns the
    /// first job.
    ///
    /// # Errors
    ///
    /// [`ClientError::Refused`] if it is not accepted. An error for which
    /// [`ClientError::may_have_run`] holds if that is still unknown after
    /// the last attempt.
    pub async fn start_job(
        &self,
        job: &JobRequest,
    ) -> Result<Batch, Report<ClientError>> {
        let path = "/v1/batches";
        let call = async || {
            let mut request =
                self.request(Method::POST, path).json(&job.body());
            if let Some(key) = &job.idempotency_key {
                request = request.header(IDEMPOTENCY_KEY, key);
            }
            self.json(path, request).await
        };
        until_known(call).await
    }

    /// Returns one page of jobs.
    ///
    /// # Errors
    ///
    /// As all calls: see [`ClientError`].
    pub async fn jobs(
        &self,
        limit: u32,
        after: Option<&base::JobId>,
    ) -> Result<BatchPage, Report<ClientError>> {
        let path = match after {
            Some(id) => format!("/v1/batches?limit={limit}&after={id}"),
            None => format!("/v1/batches?limit={limit}"),
        };
        self.get(&path).await
    }

    /// Returns one job.
    ///
    /// # Errors
    ///
    /// [`ClientError::Refused`] with status 404 if the customer has no such
    /// job.
    pub async fn job(
        &self,
        id: &base::JobId,
    ) -> Result<Batch, Report<ClientError>> {
        self.get(&format!("/v1/batches/{id}")).await
    }

    /// Cancels a job.
    ///
    /// # Errors
    ///
    /// As [`Client::job`].
    pub async fn cancel_job(
        &self,
        id: &base::JobId,
    ) -> Result<Batch, Report<ClientError>> {
        let path = format!("/v1/batches/{id}/cancel");
        self.post(&path, &serde_json::json!({})).await
    }

    /// Copies a file to an output and returns its length in bytes.
    ///
    /// # Errors
    ///
    /// [`ClientError::Lost`] if it ends early.
    pub async fn download(
        &self,
        file_id: &base::FileId,
        output: &mut (dyn AsyncWrite + Send + Unpin),
    ) -> Result<u64, Report<ClientError>> {
        let path = format!("/v1/files/{file_id}/content");
        let request = self.request(Method::GET, &path);
        let mut response = self.send(request).await?;
        let write_error = || ClientError::File {
            path: "the output".to_owned(),
        };
        let mut bytes = 0;
        while let Some(chunk) =
            response.chunk().await.change_context_lazy(|| self.lost())?
        {
            bytes += chunk.len() as u64;
            output
                .write_all(&chunk)
                .await
                .change_context_lazy(write_error)?;
        }
        output.flush().await.change_context_lazy(write_error)?;
        Ok(bytes)
    }
}
