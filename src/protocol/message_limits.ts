/** Maximum size of a message that a process accepts from another process. */
export const MAXIMUM_MESSAGE_BYTES = 16 * 1024 * 1024;

const BATCH_OVERHEAD_BYTES = 1024;

/** Maximum size of a request or reply that is sent through a stream. */
export const MAXIMUM_CALL_BYTES = MAXIMUM_MESSAGE_BYTES - BATCH_OVERHEAD_BYTES;
