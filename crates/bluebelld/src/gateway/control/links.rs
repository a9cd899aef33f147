//! Connections between gateways. Each gateway keeps a connection to every other one and sends its updates there. An
//! update that is not acknowledged in time indicates a dead connection, which is reopened.

use std::{net::SocketAddr, sync::Arc, time::Duration};

use bluebell_core::ids::InstanceId;
use bluebell_wire::{
    Connection, FrameReader, FrameWriter, Incoming, Route, Server, WireError,
    messages::{ExchangeAck, ExchangeMessage, GatewayAddress},
};
use tokio::{
    net::TcpListener,
    sync::mpsc,
    task::spawn_local,
    time::{sleep, timeout},
};

use super::event::{Event, EventSender};
use crate::gateway::{outbox::OutboxQueue, state::Gateway};

/// Time limit for connecting to a peer, and for its acknowledgement of a message.
const PEER_TIMEOUT: Duration = Duration::from_millis(1200);
/// Time after which an acknowledgement is logged as late.
const LATE_ACK: Duration = Duration::from_millis(500);
/// Pause before another attempt to connect.
const RECONNECT_PAUSE: Duration = Duration::from_millis(400);
/// Attempts to connect to a seed.
const SEED_ATTEMPTS: u32 = 5;
/// Accepted streams of peers that may be queued before they are handled.
const ACCEPT_QUEUE: usize = 64;

/// Accepts the connections of peers.
pub fn listen(gateway: &Arc<Gateway>, listener: TcpListener, events: EventSender) {
    let (streams, mut incoming) = mpsc::channel::<Incoming>(ACCEPT_QUEUE);
    let server = Server::new(Arc::clone(&gateway.identity), streams, gateway.leaving.subscribe());
    tokio::task::spawn_local(server.run(listener));
    spawn_local(async move {
        while let Some(stream) = incoming.recv().await {
            let events = events.clone();
            spawn_local(async move {
                if let Err(error) = receive(stream, &events).await {
                    log::debug!("connection from a peer ended: {error}");
                }
            });
        }
    });
}

async fn receive(stream: Incoming, events: &EventSender) -> Result<(), WireError> {
    if stream.route != Route::Exchange {
        return Err(WireError::UnknownRoute { path: stream.route.to_string() });
    }
    let peer = stream.from.clone();
    let (mut reader, mut writer): (FrameReader<ExchangeMessage>, FrameWriter<ExchangeAck>) = stream.accept()?;
    while let Some(message) = reader.next().await? {
        let event = match message {
            ExchangeMessage::Hello(address) => Event::Hello(address),
            ExchangeMessage::Rows(rows) => Event::PeerRows { peer: peer.clone(), rows, snapshots: Vec::new() },
            ExchangeMessage::AllRows { rows, snapshots } => Event::PeerRows { peer: peer.clone(), rows, snapshots },
            ExchangeMessage::Status(status) => Event::Status(peer.clone(), status),
            ExchangeMessage::Crashes(reports) => Event::Crashes(peer.clone(), reports),
            ExchangeMessage::Answered(requests) => Event::Answered(peer.clone(), requests),
            ExchangeMessage::Cleared(answered) => Event::CrashesCleared(peer.clone(), answered),
            ExchangeMessage::Fetch(after) => Event::Fetch(peer.clone(), after),
        };
        // Fails only while the process exits, when the control thread is gone.
        let _ = events.send(event);
        writer.send(&ExchangeAck).await?;
    }
    Ok(())
}

/// Keeps a connection to a peer open, and reopens it when it breaks, until the sender of `outbox` is dropped.
pub fn maintain(
    gateway: &Arc<Gateway>,
    events: &EventSender,
    peer: InstanceId,
    address: SocketAddr,
    mut outbox: OutboxQueue,
) {
    let (gateway, events) = (Arc::clone(gateway), events.clone());
    spawn_local(async move {
        while !outbox.is_closed() {
            let result = run_connection(&gateway, &events, &peer, address, &mut outbox).await;
            if events.send(Event::ConnectionChanged { peer: peer.clone(), connected: false }).is_err() {
                return;
            }
            match result {
                Ok(()) => return,
                Err(error) => log::debug!(peer = peer.as_str(); "connection to peer failed: {error}"),
            }
            sleep(RECONNECT_PAUSE).await;
        }
    });
}

async fn run_connection(
    gateway: &Gateway,
    events: &EventSender,
    peer: &InstanceId,
    address: SocketAddr,
    outbox: &mut OutboxQueue,
) -> Result<(), WireError> {
    let (mut writer, mut reader) = open(gateway, address).await?;
    // Messages queued before the connection opened are out of date, or covered by the rows that are sent first.
    outbox.clear();
    if events.send(Event::ConnectionChanged { peer: peer.clone(), connected: true }).is_err() {
        return Ok(());
    }
    while let Some(message) = outbox.next().await {
        let sent_at = gateway.now();
        send_acknowledged(&mut writer, &mut reader, &message, address).await?;
        let took = gateway.now().saturating_sub(sent_at);
        if took >= LATE_ACK {
            log::info!(peer = peer.as_str(), took_ms = took.as_millis() as u64; "peer acknowledged a message late");
        }
    }
    Ok(())
}

type Halves = (FrameWriter<ExchangeMessage>, FrameReader<ExchangeAck>);

async fn open(gateway: &Gateway, address: SocketAddr) -> Result<Halves, WireError> {
    let connection = Connection::open(&address.to_string(), Arc::clone(&gateway.identity), PEER_TIMEOUT).await?;
    let (mut writer, mut reader) = connection.stream(Route::Exchange).await?;
    let own =
        GatewayAddress { instance: gateway.settings.instance.id.clone(), address: gateway.settings.listen.announced() };
    send_acknowledged(&mut writer, &mut reader, &ExchangeMessage::Hello(own), address).await?;
    Ok((writer, reader))
}

async fn send_acknowledged(
    writer: &mut FrameWriter<ExchangeMessage>,
    reader: &mut FrameReader<ExchangeAck>,
    message: &ExchangeMessage,
    address: SocketAddr,
) -> Result<(), WireError> {
    let exchange = async {
        writer.send(message).await?;
        reader.expect().await
    };
    let late = WireError::Timeout { address: address.to_string(), time_limit: PEER_TIMEOUT };
    timeout(PEER_TIMEOUT, exchange).await.unwrap_or(Err(late)).map(|_: ExchangeAck| ())
}

/// Announces this gateway to a seed, of which only the address is known. The seed then connects back and sends its
/// rows.
pub fn announce(gateway: &Arc<Gateway>, address: SocketAddr) {
    let gateway = Arc::clone(gateway);
    spawn_local(async move {
        for _ in 0..SEED_ATTEMPTS {
            match open(&gateway, address).await {
                Ok(_) => return,
                Err(error) => log::debug!("failed to connect to seed {address}: {error}"),
            }
            sleep(RECONNECT_PAUSE).await;
        }
    });
}
