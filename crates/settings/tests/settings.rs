//! Settings files: the examples load, and invalid settings are refused with file and line.

use std::{fs, path::PathBuf};

use railtack_settings::{
    ControlSettings, RouterSettings, SettingsError, Template, Tenant,
    documents::ModelTarget,
    emulator::EmulatorSettings,
    overrides::{Override, OverrideError},
    parse_settings,
};
use serde::de::DeserializeOwned;

fn example(name: &str) -> String {
    let path = PathBuf::from(env!("CARGO_MANIFEST_DIR"))
        .join("../../examples")
        .join(name);
    fs::read_to_string(&path).expect("example file")
}

fn document<T: DeserializeOwned>(name: &str) -> T {
    toml::from_str(&example(name)).expect("example document")
}

#[test]
fn example_settings_load() {
    parse_settings::<RouterSettings>("router.toml", &example("router.toml")).expect("router");
    parse_settings::<ControlSettings>("control.toml", &example("control.toml")).expect("control");
    for name in ["engine.toml", "service.toml", "platform.toml"] {
        parse_settings::<EmulatorSettings>(name, &example(name)).expect(name);
    }
}

#[test]
fn example_documents_are_consistent() {
    let template: Template = document("template.toml");
    let service: Template = document("service-template.toml");
    let tenant: Tenant = document("tenant.toml");
    let _: ModelTarget = document("model.toml");
    template.validate().expect("template");
    service.validate().expect("service template");
    tenant.validate().expect("tenant");
    for (used, known) in tenant.services.iter().zip([&template, &service]) {
        tenant.validate_service(used, known).expect("service");
    }
}

/// An invalid change of the example settings and the expected error.
struct InvalidSettings {
    find: &'static str,
    replace: &'static str,
    line: usize,
    message: &'static str,
}

const INVALID_SETTINGS: [InvalidSettings; 7] = [
    InvalidSettings {
        find: "router_id = 1",
        replace: "router_number = 1",
        line: 4,
        message: "unknown field `router_number`",
    },
    InvalidSettings {
        find: "listen = \"127.0.0.1:8080\"",
        replace: "listen = \"127.0.0.1\"",
        line: 8,
        message: "invalid socket address",
    },
    InvalidSettings {
        find: "body_bytes = 4194304",
        replace: "body_bytes = 12",
        line: 31,
        message: "limits.body_bytes = 12 is not allowed; allowed: 1024 to 268435456",
    },
    InvalidSettings {
        find: "default_deadline_ms = 120000",
        replace: "default_deadline_ms = 99999999",
        line: 34,
        message: "limits.default_deadline_ms = 99999999",
    },
    InvalidSettings {
        find: "duration_ms = 5000",
        replace: "duration_ms = 60000",
        line: 39,
        message: "lease.duration_ms = 60000 is not allowed; allowed: 100 to 6500",
    },
    InvalidSettings {
        find: "confirm_interval_ms = 500",
        replace: "confirm_interval_ms = 4000",
        line: 40,
        message: "allowed: 10 to 2500",
    },
    InvalidSettings {
        find: "when_unconfirmed = \"refuse\"",
        replace: "when_unconfirmed = \"hope\"",
        line: 42,
        message: "unknown variant `hope`",
    },
];

#[test]
fn invalid_settings_are_refused_with_line_key_and_range() {
    let valid = example("router.toml");
    for invalid in INVALID_SETTINGS {
        let text = valid.replace(invalid.find, invalid.replace);
        assert_ne!(text, valid, "{} is not in the example", invalid.find);
        let report = parse_settings::<RouterSettings>("router.toml", &text)
            .expect_err("the settings must be refused");
        let error = report.current_context().to_string();
        assert!(error.contains(invalid.message), "{error}");
        let line = match report.current_context() {
            SettingsError::Malformed { line, .. } | SettingsError::InvalidValue { line, .. } => {
                *line
            }
            SettingsError::Unreadable { .. } => 0,
        };
        assert_eq!(line, invalid.line, "{error}");
    }
}

#[test]
fn overrides_replace_values() {
    let mut table: toml::Table = toml::from_str(&example("router.toml")).expect("TOML");
    for text in [
        "zone=hala-b",
        "limits.body_bytes=2048",
        "lease.duration_ms=2000",
    ] {
        let setting: Override = text.parse().expect("an override");
        setting.apply(&mut table);
    }
    let text = toml::to_string(&table).expect("TOML");
    let settings = parse_settings::<RouterSettings>("router.toml", &text).expect("settings");
    assert_eq!(settings.zone.as_str(), "hala-b");
    assert_eq!(settings.limits.body_bytes, 2048);
    assert_eq!(settings.lease.duration_ms, 2000);
}

#[test]
fn overrides_without_a_key_are_refused() {
    for text in ["", "zone", "=hala-b"] {
        assert_eq!(text.parse::<Override>(), Err(OverrideError::NoKey));
    }
}
