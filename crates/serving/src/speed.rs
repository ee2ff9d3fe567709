//! Relative speeds of replicas.

use speedy::{Context, Readable, Reader, Writable, Writer};

/// Steps per factor of two. A step is larger than the error of a measured speed, so that a measurement
/// rarely changes the step.
const STEPS_PER_DOUBLING: f64 = 2.0;
/// Fastest and slowest representable speed, in steps from the usual one: a factor of four.
const MAX_STEPS: i8 = 4;

/// Speed of a replica relative to the usual one of its service, in steps of a factor of about 1.4.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RelativeSpeed {
    steps: i8,
}

impl RelativeSpeed {
    /// The usual speed, also assumed for a replica without measurements.
    pub const USUAL: Self = Self { steps: 0 };

    /// Returns the step nearest to `ratio`; the usual speed if the ratio is not a positive number.
    pub fn from_ratio(ratio: f64) -> Self {
        if !ratio.is_finite() || ratio <= 0.0 {
            return Self::USUAL;
        }
        Self::from_steps((ratio.log2() * STEPS_PER_DOUBLING).round() as i8)
    }

    fn from_steps(steps: i8) -> Self {
        Self {
            steps: steps.clamp(-MAX_STEPS, MAX_STEPS),
        }
    }

    /// Returns the factor by which the replica is faster than usual.
    pub fn ratio(self) -> f64 {
        (f64::from(self.steps) / STEPS_PER_DOUBLING).exp2()
    }

    /// Returns the number of steps above the usual speed.
    pub fn steps(self) -> i8 {
        self.steps
    }
}

impl<C: Context> Writable<C> for RelativeSpeed {
    fn write_to<T: ?Sized + Writer<C>>(&self, writer: &mut T) -> Result<(), C::Error> {
        self.steps.write_to(writer)
    }
}

impl<'a, C: Context> Readable<'a, C> for RelativeSpeed {
    fn read_from<R: Reader<'a, C>>(reader: &mut R) -> Result<Self, C::Error> {
        i8::read_from(reader).map(Self::from_steps)
    }
}
