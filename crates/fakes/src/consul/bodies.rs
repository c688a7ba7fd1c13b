//! Response bodies that are faulty on purpose: one is truncated, one is endless.

use crate::runtime::Never;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// Bytes of one frame of the endless body.
const FRAME_BYTES: usize = 16 << 10;

/// A body that ends before its announced length.
struct TruncatedBody {
    bytes: Option<Bytes>,
    announced_length: u64,
}

/// Returns a body of these bytes that announces twice their length.
pub(super) fn truncated(bytes: Vec<u8>) -> BoxBody<Bytes, Never> {
    let announced_length = 2 * bytes.len() as u64;
    TruncatedBody { bytes: Some(bytes.into()), announced_length }.boxed()
}

impl Body for TruncatedBody {
    type Data = Bytes;
    type Error = Never;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Never>>> {
        Poll::Ready(self.bytes.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.announced_length)
    }
}

/// An endless body of white space, which is allowed before a JSON list.
pub(super) struct EndlessBody;

impl Body for EndlessBody {
    type Data = Bytes;
    type Error = Never;

    fn poll_frame(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Never>>> {
        static SPACES: [u8; FRAME_BYTES] = [b' '; FRAME_BYTES];
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&SPACES)))))
    }
}
