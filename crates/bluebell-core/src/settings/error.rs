//! Faults of settings, each naming the branch, the key, the line where known, and what is allowed.

use snafu::Snafu;

use crate::ids::{BranchId, ChangeId, Revision};

/// Settings that can't be accepted.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The text can't be read.
    #[snafu(display("branch {branch}, line {line}: {reason}"))]
    Syntax {
        /// Branch nearest before the fault.
        branch: String,
        /// Line of the fault, from 1.
        line: u64,
        /// What is wrong, and what is allowed.
        reason: String,
    },
    /// A branch can't be written as YAML.
    #[snafu(display("the branch can't be written: {source}"))]
    Write {
        /// What the library said.
        source: serde_saphyr::ser::Error,
    },
    /// A key has a value that is not allowed.
    #[snafu(display("branch {branch}, key {key}: {value} is not allowed; {allowed}"))]
    Value {
        /// The branch.
        branch: BranchId,
        /// The key.
        key: String,
        /// The rejected value.
        value: String,
        /// What is allowed.
        allowed: String,
    },
    /// A key of the root is missing.
    #[snafu(display("branch root must set {key}"))]
    Missing {
        /// The key.
        key: String,
    },
    /// A branch inherits from itself.
    #[snafu(display("branch {branch} inherits from itself"))]
    Cycle {
        /// The branch.
        branch: BranchId,
    },
    /// A branch to be removed still has children.
    #[snafu(display("branch {branch} is the parent of {child}"))]
    HasChild {
        /// The branch.
        branch: BranchId,
        /// One of its children.
        child: BranchId,
    },
    /// Another operator changed the branch meanwhile.
    #[snafu(display(
        "change {change} was made against revision {base} of branch {branch}, \
         but change {other} by {author} moved it to revision {found}"
    ))]
    Conflict {
        /// The branch.
        branch: BranchId,
        /// The rejected change.
        change: ChangeId,
        /// Revision it was made against.
        base: Revision,
        /// Change that came first.
        other: ChangeId,
        /// Who made that change.
        author: String,
        /// Revision of that change.
        found: Revision,
    },
    /// A roll-out is in the way, or there is none.
    #[snafu(display("roll-out of model {model}: {reason}"))]
    Rollout {
        /// The model.
        model: String,
        /// Why the order can't be followed.
        reason: String,
    },
    /// A record doesn't follow the state.
    #[snafu(display("record {found} doesn't follow revision {expected}"))]
    Gap {
        /// Revision of the state.
        expected: Revision,
        /// Revision of the record.
        found: Revision,
    },
}

/// Turns a fault of the YAML library into one that names branch and line.
pub(crate) fn syntax_error(text: &str, source: &serde_saphyr::Error) -> SettingsError {
    let line = source.location().map_or(0, |place| place.line());
    let reason = source.without_snippet().to_string();
    SettingsError::Syntax { branch: branch_before(text, line as usize), line, reason }
}

fn branch_before(text: &str, line: usize) -> String {
    let named =
        |line: &str| Some(line.trim_start().trim_start_matches("- ").strip_prefix("branch:")?.trim().to_owned());
    let lines: Vec<&str> = text.lines().collect();
    let before = lines.iter().take(line).rev().find_map(|line| named(line));
    before.or_else(|| lines.iter().find_map(|line| named(line))).unwrap_or_else(|| "?".to_owned())
}
