//! Batch jobs kept in the key-value service, and their runs.
//!
//! A job is a small [`JobHead`] that the nodes follow that run items, its
//! inputs and its results in chunks. The [`Ledger`] makes each change one
//! compare-and-swap on the head. A [`JobView`] follows all heads; other nodes
//! ask for the [`Heads`] that their callers want. On the nodes that run items,
//! a [`Plan`] shares jobs and endpoints between those nodes and decides what
//! starts and what gives way, and a [`Runner`] carries it out.
//!
//! Running an item twice does no harm, listing it twice would: so owners of
//! jobs are found by hashing and may disagree for a moment, while positions
//! are given by compare-and-swap alone.

mod backlogs;
mod bulk;
mod error;
mod gate;
mod heads;
mod index;
mod ledger;
mod members;
mod online;
mod order;
mod pace;
mod page;
mod plan;
mod planner;
mod record;
mod ring;
mod run;
mod runner;
mod view;

pub use crate::{
    backlogs::ReportedBacklogs,
    bulk::{BulkCache, BulkFuture, BulkValue, NoSiblings, Siblings},
    error::JobError,
    gate::{GateInput, GateOptions, GateOrder, decide},
    heads::{HeadFuture, Heads, KnownHead, ViewHeads},
    ledger::{Ledger, NewJob, Stored},
    members::{Backlog, Members, NodeRecord, Roster},
    online::{
        FRONT_LOAD_LIFE_MS, FrontUpdate, OnlineLoad, OthersUpdate, Stamp,
    },
    order::{PreemptRank, Urgency},
    pace::{Pace, Rest},
    page::{Page, PageReader},
    plan::Plan,
    planner::{Planner, Plans, batch_services},
    record::{
        HEAD_PREFIX, ItemInput, ItemProgress, ItemResult, ItemState, JobHead,
        JobKey, JobProgress, NODE_PREFIX, Strikes, WATCHED_PREFIX,
        decode_head, decode_inputs, decode_new_job, decode_progress,
        decode_results, encode_head, encode_inputs, encode_new_job,
        encode_progress, encode_results, head_key, input_key, merge_strikes,
        output_key, progress_key,
    },
    run::{ItemForwarder, ItemRun, Progress, RunEnd},
    runner::{Probe, ProbeFuture, Runner, RunnerOptions, RunnerParts, Stop},
    view::{JobView, decode_head_row},
};
