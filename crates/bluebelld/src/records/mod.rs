//! What the product keeps in the platform's store: settings, intents, session pins and bills, and what it reads there
//! of instances and ratings. Content is JSON, so that operators can read it.

mod instances;
mod intents;
mod objects;
mod ratings;
mod reports;
mod settings;
mod table;

pub use ratings::Rating;
pub use reports::{FoundReports, PREFIX as REPORT_PREFIX, ReportRows, StoredReport, committed_rows};
pub use settings::{CommitError, HeldLease, Proposal};
pub use table::{RecordError, Records};
