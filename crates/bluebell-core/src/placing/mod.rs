//! Which upstream gets a request: by load, by the parts of its prompt that an upstream has read already, by health
//! and by distance.

mod health;
mod liveness;
mod load;
mod parts;
mod pick;

pub use health::{Health, HealthEvent};
pub use liveness::Liveness;
pub use load::{Load, Report};
pub use parts::{Part, PartCache};
pub use pick::{Candidate, READ_PER_MS, Work, pick};
