//! Selection of the model version for a request, of the subset of runners that an entry connects to, and of the runner
//! for each request.

pub mod pick;
pub mod plan;
pub mod rendezvous;
pub mod subset;

pub use pick::{Load, pick_two};
pub use plan::{Plan, PlanError, Wanted};
pub use subset::{Node, Subset};
