use super::*;

fn state(version: &str, config: u64, role: Role) -> EngineState {
    let model = LoadedModel {
        name: "m".to_owned(),
        weights_version: version.to_owned(),
    };
    EngineState {
        models: IndexSet::from([model]),
        adapters: IndexSet::new(),
        role,
        config_version: ConfigVersion(config),
    }
}

/// Guards against repeating an order to an engine that is already in the desired state.
#[test]
fn required_action_same_state_gives_no_order() {
    let actual = state("1", 3, Role::Serve);
    assert_eq!(
        required_action(state("1", 4, Role::Serve), &actual),
        Action::None
    );
}

/// Guards against an order that returns an engine to an older configuration.
#[test]
fn required_action_newer_configuration_gives_no_order() {
    let actual = state("2", 5, Role::Serve);
    assert_eq!(
        required_action(state("1", 4, Role::Serve), &actual),
        Action::None
    );
}

/// Guards against weight loads that are not counted against the weight store's limit.
#[test]
fn required_action_new_weights_count_as_a_load() {
    let actual = state("1", 3, Role::Serve);
    let desired = state("2", 4, Role::Serve);
    assert_eq!(
        required_action(desired.clone(), &actual),
        Action::Load(desired)
    );
}

/// Guards against spending the weight store's limited rate on an engine that drains.
#[test]
fn required_action_draining_engine_loads_nothing() {
    let actual = state("1", 3, Role::Serve);
    let desired = state("2", 4, Role::Drain);
    assert_eq!(
        required_action(desired, &actual),
        Action::Order(state("1", 4, Role::Drain))
    );
}

/// Guards against permits that allow more loads than the configured rate.
#[test]
fn weight_permit_stays_within_the_rate() {
    for rate in 1..=10_000u32 {
        let (duration_ms, loads) = weight_permit(rate);
        let per_min = u64::from(loads) * MINUTE_MS / duration_ms;
        assert!(
            loads >= 1 && per_min <= u64::from(rate) + 1,
            "rate {rate}: {per_min}"
        );
    }
}
