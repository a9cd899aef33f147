//! Logging as JSON lines to standard output. Lines go through a bounded queue to a writer thread, so that logging never
//! blocks. Lines that exceed the queue's capacity or the rate limit are dropped and counted.

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

/// Capacity of the queue in lines. A line has about 400 bytes, so a full queue takes about half a megabyte.
const QUEUE_CAPACITY: usize = 1024;
/// Maximum number of lines written per second. A gateway of the sizes in use answers about 100 requests per second and
/// logs two lines for each.
const MAX_LINES_PER_SECOND: u64 = 600;
/// Window of the rate limit.
const RATE_WINDOW: Duration = Duration::from_secs(1);
/// Longest time to wait at the end of the process until the queue is written.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(200);

enum QueueItem {
    Line(Vec<u8>),
    Flush(SyncSender<()>),
}

static QUEUE: OnceLock<SyncSender<QueueItem>> = OnceLock::new();
static DROPPED: AtomicU64 = AtomicU64::new(0);

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), json!(value));
        Ok(())
    }
}

// Puts lines into the queue without blocking.
struct QueueWriter(SyncSender<QueueItem>);

impl Write for QueueWriter {
    fn write(&mut self, line: &[u8]) -> io::Result<usize> {
        match self.0.try_send(QueueItem::Line(line.to_vec())) {
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

/// Sets up logging and starts the writer thread. An invalid level counts as `info`.
pub fn start(instance: &str, level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let (queue, lines) = mpsc::sync_channel(QUEUE_CAPACITY);
    let name = instance.to_owned();
    let writer = std::thread::Builder::new().name("logs".to_owned()).spawn(move || write_lines(&name, &lines));
    let mut builder = Builder::new();
    if writer.is_ok() && QUEUE.set(queue.clone()).is_ok() {
        builder.target(Target::Pipe(Box::new(QueueWriter(queue))));
    }
    let instance = instance.to_owned();
    let format = move |out: &mut env_logger::fmt::Formatter, record: &Record<'_>| {
        writeln!(out, "{}", format_line(&instance, record))
    };
    builder.filter_level(LevelFilter::Warn).filter_module("bluebell", level).format(format).init();
}

/// Waits until the lines logged so far are written, at most for [`FLUSH_TIMEOUT`].
pub fn flush() {
    let Some(queue) = QUEUE.get() else { return };
    let (done, written) = mpsc::sync_channel(1);
    if queue.try_send(QueueItem::Flush(done)).is_ok() {
        // A timeout is ignored: the process ends in any case.
        let _ = written.recv_timeout(FLUSH_TIMEOUT);
    }
}

fn write_lines(instance: &str, lines: &Receiver<QueueItem>) {
    let mut window_start = SystemTime::now();
    let mut written = 0;
    while let Ok(item) = lines.recv() {
        if window_start.elapsed().unwrap_or(RATE_WINDOW) >= RATE_WINDOW {
            report_dropped(instance);
            (window_start, written) = (SystemTime::now(), 0);
        }
        match item {
            QueueItem::Flush(done) => {
                report_dropped(instance);
                // The caller of `flush` may have timed out.
                let _ = done.try_send(());
            }
            QueueItem::Line(_) if written >= MAX_LINES_PER_SECOND => {
                DROPPED.fetch_add(1, Ordering::Relaxed);
            }
            QueueItem::Line(line) => {
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

// Write errors are ignored: if standard output is closed, there is nowhere to report them.
fn print_line(line: &[u8]) {
    let _ = io::stdout().lock().write_all(line);
}

fn format_line(instance: &str, record: &Record<'_>) -> String {
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
