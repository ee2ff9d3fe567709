//! Fields that are appended to a released layout.

use speedy::{Context, Writable, Writer};

/// The last lists of a message. They are written only if one of them has entries, so that a message without them keeps
/// the layout that previous builds write. They are read with `default_on_eof`.
pub trait TrailingLists {
    /// Whether none of the lists has entries.
    fn is_empty(&self) -> bool;
}

/// The very last list.
pub struct Trailing<'a, T>(pub &'a [T]);

/// A list before others. It is also written if only a later one has entries, since a list is found by its place.
pub struct TrailingThen<'a, T, Later>(pub &'a [T], pub Later);

impl<T> TrailingLists for Trailing<'_, T> {
    fn is_empty(&self) -> bool {
        self.0.is_empty()
    }
}

impl<T, Later: TrailingLists> TrailingLists for TrailingThen<'_, T, Later> {
    fn is_empty(&self) -> bool {
        self.0.is_empty() && self.1.is_empty()
    }
}

impl<C, T> Writable<C> for Trailing<'_, T>
where
    C: Context,
    T: Writable<C>,
{
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        if self.is_empty() {
            return Ok(());
        }
        self.0.write_to(writer)
    }
}

impl<C, T, Later> Writable<C> for TrailingThen<'_, T, Later>
where
    C: Context,
    T: Writable<C>,
    Later: TrailingLists + Writable<C>,
{
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        if self.is_empty() {
            return Ok(());
        }
        self.0.write_to(writer)?;
        self.1.write_to(writer)
    }
}
