import {ResultCodes} from '../observability/result_codes.js';
import {BaseError} from '../utilities/base_error.js';

/** A message from another process is invalid and can't be processed. */
export const InvalidMessageError = BaseError.subclass('InvalidMessageError', {
  props: {resultCode: ResultCodes.BAD_REQUEST},
});
