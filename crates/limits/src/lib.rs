//! Tenant rate and concurrency limits and retry budgets without I/O.
