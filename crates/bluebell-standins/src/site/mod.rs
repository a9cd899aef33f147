//! A stand-in of the users' platform, in the process of a test or in one of its own: the store of rows with its feed and
//! transactions, model engines and plain services with the header protocol, each with the faults that a test asks for.

mod control;
mod declarations;
mod http1;
mod store;
mod upstream;

pub use control::serve;
pub use declarations::{TIMEOUT_MS, declarations, server_entry};
pub use http1::Request;
pub use store::{Door, Scanned, SiteStore};
pub use upstream::{Endless, Fault, Poison, Run, SiteUpstream, UpstreamKind};
