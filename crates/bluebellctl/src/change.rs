//! Making a change: sending it until its outcome is known, and waiting until it is in force.

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
    error::{CtlError, FileSnafu, NotInForceSnafu},
};

/// Line of a settings file that names the revision it is based on.
pub const BASE_MARK: &str = "# base: ";
/// Times that a change is sent while its outcome is unknown.
const SEND_TRIES: u32 = 5;
/// Pause between them.
const SEND_PAUSE: Duration = Duration::from_millis(500);
/// Pause between two looks at where a revision is in force.
const LOOK_PAUSE: Duration = Duration::from_millis(200);

#[derive(Debug, Serialize)]
struct Change<'a> {
    change: &'a ChangeId,
    action: &'a Action,
}

#[derive(Debug, Deserialize)]
struct Committed {
    revision: Revision,
}

/// What became of a change.
#[derive(Debug, Serialize)]
struct Outcome<'a> {
    change: &'a ChangeId,
    revision: Revision,
    in_force: Option<bool>,
    waited_ms: Option<u64>,
}

/// Where a revision is in force.
#[derive(Debug, Deserialize)]
struct InForce {
    everywhere: bool,
    behind: Vec<Behind>,
}

#[derive(Debug, Deserialize)]
struct Behind {
    instance: String,
    zone: String,
}

/// The action that sets the branches of a file.
///
/// # Errors
/// When the file can't be read or its settings are wrong.
pub fn set_action(file: &Path, base: Option<Revision>) -> Result<Action, CtlError> {
    let text = read_file(file)?;
    let branches = Branch::file_from_yaml(&text)?;
    let texts = branches.iter().map(Branch::to_yaml).collect::<Result<Vec<_>, _>>()?;
    let marked = text.lines().find_map(|line| line.strip_prefix(BASE_MARK)?.trim().parse().ok());
    Ok(Action::Set { texts, base: base.or(marked).unwrap_or_default() })
}

/// Reads a file.
///
/// # Errors
/// When it can't be read.
pub fn read_file(file: &Path) -> Result<String, CtlError> {
    std::fs::read_to_string(file).context(FileSnafu { path: file.display().to_string() })
}

/// Makes a change; gives what to print.
///
/// # Errors
/// When it is not accepted, its outcome stays unknown, or it is not in force in time.
pub async fn make(client: &Client, options: &Options, action: Action) -> Result<String, CtlError> {
    let change = options.change.clone().unwrap_or_else(new_id);
    let begun = Instant::now();
    let revision = commit(client, &change, &action).await?;
    let mut outcome = Outcome { change: &change, revision, in_force: None, waited_ms: None };
    if options.wait {
        wait(client, revision, begun + Duration::from_secs(options.timeout)).await?;
        outcome.in_force = Some(true);
        outcome.waited_ms = Some(begun.elapsed().as_millis() as u64);
    }
    if options.json {
        return Ok(serde_json::json!(outcome).to_string());
    }
    let force = outcome.waited_ms.map(|millis| format!(", in force everywhere after {millis} ms"));
    Ok(format!("revision {revision} accepted (change {change}){}", force.unwrap_or_default()))
}

fn new_id() -> ChangeId {
    let text = format!("{:016x}", rand::rng().random::<u64>());
    text.parse().unwrap_or_else(|_| unreachable!("hexadecimal digits make an id"))
}

// The same id each time: an earlier send that took effect is found again, not applied twice.
async fn commit(client: &Client, change: &ChangeId, action: &Action) -> Result<Revision, CtlError> {
    let mut tries = 0;
    loop {
        let sent: Result<Committed, CtlError> = client.post("/admin/changes", &Change { change, action }).await;
        tries += 1;
        match sent {
            Ok(committed) => return Ok(committed.revision),
            Err(CtlError::Refused { code, .. }) if code == "outcome_unknown" && tries < SEND_TRIES => {
                sleep(SEND_PAUSE).await;
            }
            Err(error) => return Err(error),
        }
    }
}

async fn wait(client: &Client, revision: Revision, deadline: Instant) -> Result<(), CtlError> {
    loop {
        let force: InForce = client.get(&format!("/admin/in-force?revision={revision}")).await?;
        if force.everywhere {
            return Ok(());
        }
        if Instant::now() > deadline {
            let name = |behind: &Behind| format!("{} in zone {}", behind.instance, behind.zone);
            let behind: Vec<String> = force.behind.iter().map(name).collect();
            return NotInForceSnafu { revision: revision.0, behind: behind.join(", ") }.fail();
        }
        sleep(LOOK_PAUSE).await;
    }
}
