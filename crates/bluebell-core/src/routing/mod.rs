//! Which version a request should run on, which runners an entry knows, and which of them it takes.

pub mod pick;
pub mod plan;
pub mod rendezvous;
pub mod subset;

pub use pick::{Load, pick_two};
pub use plan::{Plan, PlanError, Wanted};
pub use subset::{Node, Subset};
