//! A plain service, or an engine, of the platform: answers on a thread for each connection.

use std::{
    collections::HashMap,
    io,
    net::{SocketAddr, TcpListener, TcpStream},
    sync::{
        Arc, Mutex,
        atomic::{AtomicBool, Ordering},
    },
    thread,
    time::Duration,
};

use crate::{
    http::{self, Head},
    site::{Fault, Record, Store},
};

/// A request as a runner reads it.
pub struct Request {
    pub head: Head,
}

impl Request {
    pub fn id(&self) -> &str {
        self.head.header("request-id")
    }
}

/// What follows an answer.
pub enum Next {
    /// The connection stays open.
    Open,
    /// The runner crashes, and is back after this time.
    Crash(Duration),
}

/// What a runner does with a request that is meant for it.
pub type Answer = dyn Fn(&Runner, &Request, &mut TcpStream) -> io::Result<Next> + Send + Sync;

/// A runner, with the id and the address of its present start.
pub struct Runner {
    pub name: String,
    pub service: String,
    pub release: String,
    pub address: SocketAddr,
    pub record: Record,
    starts: Mutex<u64>,
    down: AtomicBool,
    sockets: Mutex<HashMap<SocketAddr, TcpStream>>,
    store: Arc<Store>,
    answer: Box<Answer>,
}

impl Runner {
    /// Starts a runner on a free port of a host.
    pub fn start(
        record: &Record,
        store: &Arc<Store>,
        host: &str,
        name: &str,
        service: &str,
        release: &str,
        answer: Box<Answer>,
    ) -> Result<Arc<Self>, Fault> {
        let listener = TcpListener::bind(format!("{host}:0"))?;
        let runner = Arc::new(Self {
            name: name.to_owned(),
            service: service.to_owned(),
            release: release.to_owned(),
            address: listener.local_addr()?,
            record: record.clone(),
            starts: Mutex::new(1),
            down: AtomicBool::new(false),
            sockets: Mutex::default(),
            store: Arc::clone(store),
            answer,
        });
        Arc::clone(&runner).listen(listener);
        Ok(runner)
    }

    /// Its id; each start is a new incarnation with a new one.
    pub fn id(&self) -> String {
        format!("{}.{}", self.name, self.starts.lock().unwrap())
    }

    /// Writes its entry in the store.
    pub fn register(&self, state: &str) -> Result<(), Fault> {
        let (id, starts) = (self.id(), *self.starts.lock().unwrap());
        let (service, release, address) = (&self.service, &self.release, self.address);
        let entry = format!(
            r#"{{"service":"{service}","address":"{address}","zone":"a","version":"{release}","slots":64,"state":"{state}","coldRemainingMs":0,"sequence":1,"born":{}}}"#,
            1_700_000_000_000 + starts
        );
        self.store.put("servers", &id, &entry)
    }

    /// Ends it as a crash does: all connections are reset and none is accepted. It is back under a new id after a while.
    pub fn crash(self: &Arc<Self>, down: Duration) {
        if self.down.swap(true, Ordering::SeqCst) {
            return;
        }
        let id = self.id();
        self.record.line(&format!("crash {id}"));
        // Wakes the listener, which closes itself.
        let _ = TcpStream::connect(self.address);
        for (_, socket) in self.sockets.lock().unwrap().drain() {
            let _ = socket.shutdown(std::net::Shutdown::Both);
        }
        let runner = Arc::clone(self);
        thread::spawn(move || {
            thread::sleep(down);
            let _ = runner.store.delete("servers", &id);
            *runner.starts.lock().unwrap() += 1;
            let listener = loop {
                match TcpListener::bind(runner.address) {
                    Ok(listener) => break listener,
                    Err(_) => thread::sleep(Duration::from_millis(50)),
                }
            };
            runner.down.store(false, Ordering::SeqCst);
            Arc::clone(&runner).listen(listener);
            let _ = runner.register("ready");
            runner.record.line(&format!("back {}", runner.id()));
        });
    }

    fn listen(self: Arc<Self>, listener: TcpListener) {
        thread::spawn(move || {
            while let Ok((socket, peer)) = listener.accept() {
                if self.down.load(Ordering::SeqCst) {
                    return;
                }
                if let Ok(copy) = socket.try_clone() {
                    self.sockets.lock().unwrap().insert(peer, copy);
                }
                let runner = Arc::clone(&self);
                thread::spawn(move || {
                    // A caller that leaves ends its connection.
                    let _ = runner.serve(socket);
                    runner.sockets.lock().unwrap().remove(&peer);
                });
            }
        });
    }

    fn serve(self: &Arc<Self>, mut socket: TcpStream) -> io::Result<()> {
        socket.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(head) = http::read_head(&mut socket, &mut buffer)? {
            if http::read_length(&mut socket, &mut buffer, head.length().unwrap_or(0))?.is_none() {
                return Ok(());
            }
            let request = Request { head };
            let expected = request.head.header("expect-instance");
            if !expected.is_empty() && expected != self.id() {
                let head = format!(
                    "HTTP/1.1 421 x\r\nrequest-id: {}\r\nnot-executed: 1\r\ncontent-length: 0\r\n\r\n",
                    request.id()
                );
                io::Write::write_all(&mut socket, head.as_bytes())?;
                continue;
            }
            if let Next::Crash(down) = (self.answer)(self, &request, &mut socket)? {
                self.crash(down);
                return Ok(());
            }
        }
        Ok(())
    }
}

/// Head of a success with a body of a known length.
pub fn success(request: &Request, length: usize) -> String {
    format!(
        "HTTP/1.1 200 OK\r\nrequest-id: {}\r\nresponse-stamp: stand-in.2\r\ncontent-length: {length}\r\n\r\n",
        request.id()
    )
}
