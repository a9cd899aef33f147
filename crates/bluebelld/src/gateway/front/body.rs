//! Response types of the caller-facing server.

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Body of an answer to a caller.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;
/// An answer to a caller.
pub type Response = hyper::Response<AnswerBody>;
