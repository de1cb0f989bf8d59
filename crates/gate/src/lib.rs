//! Admission control of an endpoint as a state machine without I/O.
//!
//! Engines know no priorities and admit every request; the [`Gate`] beside an
//! engine decides which call runs next. Online calls start at once while a
//! slot is free and preempt batch items when none is. Batch items use the
//! remaining slots as long as the measured latencies meet their targets.
//! `docs/design/gate.md` discusses the alternatives.

mod arrivals;
mod call;
mod class_queue;
mod dispatch;
mod gate;
mod limit;
mod measurements;
mod options;
mod pace;
mod samples;
mod stall;

pub use crate::{
    call::{
        Action, Arrival, BatchArrival, CallKey, End, Event, RejectReason,
        Rejection, StopReason,
    },
    gate::{Gate, GateLoad},
    options::{GateOptions, Policy},
};
