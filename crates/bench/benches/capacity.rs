//! Slopes for the page on capacity, from real processes.
//!
//! Processor time and memory of each role against requests a second, open
//! streams, endpoints and customers; what idle companions cost an entry; calls
//! of the key-value service at rest and under batch load. All figures depend
//! on the machine and are printed only. Promise checked: every answer is
//! right and every job ends.

#[path = "capacity/idle.rs"]
mod idle;
#[path = "capacity/online.rs"]
mod online;
#[path = "capacity/platform.rs"]
mod platform;
#[path = "capacity/relay.rs"]
mod relay;
#[path = "capacity/window.rs"]
mod window;

use std::process::ExitCode;

use error_stack::Report;
use pomeloslip_bench::{BenchError, Options, Table, run};

fn main() -> ExitCode {
    run(measure)
}

async fn measure(options: Options) -> Result<(), Report<BenchError>> {
    let tables = [
        online::measure(options).await?,
        idle::companions(options).await?,
        idle::customers(options).await?,
        platform::measure(options).await?,
    ];
    Table::print_all("capacity", options, &tables);
    Ok(())
}
