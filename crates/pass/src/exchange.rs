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

use crate::{BrokenAnswer, Pool, Run, channel::Channel};

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
    whole: bool,
    /// Whether the end of the answer can be told from a loss of the
    /// connection.
    framed: bool,
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
            framed: is_framed(&head.headers),
            head: Some(head),
            whole: body.is_end_stream(),
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
    pub fn is_whole(&self) -> bool {
        self.whole
    }

    /// Takes note of how much of the answer has arrived, see
    /// [`Run::reached`].
    pub fn advance_to(&mut self, reached: u64) {
        self.run.advance_to(reached);
    }

    /// Takes note that the answer has ended before it was whole, which its
    /// reader sees by its content.
    pub fn cut_off(&mut self) {
        self.run.cut_off();
    }

    pub(crate) fn note_if_whole(&mut self) {
        if self.whole && self.framed {
            self.run.answered();
        }
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
                    self.note_if_whole();
                    return Poll::Ready(None);
                }
                Some(Err(error)) => {
                    log::debug!(error:%; "an answer broke off");
                    self.run.cut_off();
                    return Poll::Ready(Some(Err(BrokenAnswer::Endpoint)));
                }
                Some(Ok(frame)) => {
                    self.whole = self.body.is_end_stream();
                    self.note_if_whole();
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
        if self.whole && self.reusable {
            self.pool.give_back(self.run.endpoint(), channel);
        } else {
            channel.abort();
        }
    }
}
