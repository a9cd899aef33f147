//! Settings: a tree of branches with inheritance, the numbered log of changes to it, and the replication of that log to
//! all instances.

pub mod branch;
pub mod change;
pub mod error;
pub mod follower;
pub mod policy;
pub mod state;
pub mod tree;

pub use branch::Branch;
pub use change::{Action, Record};
pub use error::SettingsError;
pub use follower::{Follower, FollowerEffect, FollowerEvent, SettingsUpdate};
pub use policy::Policy;
pub use state::State;
