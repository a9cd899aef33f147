//! Command-line client for operators of bluebellstack. Through any entry it shows and changes settings, versions and
//! roll-outs, and lists members.

pub mod args;
mod change;
mod client;
mod error;
mod show;

use args::{Command, Options, RolloutCommand, SettingsCommand, VersionCommand};
use bluebell_core::settings::Action;
use client::Client;
pub use error::CtlError;

/// Runs a command; returns the text to print.
///
/// # Errors
/// If the entry can't be reached or refuses the request, a file can't be read or is invalid, a branch does not exist, or
/// a change is not in force in time.
pub async fn run(options: &Options) -> Result<String, CtlError> {
    let client = Client::new(options)?;
    match &options.command {
        Command::Settings(command) => settings(&client, options, command).await,
        Command::Version(command) => change::submit(&client, options, version_action(command)).await,
        Command::Rollout(command) => rollout(&client, options, command).await,
        Command::Members => show::members(&client, options).await,
        Command::Status => show::status(&client, options).await,
    }
}

async fn settings(client: &Client, options: &Options, command: &SettingsCommand) -> Result<String, CtlError> {
    match command {
        SettingsCommand::Get { branch } => show::settings(client, options, branch.as_ref()).await,
        SettingsCommand::Set { base, file } => {
            let action = change::set_action(file, *base)?;
            change::submit(client, options, action).await
        }
        SettingsCommand::Diff { file } => show::diff(client, file).await,
        SettingsCommand::Explain { branch } => show::explain(client, options, branch).await,
        SettingsCommand::History { after } => show::history(client, options, *after).await,
        SettingsCommand::Remove { base, branch } => {
            change::submit(client, options, Action::Remove { branch: branch.clone(), base: *base }).await
        }
    }
}

fn version_action(command: &VersionCommand) -> Action {
    match command {
        VersionCommand::Withdraw { version } => Action::Withdraw { version: version.clone() },
        VersionCommand::Drain { version } => Action::Drain { version: version.clone() },
        VersionCommand::Restore { version } => Action::Restore { version: version.clone() },
    }
}

async fn rollout(client: &Client, options: &Options, command: &RolloutCommand) -> Result<String, CtlError> {
    let action = match command {
        RolloutCommand::Status => return show::rollouts(client, options).await,
        RolloutCommand::Start { from, to, branch, model } => {
            Action::Start { model: model.clone(), from: from.clone(), to: to.clone(), branch: branch.clone() }
        }
        RolloutCommand::Pause { model } => Action::Pause { model: model.clone(), paused: true },
        RolloutCommand::Resume { model } => Action::Pause { model: model.clone(), paused: false },
        RolloutCommand::Abort { model } => Action::Abort { model: model.clone() },
    };
    change::submit(client, options, action).await
}
