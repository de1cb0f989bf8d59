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

/// A response of an endpoint that is being read.
///
/// Dropping the exchange before the response is complete closes the
/// connection, so that the endpoint stops its work. After a complete response
/// the connection is reused.
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
    /// Whether the end of the response can be distinguished from a lost
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

    /// Returns the headers, or `None` after the head was taken.
    pub fn headers(&self) -> Option<&HeaderMap> {
        self.head.as_ref().map(|head| &head.headers)
    }

    /// Takes the head; later calls return `None`.
    pub(crate) fn take_head(&mut self) -> Option<Parts> {
        self.head.take()
    }

    /// Returns the endpoint.
    #[inline]
    pub fn endpoint(&self) -> &Endpoint {
        self.run.endpoint()
    }

    /// Returns whether the response was read to its end.
    #[inline]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// Records how much of the response has arrived, see [`Run::reached`].
    pub fn advance_to(&mut self, reached: u64) {
        self.run.advance_to(reached);
    }

    /// Records that the response ended before it was complete, which its
    /// consumer detects from the content.
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

    /// Reads the next bytes; `None` marks the end of a complete response.
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
                    log::debug!(error:%; "a response was interrupted");
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
        self.run.endpoint().end_request();
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
