//! Requests that end the upstreams that run them.
//!
//! Such a request comes again with a new id, through any gateway, so what is known of it goes by its fingerprint.
//! [`InFlightTracker`] keeps what runs at which upstream at one gateway, and tells which requests were under way where an
//! upstream ended. [`Crashes`] gathers these reports of all gateways, and decides which request the ends are put down
//! to. An answer clears a request: what ends each upstream that runs it never has one.

mod crashes;
mod fingerprint;
mod in_flight;

pub use crashes::{CRASH_MEMORY, CrashReport, Crashes, Suspects, Suspicion};
pub use fingerprint::{Fingerprint, FingerprintError};
pub use in_flight::{AttemptOutcome, CrashEvidence, CrashedUpstream, InFlightTracker, ResponseLoss};
