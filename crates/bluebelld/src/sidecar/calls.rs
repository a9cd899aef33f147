//! What became of calls that run only on a second order. This register decides, under one lock, between the order
//! to run and a question that closes the attempt: only one of them comes first.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bluebell_core::{
    ids::AttemptId,
    intent::{Resolution, StoredReply},
};
use bluebell_wire::{
    Incoming, WireError,
    messages::{ResolveAsk, ResolveReply},
};
use indexmap::IndexMap;

use super::Sidecar;

/// Time for which the fate of a call is remembered.
const MEMORY: Duration = Duration::from_secs(3600);

#[derive(Debug, Clone)]
enum Fate {
    Reserved,
    Closed,
    Running,
    Done(StoredReply),
    Unknown,
}

#[derive(Debug)]
struct Known {
    fate: Fate,
    since: Duration,
}

/// Calls that run only on a second order.
#[derive(Debug, Default)]
pub struct Calls(Mutex<IndexMap<AttemptId, Known>>);

impl Calls {
    fn lock(&self) -> MutexGuard<'_, IndexMap<AttemptId, Known>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn set(&self, attempt: &AttemptId, fate: Fate, now: Duration) {
        let mut calls = self.lock();
        let old = calls.values().take_while(|known| now > known.since + MEMORY).count();
        calls.drain(..old);
        calls.insert(attempt.clone(), Known { fate, since: now });
    }

    /// A place was reserved.
    pub fn reserve(&self, attempt: &AttemptId, now: Duration) {
        self.set(attempt, Fate::Reserved, now);
    }

    /// The order to run came; tells whether it may be followed.
    pub fn start(&self, attempt: &AttemptId) -> bool {
        let mut calls = self.lock();
        let Some(known) = calls.get_mut(attempt) else { return false };
        let may = matches!(known.fate, Fate::Reserved);
        if may {
            known.fate = Fate::Running;
        }
        may
    }

    /// The call did not run, and will not.
    pub fn close(&self, attempt: &AttemptId, now: Duration) {
        self.set(attempt, Fate::Closed, now);
    }

    /// The call ended with a reply, or nobody can tell.
    pub fn end(&self, attempt: &AttemptId, reply: Option<StoredReply>, now: Duration) {
        self.set(attempt, reply.map_or(Fate::Unknown, Fate::Done), now);
    }

    /// What became of a call; one that has not run yet is closed by the question.
    pub fn resolve(&self, attempt: &AttemptId) -> Resolution {
        let mut calls = self.lock();
        let Some(known) = calls.get_mut(attempt) else { return Resolution::Unknown };
        match &known.fate {
            Fate::Reserved | Fate::Closed => {
                known.fate = Fate::Closed;
                Resolution::NeverRan
            }
            Fate::Running => Resolution::Running,
            Fate::Done(reply) => Resolution::Done(reply.clone()),
            Fate::Unknown => Resolution::Unknown,
        }
    }
}

/// Answers what became of a call.
///
/// # Errors
/// When the connection broke.
pub async fn resolve(sidecar: &Arc<Sidecar>, incoming: Incoming) -> Result<(), WireError> {
    let (mut reader, mut writer) = incoming.accept::<ResolveAsk, ResolveReply>()?;
    let question = reader.expect().await?;
    // An earlier incarnation's calls are not known here, and may have run.
    let known = question.incarnation == sidecar.shared.incarnation;
    let word = if known { sidecar.calls.resolve(&question.attempt) } else { Resolution::Unknown };
    writer.finish(&word).await
}
