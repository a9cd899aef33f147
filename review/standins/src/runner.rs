//! A runner: a plain service that speaks the platform's header protocol, registers itself in the store, and can lose
//! power and start again under another id.

use std::{
    io::{self, Read},
    net::{Shutdown, SocketAddr, TcpListener, TcpStream},
    sync::{Arc, Mutex, MutexGuard},
    thread,
    time::{Duration, Instant, SystemTime, UNIX_EPOCH},
};

use crate::{
    http::{read_request, write_response},
    store::Store,
};

/// A request that a runner ran.
#[derive(Debug, Clone)]
pub struct Run {
    pub at: Instant,
    pub request: String,
}

#[derive(Debug)]
struct State {
    id: String,
    // Increases with each start and stop; connections of an earlier life are closed.
    life: u64,
    is_up: bool,
    // Whether it gives no answer to a part of the requests that it runs.
    is_grey: bool,
    connections: Vec<TcpStream>,
    runs: Vec<Run>,
}

/// Clones are the same runner.
#[derive(Debug, Clone)]
pub struct Runner {
    pub address: SocketAddr,
    pub service: String,
    work: Duration,
    store: Store,
    state: Arc<Mutex<State>>,
}

impl Runner {
    /// Starts a runner at an address, and registers it.
    pub fn start(store: &Store, service: &str, id: &str, address: SocketAddr, work: Duration) -> io::Result<Self> {
        let state = State {
            id: id.to_owned(),
            life: 0,
            is_up: false,
            is_grey: false,
            connections: Vec::new(),
            runs: Vec::new(),
        };
        let runner = Self {
            address,
            service: service.to_owned(),
            work,
            store: store.clone(),
            state: Arc::new(Mutex::new(state)),
        };
        runner.start_again(id)?;
        Ok(runner)
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap()
    }

    /// Starts the runner, which was down, under an id. It listens first and registers then.
    pub fn start_again(&self, id: &str) -> io::Result<()> {
        let listener = TcpListener::bind(self.address)?;
        listener.set_nonblocking(true)?;
        let life = {
            let mut state = self.lock();
            (state.id, state.is_up) = (id.to_owned(), true);
            state.life += 1;
            state.life
        };
        let runner = self.clone();
        thread::spawn(move || runner.accept(&listener, life));
        let born = SystemTime::now().duration_since(UNIX_EPOCH).unwrap().as_millis();
        let entry = format!(
            r#"{{"service":"{}","address":"{}","zone":"zone-a","version":"v1","slots":64,"state":"ready","coldRemainingMs":0,"sequence":1,"born":{born}}}"#,
            self.service, self.address
        );
        self.store.put("servers", id, &entry);
        Ok(())
    }

    /// The runner loses power: its connections end and nothing listens at its address. Its entry stays until the platform
    /// removes it.
    pub fn lose_power(&self) {
        let mut state = self.lock();
        state.is_up = false;
        state.life += 1;
        for connection in state.connections.drain(..) {
            let _ = connection.shutdown(Shutdown::Both);
        }
    }

    /// From now on it gives no answer to two in five of the requests that it runs, or to all again.
    pub fn set_grey(&self, is_grey: bool) {
        self.lock().is_grey = is_grey;
    }

    pub fn runs(&self) -> Vec<Run> {
        self.lock().runs.clone()
    }

    fn accept(&self, listener: &TcpListener, life: u64) {
        while self.lock().life == life {
            match listener.accept() {
                Ok((stream, _)) => {
                    let runner = self.clone();
                    let Ok(copy) = stream.try_clone() else { continue };
                    self.lock().connections.push(copy);
                    thread::spawn(move || {
                        let _ = runner.serve(stream, life);
                    });
                }
                Err(_) => thread::sleep(Duration::from_millis(2)),
            }
        }
    }

    fn serve(&self, mut stream: TcpStream, life: u64) -> io::Result<()> {
        stream.set_nonblocking(false)?;
        stream.set_nodelay(true)?;
        let mut buffer = Vec::new();
        while let Some(request) = read_request(&mut stream, &mut buffer)? {
            let request_id = request.header("request-id").to_owned();
            let (id, hangs) = {
                let mut state = self.lock();
                if state.life != life {
                    return Ok(());
                }
                let id = state.id.clone();
                let expected = request.header("expect-instance");
                if !expected.is_empty() && expected != id {
                    drop(state);
                    let headers = [("instance-id", id.as_str()), ("request-id", request_id.as_str())];
                    write_response(&mut stream, 421, &headers, b"")?;
                    continue;
                }
                state.runs.push(Run { at: Instant::now(), request: request_id.clone() });
                (id, state.is_grey && state.runs.len() % 5 < 2)
            };
            thread::sleep(self.work);
            if hangs {
                // Waits until the caller closes the connection.
                let _ = stream.read(&mut [0; 1]);
                return Ok(());
            }
            let headers = [("request-id", request_id.as_str()), ("response-stamp", id.as_str())];
            write_response(&mut stream, 200, &headers, &[b'x'; 800])?;
        }
        Ok(())
    }
}
