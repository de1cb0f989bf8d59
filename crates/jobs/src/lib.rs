//! Storage of batch jobs in the key-value service, and execution of their
//! items.
//!
//! A job consists of a small [`JobManifest`], which all nodes that run items
//! follow, and of chunks of inputs and results. The [`Ledger`] makes each
//! change as one compare-and-swap on the manifest. A [`JobView`] follows all
//! manifests; other nodes request the manifests that their callers need
//! through a [`ManifestSource`]. On the nodes that run items, an
//! [`Assignment`] distributes jobs and endpoints among the nodes, and a
//! [`Runner`] starts, preempts and finishes items.
//!
//! Running an item twice is harmless, listing its result twice is not. The
//! owner of a job is therefore found by hashing, and nodes may disagree about
//! it for a moment, while result positions are assigned only by
//! compare-and-swap.

mod assignment;
mod attempts;
mod backlogs;
mod bulk;
mod error;
mod gate;
mod index;
mod item_speed;
mod job_route;
mod ledger;
mod manifests;
mod members;
mod online;
mod order;
mod page;
mod planner;
mod record;
mod ring;
mod run;
mod run_time;
mod runner;
mod silence;
mod spools;
mod version_wait;
mod view;

pub use crate::{
    assignment::Assignment,
    attempts::{
        AttemptCounts, CounterId, FailedAttempts, KnownAttempts,
        ProcessAttempts,
    },
    backlogs::ReportedBacklogs,
    bulk::{BulkCache, BulkFuture, BulkPeers, BulkValue, NoPeers},
    error::JobError,
    gate::{GateDecision, GateInput, GateOptions, decide},
    item_speed::{FreeEndpoint, start_order},
    job_route::JobRoute,
    ledger::{Ledger, NewJob, StoredManifest},
    manifests::{
        KnownManifest, ManifestFuture, ManifestSource, ViewManifests,
    },
    members::{Backlog, Members, NodeRecord, Roster, SpoolState},
    online::{
        FRONT_LOAD_TTL_MS, FrontUpdate, OnlineLoad, OtherFrontsLoad,
        ReportVersion,
    },
    order::{PreemptRank, SlackPriority},
    page::{Page, PageReader},
    planner::{Assignments, Planner, batch_services},
    record::{
        ItemCheckpoint, ItemInput, ItemResult, ItemState, JobCheckpoint,
        JobKey, JobManifest, MANIFEST_PREFIX, NODE_PREFIX, SPOOL_PREFIX,
        WATCHED_PREFIX, checkpoint_key, decode_checkpoints, decode_inputs,
        decode_manifest, decode_new_job, decode_results, encode_checkpoints,
        encode_inputs, encode_manifest, encode_new_job, encode_results,
        input_key, manifest_key, output_key,
    },
    run::{
        BreakCause, ItemForwarder, ItemRun, OutputLimits, Progress, RunOutcome,
    },
    run_time::{RemainingTime, RunTimeEstimator},
    runner::{
        Probe, ProbeFuture, Runner, RunnerOptions, RunnerParts, ShutdownSignal,
    },
    silence::SilenceClock,
    spools::MissingSpool,
    version_wait::VersionWait,
    view::{JobView, decode_manifest_row},
};
