//! Rows and objects in the platform's store: settings, intents, session pins, billing rows and crash reports, which
//! are written here, and instances and ratings, which are only read. Content is JSON, so that operators can read it.

mod instances;
mod intents;
mod objects;
mod ratings;
mod reports;
mod settings;
mod table;

pub use ratings::Rating;
pub use reports::{FoundReports, PREFIX as REPORT_PREFIX, ReportRows, StoredReport, committed_rows, is_report};
pub use settings::{CommitError, HeldLease, Proposal};
pub use table::{RecordError, Records};
