use std::sync::Arc;

use rocket::{
    Data, Route, State, data::ToByteUnit, http::Status, post, routes,
};

use super::{
    api::{Call, Form, Marks},
    cache::{block_hashes, prompt_tokens},
    core::Core,
    reply::{Answer, Reply},
    scheduler::Work,
};
use crate::answer;

pub(super) fn all() -> Vec<Route> {
    routes![chat, completion]
}

#[post("/v1/chat/completions", data = "<body>")]
async fn chat(core: &State<Arc<Core>>, body: Data<'_>) -> Reply {
    give(core, body, Form::Chat).await
}

#[post("/v1/completions", data = "<body>")]
async fn completion(core: &State<Arc<Core>>, body: Data<'_>) -> Reply {
    give(core, body, Form::Completion).await
}

async fn give(core: &Arc<Core>, body: Data<'_>, form: Form) -> Reply {
    core.count_call();
    if core.refuses() {
        return Reply::error(
            Status::ServiceUnavailable,
            "server_error",
            Some("overloaded"),
            "the engine takes no calls",
        );
    }
    let call = match read_json::<Call>(core, body).await {
        Ok(call) => call,
        Err(reply) => return reply,
    };
    let prompt = match call.prompt_text(form) {
        Ok(prompt) => prompt,
        Err(message) => return bad_request(message),
    };
    answer_to(core, form, &call, &prompt)
}

fn answer_to(
    core: &Arc<Core>,
    form: Form,
    call: &Call,
    prompt: &str,
) -> Reply {
    if !core.serves(&call.model) {
        return Reply::error(
            Status::NotFound,
            "invalid_request_error",
            Some("model_not_found"),
            format!("the model {:?} is not loaded", call.model),
        );
    }
    let marks = Marks::of(prompt);
    if marks.fail {
        core.count_failed();
        return Reply::error(
            Status::InternalServerError,
            "server_error",
            None,
            "the prompt asks for a failure",
        );
    }
    let needed =
        u64::from(prompt_tokens(prompt)) + u64::from(call.max_tokens());
    if needed > u64::from(core.settings.kv_tokens) {
        return Reply::error(
            Status::BadRequest,
            "invalid_request_error",
            Some("context_length_exceeded"),
            "prompt and answer are longer than the engine's memory",
        );
    }
    let work = work_of(core, call, prompt, marks);
    let mut tokens = answer::tokens(&call.model, prompt, call.max_tokens());
    tokens.drain(..tokens.len().min(call.resume_offset as usize));
    let cut = work.cut_after.is_some();
    let ticket = core.submit(work);
    let number = ticket.number();
    let answer = Answer {
        form,
        id: format!(
            "{}-{:x}-{number:x}",
            form.id_prefix(),
            core.incarnation.get()
        ),
        model: call.model.clone(),
        stream: call.stream,
        include_usage: call.include_usage(),
        tokens,
        prompt_tokens: prompt_tokens(prompt),
        cut,
        keep_alive_ms: core.settings.keep_alive_ms,
    };
    Reply::answer(answer, ticket)
}

fn work_of(core: &Core, call: &Call, prompt: &str, marks: Marks) -> Work {
    let target = call.max_tokens().saturating_sub(call.resume_offset);
    let drops = marks.drop
        && target > 0
        && core.drops_now(answer::fold(2, prompt.as_bytes()));
    let blocks = if core.settings.prefix_cache_tokens == 0 {
        Vec::new()
    } else {
        block_hashes(&call.model, prompt)
    };
    Work {
        blocks,
        prefill_tokens: prompt_tokens(prompt)
            .saturating_add(call.resume_offset.min(call.max_tokens())),
        target_tokens: target,
        slow_us: marks.slow_ms.saturating_mul(1_000),
        cut_after: drops.then_some(target.div_ceil(2)),
    }
}

/// Reads a body of limited size.
pub(super) async fn read_json<T: serde::de::DeserializeOwned>(
    core: &Core,
    body: Data<'_>,
) -> Result<T, Reply> {
    let limit = core.settings.max_body_bytes.bytes();
    let bytes = match body.open(limit).into_bytes().await {
        Ok(bytes) if bytes.is_complete() => bytes.into_inner(),
        Ok(_) => {
            return Err(Reply::error(
                Status::PayloadTooLarge,
                "invalid_request_error",
                None,
                "the body is too large",
            ));
        }
        Err(_) => return Err(bad_request("the body ended early")),
    };
    serde_json::from_slice(&bytes)
        .map_err(|error| bad_request(error.to_string()))
}

fn bad_request(message: impl Into<String>) -> Reply {
    let kind = "invalid_request_error";
    Reply::error(Status::BadRequest, kind, None, message)
}
