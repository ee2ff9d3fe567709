//! Fields that are appended to a released layout.

use speedy::{Context, Writable, Writer};

/// A list at the end of a message that is written only if it has entries, so that a message without them keeps
/// the layout that previous builds write. It is read with `default_on_eof`.
pub struct Trailing<'a, T>(pub &'a [T]);

impl<C, T> Writable<C> for Trailing<'_, T>
where
    C: Context,
    T: Writable<C>,
{
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        if self.0.is_empty() {
            return Ok(());
        }
        self.0.write_to(writer)
    }
}
