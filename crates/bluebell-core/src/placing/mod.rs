//! Selects the upstream for a request by load, cached prompt parts, health and availability zone.

mod capacity;
mod departure;
mod health;
mod liveness;
mod load;
mod parts;
mod peer_loads;
mod pick;
mod ramp_up;
mod uneven;

pub use capacity::{Capacity, UsualSpeed};
pub use departure::{Admission, Departure, LAST_RESORT_PERIOD};
pub use health::{Health, HealthEvent, MAX_PAUSE};
pub use liveness::{Liveness, prefill_allowance};
pub use load::{Load, LoadEstimate, Report};
pub use parts::{Part, PartCache};
pub use peer_loads::{PeerLoad, PeerLoads};
pub use pick::{Candidate, PREFILL_TOKENS_PER_MS, RequestProfile, pick};
pub use ramp_up::{EndReason, RampCause, RampChange, RampEnd, RampSample, RampSignal, RampUp, Window};
