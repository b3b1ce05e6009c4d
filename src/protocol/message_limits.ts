/** Size of the largest message that a process takes from another. */
export const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;

const BATCH_OVERHEAD_BYTES = 1024;

/** Size of the largest request or reply that goes through a stream. */
export const MAXIMUM_CALL_BYTES = MAXIMUM_MESSAGE_BYTES - BATCH_OVERHEAD_BYTES;
