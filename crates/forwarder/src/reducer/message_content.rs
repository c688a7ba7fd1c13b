//! Digests of what messages deliver. They tell two messages apart that clients submitted with the same id.

use crate::input::Submission;
use bytes::Bytes;
use orchidyoke_core::interface::DestinationId;
use orchidyoke_journal::AcceptedMessage;
use std::hash::{DefaultHasher, Hash, Hasher};

/// A digest of what a message delivers. It is compared within one process only and never stored.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct ContentDigest(u64);

/// What is known of the content of a message that has been accepted; `None` if the journal no longer has its content.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct KnownContent(pub Option<ContentDigest>);

impl KnownContent {
    /// Returns whether the message may have this content. Content that is not known any more may be any.
    pub fn may_be(self, content: ContentDigest) -> bool {
        self.0.is_none_or(|known| known == content)
    }
}

/// The parts of a message that its client chooses and that stay the same when the client submits it again.
#[derive(Hash)]
struct Content<'a> {
    class: &'a str,
    tenant: &'a str,
    idempotency_key: Option<&'a str>,
    destination: DestinationId,
    body: &'a [u8],
}

impl Content<'_> {
    fn digest(&self) -> ContentDigest {
        let mut hasher = DefaultHasher::new();
        self.hash(&mut hasher);
        ContentDigest(hasher.finish())
    }
}

impl ContentDigest {
    /// Returns the digest of a submission.
    pub fn of_submission(submission: &Submission) -> Self {
        let content = Content {
            class: &submission.class,
            tenant: submission.tenant.as_deref().unwrap_or_default(),
            idempotency_key: submission.idempotency_key.as_deref(),
            destination: submission.destination,
            body: &submission.body,
        };
        content.digest()
    }

    /// Returns the digest of an accepted message with this body.
    pub fn of_accepted(accepted: &AcceptedMessage, body: &Bytes) -> Self {
        let content = Content {
            class: &accepted.class,
            tenant: &accepted.tenant,
            idempotency_key: accepted.idempotency_key.as_deref(),
            destination: accepted.destination,
            body,
        };
        content.digest()
    }
}
