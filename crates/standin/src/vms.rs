//! Stand-in: vms.
