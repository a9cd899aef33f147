//! Detection of poison requests: requests that crash the upstreams that run them.
//!
//! A poison request is sent again under a new id and through any gateway, so it is recognised by its [`Fingerprint`].
//! [`InFlightTracker`] tracks what one gateway has in flight at each upstream, and reports the requests that were in
//! flight at an upstream that crashed. [`Crashes`] collects the reports of all gateways and decides which request
//! caused the crashes. A complete answer clears a request, because a request that crashes every upstream that runs it
//! never gets one.

mod crashes;
mod fingerprint;
mod in_flight;

pub use crashes::{CRASH_MEMORY, CrashReport, Crashes, Suspects, Suspicion};
pub use fingerprint::{Fingerprint, FingerprintError};
pub use in_flight::{AttemptOutcome, CrashEvidence, CrashedUpstream, InFlightTracker, ResponseLoss};
