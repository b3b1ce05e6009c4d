import {BaseError} from '../utilities/base_error.js';
import type {ExecutorFailure} from './executor.js';

/** The store gave no answer, or an error. A write may have taken effect. */
export const StoreUnavailableError = BaseError.subclass(
  'StoreUnavailableError',
);

/** The budget for calls to the store is used up; the call was not made. */
export const StoreBudgetError = BaseError.subclass('StoreBudgetError');

/** The worker gave no answer in time. A start may have taken effect. */
export const WorkerUnavailableError = BaseError.subclass(
  'WorkerUnavailableError',
);

/** The worker answered no; nothing was changed. */
export const WorkerRefusedError = BaseError.subclass('WorkerRefusedError');

/** The executor gave no whole answer to the request. */
export const ExecutorError = BaseError.subclass('ExecutorError', {
  props: {failure: 'unknown' as ExecutorFailure},
});

/** The store answered that it did nothing. */
export const StoreRefusedError = BaseError.subclass('StoreRefusedError');
