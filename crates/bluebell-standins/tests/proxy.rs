//! Faults of a link, as both ends of its connections see them.

use std::time::Duration;

use bluebell_standins::proxy::{LinkFault, LinkFaults, Proxy};
use tokio::{
    io::{AsyncReadExt, AsyncWriteExt},
    net::{TcpListener, TcpStream},
    time::{sleep, timeout},
};

#[tokio::test]
async fn connection_with_discarded_bytes_delivers_none_after_them() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("the listener should start");
    let target = listener.local_addr().expect("the listener should have an address");
    let proxy = Proxy::start("127.0.0.1:0", &target.to_string()).await.expect("the proxy should start");
    let mut client = TcpStream::connect(proxy.address()).await.expect("the proxy should accept");
    let (mut server, _) = listener.accept().await.expect("the connection should be accepted");
    let pause = Duration::from_millis(50);
    server.write_all(b"first").await.expect("the connection should be open");
    sleep(pause).await;
    proxy.set(LinkFaults { up: LinkFault::None, down: LinkFault::Discard });
    server.write_all(b"second").await.expect("the connection should be open");
    sleep(pause).await;
    proxy.set(LinkFaults::default());
    // It may be closed already.
    let _ = server.write_all(b"third").await;
    let mut received = Vec::new();
    let end = timeout(Duration::from_secs(2), client.read_to_end(&mut received)).await;
    assert!(end.is_ok(), "the connection is open, and delivered {:?}", String::from_utf8_lossy(&received));
    assert_eq!(String::from_utf8_lossy(&received), "first");
}
