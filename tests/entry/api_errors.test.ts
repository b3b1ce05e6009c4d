import test from 'ava';
import {responseOfError} from '../../src/entry/http/api_types.js';
import {ResultCodes} from '../../src/observability/result_codes.js';
import type {ResultCode} from '../../src/observability/result_codes.js';
import {
  StoreBudgetError,
  StoreUnavailableError,
} from '../../src/backends/platform_errors.js';
import {LinkError} from '../../src/protocol/link_error.js';

const CASES: ReadonlyArray<readonly [Error, ResultCode]> = [
  [new StoreUnavailableError('tried a'), ResultCodes.STORE_UNAVAILABLE],
  [new StoreBudgetError('spent'), ResultCodes.STORE_UNAVAILABLE],
  [new LinkError('tried b'), ResultCodes.PROCESS_UNREACHABLE],
  [new TypeError('secret detail'), ResultCodes.INTERNAL],
];

for (const [error, code] of CASES) {
  test(`should respond to a ${error.name} with the code ${code.name}`, t => {
    const response = responseOfError(error);
    t.is(response.status, code.httpStatus);
    t.true(
      response.headers.some(
        ([name, value]) =>
          name === 'x-result-code' && value === String(code.number),
      ),
    );
    t.false(Buffer.from(response.body).toString().includes('secret'));
  });
}
