//! The origins of streams: stored when a stream begins, found when a client
//! resumes it.

use std::{sync::Arc, time::Instant};

use fleet::VersionBinding;
use http::StatusCode;
use origins::{Beginning, Origin, Verdict};

use super::{Forwarder, OfferHistory};
use crate::{Counters, Exchange, Inbound, answer::Sent, unserved::Unserved};

/// Retry delay for a client whose stream's origin could not be found, in
/// milliseconds; the retry usually reaches another node.
const ORIGIN_RETRY_MS: u64 = 200;

impl Forwarder {
    /// Runs a request of a client, after the origin of the stream that it
    /// resumes is known.
    pub(super) async fn begin(
        &self,
        request: &Arc<Inbound>,
        sent: &mut Sent,
        history: &mut OfferHistory,
    ) -> Result<Exchange, Unserved> {
        if request.route().kind().is_stream() && request.is_resume_malformed()
        {
            return Err(Unserved::rejected(
                StatusCode::BAD_REQUEST,
                "the id of the last event is not a number",
            ));
        }
        if request.resumes_stream() {
            history.binding = Some(self.find_origin(request).await?);
        }
        self.run(request, sent, history).await
    }

    /// Finds the version that began the stream that a client resumes.
    async fn find_origin(
        &self,
        request: &Inbound,
    ) -> Result<Arc<VersionBinding>, Unserved> {
        let asked_at = Instant::now();
        let verdict = self.origins.find(request.resumed_stream()).await;
        self.counters.origin_find_ms.record(asked_at.elapsed());
        log::info!(
            request_id = request.id(),
            resumes = request.resumes().unwrap_or_default(),
            resume_after = request.resume_after().unwrap_or(0),
            verdict:? = verdict,
            took_ms = asked_at.elapsed().as_millis() as u64;
            "the origin of a stream was looked up"
        );
        match verdict {
            Verdict::Known(beginning)
                if !self.is_certain(request, &beginning) =>
            {
                Counters::add(&self.counters.origins_unknown);
                Err(Unserved::refused(
                    "another version may have begun the stream",
                ))
            }
            Verdict::Known(beginning) => {
                Counters::add(&self.counters.origins_found);
                self.check_service(request, beginning.binding().clone())
            }
            Verdict::Unknown => {
                Counters::add(&self.counters.origins_unknown);
                Err(Unserved::refused(
                    "the version that began the stream is not known",
                ))
            }
            Verdict::Unreachable => {
                Counters::add(&self.counters.origins_unreachable);
                let refusal = Unserved::refused(
                    "the version that began the stream cannot be found now",
                );
                Err(refusal.with_retry_after_ms(ORIGIN_RETRY_MS))
            }
        }
    }

    /// Reports whether no other version can have begun a stream.
    ///
    /// The endpoint that began it may have restarted with another version
    /// before the node that recorded the origin knew of that. And a client that
    /// does not name the first attempt is found by the content of its request:
    /// if the origin of its stream is lost, with its front, its holders or
    /// their messages, the origin that is found may be that of an equal request.
    fn is_certain(&self, request: &Inbound, beginning: &Beginning) -> bool {
        let binding = beginning.binding();
        let table = &self.endpoints.load().table;
        let endpoint = beginning.endpoint().and_then(|id| table.by_id(id));
        if endpoint.is_some_and(|now| !binding.permits(now.record())) {
            return false;
        }
        let window_ms = request.origin_lifetime_ms();
        request.resumes().is_some()
            || table.is_only_version(binding, window_ms, self.clock.now())
    }

    /// Checks that the configuration in force allows a stream to go on at the
    /// service that began it.
    fn check_service(
        &self,
        request: &Inbound,
        binding: Arc<VersionBinding>,
    ) -> Result<Arc<VersionBinding>, Unserved> {
        let mut destinations = request.route().destinations().iter();
        let is_allowed = destinations
            .any(|d| d.service == binding.service() && d.weight > 0);
        match is_allowed {
            true => Ok(binding),
            false => Err(Unserved::refused(
                "the route no longer leads to the service of the stream",
            )),
        }
    }

    /// Stores the origin of the stream that a request begins.
    pub(crate) fn record_origin(&self, request: &Inbound, origin: Origin) {
        Counters::add(&self.counters.origins_recorded);
        let lifetime_ms = request.origin_lifetime_ms();
        self.origins
            .record(request.stream_keys(), origin, lifetime_ms);
    }
}
