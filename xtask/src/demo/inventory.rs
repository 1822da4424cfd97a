use std::net::SocketAddr;

use serde_json::Value;

use crate::Error;
use crate::root;

/// Example register, of which the demo runs a part.
const REGISTER_PATH: &str = "examples/bayanihan/register.json";
/// Example rules.
const RULES_PATH: &str = "examples/bayanihan/rules.json";

/// The part of the example register that the demo runs, with the example rules.
#[derive(Debug)]
pub struct Inventory {
    register: Value,
    rules: Value,
}

impl Inventory {
    /// Reads the example and keeps `model_runners` runners of the model service and one of the
    /// plain service.
    ///
    /// # Errors
    ///
    /// Fails when the example cannot be read.
    pub fn read(model_runners: usize) -> Result<Self, Error> {
        let mut register: Value = read_json(REGISTER_PATH)?;
        let (model, plain) =
            (service_of_kind(&register, "model")?, service_of_kind(&register, "plain")?);
        let first_runners = |name: &str, count: usize| -> Vec<Value> {
            let runners = register["runners"].as_array().into_iter().flatten();
            runners.filter(|r| r["service"] == name).take(count).cloned().collect()
        };
        let mut runners = first_runners(&model, model_runners);
        runners.extend(first_runners(&plain, 1));
        register["runners"] = Value::Array(runners);
        Ok(Self { register, rules: read_json(RULES_PATH)? })
    }

    /// Returns the id, availability zone and service kind of each runner.
    pub fn runners(&self) -> Vec<(String, String, &'static str)> {
        let plain = service_of_kind(&self.register, "plain").unwrap_or_default();
        let kind = |r: &Value| if r["service"] == plain.as_str() { "plain" } else { "model" };
        let runners = self.register["runners"].as_array().into_iter().flatten();
        runners.map(|r| (string(&r["id"]), string(&r["zone"]), kind(r))).collect()
    }

    /// Sets the address of runner `index`.
    pub fn set_address(&mut self, index: usize, address: SocketAddr) {
        self.register["runners"][index]["address"] = address.to_string().into();
    }

    /// Returns the first region and its availability zones.
    pub fn places(&self) -> (String, Vec<String>) {
        let place = &self.register["places"][0];
        let zones = place["zones"].as_array().into_iter().flatten();
        (string(&place["region"]), zones.map(string).collect())
    }

    /// Returns the names of all models.
    pub fn models(&self) -> Vec<String> {
        let services = self.register["services"].as_array().into_iter().flatten();
        let models = services.flat_map(|s| s["models"].as_array().into_iter().flatten());
        models.map(string).collect()
    }

    /// Returns the models that the engines must load according to the rules, as `NAME@VERSION`.
    pub fn desired_models(&self) -> Vec<String> {
        let desired = self.rules["desired"].as_array().into_iter().flatten();
        let models = desired.flat_map(|d| d["models"].as_array().into_iter().flatten());
        models.map(|m| format!("{}@{}", string(&m["name"]), string(&m["version"]))).collect()
    }

    /// Returns the name of the plain service.
    pub fn plain_service(&self) -> String {
        service_of_kind(&self.register, "plain").unwrap_or_default()
    }

    /// Returns the credential of the first client account.
    pub fn credential(&self) -> String {
        string(&self.register["accounts"][0]["credential"])
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

fn read_json(path: &str) -> Result<Value, Error> {
    Ok(serde_json::from_str(&std::fs::read_to_string(root().join(path))?)?)
}

/// Returns the name of the first service of a kind.
fn service_of_kind(register: &Value, kind: &str) -> Result<String, Error> {
    let mut services = register["services"].as_array().into_iter().flatten();
    let found = services.find(|s| s["kind"] == kind);
    Ok(string(&found.ok_or("the register has no service of this kind")?["name"]))
}

fn string(value: &Value) -> String {
    value.as_str().unwrap_or_default().to_owned()
}
