use jiff::Timestamp;

use super::{Table, table::time_or_dash};
use crate::client::Batch;

/// Shows jobs as a table.
pub fn jobs(jobs: &[Batch]) -> String {
    if jobs.is_empty() {
        return "no jobs\n".to_owned();
    }
    let head = ["id", "status", "done", "failed", "total", "created", "due"];
    let mut table = Table::new(head).right([2, 3, 4]);
    for job in jobs {
        let counts = job.request_counts;
        table.row([
            job.id.clone(),
            job.status.clone(),
            counts.completed.to_string(),
            counts.failed.to_string(),
            counts.total.to_string(),
            time(job.created_at),
            time(job.expires_at),
        ]);
    }
    table.to_string()
}

/// Shows one job, a line for each member.
pub fn job(job: &Batch) -> String {
    let counts = job.request_counts;
    let mut table = Table::new(["id", &job.id]);
    table.row(["status", &job.status]);
    let items = format!(
        "{} done, {} failed, {} in all",
        counts.completed, counts.failed, counts.total
    );
    table.row(["items", &items]);
    table.row(["created", &time(job.created_at)]);
    table.row(["due", &time(job.expires_at)]);
    let files = [
        ("results", &job.output_file_id),
        ("errors", &job.error_file_id),
    ];
    for (name, file) in files {
        table.row([name, file.as_deref().unwrap_or("-")]);
    }
    for (name, value) in &job.other {
        if !value.is_null() && name != "object" {
            table.row([name.clone(), value.to_string()]);
        }
    }
    table.to_string()
}

fn time(unix_s: Option<i64>) -> String {
    time_or_dash(unix_s.and_then(|s| Timestamp::from_second(s).ok()))
}
