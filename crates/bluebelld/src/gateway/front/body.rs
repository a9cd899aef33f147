//! Types of answers to callers.

use std::io;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;

/// Body of an answer.
pub type AnswerBody = UnsyncBoxBody<Bytes, io::Error>;
/// An answer to a caller.
pub type Response = hyper::Response<AnswerBody>;
