/** Size of the largest message that a process takes from another. */
export const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;
