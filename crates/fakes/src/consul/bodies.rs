//! Response bodies that break HTTP on purpose.

use crate::runtime::Never;
use bytes::Bytes;
use http_body_util::BodyExt;
use http_body_util::combinators::BoxBody;
use hyper::body::{Body, Frame, SizeHint};
use std::pin::Pin;
use std::task::{Context, Poll};

/// A body that says it is longer than it is.
struct Half(Option<Bytes>, u64);

pub(super) fn half(bytes: Vec<u8>) -> BoxBody<Bytes, Never> {
    let length = 2 * bytes.len() as u64;
    Half(Some(bytes.into()), length).boxed()
}

impl Body for Half {
    type Data = Bytes;
    type Error = Never;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _: &mut Context<'_>,
    ) -> Poll<Option<Result<Frame<Bytes>, Never>>> {
        Poll::Ready(self.0.take().map(|bytes| Ok(Frame::data(bytes))))
    }

    fn size_hint(&self) -> SizeHint {
        SizeHint::with_exact(self.1)
    }
}

/// White space without an end, which may stand before a list.
pub(super) struct Endless;

impl Body for Endless {
    type Data = Bytes;
    type Error = Never;

    fn poll_frame(self: Pin<&mut Self>, _: &mut Context<'_>) -> Poll<Option<Result<Frame<Bytes>, Never>>> {
        static SPACE: [u8; 16 << 10] = [b' '; 16 << 10];
        Poll::Ready(Some(Ok(Frame::data(Bytes::from_static(&SPACE)))))
    }
}
