//! The in-memory fake: scripted faults, lease expiry by a stepped clock,
//! watches.

use futures::FutureExt;
use pomeloslip_kv::{
    Event, Kv, KvError, LeaseId, Memory, Op, Txn, WriteFault,
};
use yare::parameterized;

fn put(key: &str, lease: Option<LeaseId>) -> Txn {
    Txn {
        success: vec![Op::Put {
            key: key.into(),
            value: b"v".to_vec(),
            lease,
        }],
        ..Txn::default()
    }
}

#[parameterized(
    none = { WriteFault::None, None, 1 },
    refused = { WriteFault::Refused, Some(KvError::NotDone), 0 },
    lost_before = { WriteFault::RequestLost, Some(KvError::Unknown), 0 },
    lost_after = { WriteFault::ResponseLost, Some(KvError::Unknown), 1 },
)]
#[test_macro(tokio::test)]
async fn a_scripted_fault_affects_one_write(
    fault: WriteFault,
    error: Option<KvError>,
    written: usize,
) {
    let kv = Memory::default();
    kv.script_write_faults([fault]);
    let result = kv.txn(put("a", None)).await;
    assert_eq!(result.err().map(|e| *e.current_context()), error);
    assert_eq!(kv.get("a").await.unwrap().kvs.len(), written);
    kv.txn(put("a", None)).await.unwrap();
}

#[tokio::test]
async fn a_lease_ends_when_the_test_steps_the_clock() {
    let kv = Memory::default();
    let lease = kv.lease_grant(5).await.unwrap();
    kv.txn(put("owner", Some(lease))).await.unwrap();
    let mut watch = kv.watch("own", kv.revision() + 1).await.unwrap();
    kv.step_ms(4_000);
    kv.lease_keep_alive(lease).await.unwrap();
    kv.step_ms(4_999);
    assert!(watch.next().now_or_never().is_none());
    kv.step_ms(1);
    let batch = watch.next().await.unwrap();
    let deleted = Event::Delete {
        key: "owner".into(),
        mod_revision: 3,
    };
    assert_eq!(batch.events, [deleted]);
    let late = kv.lease_keep_alive(lease).await.unwrap_err();
    assert_eq!(*late.current_context(), KvError::LeaseGone);
}

#[tokio::test]
async fn an_outage_ends_watches_and_refuses_calls() {
    let kv = Memory::default();
    let mut watch = kv.watch("", 1).await.unwrap();
    kv.set_down(true);
    let ended = watch.next().await.unwrap_err();
    assert_eq!(*ended.current_context(), KvError::NotDone);
    let refused = kv.txn(put("a", None)).await.unwrap_err();
    assert_eq!(*refused.current_context(), KvError::NotDone);
    assert!(kv.get("a").await.is_err());
    kv.set_down(false);
    assert!(kv.get("a").await.unwrap().kvs.is_empty());
}

#[tokio::test]
async fn a_watch_misses_nothing_since_its_revision() {
    let kv = Memory::default();
    for key in ["job/1", "other", "job/2"] {
        kv.txn(put(key, None)).await.unwrap();
    }
    let mut watch = kv.watch("job/", 2).await.unwrap();
    assert_eq!(watch.next().await.unwrap().events.len(), 2);
    kv.txn(put("job/3", None)).await.unwrap();
    assert_eq!(watch.next().await.unwrap().revision, 5);
    kv.compact(3).unwrap();
    let mut late = kv.watch("job/", 3).await.unwrap();
    let error = late.next().await.unwrap_err();
    assert_eq!(*error.current_context(), KvError::Compacted);
}
