//! Requests that end the upstreams that run them.
//!
//! Such a request comes again with a new id, through any gateway, so what is known of it goes by its fingerprint.
//! [`Flights`] keeps what runs at which upstream at one gateway, and tells which requests were under way where an
//! upstream ended. [`Crashes`] gathers these reports of all gateways, and decides which request the ends are put down
//! to. An answer clears a request: what ends each upstream that runs it never has one.

mod crashes;
mod fingerprint;
mod flights;

pub use crashes::{CRASH_MEMORY, CrashReport, Crashes, Suspects, Suspicion};
pub use fingerprint::{Fingerprint, FingerprintError};
pub use flights::{EndSign, Ended, Flights, Landing, Loss};
