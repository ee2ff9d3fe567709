//! What an engine lets in: requests meant for its present life and weights, and newer orders.
//!
//! Pure: the engine process and the simulator use the same checks.

use railtack_backend_api::{EngineRefusal, OrderRequest};
use railtack_core::{EngineIncarnation, ModelName, WeightsVersion};

/// Checks that a deliberately broken build leaves out.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct GateChecks {
    /// Whether a request for another life is refused.
    pub incarnation: bool,
    /// Whether an order with an old token is refused.
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

/// An engine's identity and what it has loaded.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Gate {
    /// This life.
    pub incarnation: EngineIncarnation,
    /// Model loaded.
    pub model: ModelName,
    /// Weights loaded.
    pub weights_version: WeightsVersion,
    /// Whether weights are being loaded.
    pub loading: bool,
    /// Whether a planned stop has begun.
    pub draining: bool,
    /// Token of the last order taken.
    pub last_order_token: u64,
    checks: GateChecks,
}

impl Gate {
    /// A new life with weights loaded.
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

    /// Whether a request may run here now.
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

    /// Takes an order whose token is above every token before. Requests are refused until
    /// [`Gate::finish_loading`], unless the weights are in place already.
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

    /// Whether an order is still the last one taken.
    pub fn is_current(&self, order: &OrderRequest) -> bool {
        self.last_order_token == order.token
    }

    /// Notes that an order's weights are in place.
    pub fn finish_loading(&mut self, order: OrderRequest) {
        self.model = order.model;
        self.weights_version = order.weights_version;
        self.loading = false;
    }
}
