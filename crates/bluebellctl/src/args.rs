//! Command-line options and commands.

use std::path::PathBuf;

use bluebell_core::ids::{BranchId, ChangeId, ModelId, Revision, VersionId};
use bpaf::Bpaf;

/// Operates a bluebellstack through any of its entries
///
/// Examples:
///   bluebellctl settings get maktabat > branch.yaml
///   bluebellctl --wait settings set branch.yaml
///   bluebellctl --wait version withdraw atlas-small@2
///   bluebellctl rollout start atlas-small --from atlas-small@1 --to atlas-small@2 --branch maktabat
///
/// Exit codes: 0 success, 1 entry unreachable, request refused or wrong usage, 2 invalid change or unknown branch,
/// 3 conflict with another change, 4 outcome unknown, 5 accepted but not in force on all instances in time.
#[derive(Debug, Clone, Bpaf)]
#[bpaf(options, version)]
pub struct Options {
    /// Address of an entry, http://ip:port
    #[bpaf(env("BLUEBELL_ENTRY"), argument("URL"))]
    pub entry: String,
    /// API key of the operator
    #[bpaf(env("BLUEBELL_KEY"), argument("KEY"))]
    pub key: String,
    /// Print JSON instead of text
    pub json: bool,
    /// Wait until the change is in force on all instances
    pub wait: bool,
    /// Timeout of --wait, in seconds
    #[bpaf(argument("SECONDS"), fallback(30))]
    pub timeout: u64,
    /// Id of the change; a change that is sent again with the same id is applied only once
    #[bpaf(argument("ID"))]
    pub change: Option<ChangeId>,
    /// Command to run.
    #[bpaf(external(command))]
    pub command: Command,
}

/// Commands.
#[derive(Debug, Clone, Bpaf)]
pub enum Command {
    /// Show and change the settings tree
    #[bpaf(command("settings"))]
    Settings(#[bpaf(external(settings_command))] SettingsCommand),
    /// Withdraw, drain and restore versions
    #[bpaf(command("version"))]
    Version(#[bpaf(external(version_command))] VersionCommand),
    /// Roll out another version of a model, step by step
    #[bpaf(command("rollout"))]
    Rollout(#[bpaf(external(rollout_command))] RolloutCommand),
    /// List the instances known to the entry
    #[bpaf(command("members"))]
    Members,
    /// Show the status of the entry
    #[bpaf(command("status"))]
    Status,
}

/// Commands for the settings.
#[derive(Debug, Clone, Bpaf)]
pub enum SettingsCommand {
    /// Print a branch, or the whole tree, with the revision on which to base a change
    #[bpaf(command("get"))]
    Get {
        /// Id of the branch
        #[bpaf(positional("BRANCH"))]
        branch: Option<BranchId>,
    },
    /// Add or replace the branches of a file, in the format printed by get
    #[bpaf(command("set"))]
    Set {
        /// Revision that the change is based on; replaces the one given in the file
        #[bpaf(argument("REVISION"))]
        base: Option<Revision>,
        /// YAML file with one branch, or several below `branches:`
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show what set would change
    #[bpaf(command("diff"))]
    Diff {
        /// YAML file with one branch, or several below `branches:`
        #[bpaf(positional("FILE"))]
        file: PathBuf,
    },
    /// Show which branch of the tree each value of a branch comes from
    #[bpaf(command("explain"))]
    Explain {
        /// Id of the branch
        #[bpaf(positional("BRANCH"))]
        branch: BranchId,
    },
    /// List the accepted changes
    #[bpaf(command("history"))]
    History {
        /// Show only changes after this revision
        #[bpaf(argument("REVISION"), fallback(Revision(0)))]
        after: Revision,
    },
    /// Remove a branch that has no children
    #[bpaf(command("remove"))]
    Remove {
        /// Revision that the change is based on
        #[bpaf(argument("REVISION"))]
        base: Revision,
        /// Id of the branch
        #[bpaf(positional("BRANCH"))]
        branch: BranchId,
    },
}

/// Commands for versions.
#[derive(Debug, Clone, Bpaf)]
pub enum VersionCommand {
    /// Stop routing any requests to a version and end its sessions
    #[bpaf(command("withdraw"))]
    Withdraw {
        /// Id of the version, as model@version
        #[bpaf(positional("VERSION"))]
        version: VersionId,
    },
    /// Stop routing new sessions to a version
    #[bpaf(command("drain"))]
    Drain {
        /// Id of the version, as model@version
        #[bpaf(positional("VERSION"))]
        version: VersionId,
    },
    /// Undo a withdrawal or a drain
    #[bpaf(command("restore"))]
    Restore {
        /// Id of the version, as model@version
        #[bpaf(positional("VERSION"))]
        version: VersionId,
    },
}

/// Commands for roll-outs.
#[derive(Debug, Clone, Bpaf)]
pub enum RolloutCommand {
    /// Start to move new sessions to another version
    #[bpaf(command("start"))]
    Start {
        /// Version that gets the sessions at present
        #[bpaf(argument("VERSION"))]
        from: VersionId,
        /// Version to roll out
        #[bpaf(argument("VERSION"))]
        to: VersionId,
        /// Branch whose roll-out plan applies
        #[bpaf(argument("BRANCH"))]
        branch: BranchId,
        /// Id of the model
        #[bpaf(positional("MODEL"))]
        model: ModelId,
    },
    /// Pause a roll-out at its current step
    #[bpaf(command("pause"))]
    Pause {
        /// Id of the model
        #[bpaf(positional("MODEL"))]
        model: ModelId,
    },
    /// Resume a paused roll-out
    #[bpaf(command("resume"))]
    Resume {
        /// Id of the model
        #[bpaf(positional("MODEL"))]
        model: ModelId,
    },
    /// Cancel a roll-out and route all new sessions to the old version
    #[bpaf(command("abort"))]
    Abort {
        /// Id of the model
        #[bpaf(positional("MODEL"))]
        model: ModelId,
    },
    /// List the roll-outs
    #[bpaf(command("status"))]
    Status,
}
