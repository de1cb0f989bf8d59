//! Output for people: tables, differences, errors.
//!
//! Nothing here prints; each part returns text, so that it can be tested
//! and written to any output.

mod diff;
mod history;
mod job;
mod report;
mod status;
mod table;

pub use self::{
    diff::diff_lines,
    history::history,
    job::{job, jobs},
    report::{chain, fault, one_line},
    status::status,
    table::Table,
};
