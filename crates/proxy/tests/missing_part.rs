//! What a router says that it lacks to serve.

use railtack_proxy::view::{MissingPart, ServingView};

/// Guards against a deployment that does not come back without a line that tells what is missing.
#[test]
fn a_router_without_a_configuration_names_it_before_its_lease() {
    let view = ServingView::default();
    assert_eq!(view.missing_part(true), Some(MissingPart::Configuration));
    assert_eq!(view.missing_part(false), Some(MissingPart::Configuration));
}
