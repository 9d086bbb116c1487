//! The fit tells lines from curves and recovers a line's parameters.

use bench::fit::Fit;
use bench::fit::Point;
use bench::fit::Shape;
use rstest::rstest;

const SIZES: [f64; 4] = [10.0, 40.0, 160.0, 640.0];

fn points(value: impl Fn(f64) -> f64) -> Vec<Point> {
    let point = |x: f64| Point { x, y: value(x) };
    SIZES.into_iter().map(point).collect()
}

#[rstest]
#[case(3.0, 0.0)]
#[case(0.25, 100.0)]
#[case(0.0, 7.0)]
fn a_line_is_recovered_and_extended(#[case] slope: f64, #[case] intercept: f64) {
    let fit = Fit::of(&points(|x| intercept + slope * x)).expect("four sizes");
    assert!((fit.slope - slope).abs() < 1e-9);
    assert!((fit.intercept - intercept).abs() < 1e-6);
    assert!((fit.at(1000.0) - (intercept + slope * 1000.0)).abs() < 1e-6);
    assert!(fit.residual < 1e-9);
    assert_eq!(fit.shape, Shape::Line);
}

#[rstest]
#[case(2.0)]
#[case(3.0)]
#[case(-1.0)]
fn a_power_is_no_line_and_its_exponent_is_told(#[case] power: f64) {
    let fit = Fit::of(&points(|x| 5.0 * x.powf(power))).expect("four sizes");
    assert_eq!(fit.shape, Shape::Curve);
    let exponent = fit.exponent.expect("all points are positive");
    assert!((exponent - power).abs() < 1e-9);
}

#[test]
fn noise_of_a_few_percent_stays_a_line_with_that_residual() {
    let mut noisy = points(|x| 4.0 * x);
    noisy[1].y *= 1.05;
    noisy[3].y *= 0.97;
    let fit = Fit::of(&noisy).expect("four sizes");
    assert_eq!(fit.shape, Shape::Line);
    assert!(fit.residual > 0.0);
}

#[test]
fn nothing_measured_at_all_is_a_line_without_exponent() {
    let fit = Fit::of(&points(|_| 0.0)).expect("four sizes");
    assert_eq!(fit.shape, Shape::Line);
    assert_eq!(fit.exponent, None);
}

#[rstest]
#[case(&[])]
#[case(&[1.0, 2.0])]
#[case(&[1.0, 2.0, 2.0, 1.0])]
fn fewer_than_three_sizes_give_no_fit(#[case] sizes: &[f64]) {
    let points: Vec<Point> = sizes.iter().map(|x| Point { x: *x, y: *x }).collect();
    assert_eq!(Fit::of(&points), None);
}
