//! Errors of settings. Messages name the branch, the key, the line where known, and what is allowed.

use snafu::Snafu;

use crate::ids::{BranchId, ChangeId, Revision};

/// Reason why settings or a change to them are rejected.
#[derive(Debug, Snafu)]
#[snafu(visibility(pub(crate)))]
pub enum SettingsError {
    /// The text can't be parsed.
    #[snafu(display("branch {branch}, line {line}: {reason}"))]
    Syntax {
        /// Name of the nearest branch at or before the line of the error; otherwise the first branch in the file, or `?`.
        branch: String,
        /// Line of the error, from 1; 0 if unknown.
        line: u64,
        /// Parser message, with what is allowed.
        reason: String,
    },
    /// A branch can't be serialised as YAML.
    #[snafu(display("the branch can't be written: {source}"))]
    Write {
        /// Error of the YAML library.
        source: serde_saphyr::ser::Error,
    },
    /// A key has a value that is not allowed.
    #[snafu(display("branch {branch}, key {key}: {value} is not allowed; {allowed}"))]
    Value {
        /// Name of the branch.
        branch: BranchId,
        /// Name of the key.
        key: String,
        /// The rejected value.
        value: String,
        /// Description of the allowed values.
        allowed: String,
    },
    /// The root branch, or a key that it must set, is missing.
    #[snafu(display("branch root must set {key}"))]
    Missing {
        /// Name of the key.
        key: String,
    },
    /// The chain of parents of a branch forms a cycle.
    #[snafu(display("branch {branch} inherits from itself"))]
    Cycle {
        /// Name of the branch.
        branch: BranchId,
    },
    /// A branch to be removed still has children.
    #[snafu(display("branch {branch} is the parent of {child}"))]
    HasChild {
        /// Name of the branch.
        branch: BranchId,
        /// One of its children.
        child: BranchId,
    },
    /// The branch was changed after the revision that the rejected change is based on.
    #[snafu(display(
        "change {change} was made against revision {base} of branch {branch}, \
         but change {other} by {author} moved it to revision {found}"
    ))]
    Conflict {
        /// Name of the branch.
        branch: BranchId,
        /// The rejected change.
        change: ChangeId,
        /// Revision that the rejected change is based on.
        base: Revision,
        /// Change that was applied first.
        other: ChangeId,
        /// Who made that change.
        author: String,
        /// Revision of that change.
        found: Revision,
    },
    /// A change to a roll-out is not possible in the current state.
    #[snafu(display("roll-out of model {model}: {reason}"))]
    Rollout {
        /// Name of the model.
        model: String,
        /// Why the change is not possible.
        reason: String,
    },
    /// The revision of a record is not the one after the current state.
    #[snafu(display("record {found} doesn't follow revision {expected}"))]
    Gap {
        /// Revision of the state.
        expected: Revision,
        /// Revision of the record.
        found: Revision,
    },
}

/// Converts an error of the YAML library into one that names the branch and the line.
pub(crate) fn syntax_error(text: &str, source: &serde_saphyr::Error) -> SettingsError {
    let line = source.location().map_or(0, |location| location.line());
    let reason = source.without_snippet().to_string();
    SettingsError::Syntax { branch: nearest_branch(text, line as usize), line, reason }
}

fn nearest_branch(text: &str, line: usize) -> String {
    let branch_name =
        |line: &str| Some(line.trim_start().trim_start_matches("- ").strip_prefix("branch:")?.trim().to_owned());
    let lines: Vec<&str> = text.lines().collect();
    let before = lines.iter().take(line).rev().find_map(|line| branch_name(line));
    before.or_else(|| lines.iter().find_map(|line| branch_name(line))).unwrap_or_else(|| "?".to_owned())
}
