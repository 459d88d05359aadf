//! Responses that the front creates itself, and responses that carry a final answer.
use crate::exchange::Answer;
use crate::http::to_headers;
use bytes::Bytes;
use http_body_util::Full;
use hyper::header::{self, HeaderValue};
use hyper::StatusCode;

/// A response with a complete body.
pub(super) type Response = hyper::Response<Full<Bytes>>;

/// Marks the response to a request whose body was not read: the connection closes after it.
#[derive(Clone, Copy)]
pub(super) struct BodyNotRead;

/// Creates a response without a body.
pub(super) fn empty_response(status: StatusCode) -> Response {
    let mut response = Response::new(Full::default());
    *response.status_mut() = status;
    response
}

/// Creates a response whose body gives the reason for a rejection in one line.
pub(super) fn reject_input(status: StatusCode, reason: &str) -> Response {
    let mut response = Response::new(Full::new(Bytes::from(format!("{reason}\n"))));
    *response.status_mut() = status;
    response
}

/// Creates the response for a final answer.
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
                // The text consists of digits and a point, so this cannot fail.
                if let Ok(seconds) = HeaderValue::try_from(format!("{:.3}", retry_after / 1000.0)) {
                    response.headers_mut().insert(header::RETRY_AFTER, seconds);
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
