//! Output for people: tables, differences, errors.
//!
//! Nothing here prints; each part returns text, so that it can be tested
//! and written to any output.

mod diff;
mod job;
mod report;
mod status;
mod table;

pub use self::{
    diff::diff_lines,
    job::{job, jobs},
    report::{chain, fault, one_line},
    status::status,
    table::Table,
};
