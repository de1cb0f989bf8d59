//! Companion admission as a state machine without I/O.
//!
//! Engines know no priorities and admit all that arrives; the [`Gate`] beside
//! an engine decides what it runs next. Online calls start at once while
//! there is a place and take the places of batch items when there is none;
//! batch items use what is left for as long as the measured latencies keep
//! the promises. `docs/design/gate.md` weighs the alternatives.

mod arrivals;
mod call;
mod dispatch;
mod gate;
mod limit;
mod measure;
mod options;
mod pace;
mod recent;
mod stall;
mod waiting;

pub use crate::{
    call::{
        Action, Arrival, BatchArrival, CallKey, End, Event, RejectReason,
        Rejection, StopReason,
    },
    gate::{Gate, GateLoad},
    options::{GateOptions, Policy},
};
