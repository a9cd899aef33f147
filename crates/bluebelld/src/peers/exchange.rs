//! Heartbeats, by which peers tell each other revision, load and standing.

use std::{sync::Arc, time::Duration};

use bluebell_core::{
    ids::{InstanceId, Revision},
    kernel::Input,
    members::MembersEvent,
    settings::{FollowerEvent, follower::Origin},
};
use bluebell_wire::{
    FrameReader, FrameWriter, Route, WireError,
    messages::{Heartbeat, Readiness},
};
use tokio::time::{Instant, interval, timeout_at};

use crate::{
    config::Timing,
    shared::{Admission, ControlHandle, Shared},
};

/// Both ends of an exchange of heartbeats.
pub struct Exchange<'a> {
    /// What the process shares.
    pub shared: &'a Arc<Shared>,
    /// The control thread.
    pub control: &'a ControlHandle,
    /// The peer.
    pub peer: &'a InstanceId,
    /// How often both ends speak.
    pub pace: Pace,
}

/// How often both ends of an exchange speak.
#[derive(Debug, Clone, Copy)]
pub struct Pace {
    heartbeat: Duration,
    silence: Duration,
}

/// Heartbeats of a watched connection that may be missed.
const MISSED_BEATS: u32 = 3;

impl Pace {
    /// The pace of a kind of conversation.
    pub fn of(route: Route, timing: &Timing) -> Self {
        match route {
            Route::Watch => Self { heartbeat: timing.watch, silence: timing.watch * MISSED_BEATS },
            _ => Self { heartbeat: timing.heartbeat, silence: timing.silence },
        }
    }
}

/// Exchanges heartbeats until the connection breaks or the peer falls silent.
///
/// # Errors
/// When the connection broke or the peer was silent for too long.
pub async fn exchange(
    seen: &Exchange<'_>,
    mut reader: FrameReader<Heartbeat>,
    mut writer: FrameWriter<Heartbeat>,
    mut heard: impl FnMut(&Heartbeat),
) -> Result<(), WireError> {
    let shared = seen.shared;
    let timing = seen.pace;
    let mut beats = interval(timing.heartbeat);
    let mut news = shared.news.subscribe();
    let mut deadline = Instant::now() + timing.silence;
    loop {
        tokio::select! {
            beat = timeout_at(deadline, reader.next()) => {
                let Ok(beat) = beat else { return Err(silent(seen.peer, timing.silence)) };
                let Some(beat) = beat? else { return Ok(()) };
                deadline = Instant::now() + timing.silence;
                note(seen, &beat);
                heard(&beat);
            }
            _ = beats.tick() => writer.send(&own_beat(shared)).await?,
            _ = news.changed() => writer.send(&own_beat(shared)).await?,
        }
    }
}

fn silent(peer: &InstanceId, patience: Duration) -> WireError {
    WireError::Timeout { address: peer.to_string(), time_limit: patience }
}

fn own_beat(shared: &Shared) -> Heartbeat {
    Heartbeat {
        revision: Revision(*shared.revision.borrow()),
        load: shared.admission.as_ref().map_or(0.0, Admission::load),
        readiness: standing(shared),
    }
}

fn standing(shared: &Shared) -> Readiness {
    if shared.is_leaving() {
        Readiness::ShuttingDown
    } else if shared.is_ready() {
        Readiness::Ready
    } else {
        Readiness::Starting
    }
}

fn note(seen: &Exchange<'_>, beat: &Heartbeat) {
    let own = *seen.shared.revision.borrow();
    let current = seen.shared.current.load(std::sync::atomic::Ordering::Relaxed);
    if beat.revision.0 > own || !current {
        let origin = Origin::Peer(seen.peer.clone());
        seen.control.input(Input::Settings(FollowerEvent::Seen { origin, revision: beat.revision }));
    }
    let known = seen.shared.members.load().announced_leaving(seen.peer);
    match beat.readiness {
        Readiness::ShuttingDown if !known => {
            seen.control.input(Input::Members(MembersEvent::Leaving(seen.peer.clone())));
        }
        Readiness::Ready if known => seen.control.input(Input::Members(MembersEvent::Open(seen.peer.clone()))),
        _ => {}
    }
}
