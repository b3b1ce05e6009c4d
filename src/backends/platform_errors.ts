import {BaseError} from '../utilities/base_error.js';
import type {ExecutorFailure} from './executor.js';

/** The store did not respond or failed. A write may have taken effect. */
export const StoreUnavailableError = BaseError.subclass(
  'StoreUnavailableError',
);

/** The store call budget is exhausted; the call was not sent. */
export const StoreBudgetError = BaseError.subclass('StoreBudgetError');

/** The worker did not respond in time. A start may have taken effect. */
export const WorkerUnavailableError = BaseError.subclass(
  'WorkerUnavailableError',
);

/** The worker refused the call; nothing was changed. */
export const WorkerRefusedError = BaseError.subclass('WorkerRefusedError');

/** The executor sent no complete response to the request. */
export const ExecutorError = BaseError.subclass('ExecutorError', {
  props: {failure: 'unknown' as ExecutorFailure},
});

/** The store refused the call; nothing was changed. */
export const StoreRefusedError = BaseError.subclass('StoreRefusedError');
