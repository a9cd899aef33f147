//! Logs as JSON lines on standard error.

use std::io::Write;

use env_logger::Builder;
use log::{
    LevelFilter, Record,
    kv::{Error, Key, Value, VisitSource},
};
use serde_json::{Map, json};

struct Fields(Map<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), Error> {
        self.0.insert(key.to_string(), json!(value.to_string()));
        Ok(())
    }
}

/// Starts logging.
pub fn start(instance: &str, level: &str) {
    let level = level.parse().unwrap_or(LevelFilter::Info);
    let instance = instance.to_owned();
    let format =
        move |out: &mut env_logger::fmt::Formatter, record: &Record<'_>| writeln!(out, "{}", line(&instance, record));
    Builder::new().filter_level(LevelFilter::Warn).filter_module("bluebell", level).format(format).init();
}

fn line(instance: &str, record: &Record<'_>) -> String {
    let time = std::time::SystemTime::now();
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
