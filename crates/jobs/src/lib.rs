//! Batch jobs kept in the key-value service, and their runs.
//!
//! A job is a small [`JobManifest`] that the nodes follow that run items, its
//! inputs and its results in chunks. The [`Ledger`] makes each change one
//! compare-and-swap on the manifest. A [`JobView`] follows all manifests; other nodes
//! ask for the [`ManifestSource`] that their callers want. On the nodes that run items,
//! a [`Assignment`] shares jobs and endpoints between those nodes and decides what
//! starts and what gives way, and a [`Runner`] carries it out.
//!
//! Running an item twice does no harm, listing it twice would: so owners of
//! jobs are found by hashing and may disagree for a moment, while positions
//! are given by compare-and-swap alone.

mod assignment;
mod backlogs;
mod bulk;
mod error;
mod gate;
mod index;
mod ledger;
mod manifests;
mod members;
mod online;
mod order;
mod pace;
mod page;
mod planner;
mod record;
mod ring;
mod run;
mod runner;
mod view;

pub use crate::{
    assignment::Assignment,
    backlogs::ReportedBacklogs,
    bulk::{BulkCache, BulkFuture, BulkPeers, BulkValue, NoPeers},
    error::JobError,
    gate::{GateInput, GateOptions, GateOrder, decide},
    ledger::{Ledger, NewJob, StoredManifest},
    manifests::{
        KnownManifest, ManifestFuture, ManifestSource, ViewManifests,
    },
    members::{Backlog, Members, NodeRecord, Roster},
    online::{
        FRONT_LOAD_TTL_MS, FrontUpdate, OnlineLoad, OtherFrontsLoad,
        ReportVersion,
    },
    order::{PreemptRank, Urgency},
    pace::{Pace, Rest},
    page::{Page, PageReader},
    planner::{Assignments, Planner, batch_services},
    record::{
        FailedAttempts, ItemCheckpoint, ItemInput, ItemResult, ItemState,
        JobCheckpoint, JobKey, JobManifest, MANIFEST_PREFIX, NODE_PREFIX,
        WATCHED_PREFIX, checkpoint_key, decode_checkpoints, decode_inputs,
        decode_manifest, decode_new_job, decode_results, encode_checkpoints,
        encode_inputs, encode_manifest, encode_new_job, encode_results,
        input_key, manifest_key, merge_failed_attempts, output_key,
    },
    run::{ItemForwarder, ItemRun, Progress, RunOutcome},
    runner::{
        Probe, ProbeFuture, Runner, RunnerOptions, RunnerParts, ShutdownSignal,
    },
    view::{JobView, decode_manifest_row},
};
