//! Submission of changes: sends a change until its outcome is known and, if requested, waits until it is in force.

use std::{path::Path, time::Duration};

use bluebell_core::{
    ids::{ChangeId, Revision},
    settings::{Action, Branch},
};
use rand::Rng;
use serde::{Deserialize, Serialize};
use snafu::ResultExt;
use tokio::time::{Instant, sleep};

use crate::{
    args::Options,
    client::Client,
    error::{CtlError, NotInForceSnafu, ReadFileSnafu},
};

/// Start of the line in a settings file that gives the revision on which the file is based.
pub const BASE_PREFIX: &str = "# base: ";
/// Number of times a change is sent as long as its outcome is unknown.
const MAX_SEND_ATTEMPTS: u32 = 5;
/// Pause between these attempts.
const RESEND_PAUSE: Duration = Duration::from_millis(500);
/// Interval of polls for the instances on which a revision is in force.
const POLL_INTERVAL: Duration = Duration::from_millis(200);

#[derive(Debug, Serialize)]
struct ChangeRequest<'a> {
    change: &'a ChangeId,
    action: &'a Action,
}

#[derive(Debug, Deserialize)]
struct ChangeResponse {
    revision: Revision,
}

/// Result of an accepted change, as printed with `--json`.
#[derive(Debug, Serialize)]
struct ChangeOutcome<'a> {
    change: &'a ChangeId,
    revision: Revision,
    in_force: Option<bool>,
    waited_ms: Option<u64>,
}

/// Whether a revision is in force on all instances, and on which it is not.
#[derive(Debug, Deserialize)]
struct InForceStatus {
    everywhere: bool,
    behind: Vec<BehindInstance>,
}

#[derive(Debug, Deserialize)]
struct BehindInstance {
    instance: String,
    zone: String,
}

/// The action that adds or replaces the branches of a file. `base` takes precedence over the revision given in the file;
/// without either, the base is revision 0.
///
/// # Errors
/// If the file can't be read or its settings are invalid.
pub fn set_action(file: &Path, base: Option<Revision>) -> Result<Action, CtlError> {
    let text = read_file(file)?;
    let branches = Branch::file_from_yaml(&text)?;
    let texts = branches.iter().map(Branch::to_yaml).collect::<Result<Vec<_>, _>>()?;
    let base_of_file = text.lines().find_map(|line| line.strip_prefix(BASE_PREFIX)?.trim().parse().ok());
    Ok(Action::Set { texts, base: base.or(base_of_file).unwrap_or_default() })
}

/// Reads a text file.
///
/// # Errors
/// If it can't be read.
pub fn read_file(file: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(file).context(ReadFileSnafu { path: file.display().to_string() })
}

/// Submits a change; returns the text to print.
///
/// # Errors
/// If the entry can't be reached or refuses the change, the outcome stays unknown, or the change is not in force in time.
pub async fn submit(client: &Client, options: &Options, action: Action) -> Result<String, CtlError> {
    let change = options.change.clone().unwrap_or_else(random_id);
    let start = Instant::now();
    let revision = send(client, &change, &action).await?;
    let mut outcome = ChangeOutcome { change: &change, revision, in_force: None, waited_ms: None };
    if options.wait {
        wait_until_in_force(client, revision, start + Duration::from_secs(options.timeout)).await?;
        outcome.in_force = Some(true);
        outcome.waited_ms = Some(start.elapsed().as_millis() as u64);
    }
    if options.json {
        return Ok(serde_json::json!(outcome).to_string());
    }
    let in_force_text = outcome.waited_ms.map(|millis| format!(", in force everywhere after {millis} ms"));
    Ok(format!("revision {revision} accepted (change {change}){}", in_force_text.unwrap_or_default()))
}

fn random_id() -> ChangeId {
    let text = format!("{:016x}", rand::rng().random::<u64>());
    text.parse().unwrap_or_else(|_| unreachable!("hexadecimal digits are a valid id"))
}

// Every attempt has the same id, so that a change whose earlier attempt took effect is recognised and not applied twice.
async fn send(client: &Client, change: &ChangeId, action: &Action) -> Result<Revision, CtlError> {
    let mut attempts = 0;
    loop {
        let result: Result<ChangeResponse, CtlError> =
            client.post("/admin/changes", &ChangeRequest { change, action }).await;
        attempts += 1;
        match result {
            Ok(response) => return Ok(response.revision),
            Err(CtlError::Refused { code, .. }) if code == "outcome_unknown" && attempts < MAX_SEND_ATTEMPTS => {
                sleep(RESEND_PAUSE).await;
            }
            Err(error) => return Err(error),
        }
    }
}

async fn wait_until_in_force(client: &Client, revision: Revision, deadline: Instant) -> Result<(), CtlError> {
    loop {
        let status: InForceStatus = client.get(&format!("/admin/in-force?revision={revision}")).await?;
        if status.everywhere {
            return Ok(());
        }
        if Instant::now() > deadline {
            let name = |behind: &BehindInstance| format!("{} in zone {}", behind.instance, behind.zone);
            let behind: Vec<String> = status.behind.iter().map(name).collect();
            return NotInForceSnafu { revision: revision.0, behind: behind.join(", ") }.fail();
        }
        sleep(POLL_INTERVAL).await;
    }
}
