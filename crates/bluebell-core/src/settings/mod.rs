//! The tree of settings, the sequence of changes made to it, and how an instance follows that sequence.

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
pub use follower::{Follower, FollowerEffect, FollowerEvent, Snapshot};
pub use policy::Policy;
pub use state::State;
