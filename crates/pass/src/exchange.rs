use std::{
    pin::Pin,
    sync::Arc,
    task::{Context, Poll},
};

use bytes::Bytes;
use fleet::Endpoint;
use http::{HeaderMap, StatusCode, response::Parts};
use http_body::Body;
use hyper::body::Incoming;

use crate::{BrokenAnswer, Pool, channel::Channel};

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
    endpoint: Endpoint,
    pool: Arc<Pool>,
    reusable: bool,
    whole: bool,
}

impl Exchange {
    pub(crate) fn new(
        head: Parts,
        body: Incoming,
        channel: Channel,
        endpoint: Endpoint,
        pool: Arc<Pool>,
        reusable: bool,
    ) -> Self {
        Self {
            status: head.status,
            head: Some(head),
            whole: body.is_end_stream(),
            body,
            channel: Some(channel),
            endpoint,
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
        &self.endpoint
    }

    /// Tells whether the answer is read to its end.
    #[inline]
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Returns the length of the body if it is known.
    pub(crate) fn exact_length(&self) -> Option<u64> {
        self.body.size_hint().exact()
    }

    /// Reads on; `None` is the end of a whole answer.
    pub fn poll_data(
        &mut self,
        cx: &mut Context<'_>,
    ) -> Poll<Option<Result<Bytes, BrokenAnswer>>> {
        loop {
            let frame = match Pin::new(&mut self.body).poll_frame(cx) {
                Poll::Pending => return Poll::Pending,
                Poll::Ready(frame) => frame,
            };
            match frame {
                None => {
                    self.whole = true;
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    log::debug!(error:%; "an answer broke off");
                    return Poll::Ready(Some(Err(BrokenAnswer::Endpoint)));
                }
                Some(Ok(frame)) => {
                    self.whole = self.body.is_end_stream();
                    if let Ok(data) = frame.into_data() {
                        return Poll::Ready(Some(Ok(data)));
                    }
                }
            }
        }
    }
}

impl Drop for Exchange {
    fn drop(&mut self) {
        self.endpoint.end();
        let Some(channel) = self.channel.take() else {
            return;
        };
        if self.whole && self.reusable {
            self.pool.give_back(&self.endpoint, channel);
        } else {
            channel.abort();
        }
    }
}
