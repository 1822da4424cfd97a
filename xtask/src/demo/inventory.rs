use std::net::SocketAddr;

use serde_json::Value;

use crate::Failure;
use crate::root;

/// Register that the demo takes a part of.
const REGISTER: &str = "examples/bayanihan/register.json";
/// Rules of the demo.
const RULES: &str = "examples/bayanihan/rules.json";

/// The part of an example register that the demo runs.
#[derive(Debug)]
pub struct Inventory {
    register: Value,
    rules: Value,
}

impl Inventory {
    /// Reads the example and keeps `models` runners of the model service and one of the plain.
    ///
    /// # Errors
    ///
    /// Fails when the example cannot be read.
    pub fn read(models: usize) -> Result<Self, Failure> {
        let mut register: Value = read(REGISTER)?;
        let (model, plain) = (service(&register, "model")?, service(&register, "plain")?);
        let of = |name: &str, count: usize| -> Vec<Value> {
            let runners = register["runners"].as_array().into_iter().flatten();
            runners.filter(|r| r["service"] == name).take(count).cloned().collect()
        };
        let mut kept = of(&model, models);
        kept.extend(of(&plain, 1));
        register["runners"] = Value::Array(kept);
        Ok(Self { register, rules: read(RULES)? })
    }

    /// Returns id, availability zone and kind of each runner.
    pub fn runners(&self) -> Vec<(String, String, &'static str)> {
        let plain = service(&self.register, "plain").unwrap_or_default();
        let kind = |r: &Value| if r["service"] == plain.as_str() { "plain" } else { "model" };
        let runners = self.register["runners"].as_array().into_iter().flatten();
        runners.map(|r| (text(&r["id"]), text(&r["zone"]), kind(r))).collect()
    }

    /// Sets the address of runner `index`.
    pub fn set_address(&mut self, index: usize, address: SocketAddr) {
        self.register["runners"][index]["address"] = address.to_string().into();
    }

    /// Returns the region and the availability zones.
    pub fn places(&self) -> (String, Vec<String>) {
        let place = &self.register["places"][0];
        let zones = place["zones"].as_array().into_iter().flatten();
        (text(&place["region"]), zones.map(text).collect())
    }

    /// Returns the models.
    pub fn models(&self) -> Vec<String> {
        let services = self.register["services"].as_array().into_iter().flatten();
        let models = services.flat_map(|s| s["models"].as_array().into_iter().flatten());
        models.map(text).collect()
    }

    /// Returns the models that engines are to have loaded, as `NAME@VERSION`.
    pub fn desired_models(&self) -> Vec<String> {
        let desired = self.rules["desired"].as_array().into_iter().flatten();
        let models = desired.flat_map(|d| d["models"].as_array().into_iter().flatten());
        models.map(|m| format!("{}@{}", text(&m["name"]), text(&m["version"]))).collect()
    }

    /// Returns the name of the plain service.
    pub fn plain_service(&self) -> String {
        service(&self.register, "plain").unwrap_or_default()
    }

    /// Returns the credential of the first client account.
    pub fn credential(&self) -> String {
        text(&self.register["accounts"][0]["credential"])
    }

    /// Returns the register.
    pub const fn register(&self) -> &Value {
        &self.register
    }

    /// Returns the rules.
    pub const fn rules(&self) -> &Value {
        &self.rules
    }
}

fn read(path: &str) -> Result<Value, Failure> {
    Ok(serde_json::from_str(&std::fs::read_to_string(root().join(path))?)?)
}

/// Returns the name of the first service of a kind.
fn service(register: &Value, kind: &str) -> Result<String, Failure> {
    let mut services = register["services"].as_array().into_iter().flatten();
    let found = services.find(|s| s["kind"] == kind);
    Ok(text(&found.ok_or("a register without such a service")?["name"]))
}

fn text(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
