//! The entry role: caller API, routing and batch partitions.
