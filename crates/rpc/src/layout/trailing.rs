//! Fields that are appended to a released layout.

use speedy::{Context, Writable, Writer};

/// A list at the end of a message that is written only if it has entries, so that a message without them keeps
/// the layout that previous builds write. It is read with `default_on_eof`.
pub struct Trailing<'a, T>(pub &'a [T]);

/// Two lists at the end of a message. The first is also written if only the second has entries, since a list is
/// found by its place.
pub struct TrailingPair<'a, T, U>(pub &'a [T], pub &'a [U]);

impl<C, T, U> Writable<C> for TrailingPair<'_, T, U>
where
    C: Context,
    T: Writable<C>,
    U: Writable<C>,
{
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        if self.1.is_empty() {
            return Trailing(self.0).write_to(writer);
        }
        self.0.write_to(writer)?;
        self.1.write_to(writer)
    }
}

/// Three lists at the end of a message, with the same rule.
pub struct TrailingTriple<'a, T, U, V>(pub &'a [T], pub &'a [U], pub &'a [V]);

impl<C, T, U, V> Writable<C> for TrailingTriple<'_, T, U, V>
where
    C: Context,
    T: Writable<C>,
    U: Writable<C>,
    V: Writable<C>,
{
    fn write_to<W: ?Sized + Writer<C>>(&self, writer: &mut W) -> Result<(), C::Error> {
        if self.2.is_empty() {
            return TrailingPair(self.0, self.1).write_to(writer);
        }
        self.0.write_to(writer)?;
        self.1.write_to(writer)?;
        self.2.write_to(writer)
    }
}

/// Four lists at the end of a message, with the same rule.
pub struct TrailingQuadruple<'a, T, U, V, W>(pub &'a [T], pub &'a [U], pub &'a [V], pub &'a [W]);

impl<C, T, U, V, W> Writable<C> for TrailingQuadruple<'_, T, U, V, W>
where
    C: Context,
    T: Writable<C>,
    U: Writable<C>,
    V: Writable<C>,
    W: Writable<C>,
{
    fn write_to<X: ?Sized + Writer<C>>(&self, writer: &mut X) -> Result<(), C::Error> {
        if self.3.is_empty() {
            return TrailingTriple(self.0, self.1, self.2).write_to(writer);
        }
        self.0.write_to(writer)?;
        self.1.write_to(writer)?;
        self.2.write_to(writer)?;
        self.3.write_to(writer)
    }
}

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
