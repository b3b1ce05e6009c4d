import ModernError from 'modern-errors';

/** Parent of all errors that the system raises itself. */
export const BaseError = ModernError.subclass('BaseError');

/** The message of anything that was thrown. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
