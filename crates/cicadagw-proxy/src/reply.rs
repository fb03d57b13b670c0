//! What the caller gets.

use actix_web::body::BoxBody;
use actix_web::http::StatusCode;
use actix_web::http::header::{HeaderName, HeaderValue};
use actix_web::{HttpResponse, HttpResponseBuilder};
use cicadagw_call::{Load, Outcome, Reason};

use crate::answer::Answer;
use crate::header;

/// How an attempt, or a whole call, ended.
pub(crate) enum End {
    /// The backend server answered.
    Answered(Box<Answer>),
    /// Nothing of the request went to a backend server.
    NotRun(Reason),
    /// The request may have run.
    Unknown(Reason),
}

impl End {
    pub(crate) const fn outcome(&self) -> Outcome {
        match self {
            Self::Answered(_) => Outcome::Answered,
            Self::NotRun(_) => Outcome::NotRun,
            Self::Unknown(_) => Outcome::Unknown,
        }
    }

    const fn reason(&self) -> Option<Reason> {
        match self {
            Self::Answered(_) => None,
            Self::NotRun(reason) | Self::Unknown(reason) => Some(*reason),
        }
    }

    /// Returns the response, which tells `load` where it is for another node.
    pub(crate) fn into_response(self, load: Option<Load>) -> HttpResponse {
        let outcome = self.outcome();
        let reason = self.reason();
        let mut response = match self {
            Self::Answered(answer) => pass_on(*answer),
            Self::NotRun(reason) => HttpResponse::new(not_run_status(reason)),
            Self::Unknown(reason) => HttpResponse::new(unknown_status(reason)),
        };
        set(&mut response, &header::OUTCOME, &outcome);
        if let Some(reason) = reason {
            set(&mut response, &header::REASON, &reason);
        }
        if let Some(load) = load {
            set(&mut response, &header::LOAD, &load);
        }
        response
    }
}

fn pass_on(answer: Answer) -> HttpResponse {
    let mut response = HttpResponseBuilder::new(answer.status).body(BoxBody::new(answer.flow));
    *response.headers_mut() = answer.headers;
    response
}

const fn not_run_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::BadRequest => StatusCode::BAD_REQUEST,
        Reason::BodyLimit => StatusCode::PAYLOAD_TOO_LARGE,
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        Reason::HeaderLimit => StatusCode::REQUEST_HEADER_FIELDS_TOO_LARGE,
        Reason::HopLimit => StatusCode::LOOP_DETECTED,
        Reason::HttpVersion => StatusCode::HTTP_VERSION_NOT_SUPPORTED,
        Reason::NoRoute => StatusCode::NOT_FOUND,
        Reason::Draining
        | Reason::Gone
        | Reason::Lost
        | Reason::NoConfiguration
        | Reason::NoEndpoint
        | Reason::Shed
        | Reason::Unreachable => StatusCode::SERVICE_UNAVAILABLE,
    }
}

const fn unknown_status(reason: Reason) -> StatusCode {
    match reason {
        Reason::Deadline => StatusCode::GATEWAY_TIMEOUT,
        _ => StatusCode::BAD_GATEWAY,
    }
}

fn set(response: &mut HttpResponse, name: &HeaderName, value: &impl ToString) {
    let value = HeaderValue::from_str(&value.to_string()).expect("the value is plain text");
    response.headers_mut().insert(name.clone(), value);
}
