import {ResultCodes} from '../observability/result_codes.js';
import type {ResultCode} from '../observability/result_codes.js';
import {BaseError} from '../utilities/base_error.js';

/** A call to another process failed or received no reply. */
export const LinkError = BaseError.subclass('LinkError', {
  props: {
    /** The call was never sent, so it is guaranteed to have had no effect. */
    notSent: false,
    resultCode: ResultCodes.PROCESS_UNREACHABLE as ResultCode,
  },
});
