//! The data role: bulk storage for other processes.
