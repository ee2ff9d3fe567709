//! Admission checks of an engine: requests must match its incarnation and weights, and orders must
//! have a newer fencing token.
//!
//! Performs no I/O. The engine server and the simulator share these checks.

use railtack_backend_api::{EngineRefusal, OrderRequest};
use railtack_core::{EngineIncarnation, ModelName, WeightsVersion};

/// Checks that can be disabled to test that the simulator detects their absence.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateChecks {
    /// Whether to refuse requests for another incarnation.
    pub incarnation: bool,
    /// Whether to refuse orders with a stale fencing token.
    pub fencing: bool,
}

impl Default for GateChecks {
    fn default() -> Self {
        Self {
            incarnation: true,
            fencing: true,
        }
    }
}

/// An engine's identity, loaded weights and drain state.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gate {
    /// Current incarnation.
    pub incarnation: EngineIncarnation,
    /// Loaded model.
    pub model: ModelName,
    /// Loaded weights.
    pub weights_version: WeightsVersion,
    /// Whether weights are being loaded.
    pub loading: bool,
    /// Whether the engine is draining.
    pub draining: bool,
    /// Fencing token of the last accepted order.
    pub last_order_token: u64,
    checks: GateChecks,
}

impl Gate {
    /// Creates a new incarnation with loaded weights.
    pub fn new(
        incarnation: EngineIncarnation,
        model: ModelName,
        weights_version: WeightsVersion,
        checks: GateChecks,
    ) -> Self {
        Self {
            incarnation,
            model,
            weights_version,
            loading: false,
            draining: false,
            last_order_token: 0,
            checks,
        }
    }

    /// Checks whether a request for this incarnation, model and weights may run now.
    pub fn admit(
        &self,
        incarnation: EngineIncarnation,
        model: &ModelName,
        weights_version: WeightsVersion,
    ) -> Result<(), EngineRefusal> {
        if self.checks.incarnation && incarnation != self.incarnation {
            return Err(EngineRefusal::IncarnationMismatch);
        }
        if self.draining {
            return Err(EngineRefusal::Draining);
        }
        let has_weights = *model == self.model && weights_version == self.weights_version;
        if !has_weights || self.loading {
            return Err(EngineRefusal::WeightsMismatch);
        }
        Ok(())
    }

    /// Accepts an order whose token is above the tokens of all accepted orders. Requests are
    /// refused until [`Gate::finish_loading`], unless the weights are already loaded.
    pub fn accept_order(&mut self, order: &OrderRequest) -> Result<(), EngineRefusal> {
        if self.checks.fencing && order.token <= self.last_order_token {
            return Err(EngineRefusal::StaleToken);
        }
        self.last_order_token = order.token;
        let has_weights =
            order.model == self.model && order.weights_version == self.weights_version;
        self.loading |= !has_weights;
        Ok(())
    }

    /// Returns whether an order is the last accepted one.
    pub fn is_current(&self, order: &OrderRequest) -> bool {
        self.last_order_token == order.token
    }

    /// Records that an order's weights are loaded.
    pub fn finish_loading(&mut self, order: OrderRequest) {
        self.model = order.model;
        self.weights_version = order.weights_version;
        self.loading = false;
    }
}
