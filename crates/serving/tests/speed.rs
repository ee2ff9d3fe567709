//! Relative speeds of replicas.

use quickcheck::quickcheck;
use railtack_serving::RelativeSpeed;

#[test]
fn the_usual_speed_has_the_ratio_one() {
    assert_eq!(RelativeSpeed::USUAL.ratio(), 1.0);
    assert_eq!(RelativeSpeed::from_ratio(1.1), RelativeSpeed::USUAL);
}

#[test]
fn absurd_ratios_are_limited() {
    for ratio in [0.0, -1.0, f64::NAN, f64::INFINITY] {
        assert_eq!(RelativeSpeed::from_ratio(ratio), RelativeSpeed::USUAL);
    }
    assert_eq!(RelativeSpeed::from_ratio(1e300).ratio(), 4.0);
    assert_eq!(RelativeSpeed::from_ratio(1e-300).ratio(), 0.25);
}

quickcheck! {
    /// The step of a measured speed is within half a step of it.
    fn a_ratio_is_rounded_to_the_nearest_step(per_mille: u16) -> bool {
        let ratio = f64::from(per_mille.clamp(300, 3_500)) / 1_000.0;
        let error = RelativeSpeed::from_ratio(ratio).ratio() / ratio;
        (0.84..1.19).contains(&error)
    }
}
