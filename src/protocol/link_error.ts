import {BaseError} from '../utilities/base_error.js';

/** A call to another process brought no reply. */
export const LinkError = BaseError.subclass('LinkError', {
  props: {
    /** The call never left this process: it surely took no effect. */
    notSent: false,
  },
});
