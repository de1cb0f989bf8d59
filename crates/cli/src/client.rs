//! HTTP client of an entry, for operators and tests.
//!
//! Administration of the configuration and VMs, batch jobs in the OpenAI
//! shapes, and the status page. Every refusal is a typed [`Problem`].

mod admin;
mod error;
mod http;
mod jobs;
mod problem;
mod retry;

pub use self::{
    admin::{ConfigText, HistoryItem, NewConfig},
    error::ClientError,
    http::{Client, ClientSettings},
    jobs::{Batch, BatchPage, JobRequest, RequestCounts, UploadedFile},
    problem::{ConfigFault, Problem, Ran},
};
