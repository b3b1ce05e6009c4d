/** Converts API calls and responses that entries forward to each other. */
import type {
  ForwardCallReply,
  ForwardCallRequest,
  Header,
} from '../../protocol/generated/burdockmoor.js';
import {readTarget} from './api_server.js';
import type {ApiResponse, ApiCall} from './api_types.js';

/** Returns the message for a call, with additional headers. */
export function forwardRequestOf(
  call: ApiCall,
  additionalHeaders: ReadonlyArray<readonly [name: string, value: string]>,
): ForwardCallRequest {
  return {
    method: call.method,
    path: call.target,
    headers: headerFieldsOf([...call.headers, ...additionalHeaders]),
    body: Buffer.from(call.body),
  };
}

/** Returns the call in a message. */
export function apiCallOf(request: ForwardCallRequest): ApiCall {
  return {
    ...readTarget(request.path),
    method: request.method,
    headers: new Map(request.headers.map(({name, value}) => [name, value])),
    body: request.body,
  };
}

/** Returns the message for a response. */
export function forwardReplyOf(answer: ApiResponse): ForwardCallReply {
  return {
    status: answer.status,
    headers: headerFieldsOf(answer.headers),
    body: Buffer.from(answer.body),
  };
}

/** Returns the response in a message. */
export function apiResponseOf(reply: ForwardCallReply): ApiResponse {
  return {
    status: reply.status,
    headers: reply.headers.map(({name, value}) => [name, value] as const),
    body: reply.body,
  };
}

function headerFieldsOf(
  headers: ReadonlyArray<readonly [name: string, value: string]>,
): Header[] {
  return headers.map(([name, value]) => ({name, value}));
}
