//! A stand-in of the users' platform in the process of a test: the store of rows with its feed and transactions, model
//! engines and plain services with the header protocol, each with the faults that a test asks for.

mod http1;
mod store;
mod upstream;

pub use store::{Door, SiteStore};
pub use upstream::{Fault, Run, SiteUpstream, UpstreamKind};
