//! Accepts jobs and serves calls about them.

use base::Customer;
use budget::Reservation;
use bytes::Bytes;
use error_stack::{Report, ResultExt};
use fleet::Route;
use http::{HeaderValue, Response, StatusCode, header, request::Parts};
use jobs::{JobError, JobKey, NewJob};
use pass::{Counters, ReceivedBody, Refusal, ResponseBody};

use super::{Gateway, UNAVAILABLE_RETRY_MS};
use crate::JobCall;

/// Fraction (1/n) of a job's target latency after which workers are asked to
/// spool the job if the key-value service has not responded. The remainder is
/// enough for two workers, one after the other.
const LEDGER_WAIT_DIVISOR: u64 = 4;

/// Memory for a page of results until its size is known.
const PAGE_BYTES: u64 = 64 * 1024;

/// The route, the configuration and the customer by which a job is accepted.
pub(super) struct AcceptedBy<'a> {
    pub(super) route: &'a Route,
    pub(super) config_version: u64,
    pub(super) customer: Option<Customer>,
}

impl Gateway {
    pub(super) async fn accept_job(
        &self,
        parts: &Parts,
        received: ReceivedBody,
        accepted_by: AcceptedBy<'_>,
    ) -> Response<ResponseBody> {
        let ReceivedBody { bytes, reservation } = received;
        let customer = accepted_by.customer.clone();
        let name = customer.as_ref().map_or("", Customer::as_str);
        let target_latency_ms = accepted_by.route.target_latency_ms();
        let config = accepted_by.config_version;
        let new_job = match self.new_job(parts, &bytes, accepted_by) {
            Ok(new_job) => new_job,
            Err(refusal) => return self.refuse(parts, name, refusal),
        };
        drop(bytes);
        let (key, items) = (new_job.key.clone(), new_job.items.len());
        let owner = new_job.owner.clone();
        let ledger_wait_ms = target_latency_ms / LEDGER_WAIT_DIVISOR;
        let accepted =
            self.intake.accept(new_job, ledger_wait_ms, reservation);
        match accepted.await {
            Ok(accepted) => {
                Counters::add(&self.counters.jobs_accepted);
                log::info!(
                    request_id = key.as_str(),
                    items,
                    owner = owner.as_str(),
                    config,
                    accepted:?;
                    "a job is accepted"
                );
                json(StatusCode::ACCEPTED, b"{}".to_vec())
            }
            Err(failure) => {
                let report = failure.report;
                let ledger = failure.ledger.map(|error| error.to_string());
                let refusal = refusal_for(*report.current_context());
                log::info!(
                    request_id = key.as_str(),
                    error:? = report,
                    status = refusal.status().as_u16(),
                    ran = failure.ran.as_str(),
                    ledger = ledger.as_deref().unwrap_or_default(),
                    workers:% = failure.workers;
                    "cannot accept a job"
                );
                self.refuse(parts, name, refusal)
            }
        }
    }

    fn new_job(
        &self,
        parts: &Parts,
        body: &[u8],
        accepted_by: AcceptedBy<'_>,
    ) -> Result<NewJob, Refusal> {
        let id = self.request_id(parts);
        let key: JobKey = id.parse().map_err(|_| {
            Refusal::rejected(
                StatusCode::BAD_REQUEST,
                "the id cannot name a job",
            )
        })?;
        let mut items = self.dialect.decode_items(body).map_err(|error| {
            log::info!(request_id = id, error:%; "a job is malformed");
            Refusal::rejected(StatusCode::BAD_REQUEST, "the job is malformed")
        })?;
        for item in &mut items {
            item.config_version = Some(accepted_by.config_version);
        }
        let host = parts.headers.get(header::HOST);
        let host = host.and_then(|host| host.to_str().ok());
        let members = self.view.members();
        let now = self.cluster.clock().now();
        let count = items.len() as u32;
        let owner = self.backlogs.choose(&key, count, &members, now);
        Ok(NewJob {
            key,
            owner: owner.unwrap_or_default(),
            host: host.unwrap_or_default().to_owned(),
            path: parts.uri.path().to_owned(),
            submitted_at: self.cluster.clock().unix(),
            terms: accepted_by.route.batch(),
            customer: accepted_by.customer,
            items,
        })
    }

    pub(super) async fn job_call(
        &self,
        call: JobCall,
        customer: Option<&Customer>,
    ) -> Response<ResponseBody> {
        let spools = self.unknown_jobs.spools();
        let (job, result) = match call {
            JobCall::Results {
                job,
                after,
                wait_ms,
            } => {
                let page = self.pages.page(&job, customer, after, wait_ms);
                let page = page.await.and_then(|page| {
                    let reservation = self.reserve(PAGE_BYTES)?;
                    let bytes = self.dialect.encode_page(&page);
                    reserve_all(&reservation, bytes.len() as u64)?;
                    Ok(json(StatusCode::OK, bytes)
                        .map(|body| body.with_reservation(reservation)))
                });
                (job, page)
            }
            JobCall::Body { job, item } => {
                let body = self.item_body(&job, customer, &item).await;
                let body = body.map(|(body, reservation)| {
                    let body = ResponseBody::from_bytes(Bytes::from(body));
                    Response::new(body.with_reservation(reservation))
                });
                (job, body)
            }
            JobCall::Cancel { job } => {
                let cancelled = self.ledger.cancel(&job, customer).await;
                log::info!(request_id = job.as_str(), done = cancelled.is_ok();
                    "job cancellation requested");
                let cancelled =
                    cancelled.map(|()| json(StatusCode::OK, b"{}".to_vec()));
                (job, cancelled)
            }
        };
        let report = match result {
            Ok(response) => return response,
            Err(report) => report,
        };
        let error = *report.current_context();
        let refusal = match error {
            JobError::UnknownItem => unknown("there is no such item"),
            JobError::Unknown
                if self.unknown_jobs.is_nonexistent(&job, spools).await =>
            {
                unknown("there is no such job")
            }
            JobError::OutcomeUnknown => {
                Refusal::unknown("whether the job is ended is not known")
            }
            _ => Refusal::not_run("the job cannot be read now")
                .with_retry_after_ms(UNAVAILABLE_RETRY_MS),
        };
        log::info!(
            request_id = job.as_str(),
            error:%,
            status = refusal.status().as_u16(),
            view_age_ms = self.view.age_ms(self.cluster.clock().now());
            "job call failed"
        );
        refusal.into_response()
    }

    async fn item_body(
        &self,
        job: &JobKey,
        customer: Option<&Customer>,
        item: &str,
    ) -> Result<(Vec<u8>, Reservation), Report<JobError>> {
        // The number of inputs never changes, so a manifest of any age works.
        let known = self.manifests.read(job, None, 0).await;
        let known = known.map(|known| known.stored);
        let visible =
            known.filter(|known| known.manifest.is_visible_to(customer));
        let stored = match visible {
            Some(stored) => stored,
            None => self.ledger.read_for(job, customer).await?,
        };
        let chunks = u64::from(stored.manifest.input_chunks);
        let inputs_bytes = chunks * self.value_bytes as u64;
        let reservation = self.reserve(inputs_bytes)?;
        let inputs = self.ledger.inputs(job, &stored.manifest).await?;
        let input = inputs.into_iter().find(|input| input.id == item);
        let body = input
            .map(|input| input.body)
            .ok_or_else(|| Report::new(JobError::UnknownItem))?;
        reservation.shrink_to(body.len() as u64);
        Ok((body, reservation))
    }

    fn reserve(&self, bytes: u64) -> Result<Reservation, Report<JobError>> {
        let reservation = self.memory.reserve(bytes);
        reservation.change_context(JobError::NotDone)
    }
}

fn reserve_all(
    reservation: &Reservation,
    bytes: u64,
) -> Result<(), Report<JobError>> {
    reservation.grow_to(bytes).change_context(JobError::NotDone)
}

fn unknown(reason: &'static str) -> Refusal {
    Refusal::rejected(StatusCode::NOT_FOUND, reason)
}

fn refusal_for(error: JobError) -> Refusal {
    match error {
        JobError::TooLarge => Refusal::rejected(
            StatusCode::PAYLOAD_TOO_LARGE,
            "the job is too large",
        ),
        JobError::Conflict => {
            Refusal::rejected(StatusCode::CONFLICT, "the id names another job")
        }
        JobError::OutcomeUnknown => {
            Refusal::unknown("whether the job is kept is not known")
        }
        _ => Refusal::not_run("the job cannot be kept now")
            .with_retry_after_ms(UNAVAILABLE_RETRY_MS),
    }
}

fn json(status: StatusCode, body: Vec<u8>) -> Response<ResponseBody> {
    let mut response =
        Response::new(ResponseBody::from_bytes(Bytes::from(body)));
    *response.status_mut() = status;
    response.headers_mut().insert(
        header::CONTENT_TYPE,
        HeaderValue::from_static("application/json"),
    );
    response
}
