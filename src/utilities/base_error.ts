import ModernError from 'modern-errors';

/** Base class of all errors that the system throws itself. */
export const BaseError = ModernError.subclass('BaseError');

/** Returns the message of a thrown value of any type. */
export function messageOf(thrown: unknown): string {
  return thrown instanceof Error ? thrown.message : String(thrown);
}
