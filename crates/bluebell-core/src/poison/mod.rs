//! Detection of poison requests and prompt parts, which crash the upstreams that run them.
//!
//! A poison request is sent again under a new id and through any gateway, so it is recognised by its [`Fingerprint`].
//! [`InFlightTracker`] tracks what one gateway has in flight at each upstream, and reports the requests that were in
//! flight at an upstream that crashed. [`Crashes`] collects the reports of all gateways and decides which request
//! caused the crashes. A complete answer clears a request, because a request that crashes every upstream that runs it
//! never gets one.
//!
//! Requests that differ in everything else may crash upstreams by a part of the prompt that they share. The shared parts of
//! a prompt are tracked beside the request, by fingerprints of their own.

mod crashes;
mod fingerprint;
mod in_flight;
mod part_answers;
mod refresh;
mod verdict;

pub use crashes::{CRASH_MEMORY, CrashReport, Crashes, Suspects, Suspicion};
pub use fingerprint::{Fingerprint, FingerprintError};
pub use in_flight::{AttemptOutcome, CrashEvidence, CrashedUpstream, InFlightTracker, ResponseLoss};
pub use refresh::RefreshSchedule;
