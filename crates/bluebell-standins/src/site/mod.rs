//! Stand-ins for the users' platform: the row store with its change feed and transactions, and upstreams (model
//! engines and plain services) that speak the header protocol.
//!
//! They run inside a test's process; the store can also run in a process of its own. Tests can inject faults into each.

mod answers;
mod control;
mod declarations;
mod endless;
mod fault;
mod http1;
mod poison;
mod raw;
mod refusals;
mod store;
mod upstream;

pub use control::serve;
pub use declarations::{TIMEOUT_MS, declarations, server_entry};
pub use endless::Endless;
pub use fault::Fault;
pub use http1::Request;
pub use poison::{Poison, PoisonMarker};
pub use raw::{REQUEST_ID, RawAnswer, RawEnd, SharedFaults};
pub use refusals::CopyTime;
pub use store::{SiteStore, StoreCopy, StoreMode, StoredRow};
pub use upstream::{Run, SiteUpstream, UpstreamKind};
