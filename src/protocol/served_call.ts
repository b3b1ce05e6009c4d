import {messageOf} from '../utilities/base_error.js';
import type {CallMethod} from './call_methods.js';
import {InvalidMessageError} from './invalid_message_error.js';

/** A handler of one method that takes and gives encoded messages. */
export interface ServedCall {
  readonly number: number;
  /** Rejects with an InvalidMessageError where the request is at fault. */
  answer(request: Buffer): Promise<Buffer>;
}

/** Joins a method with its check and its handler. */
export function serveCall<Request, Reply>(
  method: CallMethod<Request, Reply>,
  handle: (request: Request) => Promise<Reply>,
): ServedCall {
  const {number, codec} = method;
  return {
    number,
    answer: async bytes => {
      const request = decode(() => codec.requestDeserialize(bytes));
      return codec.responseSerialize(await handle(request));
    },
  };
}

function decode<Request>(deserialize: () => Request): Request {
  try {
    return deserialize();
  } catch (error) {
    throw new InvalidMessageError(
      `The request can't be decoded: ${messageOf(error)}.`,
    );
  }
}
