import {ResultCodes} from '../observability/result_codes.js';
import type {ResultCode} from '../observability/result_codes.js';
import {BaseError} from '../utilities/base_error.js';

/** A call to another process brought no reply. */
export const LinkError = BaseError.subclass('LinkError', {
  props: {
    /** The call never left this process: it surely took no effect. */
    notSent: false,
    resultCode: ResultCodes.PROCESS_UNREACHABLE as ResultCode,
  },
});
