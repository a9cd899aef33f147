//! Configuration files of the bluebelld processes of a fleet.

use bluebell_core::keys::digest;

/// API key of the operator in tests.
pub const OPERATOR_KEY: &str = "operator-key";
/// Name of the operator in tests.
pub const OPERATOR: &str = "fatima";

/// Identity and addresses of an instance, for its configuration file.
pub struct InstanceConfig<'a> {
    /// Instance id.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Listen address for callers.
    pub public: String,
    /// Listen address for other instances.
    pub peers: String,
    /// Address of the store.
    pub store: &'a str,
}

/// The part that entries and sidecars have in common.
fn common(instance_config: &InstanceConfig<'_>, role: &str) -> String {
    let InstanceConfig { name, zone, public, peers, store } = instance_config;
    format!(
        "instance: {{ id: {name}, zone: {zone}, role: {role} }}\n\
         listen: {{ public: \"{public}\", peers: \"{peers}\" }}\n\
         store: \"{store}\"\n\
         keys: {{ active: k1, known: {{ k1: 000102030405060708090a0b0c0d0e0f }} }}\n\
         log: debug\n"
    )
}

/// Configuration of an entry.
pub fn entry(instance_config: &InstanceConfig<'_>) -> String {
    let operator = digest(OPERATOR_KEY);
    format!(
        "{}operators: {{ {OPERATOR}: {operator} }}\ntiming: {{ notice: 200ms }}\n",
        common(instance_config, "entry")
    )
}

/// Configuration of a sidecar; its runner is at `url`, is of kind `kind` and serves the models or services in `serves`.
pub fn sidecar(instance_config: &InstanceConfig<'_>, kind: &str, url: &str, serves: &[String], slots: usize) -> String {
    format!(
        "{}runner: {{ id: runner-of-{}, url: \"{url}\", kind: {kind}, serves: [{}], slots: {slots} }}\n",
        common(instance_config, "sidecar"),
        instance_config.name,
        serves.join(", ")
    )
}
