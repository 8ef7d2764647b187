//! Steps that arrive while the configuration they start from is being fetched.

use sablebay_catalogue::{
    CallerLimits, CatalogueSnapshot, CatalogueView, ConfigurationStep, ConfigurationUpdate,
    RoutingConfiguration,
};
use sablebay_model::Micros;

const NOW: Micros = Micros::from_secs(10);

fn configuration(version: u64) -> RoutingConfiguration {
    let limits = CallerLimits { header_bytes: 1_000 + version as usize, ..CallerLimits::default() };
    RoutingConfiguration { version, routes: Vec::new(), services: Vec::new(), limits, tenants: None }
}

fn step(base: u64, version: u64) -> ConfigurationStep {
    ConfigurationStep::between(&configuration(base), &configuration(version))
}

fn with_steps(steps: Vec<ConfigurationStep>) -> CatalogueSnapshot {
    CatalogueSnapshot { steps, ..CatalogueSnapshot::default() }
}

fn view_at(version: u64) -> CatalogueView {
    let mut view = CatalogueView::default();
    view.offer_configuration(configuration(version));
    view
}

#[test]
fn steps_lead_from_version_to_version() {
    let mut view = view_at(1);
    assert!(view.merge(with_steps(vec![step(1, 3), step(3, 4)]), NOW));
    assert_eq!(view.routes().map(|routes| routes.configuration().clone()), Some(configuration(4)));
    // Steps that were received are passed on as steps.
    assert!(matches!(view.configuration_update(1), ConfigurationUpdate::Steps(steps, _) if steps.len() == 2));
    assert!(matches!(view.configuration_update(3), ConfigurationUpdate::Steps(steps, _) if steps.len() == 1));
    assert_eq!(view.configuration_update(2), ConfigurationUpdate::Full);
    assert_eq!(view.configuration_update(4), ConfigurationUpdate::None);
}

#[test]
fn steps_wait_for_what_they_start_from() {
    let mut view = view_at(1);
    view.incoming_mut().begin_fetch(3);
    assert_eq!(view.incoming().request_from(view.version()), 3);
    assert!(!view.merge(with_steps(vec![step(3, 4)]), NOW));
    assert!(!view.merge(with_steps(vec![step(4, 7)]), NOW));
    assert_eq!(view.incoming().request_from(view.version()), 7);
    assert_eq!(view.incoming().announced().map(|heard| heard.version), Some(7));
    assert!(view.merge(with_steps(vec![step(1, 3)]), NOW));
    assert_eq!(view.version(), 7);
    assert_eq!(view.incoming().announced(), None);
}

#[test]
fn what_waits_is_asked_for_again_when_the_fetch_fails() {
    let mut view = view_at(1);
    view.incoming_mut().begin_fetch(3);
    view.merge(with_steps(vec![step(3, 4)]), NOW);
    view.incoming_mut().end_fetch();
    assert_eq!(view.incoming().request_from(view.version()), 1);
    assert_eq!(view.version(), 1);
}

#[test]
fn steps_from_nowhere_change_nothing() {
    let mut view = view_at(5);
    assert!(!view.merge(with_steps(vec![step(1, 3)]), NOW));
    assert!(!view.merge(with_steps(vec![step(6, 7)]), NOW));
    assert_eq!(view.version(), 5);
    // The newer version is recorded, and requested from the version in force.
    assert_eq!(view.incoming().announced().map(|heard| heard.version), Some(7));
    assert_eq!(view.incoming().request_from(5), 5);
}

#[test]
fn after_steps_from_other_contents_the_whole_is_asked_for() {
    let mut view = view_at(1);

    let mut next = configuration(2);
    next.services.push(sablebay_catalogue::BackendService {
        name: sablebay_catalogue::ServiceName::new("s"),
        maximum_connections: 1,
        warm_up: sablebay_catalogue::WarmUp::default(),
    });
    let mut base = next.clone();
    base.version = 1;
    let step = ConfigurationStep::between(&base, &next);
    assert!(!view.merge(with_steps(vec![step]), NOW));
    assert_eq!(view.version(), 1);
    assert_eq!(view.incoming().request_from(1), 0);
    let whole = CatalogueSnapshot { configuration: Some(next.clone()), ..CatalogueSnapshot::default() };
    assert!(view.merge(whole, NOW));
    assert_eq!(view.incoming().request_from(view.version()), 2);
    assert_eq!(view.routes().map(|routes| routes.configuration().clone()), Some(next));
}

#[test]
fn a_version_heard_of_again_keeps_the_time_of_the_first() {
    let mut view = view_at(1);
    view.note_version(2, NOW);
    view.note_version(4, NOW.plus(Micros::from_secs(1)));
    assert_eq!(view.incoming().announced().map(|heard| (heard.version, heard.since)), Some((4, NOW)));
    view.offer_configuration(configuration(3));
    assert!(view.incoming().announced().is_some());
    view.offer_configuration(configuration(4));
    assert_eq!(view.incoming().announced(), None);
}

#[test]
fn a_reader_passes_every_version_on_that_it_read() {
    let mut view = view_at(1);
    assert!(view.offer_configurations(vec![configuration(2), configuration(4), configuration(3)]));
    assert_eq!(view.version(), 4);
    assert!(matches!(view.configuration_update(2), ConfigurationUpdate::Steps(steps, _) if steps.len() == 1));
}
