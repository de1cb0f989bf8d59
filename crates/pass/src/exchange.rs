use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use fleet::Endpoint;
use http::{HeaderMap, StatusCode, header, response::Parts};
use http_body::Body;
use hyper::body::Incoming;

use crate::{IncompleteResponse, Pool, Run, channel::Channel};

/// An answer of an endpoint that is being read.
///
/// Dropping it before the end closes the connection, so that the endpoint
/// stops its work; after the end the connection is used again.
#[derive(Debug)]
pub struct Exchange {
    head: Option<Parts>,
    status: StatusCode,
    body: Incoming,
    channel: Option<Channel>,
    run: Run,
    pool: Arc<Pool>,
    reusable: bool,
    is_complete: bool,
    /// Whether the end of the answer can be told from a loss of the
    /// connection.
    is_framed: bool,
}

impl Exchange {
    pub(crate) fn new(
        head: Parts,
        body: Incoming,
        channel: Channel,
        run: Run,
        pool: Arc<Pool>,
        reusable: bool,
    ) -> Self {
        Self {
            status: head.status,
            is_framed: is_framed(&head.headers),
            head: Some(head),
            is_complete: body.is_end_stream(),
            body,
            channel: Some(channel),
            run,
            pool,
            reusable,
        }
    }

    /// Returns the status.
    #[inline]
    pub fn status(&self) -> StatusCode {
        self.status
    }

    /// Returns the headers, unless the head was taken.
    pub fn headers(&self) -> Option<&HeaderMap> {
        self.head.as_ref().map(|head| &head.headers)
    }

    /// Returns the head once.
    pub(crate) fn take_head(&mut self) -> Option<Parts> {
        self.head.take()
    }

    /// Returns the endpoint.
    #[inline]
    pub fn endpoint(&self) -> &Endpoint {
        self.run.endpoint()
    }

    /// Tells whether the answer is read to its end.
    #[inline]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Takes note of how much of the answer has arrived, see
    /// [`Run::reached`].
    pub fn advance_to(&mut self, reached: u64) {
        self.run.advance_to(reached);
    }

    /// Takes note that the answer has ended before it was is_complete, which its
    /// reader sees by its content.
    pub fn mark_interrupted(&mut self) {
        self.run.mark_interrupted();
    }

    pub(crate) fn report_if_complete(&mut self) {
        if self.is_complete && self.is_framed {
            self.run.answered();
        }
    }

    /// Returns the length of the body if it is known.
    pub(crate) fn exact_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads on; `None` is the end of a is_complete answer.
    pub fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, IncompleteResponse>>> {
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            };
            match frame {
                None => {
                    self.is_complete = true;
                    self.report_if_complete();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    log::debug!(error:%; "an answer broke off");
                    self.run.mark_interrupted();
                    return Poll::Ready(Some(Err(
                        IncompleteResponse::Endpoint,
                    )));
                }
                Some(Ok(frame)) => {
                    self.is_complete = self.body.is_end_stream();
                    self.report_if_complete();
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }
}

fn is_framed(headers: &HeaderMap) -> bool {
    headers.contains_key(header::CONTENT_LENGTH)
        || headers.contains_key(header::TRANSFER_ENCODING)
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.run.endpoint().end();
        let Some(channel) = self.channel.take() else {
            return;
        };
        if self.is_complete && self.reusable {
            self.pool.release(self.run.endpoint(), channel);
        } else {
            channel.abort();
        }
    }
}
