//! Conversations that every instance has with its peers: heartbeats with revisions, settings, and billing rows.

use std::{
    sync::{Arc, Mutex, MutexGuard, PoisonError},
    time::Duration,
};

use bluebell_core::{
    billing::BillingEvent,
    ids::{InstanceId, Revision},
    kernel::Input,
    members::MembersEvent,
    settings::{FollowerEvent, follower::Origin},
};
use bluebell_wire::{
    FrameReader, FrameWriter, Incoming, Route, WireError,
    messages::{
        Beat, BillsAsk, BillsReply, Confirmation, ConfirmedAsk, ConfirmedReply, FetchAsk, FetchReply, Standing,
    },
};
use indexmap::IndexMap;
use tokio::time::{Instant, interval, timeout_at};

use crate::{config::Timing, control::ControlHandle, shared::Shared, sidecar::Admission};

/// Instances that follow this one, with the revision that each confirmed.
#[derive(Default)]
pub struct Followers(Mutex<IndexMap<InstanceId, Revision>>);

impl Followers {
    fn lock(&self) -> MutexGuard<'_, IndexMap<InstanceId, Revision>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// What each follower confirmed.
    pub fn confirmations(&self) -> Vec<Confirmation> {
        let confirm = |(instance, revision): (&InstanceId, &Revision)| Confirmation {
            instance: instance.clone(),
            revision: *revision,
        };
        self.lock().iter().map(confirm).collect()
    }
}

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
    mut reader: FrameReader<Beat>,
    mut writer: FrameWriter<Beat>,
    mut heard: impl FnMut(&Beat),
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
    WireError::Timeout { address: peer.to_string(), patience }
}

fn own_beat(shared: &Shared) -> Beat {
    Beat {
        revision: Revision(*shared.revision.borrow()),
        load: shared.admission.as_ref().map_or(0.0, Admission::load),
        standing: standing(shared),
    }
}

fn standing(shared: &Shared) -> Standing {
    if shared.is_leaving() {
        Standing::Leaving
    } else if shared.is_ready() {
        Standing::Open
    } else {
        Standing::Starting
    }
}

fn note(seen: &Exchange<'_>, beat: &Beat) {
    let own = *seen.shared.revision.borrow();
    let current = seen.shared.current.load(std::sync::atomic::Ordering::Relaxed);
    if beat.revision.0 > own || !current {
        let origin = Origin::Peer(seen.peer.clone());
        seen.control.input(Input::Settings(FollowerEvent::Seen { origin, revision: beat.revision }));
    }
    let known = seen.shared.members.load().said_leaving(seen.peer);
    match beat.standing {
        Standing::Leaving if !known => {
            seen.control.input(Input::Members(MembersEvent::Leaving(seen.peer.clone())));
        }
        Standing::Open if known => seen.control.input(Input::Members(MembersEvent::Open(seen.peer.clone()))),
        _ => {}
    }
}

/// Serves one of the conversations that every instance has.
///
/// # Errors
/// When the connection broke or the peer sent what can't be read.
pub async fn serve(shared: &Arc<Shared>, control: &ControlHandle, incoming: Incoming) -> Result<(), WireError> {
    match incoming.route {
        Route::Follow | Route::Watch => serve_follow(shared, control, incoming).await,
        Route::Fetch => serve_fetch(control, incoming).await,
        Route::Bills => serve_bills(shared, control, incoming).await,
        Route::Confirmed => serve_confirmed(shared, incoming).await,
        Route::Run | Route::Resolve | Route::Exchange => Err(WireError::Route { path: incoming.route.to_string() }),
    }
}

async fn serve_follow(shared: &Arc<Shared>, control: &ControlHandle, incoming: Incoming) -> Result<(), WireError> {
    let peer = incoming.from.clone();
    let pace = Pace::of(incoming.route, &shared.config.timing);
    let (reader, writer) = incoming.accept()?;
    let seen = Exchange { shared, control, peer: &peer, pace };
    let result = exchange(&seen, reader, writer, |beat| {
        shared.followers.lock().insert(peer.clone(), beat.revision);
    })
    .await;
    shared.followers.lock().swap_remove(&peer);
    result
}

async fn serve_fetch(control: &ControlHandle, incoming: Incoming) -> Result<(), WireError> {
    let (mut reader, mut writer) = incoming.accept::<FetchAsk, FetchReply>()?;
    let after = reader.expect().await?.after;
    let snapshot = control.query(move |kernel| kernel.settings().map(|follower| follower.since(after))).await;
    match snapshot.flatten() {
        Some(snapshot) => writer.finish(&snapshot).await,
        None => Err(WireError::Closed),
    }
}

async fn serve_bills(shared: &Shared, control: &ControlHandle, incoming: Incoming) -> Result<(), WireError> {
    let (mut reader, mut writer) = incoming.accept::<BillsAsk, BillsReply>()?;
    let reply = match reader.expect().await? {
        BillsAsk::Take(_) if shared.is_leaving() => BillsReply::Declined,
        BillsAsk::Take(rows) => {
            for row in rows {
                control.input(Input::Billing(BillingEvent::Add(row)));
            }
            BillsReply::Taken
        }
        BillsAsk::Settled(requests) => {
            control.input(Input::Billing(BillingEvent::Settled(requests)));
            BillsReply::Taken
        }
    };
    writer.finish(&reply).await
}

async fn serve_confirmed(shared: &Shared, incoming: Incoming) -> Result<(), WireError> {
    let (mut reader, mut writer) = incoming.accept::<ConfirmedAsk, ConfirmedReply>()?;
    reader.expect().await?;
    let own = Revision(*shared.revision.borrow());
    writer.finish(&ConfirmedReply { own, followers: shared.followers.confirmations() }).await
}
