import {ResultCodes} from '../observability/result_codes.js';
import {BaseError} from '../utilities/base_error.js';

/** A message of another process that can't be acted on. */
export const InvalidMessageError = BaseError.subclass('InvalidMessageError', {
  props: {resultCode: ResultCodes.BAD_REQUEST},
});
