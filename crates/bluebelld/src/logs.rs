//! Logs as JSON lines on standard output. Lines go through a bounded queue to a thread of their own, so logging never
//! waits; what finds no room, or goes beyond a number of lines a second, is dropped and counted.

use std::{
    io::{self, Write},
    sync::{
        OnceLock,
        atomic::{AtomicU64, Ordering},
        mpsc::{self, Receiver, SyncSender, TrySendError},
    },
    time::{Duration, SystemTime},
};

use env_logger::{Builder, Target};
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, json};

/// Lines that may wait to be written; at about 400 bytes each, half a megabyte.
const QUEUE_LINES: usize = 1024;
/// Lines written in a second; a gateway of the sizes in use answers about 100 requests a second, two lines each.
const LINES_PER_SECOND: u64 = 600;
/// Time over which lines are counted.
const COUNT_TIME: Duration = Duration::from_secs(1);
/// Time that the last lines have at the end of the process.
const FLUSH_TIME: Duration = Duration::from_millis(200);

enum Entry {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

static QUEUE: OnceLock<SyncSender<Entry>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), json!(value));
        Ok(())
    }
}

// Hands lines to the writing thread without ever waiting for it.
struct Queue(SyncSender<Entry>);

impl Write for Queue {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.0.try_send(Entry::Line(line.to_vec())) {
            Ok(()) => {}
            Err(TrySendError::Full(_) | TrySendError::Disconnected(_)) => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
        }
        Ok(line.len())
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

/// Starts logging.
pub fn start(instance: &str, level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let (queue, lines) = mpsc::sync_channel(QUEUE_LINES);
    let name = instance.to_owned();
    let writing = std::thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&name, &lines));
    let mut builder = Builder::new();
    if writing.is_ok() && QUEUE.set(queue.clone()).is_ok() {
        builder.target(Target::Pipe(Box::new(Queue(queue))));
    }
    let instance = instance.to_owned();
    let format =
        move |out: &mut env_logger::fmt::Formatter, record: &Record<'_>| writeln!(out, "{}", line(&instance, record));
    builder.filter_level(LevelFilter::Warn).filter_module("bluebell", level).format(format).init();
}

/// Waits a little until what was logged is written.
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (done, waits) = mpsc::sync_channel(1);
    if queue.try_send(Entry::Flush(done)).is_ok() {
        // The process ends in any case.
        let _ = waits.recv_timeout(FLUSH_TIME);
    }
}

fn write_lines(instance: &str, lines: &Receiver<Entry>) {
    let mut counted = SystemTime::now();
    let mut written = 0;
    while let Ok(entry) = lines.recv() {
        if counted.elapsed().unwrap_or(COUNT_TIME) >= COUNT_TIME {
            report_dropped(instance);
            (counted, written) = (SystemTime::now(), 0);
        }
        match entry {
            Entry::Flush(done) => {
                report_dropped(instance);
                // Whoever asked may have given up.
                let _ = done.try_send(());
            }
            Entry::Line(_) if written >= LINES_PER_SECOND => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
            Entry::Line(line) => {
                written += 1;
                print_line(&line);
            }
        }
    }
}

fn report_dropped(instance: &str) {
    let dropped = DROPPED.swap(0, Ordering::Relaxed);
    if dropped > 0 {
        let time = humantime::format_rfc3339_millis(SystemTime::now()).to_string();
        let text = json!({
            "time": time, "level": "WARN", "instance": instance, "module": module_path!(),
            "message": "log lines were dropped", "dropped": dropped,
        });
        print_line(format!("{text}\n").as_bytes());
    }
}

// Standard output that is closed leaves nowhere to say so.
fn print_line(line: &[u8]) {
    let _ = io::stdout().lock().write_all(line);
}

fn line(instance: &str, record: &Record<'_>) -> String {
    let time = SystemTime::now();
    let mut fields = Fields(Map::new());
    fields.0.insert("time".to_owned(), json!(humantime::format_rfc3339_millis(time).to_string()));
    fields.0.insert("level".to_owned(), json!(record.level().as_str()));
    fields.0.insert("instance".to_owned(), json!(instance));
    fields.0.insert("module".to_owned(), json!(record.target()));
    fields.0.insert("message".to_owned(), json!(record.args().to_string()));
    if let Err(error) = record.key_values().visit(&mut fields) {
        fields.0.insert("field_error".to_owned(), json!(error.to_string()));
    }
    serde_json::Value::Object(fields.0).to_string()
}
