//! Execution of orders for copies and adapters.

use super::account::Refusal;
use super::state::State;
use crate::answer;
use crate::store::{Fetch, Kind};
use actix_web::HttpResponse;
use actix_web::web::{Data, Json, Path};
use flamingo_wire::engine::{Body, Lora, Parameters};
use flamingo_wire::id;
use flamingo_wire::place::Outcome;
use serde_json::json;
use std::time::Duration;
use tokio::sync::oneshot;

/// Ratio of the maximum to the minimum duration of an adapter load.
const ADAPTER_SPREAD: u64 = 3;
/// Interval at which an unload checks whether the copy is still in use.
const LOOK: Duration = Duration::from_millis(10);

pub async fn load(state: Data<State>, model: Path<id::Model>, body: Json<Body>) -> HttpResponse {
    take(state, model.into_inner(), body.parameters, true).await
}

pub async fn unload(state: Data<State>, model: Path<id::Model>, body: Json<Body>) -> HttpResponse {
    take(state, model.into_inner(), body.parameters, false).await
}

/// Executes an order under the active faults. Responds once the order has started or is rejected;
/// the execution continues in the background.
async fn take(state: Data<State>, model: id::Model, order: Parameters, load: bool) -> HttpResponse {
    state.silence().await;
    let fault = state.lock().faults.order();
    if fault.lost {
        std::future::pending::<()>().await;
    }
    let (say, said) = oneshot::channel();
    actix_rt::spawn(async move {
        actix_rt::time::sleep(Duration::from_millis(fault.delay_ms)).await;
        let begun = begin(&state, &model, &order, load);
        let _ = say.send(begun.clone());
        carry_out(&state, &model, &order, load, begun).await;
        if fault.doubled {
            let begun = begin(&state, &model, &order, load);
            carry_out(&state, &model, &order, load, begun).await;
        }
    });
    let begun = said.await;
    if fault.unanswered {
        std::future::pending::<()>().await;
    }
    match begun {
        Ok(Ok(()) | Err(Refusal::Ended(Outcome::Done) | Refusal::UnderWay)) => {
            HttpResponse::Ok().json(json!({}))
        }
        Ok(Err(refusal)) => refuse(&refusal),
        Err(error) => refuse(&error),
    }
}

fn begin(state: &State, model: &str, order: &Parameters, load: bool) -> Result<(), Refusal> {
    let begun = {
        let mut inner = state.lock();
        if load {
            inner.account.load(model, order)
        } else {
            inner.account.unload(model, order)
        }
    };
    state.changed.notify_one();
    if let Err(refusal) = &begun {
        eprintln!("{}: order {}: {refusal}", state.settings.name, order.order);
    }
    begun
}

async fn carry_out(
    state: &State,
    model: &str,
    order: &Parameters,
    load: bool,
    begun: Result<(), Refusal>,
) {
    if begun.is_err() {
        return;
    }
    let outcome = if load {
        fetch(state).await
    } else {
        actix_rt::time::sleep(state.slowed(state.behaviour.unload)).await;
        while state.lock().account.in_use(model, order.version) {
            actix_rt::time::sleep(LOOK).await;
        }
        Outcome::Done
    };
    state.lock().account.end(model, order, load, outcome);
    state.changed.notify_one();
}

async fn fetch(state: &State) -> Outcome {
    let full_speed = state.slowed(state.behaviour.load);
    let fetch = Fetch {
        kind: Kind::Model,
        full_speed_ms: whole_millis(full_speed),
    };
    let fetched = state.behaviour.store.fetch(fetch).await;
    let fails = state.lock().faults.load_fails();
    if fetched && !fails {
        Outcome::Done
    } else {
        Outcome::Failed
    }
}

pub async fn load_adapter(state: Data<State>, body: Json<Lora>) -> HttpResponse {
    state.silence().await;
    let least = whole_millis(state.slowed(state.behaviour.adapter));
    let spread = least * (ADAPTER_SPREAD - 1) + 1;
    let full_speed_ms = least + answer::hash(0, body.lora_name.as_bytes()) % spread;
    if state.lock().account.serving(&body.model).is_none() {
        return refuse(&Refusal::Absent);
    }
    let kind = Kind::Adapter;
    let fetch = Fetch {
        kind,
        full_speed_ms,
    };
    if !state.behaviour.store.fetch(fetch).await {
        return refuse(&"the store did not answer");
    }
    let mut inner = state.lock();
    let Some(copy) = inner.account.serving(&body.model) else {
        return refuse(&Refusal::Absent);
    };
    let adapters = &mut copy.resident.adapters;
    if !adapters.contains(&body.lora_name) {
        adapters.push(body.lora_name.clone());
    }
    state.changed.notify_one();
    HttpResponse::Ok().json(json!({}))
}

pub async fn unload_adapter(state: Data<State>, body: Json<Lora>) -> HttpResponse {
    state.silence().await;
    let mut inner = state.lock();
    let Some(copy) = inner.account.serving(&body.model) else {
        return refuse(&Refusal::Absent);
    };
    copy.resident.adapters.retain(|own| *own != body.lora_name);
    state.changed.notify_one();
    HttpResponse::Ok().json(json!({}))
}

fn refuse(why: &dyn std::fmt::Display) -> HttpResponse {
    HttpResponse::Conflict().json(json!({"error": why.to_string()}))
}

fn whole_millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}
