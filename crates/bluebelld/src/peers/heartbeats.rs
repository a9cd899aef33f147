//! Exchange of heartbeats, in which peers report their settings revision, load and readiness.

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

/// Context of an exchange of heartbeats with one peer.
pub struct HeartbeatContext<'a> {
    /// State shared by all threads of the process.
    pub shared: &'a Arc<Shared>,
    /// Handle of the control thread.
    pub control: &'a ControlHandle,
    /// Instance id of the peer.
    pub peer: &'a InstanceId,
    /// Heartbeat period and timeout.
    pub timing: HeartbeatTiming,
}

/// Heartbeat period and timeout of a connection.
#[derive(Debug, Clone, Copy)]
pub struct HeartbeatTiming {
    period: Duration,
    timeout: Duration,
}

/// Heartbeat periods without a message after which a [`Route::Watch`] connection is considered dead.
const WATCH_TIMEOUT_PERIODS: u32 = 3;

impl HeartbeatTiming {
    /// Timing for a route.
    pub fn of(route: Route, timing: &Timing) -> Self {
        match route {
            Route::Watch => Self { period: timing.watch, timeout: timing.watch * WATCH_TIMEOUT_PERIODS },
            _ => Self { period: timing.heartbeat, timeout: timing.silence },
        }
    }
}

/// Exchanges heartbeats until the connection ends or the peer's heartbeats stop; calls `on_heartbeat` for each one
/// received.
///
/// # Errors
/// When the connection fails or no heartbeat arrives within the timeout.
pub async fn exchange_heartbeats(
    context: &HeartbeatContext<'_>,
    mut reader: FrameReader<Heartbeat>,
    mut writer: FrameWriter<Heartbeat>,
    mut on_heartbeat: impl FnMut(&Heartbeat),
) -> Result<(), WireError> {
    let HeartbeatContext { shared, timing, .. } = context;
    let mut ticks = interval(timing.period);
    let mut status_changes = shared.status_changes.subscribe();
    let mut deadline = Instant::now() + timing.timeout;
    loop {
        tokio::select! {
            received = timeout_at(deadline, reader.next()) => {
                let Ok(received) = received else { return Err(timed_out(context.peer, timing.timeout)) };
                let Some(heartbeat) = received? else { return Ok(()) };
                deadline = Instant::now() + timing.timeout;
                process(context, &heartbeat);
                on_heartbeat(&heartbeat);
            }
            _ = ticks.tick() => writer.send(&own_heartbeat(shared)).await?,
            _ = status_changes.changed() => writer.send(&own_heartbeat(shared)).await?,
        }
    }
}

fn timed_out(peer: &InstanceId, time_limit: Duration) -> WireError {
    WireError::Timeout { address: peer.to_string(), time_limit }
}

fn own_heartbeat(shared: &Shared) -> Heartbeat {
    Heartbeat {
        revision: Revision(*shared.revision.borrow()),
        load: shared.admission.as_ref().map_or(0.0, Admission::load),
        readiness: readiness(shared),
    }
}

fn readiness(shared: &Shared) -> Readiness {
    if shared.is_shutting_down() {
        Readiness::ShuttingDown
    } else if shared.is_ready() {
        Readiness::Ready
    } else {
        Readiness::Starting
    }
}

fn process(context: &HeartbeatContext<'_>, heartbeat: &Heartbeat) {
    let HeartbeatContext { shared, control, peer, .. } = *context;
    let own = *shared.revision.borrow();
    let current = shared.settings_current.load(std::sync::atomic::Ordering::Relaxed);
    if heartbeat.revision.0 > own || !current {
        let origin = Origin::Peer(peer.clone());
        control.input(Input::Settings(FollowerEvent::Seen { origin, revision: heartbeat.revision }));
    }
    let known_leaving = shared.members.load().announced_leaving(peer);
    match heartbeat.readiness {
        Readiness::ShuttingDown if !known_leaving => {
            control.input(Input::Members(MembersEvent::Leaving(peer.clone())));
        }
        Readiness::Ready if known_leaving => control.input(Input::Members(MembersEvent::Open(peer.clone()))),
        _ => {}
    }
}
