use serde::{Deserialize, Serialize};

/// Kinds of calls.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub(super) enum CallKind {
    Range,
    Put,
    DeleteRange,
    Txn,
    Compaction,
    LeaseGrant,
    LeaseKeepAlive,
    LeaseRevoke,
    Watch,
}

/// Calls that a stand-in key-value service has received.
#[derive(
    Clone, Copy, Debug, Default, Eq, PartialEq, Deserialize, Serialize,
)]
#[serde(default)]
pub struct KvCounts {
    /// All calls, those in an outage among them; a watch is one call.
    pub calls: u64,
    /// Calls of `range`.
    pub range: u64,
    /// Calls of `put`.
    pub put: u64,
    /// Calls of `deleterange`.
    pub delete_range: u64,
    /// Calls of `txn`.
    pub txn: u64,
    /// Calls of `compaction`.
    pub compaction: u64,
    /// Calls of `lease/grant`.
    pub lease_grant: u64,
    /// Calls of `lease/keepalive`.
    pub lease_keep_alive: u64,
    /// Calls of `lease/revoke`.
    pub lease_revoke: u64,
    /// Calls of `watch`.
    pub watch: u64,
    /// Calls done that read only.
    pub reads: u64,
    /// Calls done that wrote; renewals of leases are among them.
    pub writes: u64,
    /// Bytes of the bodies received.
    pub bytes_in: u64,
    /// Bytes of the bodies sent.
    pub bytes_out: u64,
    /// Calls not done because of an outage.
    pub refused: u64,
    /// Writes done whose answer was withheld.
    pub lost_answers: u64,
    /// Changes that a watch passed over because of its fault.
    pub dropped_changes: u64,
    /// Watches that wait at the moment. One whose caller has gone is
    /// noticed at its next message.
    pub watches_open: u64,
}

impl KvCounts {
    pub(super) fn receive(&mut self, kind: CallKind, bytes: usize) {
        self.calls += 1;
        self.bytes_in += bytes as u64;
        let count = match kind {
            CallKind::Range => &mut self.range,
            CallKind::Put => &mut self.put,
            CallKind::DeleteRange => &mut self.delete_range,
            CallKind::Txn => &mut self.txn,
            CallKind::Compaction => &mut self.compaction,
            CallKind::LeaseGrant => &mut self.lease_grant,
            CallKind::LeaseKeepAlive => &mut self.lease_keep_alive,
            CallKind::LeaseRevoke => &mut self.lease_revoke,
            CallKind::Watch => &mut self.watch,
        };
        *count += 1;
    }
}
