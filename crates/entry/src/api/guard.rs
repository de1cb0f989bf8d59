//! Request guards that authenticate callers.

use std::sync::Arc;

use base::KeyDigest;
use rocket::{
    Request,
    http::Status,
    request::{FromRequest, Outcome},
};
use web::{ActiveRequest, Problem};

use crate::{
    filter::{self, Caller},
    shared::Shared,
};

/// A caller whose bearer key belongs to a customer.
pub(crate) struct Authenticated {
    pub(crate) caller: Caller,
    /// Held while the request runs, so that a shutdown waits for it.
    pub(crate) active: ActiveRequest,
}

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Authenticated {
    type Error = Problem;

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, Problem> {
        let Some(shared) = request.rocket().state::<Arc<Shared>>() else {
            return Outcome::Forward(Status::InternalServerError);
        };
        let headers = request.headers();
        let caller =
            filter::authenticate(shared, headers).and_then(|caller| {
                filter::check_headers(shared, headers).map(|_| caller)
            });
        match caller {
            Ok(caller) => {
                let active = shared.state.begin_request();
                Outcome::Success(Self { caller, active })
            }
            Err(problem) => {
                web::record_problem(request, &problem);
                let status = Status::new(problem.kind().status());
                Outcome::Error((status, problem))
            }
        }
    }
}

/// A caller whose bearer key is one of the operator keys in the settings.
pub(crate) struct Operator;

#[rocket::async_trait]
impl<'r> FromRequest<'r> for Operator {
    type Error = ();

    async fn from_request(request: &'r Request<'_>) -> Outcome<Self, ()> {
        let Some(shared) = request.rocket().state::<Arc<Shared>>() else {
            return Outcome::Forward(Status::InternalServerError);
        };
        let header = request.headers().get_one("authorization");
        let key = header.and_then(|h| h.strip_prefix("Bearer "));
        let known = key.is_some_and(|key| {
            shared.admin_keys.contains(&KeyDigest::of_key(key.trim()))
        });
        match known {
            true => Outcome::Success(Self),
            false => Outcome::Error((Status::Unauthorized, ())),
        }
    }
}
