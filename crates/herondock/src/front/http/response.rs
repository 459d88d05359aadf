//! Responses that the front writes itself, and those that carry a final answer.
use crate::exchange::Answer;
use crate::http::to_headers;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::StatusCode;

/// A response with its whole body.
pub(super) type Response = hyper::Response<Full<Bytes>>;

/// Marks the response to a request whose body was not read: the connection closes behind it.
#[derive(Clone, Copy)]
pub(super) struct BodyNotRead;

/// A response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// A response that says in a line why a request is rejected.
pub(super) fn reject_input(status: StatusCode, reason: &str) -> Response {
    let mut response = Response::new(Full::new(Bytes::from(format!("{reason}\n"))));
    *response.status_mut() = status;
    response
}

/// The response for a final answer.
pub(super) fn final_answer(answer: Answer) -> Response {
    match answer {
        Answer::Served { fields, body } => {
            let mut response = Response::new(Full::new(body));
            *response.headers_mut() = to_headers(&fields);
            response
        }
        Answer::Rejected { retry_after } => {
            let mut response = empty_response(StatusCode::SERVICE_UNAVAILABLE);
            if retry_after > 0.0 {
                // Digits and a point only, so this cannot fail.
                if let Ok(after) = HeaderValue::try_from(format!("{:.3}", retry_after / 1000.0)) {
                    response.headers_mut().insert(header::RETRY_AFTER, after);
                }
            }
            response
        }
        Answer::ClientError(status) => {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::BAD_REQUEST);
            reject_input(status, "turned away by the service")
        }
        Answer::Failed => empty_response(StatusCode::BAD_GATEWAY),
    }
}
