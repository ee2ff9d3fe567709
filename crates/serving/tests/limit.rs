//! Tests of parsing advertised request limits.

use quickcheck::quickcheck;
use railtack_serving::{LimitError, RequestLimit};

#[test]
fn decimal_numbers_are_parsed() {
    for (text, per_s) in [
        ("40", 40.0),
        ("1.2", 1.2),
        ("0.3", 0.3),
        ("0", 0.0),
        (" 7.5 ", 7.5),
    ] {
        let limit = RequestLimit::parse(text.as_bytes()).expect("a limit");
        assert!((limit.requests_per_s() - per_s).abs() < 1e-9, "{text}");
    }
}

#[test]
fn invalid_values_yield_their_error() {
    for (value, error) in [
        (&b""[..], LimitError::NotDecimal),
        (b"few", LimitError::NotDecimal),
        (b"1,2", LimitError::NotDecimal),
        (b"1.2/s", LimitError::NotDecimal),
        (b"10^300", LimitError::NotDecimal),
        (b"1e300", LimitError::TooLarge),
        (b"1e999", LimitError::NotFinite),
        (b"inf", LimitError::NotFinite),
        (b"NaN", LimitError::NotFinite),
        (b"-1", LimitError::Negative),
        (b"\xff\xfe", LimitError::NotText),
    ] {
        assert_eq!(RequestLimit::parse(value), Err(error), "{value:?}");
    }
}

quickcheck! {
    fn arbitrary_bytes_yield_a_limit_in_range_or_an_error(value: Vec<u8>) -> bool {
        RequestLimit::parse(&value).map_or(true, |limit| {
            limit.requests_per_s() >= 0.0 && limit.requests_per_s() <= 1e6
        })
    }

    fn a_limit_is_never_parsed_as_more_than_the_value(thousandths: u32) -> bool {
        let value = f64::from(thousandths) / 1e3;
        RequestLimit::parse(value.to_string().as_bytes())
            .map_or(value > 1e6, |limit| limit.requests_per_s() <= value)
    }
}
