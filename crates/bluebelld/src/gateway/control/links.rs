//! Connections between gateways. Each gateway keeps one to every other and sends its news there; what is not
//! acknowledged in time shows a dead connection, which is begun anew with all rows.

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

use super::event::{Event, Events};
use crate::gateway::state::Gateway;

/// Time to connect to a peer, and for it to acknowledge a message.
const PATIENCE: Duration = Duration::from_millis(1200);
/// Pause before a connection is tried again.
const RETRY_PAUSE: Duration = Duration::from_millis(400);
/// Times that a seed is greeted.
const GREETINGS: u32 = 5;
/// Streams of peers that wait to be looked at.
const BACKLOG: usize = 64;

/// Takes peers' connections.
pub fn listen(gateway: &Arc<Gateway>, listener: TcpListener, events: Events) {
    let (streams, mut incoming) = mpsc::channel::<Incoming>(BACKLOG);
    let server = Server::new(Arc::clone(&gateway.identity), streams, gateway.leaving.subscribe());
    tokio::task::spawn_local(server.run(listener));
    spawn_local(async move {
        while let Some(stream) = incoming.recv().await {
            let events = events.clone();
            spawn_local(async move {
                if let Err(error) = take(stream, &events).await {
                    log::debug!("a peer's connection ended: {error}");
                }
            });
        }
    });
}

async fn take(stream: Incoming, events: &Events) -> Result<(), WireError> {
    if stream.route != Route::Exchange {
        return Err(WireError::UnknownRoute { path: stream.route.to_string() });
    }
    let peer = stream.from.clone();
    let (mut reader, mut writer): (FrameReader<ExchangeMessage>, FrameWriter<ExchangeAck>) = stream.accept()?;
    while let Some(news) = reader.next().await? {
        let event = match news {
            ExchangeMessage::Hello(address) => Event::Hello(address),
            ExchangeMessage::Rows(rows) => Event::PeerRows { peer: peer.clone(), rows, snapshots: Vec::new() },
            ExchangeMessage::AllRows { rows, snapshots } => Event::PeerRows { peer: peer.clone(), rows, snapshots },
            ExchangeMessage::Status(standing) => Event::Standing(peer.clone(), standing),
            ExchangeMessage::Crashes(reports) => Event::Crashes(peer.clone(), reports),
            ExchangeMessage::Answered(requests) => Event::Answered(peer.clone(), requests),
            ExchangeMessage::Cleared(answered) => Event::Cleared(peer.clone(), answered),
        };
        // The control thread is gone only when the process ends.
        let _ = events.send(event);
        writer.send(&ExchangeAck).await?;
    }
    Ok(())
}

/// Keeps a connection to a peer for as long as the peer is known.
pub fn keep(
    gateway: &Arc<Gateway>,
    events: &Events,
    peer: InstanceId,
    address: SocketAddr,
    mut news: mpsc::Receiver<ExchangeMessage>,
) {
    let (gateway, events) = (Arc::clone(gateway), events.clone());
    spawn_local(async move {
        while !news.is_closed() {
            let ended = converse(&gateway, &events, &peer, address, &mut news).await;
            if events.send(Event::Link(peer.clone(), false)).is_err() {
                return;
            }
            match ended {
                Ok(()) => return,
                Err(error) => log::debug!(peer = peer.as_str(); "connection to peer: {error}"),
            }
            sleep(RETRY_PAUSE).await;
        }
    });
}

async fn converse(
    gateway: &Gateway,
    events: &Events,
    peer: &InstanceId,
    address: SocketAddr,
    news: &mut mpsc::Receiver<ExchangeMessage>,
) -> Result<(), WireError> {
    let (mut writer, mut reader) = open(gateway, address).await?;
    // What waited for the connection before is part of all rows, which come first.
    while news.try_recv().is_ok() {}
    if events.send(Event::Link(peer.clone(), true)).is_err() {
        return Ok(());
    }
    while let Some(message) = news.recv().await {
        exchange(&mut writer, &mut reader, &message, address).await?;
    }
    Ok(())
}

type Halves = (FrameWriter<ExchangeMessage>, FrameReader<ExchangeAck>);

async fn open(gateway: &Gateway, address: SocketAddr) -> Result<Halves, WireError> {
    let connection = Connection::open(&address.to_string(), Arc::clone(&gateway.identity), PATIENCE).await?;
    let (mut writer, mut reader) = connection.stream(Route::Exchange).await?;
    let own =
        GatewayAddress { instance: gateway.settings.instance.id.clone(), address: gateway.settings.listen.announced() };
    exchange(&mut writer, &mut reader, &ExchangeMessage::Hello(own), address).await?;
    Ok((writer, reader))
}

async fn exchange(
    writer: &mut FrameWriter<ExchangeMessage>,
    reader: &mut FrameReader<ExchangeAck>,
    message: &ExchangeMessage,
    address: SocketAddr,
) -> Result<(), WireError> {
    let exchange = async {
        writer.send(message).await?;
        reader.expect().await
    };
    let late = WireError::Timeout { address: address.to_string(), time_limit: PATIENCE };
    timeout(PATIENCE, exchange).await.unwrap_or(Err(late)).map(|_: ExchangeAck| ())
}

/// Names this gateway to another one of which only the address is known, which then sends its rows here.
pub fn greet(gateway: &Arc<Gateway>, address: SocketAddr) {
    let gateway = Arc::clone(gateway);
    spawn_local(async move {
        for _ in 0..GREETINGS {
            match open(&gateway, address).await {
                Ok(_) => return,
                Err(error) => log::debug!("seed {address} can't be greeted: {error}"),
            }
            sleep(RETRY_PAUSE).await;
        }
    });
}
