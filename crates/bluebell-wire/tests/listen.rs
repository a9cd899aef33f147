//! Guards against Nagle's algorithm on accepted sockets, which holds back the last small chunk of a streamed answer
//! until the peer's delayed acknowledgement arrives. Accepted sockets take `TCP_NODELAY` from the listener.

use bluebell_wire::listen;
use tokio::net::TcpStream;

#[tokio::test]
async fn accepted_sockets_inherit_nodelay() {
    let listener = listen("127.0.0.1:0".parse().expect("an address")).expect("a free port");
    let address = listener.local_addr().expect("it is bound");
    let (connected, accepted) = tokio::join!(TcpStream::connect(address), listener.accept());
    let (socket, _) = accepted.expect("a connection");
    assert!(socket.nodelay().expect("a socket option"));
    drop(connected);
}
