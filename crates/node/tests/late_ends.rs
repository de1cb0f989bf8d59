//! The end of a job whose write has no response.

mod common;

use std::time::Duration;

use common::{Engine, call, ready, start, write_config_and_engine};
use kv::{Memory, WriteFault};
use tokio::time::sleep;
use yare::parameterized;

/// Guards against the end of a job that is refused with 503, which promises
/// that it was not done, and is done later.
#[parameterized(
    done_late = { WriteFault::Delayed },
    done_without_response = { WriteFault::RequestLost },
)]
fn an_end_without_a_response_is_not_refused(fault: WriteFault) {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    runtime.expect("a runtime").block_on(async {
        let kv = Memory::default();
        let engine = Engine::start().await;
        write_config_and_engine(&kv, &engine).await;
        let front = start(&kv, "front-1", false).await;
        ready(&front).await;
        let body = r#"["2"]"#;
        let sent = call(front.front, "POST", "/batch/1", "job-1", body).await;
        assert_eq!(sent.0, 202);
        sleep(Duration::from_millis(300)).await;
        kv.script_faults_of_keys("jobs/h/", [fault].repeat(100));
        let path = "/jobs/job-1";
        let ended = call(front.front, "DELETE", path, "end-1", "").await;
        assert_eq!(ended.0, 502, "{}", ended.1);
    });
}
