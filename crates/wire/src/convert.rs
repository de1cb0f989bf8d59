//! Conversions between the plain types and the generated readers and
//! builders. Names are validated here, so that later code need not do it.

use std::str::FromStr;

use base::{Class, Incarnation, VersionKey};
use bytes::Bytes;
use capnp::{Error, struct_list, text};

use crate::{
    message::{
        Header, Item, ItemOutcome, ItemResult, Load, Outcome, OutcomeKind,
        Pull, PullReply, Refusal, RefusalKind, Request,
    },
    schema_capnp as schema,
};

/// Maximum number of elements accepted in a list from a peer.
const MAX_LIST_LEN: u32 = 65_536;

pub(crate) fn parse_name<T>(
    text: capnp::Result<text::Reader<'_>>,
) -> capnp::Result<T>
where
    T: FromStr,
    T::Err: std::fmt::Display,
{
    read_string(text)?
        .parse()
        .map_err(|error: T::Err| Error::failed(error.to_string()))
}

pub(crate) fn read_string(
    text: capnp::Result<text::Reader<'_>>,
) -> capnp::Result<String> {
    Ok(text?.to_str()?.to_owned())
}

fn read_bytes(data: capnp::Result<&[u8]>) -> capnp::Result<Bytes> {
    Ok(Bytes::copy_from_slice(data?))
}

pub(crate) fn check_len(len: u32) -> capnp::Result<u32> {
    if len > MAX_LIST_LEN {
        return Err(Error::failed(format!("a list of {len} is too long")));
    }
    Ok(len)
}

fn class_code(class: Class) -> u8 {
    match class {
        Class::Online => 0,
        Class::Batch => 1,
    }
}

fn class_from_code(code: u8) -> capnp::Result<Class> {
    match code {
        0 => Ok(Class::Online),
        1 => Ok(Class::Batch),
        _ => Err(Error::failed(format!("class {code} is unknown"))),
    }
}

pub(crate) fn read_headers(
    list: struct_list::Reader<'_, schema::header::Owned>,
) -> capnp::Result<Vec<Header>> {
    check_len(list.len())?;
    list.iter()
        .map(|header| {
            Ok(Header {
                name: read_string(header.get_name())?,
                value: read_string(header.get_value())?,
            })
        })
        .collect()
}

pub(crate) fn write_headers(
    headers: &[Header],
    mut list: struct_list::Builder<'_, schema::header::Owned>,
) {
    for (index, header) in headers.iter().enumerate() {
        let mut slot = list.reborrow().get(index as u32);
        slot.set_name(&header.name);
        slot.set_value(&header.value);
    }
}

pub(crate) fn read_request(
    reader: schema::request::Reader<'_>,
) -> capnp::Result<Request> {
    Ok(Request {
        request_id: parse_name(reader.get_request_id())?,
        attempt: reader.get_attempt(),
        customer: parse_name(reader.get_tenant())?,
        class: class_from_code(reader.get_class())?,
        method: read_string(reader.get_method())?,
        path: read_string(reader.get_path())?,
        headers: read_headers(reader.get_headers()?)?,
        body: read_bytes(reader.get_body())?,
        deadline_ms: reader.get_deadline_ms(),
        repeatable: reader.get_repeatable(),
        resume_offset: reader.get_resume_offset(),
        target: read_string(reader.get_target())?,
        version: VersionKey::from_u64(reader.get_version()),
    })
}

pub(crate) fn write_request(
    request: &Request,
    mut builder: schema::request::Builder<'_>,
) {
    builder.set_request_id(request.request_id.as_str());
    builder.set_attempt(request.attempt);
    builder.set_tenant(request.customer.as_str());
    builder.set_class(class_code(request.class));
    builder.set_method(&request.method);
    builder.set_path(&request.path);
    builder.set_body(&request.body);
    builder.set_deadline_ms(request.deadline_ms);
    builder.set_repeatable(request.repeatable);
    builder.set_resume_offset(request.resume_offset);
    builder.set_target(&request.target);
    builder.set_version(request.version.as_u64());
    let count = request.headers.len() as u32;
    write_headers(&request.headers, builder.init_headers(count));
}

pub(crate) fn read_refusal(
    reader: schema::refusal::Reader<'_>,
) -> capnp::Result<Refusal> {
    Ok(Refusal {
        kind: RefusalKind::from_code(reader.get_kind()),
        detail: read_string(reader.get_detail())?,
        retry_after_ms: reader.get_retry_after_ms(),
    })
}

pub(crate) fn write_refusal(
    refusal: &Refusal,
    mut builder: schema::refusal::Builder<'_>,
) {
    builder.set_kind(refusal.kind.code());
    builder.set_detail(&refusal.detail);
    builder.set_retry_after_ms(refusal.retry_after_ms);
}

pub(crate) fn read_outcome(
    reader: schema::outcome::Reader<'_>,
) -> capnp::Result<Outcome> {
    Ok(Outcome {
        kind: OutcomeKind::from_code(reader.get_kind()),
        ran: reader.get_ran(),
        detail: read_string(reader.get_detail())?,
        chunks: reader.get_chunks(),
    })
}

pub(crate) fn write_outcome(
    outcome: &Outcome,
    mut builder: schema::outcome::Builder<'_>,
) {
    builder.set_kind(outcome.kind.code());
    builder.set_ran(outcome.ran);
    builder.set_detail(&outcome.detail);
    builder.set_chunks(outcome.chunks);
}

pub(crate) fn read_load(reader: schema::load::Reader<'_>) -> Load {
    Load {
        running: reader.get_running(),
        waiting: reader.get_waiting(),
        batch_running: reader.get_batch_running(),
        first_token_ms: reader.get_first_token_ms(),
        between_tokens_ms: reader.get_between_tokens_ms(),
        leaving: reader.get_leaving(),
        incarnation: Incarnation::new(reader.get_incarnation()),
        endpoint_up: reader.get_endpoint_up(),
        version: VersionKey::from_u64(reader.get_version()),
    }
}

pub(crate) fn write_load(load: Load, mut builder: schema::load::Builder<'_>) {
    builder.set_running(load.running);
    builder.set_waiting(load.waiting);
    builder.set_batch_running(load.batch_running);
    builder.set_first_token_ms(load.first_token_ms);
    builder.set_between_tokens_ms(load.between_tokens_ms);
    builder.set_leaving(load.leaving);
    builder.set_incarnation(load.incarnation.get());
    builder.set_endpoint_up(load.endpoint_up);
    builder.set_version(load.version.as_u64());
}

fn read_item(reader: schema::item::Reader<'_>) -> capnp::Result<Item> {
    Ok(Item {
        grant: reader.get_grant(),
        partition: reader.get_partition(),
        fence: reader.get_fence(),
        job: parse_name(reader.get_job())?,
        index: reader.get_index(),
        attempt: reader.get_attempt(),
        customer: parse_name(reader.get_tenant())?,
        path: read_string(reader.get_path())?,
        body: read_bytes(reader.get_body())?,
        expires_in_ms: reader.get_expires_in_ms(),
        due_unix_ms: reader.get_due_unix_ms(),
    })
}

fn write_item(item: &Item, mut builder: schema::item::Builder<'_>) {
    builder.set_grant(item.grant);
    builder.set_partition(item.partition);
    builder.set_fence(item.fence);
    builder.set_job(item.job.as_str());
    builder.set_index(item.index);
    builder.set_attempt(item.attempt);
    builder.set_tenant(item.customer.as_str());
    builder.set_path(&item.path);
    builder.set_body(&item.body);
    builder.set_expires_in_ms(item.expires_in_ms);
    builder.set_due_unix_ms(item.due_unix_ms);
}

pub(crate) fn read_result(
    reader: schema::item_result::Reader<'_>,
) -> capnp::Result<ItemResult> {
    Ok(ItemResult {
        grant: reader.get_grant(),
        partition: reader.get_partition(),
        fence: reader.get_fence(),
        job: parse_name(reader.get_job())?,
        index: reader.get_index(),
        attempt: reader.get_attempt(),
        outcome: ItemOutcome::from_code(reader.get_outcome()),
        status: reader.get_status(),
        body: read_bytes(reader.get_body())?,
    })
}

pub(crate) fn write_result(
    result: &ItemResult,
    mut builder: schema::item_result::Builder<'_>,
) {
    builder.set_grant(result.grant);
    builder.set_partition(result.partition);
    builder.set_fence(result.fence);
    builder.set_job(result.job.as_str());
    builder.set_index(result.index);
    builder.set_attempt(result.attempt);
    builder.set_outcome(result.outcome.code());
    builder.set_status(result.status);
    builder.set_body(&result.body);
}

pub(crate) fn read_pull(
    reader: schema::pull::Reader<'_>,
) -> capnp::Result<Pull> {
    let models = reader.get_models()?;
    check_len(models.len())?;
    let running = reader.get_running()?;
    check_len(running.len())?;
    Ok(Pull {
        vm: parse_name(reader.get_vm())?,
        incarnation: Incarnation::new(reader.get_incarnation()),
        models: models.iter().map(read_string).collect::<Result<_, _>>()?,
        capacity: reader.get_room(),
        running: running.iter().collect(),
    })
}

pub(crate) fn write_pull(pull: &Pull, mut builder: schema::pull::Builder<'_>) {
    builder.set_vm(pull.vm.as_str());
    builder.set_incarnation(pull.incarnation.get());
    builder.set_room(pull.capacity);
    let mut models = builder.reborrow().init_models(pull.models.len() as u32);
    for (index, model) in pull.models.iter().enumerate() {
        models.set(index as u32, model);
    }
    let mut running = builder.init_running(pull.running.len() as u32);
    for (index, grant) in pull.running.iter().enumerate() {
        running.set(index as u32, *grant);
    }
}

pub(crate) fn read_pull_reply(
    reader: schema::pull_reply::Reader<'_>,
) -> capnp::Result<PullReply> {
    let items = reader.get_items()?;
    check_len(items.len())?;
    let revoked = reader.get_revoked()?;
    check_len(revoked.len())?;
    Ok(PullReply {
        items: items.iter().map(read_item).collect::<Result<_, _>>()?,
        revoked: revoked.iter().collect(),
        next_in_ms: reader.get_next_in_ms(),
    })
}

pub(crate) fn write_pull_reply(
    reply: &PullReply,
    mut builder: schema::pull_reply::Builder<'_>,
) {
    builder.set_next_in_ms(reply.next_in_ms);
    let mut items = builder.reborrow().init_items(reply.items.len() as u32);
    for (index, item) in reply.items.iter().enumerate() {
        write_item(item, items.reborrow().get(index as u32));
    }
    let mut revoked = builder.init_revoked(reply.revoked.len() as u32);
    for (index, grant) in reply.revoked.iter().enumerate() {
        revoked.set(index as u32, *grant);
    }
}
