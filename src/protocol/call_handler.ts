import {messageOf} from '../utilities/base_error.js';
import type {CallMethod} from './call_methods.js';
import {InvalidMessageError} from './invalid_message_error.js';

/** Handler of one method that receives and returns encoded messages. */
export interface CallHandler {
  readonly number: number;
  /** Rejects with an InvalidMessageError if the request is invalid. */
  handle(request: Buffer): Promise<Buffer>;
}

/** Adds decoding and encoding to the handler of a method. */
export function createCallHandler<Request, Reply>(
  method: CallMethod<Request, Reply>,
  handle: (request: Request) => Promise<Reply>,
): CallHandler {
  const {number, codec} = method;
  return {
    number,
    handle: async bytes => {
      const request = decodeRequest(() => codec.requestDeserialize(bytes));
      return codec.responseSerialize(await handle(request));
    },
  };
}

function decodeRequest<Request>(deserialize: () => Request): Request {
  try {
    return deserialize();
  } catch (error) {
    throw new InvalidMessageError(
      `The request can't be decoded: ${messageOf(error)}.`,
    );
  }
}
