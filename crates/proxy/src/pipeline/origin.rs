//! The origin of a stream, from its first event on.

use std::time::Duration;

use railtack_serving::{StreamKey, StreamOrigin};

use super::RequestRun;
use crate::{attempt::Target, streams::recorder};

impl RequestRun {
    /// Records where the stream began, unless its caller has taken it up. The caller gets its first events now.
    pub fn begin_stream(&mut self, target: &Target) {
        if self.origin.is_some() || !self.state.options.policy.software_versions {
            return;
        }
        let origin = StreamOrigin {
            service: self.service.clone(),
            software: target.record.software.clone(),
        };
        if self.admitted.route.kind.is_retryable() {
            let key = StreamKey::of(self.admitted.tenant.as_deref(), &self.request.id);
            recorder::record(&self.state, key, &origin, self.caller_waits());
        }
        self.origin = Some(origin);
    }

    /// Returns the time for which the caller may still come back.
    fn caller_waits(&self) -> Duration {
        let route_timeout = Duration::from_millis(self.admitted.route.timeout_ms);
        let timeout = self.request.client_timeout.unwrap_or(route_timeout);
        timeout.saturating_sub(self.request.received.elapsed())
    }

    /// Whether the stream has begun and cannot go on, because no replica of its version is registered.
    pub fn has_lost_origin(&self) -> bool {
        let view = self.state.view.load();
        let is_lost = self.is_origin_gone(&view);
        if let Some(origin) = self.origin.as_ref().filter(|_| is_lost) {
            spdlog::info!("stream not resumed: no replica of its software version is left", kv: {
                request = self.request.id.clone(),
                service = origin.service.clone(),
                software = origin.software.to_string(),
                known = view.position.state,
            });
        }
        is_lost
    }
}
