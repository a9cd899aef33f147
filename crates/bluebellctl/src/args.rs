//! Command line for operators.

use std::path::PathBuf;

use bluebell_core::ids::{BranchId, ChangeId, ModelId, Revision, VersionId};
use bpaf::Bpaf;

/// Drives a bluebellstack through any of its entries
///
/// Examples:
///   bluebellctl settings get maktabat > branch.yaml
///   bluebellctl --wait settings set branch.yaml
///   bluebellctl --wait version withdraw atlas-small@2
///   bluebellctl rollout start atlas-small --from atlas-small@1 --to atlas-small@2 --branch maktabat
///
/// Exit codes: 0 done, 1 entry not reached or wrong usage, 2 not acceptable, 3 conflict with another change,
/// 4 outcome unknown, 5 accepted but not in force everywhere in time.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Address of an entry, http://ip:port
    #[bpaf(env("BLUEBELL_ENTRY"), argument("URL"))]
    pub entry: String,
    /// The operator's key
    #[bpaf(env("BLUEBELL_KEY"), argument("KEY"))]
    pub key: String,
    /// Print JSON in place of text
    pub json: bool,
    /// Wait until a change is in force everywhere
    pub wait: bool,
    /// Longest time to wait, in seconds
    #[bpaf(argument("SECONDS"), fallback(30))]
    pub timeout: u64,
    /// Id of the change; a change sent again under its id is applied once
    #[bpaf(argument("ID"))]
    pub change: Option<ChangeId>,
    /// What to do.
    #[bpaf(external(command))]
    pub command: Command,
}

/// What to do.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Look at and change the tree of settings
    #[bpaf(command("settings"))]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Take versions out of use, or back
    #[bpaf(command("version"))]
    Version(#[bpaf(external(version_command))] VersionCommand),
    /// Move a model from one version to another, step by step
    #[bpaf(command("rollout"))]
    Rollout(#[bpaf(external(rollout_command))] RolloutCommand),
    /// Instances as the entry sees them
    #[bpaf(command("members"))]
    Members,
    /// Standing of the entry
    #[bpaf(command("status"))]
    Status,
}

/// What to do with the settings.
#[derive(Debug, Clone, Bpaf)]
pub enum SettingsCommand {
    /// Print a branch, or the whole tree, with the revision to base a change on
    #[bpaf(command("get"))]
    Get {
        /// The branch
        #[bpaf(positional("BRANCH"))]
        branch: Option<BranchId>,
    },
    /// Set the branches of a file, as printed by get
    #[bpaf(command("set"))]
    Set {
        /// Revision that the change is based on, where the file doesn't say it
        #[bpaf(argument("REVISION"))]
        base: Option<Revision>,
        /// YAML file with one branch, or several below `branches:`
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what setting a file would change
    #[bpaf(command("diff"))]
    Diff {
        /// YAML file with one branch, or several below `branches:`
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show which branch each value of a branch comes from
    #[bpaf(command("explain"))]
    Explain {
        /// The branch
        #[bpaf(positional("BRANCH"))]
        branch: BranchId,
    },
    /// Show accepted changes
    #[bpaf(command("history"))]
    History {
        /// Only changes after this revision
        #[bpaf(argument("REVISION"), fallback(Revision(0)))]
        after: Revision,
    },
    /// Remove a branch that has no children
    #[bpaf(command("remove"))]
    Remove {
        /// Revision that the change is based on
        #[bpaf(argument("REVISION"))]
        base: Revision,
        /// The branch
        #[bpaf(positional("BRANCH"))]
        branch: BranchId,
    },
}

/// What to do with a version.
#[derive(Debug, Clone, Bpaf)]
pub enum VersionCommand {
    /// Give a version no new work and end its sessions
    #[bpaf(command("withdraw"))]
    Withdraw {
        /// The version, model@version
        #[bpaf(positional("VERSION"))]
        version: VersionId,
    },
    /// Give a version no new sessions
    #[bpaf(command("drain"))]
    Drain {
        /// The version, model@version
        #[bpaf(positional("VERSION"))]
        version: VersionId,
    },
    /// Take back a withdrawal or a drain
    #[bpaf(command("restore"))]
    Restore {
        /// The version, model@version
        #[bpaf(positional("VERSION"))]
        version: VersionId,
    },
}

/// What to do with a roll-out.
#[derive(Debug, Clone, Bpaf)]
pub enum RolloutCommand {
    /// Begin to move new sessions to another version
    #[bpaf(command("start"))]
    Start {
        /// Version that has the sessions now
        #[bpaf(argument("VERSION"))]
        from: VersionId,
        /// Version that is to get them
        #[bpaf(argument("VERSION"))]
        to: VersionId,
        /// Branch whose plan is followed
        #[bpaf(argument("BRANCH"))]
        branch: BranchId,
        /// The model
        #[bpaf(positional("MODEL"))]
        model: ModelId,
    },
    /// Hold a roll-out where it is
    #[bpaf(command("pause"))]
    Pause {
        /// The model
        #[bpaf(positional("MODEL"))]
        model: ModelId,
    },
    /// Let a paused roll-out go on
    #[bpaf(command("resume"))]
    Resume {
        /// The model
        #[bpaf(positional("MODEL"))]
        model: ModelId,
    },
    /// End a roll-out and give new sessions to the old version
    #[bpaf(command("abort"))]
    Abort {
        /// The model
        #[bpaf(positional("MODEL"))]
        model: ModelId,
    },
    /// Show roll-outs
    #[bpaf(command("status"))]
    Status,
}
