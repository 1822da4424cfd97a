//! Generates configurations of a given size.

use kumquattiller_inventory::Configuration;
use serde_json::Value;
use serde_json::json;

use crate::Error;

/// Number of regions at the two-year size.
const REGIONS: usize = 5;
/// Number of availability zones at the two-year size.
const ZONES: usize = 18;
/// Number of models in steady use at the two-year size.
const MODELS: usize = 13;

/// Returns a configuration with the given numbers of runners and client accounts.
///
/// # Errors
///
/// Fails when the generated JSON no longer matches the types of the configuration.
pub fn configuration(runners: usize, accounts: usize) -> Result<Configuration, Error> {
    let address = |i: usize| format!("10.{}.{}.{}:7200", i >> 16, (i >> 8) & 255, i & 255);
    let runners: Vec<Value> = (0..runners)
        .map(|i| {
            let (service, zone) = (format!("model-{}", i % MODELS), format!("zone-{}", i % ZONES));
            json!({"id": format!("runner-{i:05}"), "service": service, "zone": zone,
                   "address": address(i)})
        })
        .collect();
    let places: Vec<Value> = (0..REGIONS)
        .map(|r| {
            let zones = (0..ZONES).filter(|z| z % REGIONS == r).map(|z| format!("zone-{z}"));
            json!({"region": format!("region-{r}"), "zones": zones.collect::<Vec<_>>()})
        })
        .collect();
    let services: Vec<Value> = (0..MODELS)
        .map(|m| {
            json!({"name": format!("model-{m}"), "kind": "model",
                   "models": [format!("name-{m}")], "engine_memory": 450_000})
        })
        .collect();
    let credentials: Vec<Value> = (0..accounts)
        .map(|a| json!({"id": format!("account-{a:04}"), "credential": format!("{a:032x}")}))
        .collect();
    let limits: Vec<Value> = (0..accounts)
        .map(|a| {
            json!({"account": format!("account-{a:04}"), "rank": a % 4,
                   "tokens_per_second": 10_000_000})
        })
        .collect();
    let value = json!({
        "version": 1,
        "register": {
            "places": places, "services": services, "runners": runners, "accounts": credentials
        },
        "rules": {"accounts": limits},
    });
    Ok(serde_json::from_value(value)?)
}
