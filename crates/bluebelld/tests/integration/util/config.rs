//! Settings files of the processes of a fleet.

use bluebell_core::keys::digest;

/// Key of the operator in tests.
pub const OPERATOR_KEY: &str = "operator-key";
/// Name of the operator in tests.
pub const OPERATOR: &str = "fatima";

/// Where a process listens and where it finds the store.
pub struct Place<'a> {
    /// Name of the instance.
    pub name: &'a str,
    /// Its zone.
    pub zone: &'a str,
    /// Address for callers.
    pub public: String,
    /// Address for peers.
    pub peers: String,
    /// Address of the store.
    pub store: &'a str,
}

fn common(place: &Place<'_>, role: &str) -> String {
    let Place { name, zone, public, peers, store } = place;
    format!(
        "instance: {{ id: {name}, zone: {zone}, role: {role} }}\n\
         listen: {{ public: \"{public}\", peers: \"{peers}\" }}\n\
         store: \"{store}\"\n\
         keys: {{ active: k1, known: {{ k1: 000102030405060708090a0b0c0d0e0f }} }}\n\
         log: debug\n"
    )
}

/// Settings of an entry.
pub fn entry(place: &Place<'_>) -> String {
    let operator = digest(OPERATOR_KEY);
    format!("{}operators: {{ {OPERATOR}: {operator} }}\ntiming: {{ notice: 200ms }}\n", common(place, "entry"))
}

/// Settings of a sidecar.
pub fn sidecar(place: &Place<'_>, kind: &str, url: &str, serves: &[String], slots: usize) -> String {
    format!(
        "{}runner: {{ id: runner-of-{}, url: \"{url}\", kind: {kind}, serves: [{}], slots: {slots} }}\n",
        common(place, "sidecar"),
        place.name,
        serves.join(", ")
    )
}
