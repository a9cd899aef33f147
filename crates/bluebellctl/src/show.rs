//! Commands that show the entry's data, as text or JSON.

use std::path::Path;

use bluebell_core::{
    ids::{BranchId, Revision},
    settings::{Action, Branch, Record, State},
};
use serde_json::Value;

use crate::{
    args::Options,
    change::{BASE_PREFIX, read_file},
    client::Client,
    error::{CtlError, UnknownBranchSnafu},
};

/// Shows a branch, or the whole tree.
///
/// # Errors
/// If the entry can't be reached or the branch does not exist.
pub async fn settings(client: &Client, options: &Options, branch: Option<&BranchId>) -> Result<String, CtlError> {
    let state = client.state().await?;
    if options.json {
        return Ok(serde_json::json!(state).to_string());
    }
    let base_line = format!("{BASE_PREFIX}{}\n", state.revision);
    match branch {
        Some(id) => Ok(base_line + branch_text(&state, id)?),
        None => Ok(state.branches.values().fold(base_line + "branches:\n", |out, row| out + &list_item(&row.text))),
    }
}

fn branch_text<'a>(state: &'a State, id: &BranchId) -> Result<&'a str, CtlError> {
    match state.branches.get(id) {
        Some(row) => Ok(&row.text),
        None => UnknownBranchSnafu { branch: id.as_str() }.fail(),
    }
}

// Formats the text of a branch as an item of a YAML list.
fn list_item(text: &str) -> String {
    let lines = text.lines().enumerate().map(|(number, line)| match number {
        0 => format!("  - {line}\n"),
        _ => format!("    {line}\n"),
    });
    lines.collect()
}

/// Shows which lines would change if the branches of a file were set.
///
/// # Errors
/// If the file can't be read, its settings are invalid, or the entry can't be reached.
pub async fn diff(client: &Client, file: &Path) -> Result<String, CtlError> {
    let branches = Branch::file_from_yaml(&read_file(file)?)?;
    let state = client.state().await?;
    let mut out = String::new();
    for branch in branches {
        let new = branch.to_yaml()?;
        let old = state.branches.get(&branch.branch).map_or("", |row| row.text.as_str());
        let lines = diff_lines(old, &new);
        if !lines.is_empty() {
            out += &format!("branch {}\n{lines}", branch.branch);
        }
    }
    Ok(if out.is_empty() { "no difference".to_owned() } else { out })
}

// Lines that occur in only one of the two texts. Their order and repetitions are not compared.
fn diff_lines(old: &str, new: &str) -> String {
    let removed = old.lines().filter(|line| !new.lines().any(|other| other == *line)).map(|line| format!("- {line}\n"));
    let added = new.lines().filter(|line| !old.lines().any(|other| other == *line)).map(|line| format!("+ {line}\n"));
    removed.chain(added).collect()
}

/// Shows which branch of the tree each value of a branch comes from.
///
/// # Errors
/// If the entry can't be reached or the branch does not exist.
pub async fn explain(client: &Client, options: &Options, branch: &BranchId) -> Result<String, CtlError> {
    let origins: Value = client.get(&format!("/admin/explain/{branch}")).await?;
    if options.json {
        return Ok(origins.to_string());
    }
    let pairs = origins.as_object().into_iter().flatten();
    Ok(pairs.map(|(key, origin)| format!("{key:<14} from {}\n", origin.as_str().unwrap_or("?"))).collect())
}

/// Lists the accepted changes.
///
/// # Errors
/// If the entry can't be reached or refuses.
pub async fn history(client: &Client, options: &Options, after: Revision) -> Result<String, CtlError> {
    let records: Vec<Record> = client.get(&format!("/admin/history?after={after}")).await?;
    if options.json {
        return Ok(serde_json::json!(records).to_string());
    }
    let line = |record: &Record| {
        format!("{:>6}  {:<18} {:<12} {}\n", record.revision, record.change, record.author, action_text(&record.action))
    };
    Ok(records.iter().map(line).collect())
}

fn action_text(action: &Action) -> String {
    match action {
        Action::Set { texts, .. } => {
            let names = texts.iter().filter_map(|text| Branch::from_yaml(text).ok());
            let names: Vec<String> = names.map(|branch| branch.branch.to_string()).collect();
            format!("set {}", names.join(", "))
        }
        Action::Remove { branch, .. } => format!("remove {branch}"),
        Action::Withdraw { version } => format!("withdraw {version}"),
        Action::Drain { version } => format!("drain {version}"),
        Action::Restore { version } => format!("restore {version}"),
        Action::Start { from, to, .. } => format!("roll out {to} in place of {from}"),
        Action::Step { model, share, .. } => format!("roll-out of {model} at {share}"),
        Action::Pause { model, paused } => {
            format!("roll-out of {model} {}", if *paused { "paused" } else { "resumed" })
        }
        Action::Abort { model } => format!("roll-out of {model} aborted"),
    }
}

/// Lists the roll-outs that are in progress or completed.
///
/// # Errors
/// If the entry can't be reached.
pub async fn rollouts(client: &Client, options: &Options) -> Result<String, CtlError> {
    let state = client.state().await?;
    if options.json {
        return Ok(serde_json::json!(state.rollouts).to_string());
    }
    let lines = state.rollouts.iter().map(|(model, rollout)| {
        let paused = if rollout.paused { ", paused" } else { "" };
        format!("{model}: {} of new sessions on {}, from {}{paused}\n", rollout.share, rollout.to, rollout.from)
    });
    let text: String = lines.collect();
    Ok(if text.is_empty() { "no roll-outs".to_owned() } else { text })
}

/// Lists the instances known to the entry.
///
/// # Errors
/// If the entry can't be reached.
pub async fn members(client: &Client, options: &Options) -> Result<String, CtlError> {
    let members: Vec<Value> = client.get("/admin/members").await?;
    if options.json {
        return Ok(Value::Array(members).to_string());
    }
    let field = |member: &Value, name: &str| match &member[name] {
        Value::String(text) => text.clone(),
        other => other.to_string(),
    };
    let line = |member: &Value| {
        format!(
            "{:<16} {:<8} {:<12} {:<22} leaving={:<5} connected={}\n",
            field(member, "instance"),
            field(member, "role"),
            field(member, "zone"),
            field(member, "address"),
            field(member, "leaving"),
            field(member, "connected"),
        )
    };
    Ok(members.iter().map(line).collect())
}

/// Shows the status of the entry.
///
/// # Errors
/// If the entry can't be reached.
pub async fn status(client: &Client, options: &Options) -> Result<String, CtlError> {
    let status: Value = client.get("/admin/status").await?;
    if options.json {
        return Ok(status.to_string());
    }
    let pairs = status.as_object().into_iter().flatten();
    Ok(pairs.map(|(key, value)| format!("{key:<10} {value}\n")).collect())
}
