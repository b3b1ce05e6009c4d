import {ResultCodes} from '../../observability/result_codes.js';
import {apiError} from './api_types.js';
import type {ApiResponse, ApiCall} from './api_types.js';

/** Handles a call; `names` are the values of the route's `:name` segments. */
export type RouteHandler = (
  call: ApiCall,
  names: Readonly<Record<string, string>>,
) => Promise<ApiResponse>;

interface Route {
  readonly method: string;
  readonly pattern: readonly string[];
  readonly handler: RouteHandler;
}

const ANY_METHOD = '*';
const REMAINING_SEGMENTS = '**';

/** Finds the handler of a call by method and path. */
export class ApiRouter {
  private readonly routes: Route[] = [];

  /**
   * Adds a route. In the pattern, `:name` matches one segment and a final `**`
   * any remaining ones; the method `*` matches every method.
   */
  add(method: string, pattern: string, handler: RouteHandler): void {
    const segments = pattern.split('/').slice(1);
    this.routes.push({method, pattern: segments, handler});
  }

  /** @throws ApiError when no route matches. */
  handle(call: ApiCall): Promise<ApiResponse> {
    let isPathKnown = false;
    for (const route of this.routes) {
      const names = matchSegments(route.pattern, call.segments);
      if (!names) continue;
      isPathKnown = true;
      if (route.method !== ANY_METHOD && route.method !== call.method) continue;
      return route.handler(call, names);
    }
    if (isPathKnown) {
      throw apiError(
        ResultCodes.METHOD_NOT_ALLOWED,
        `The path does not support ${call.method}.`,
      );
    }
    throw apiError(ResultCodes.NOT_FOUND, 'No such path.');
  }
}

function matchSegments(
  pattern: readonly string[],
  segments: readonly string[],
): Record<string, string> | undefined {
  const names: Record<string, string> = {};
  for (const [index, patternSegment] of pattern.entries()) {
    if (patternSegment === REMAINING_SEGMENTS) return names;
    const segment = segments[index];
    if (segment === undefined) return undefined;
    if (patternSegment.startsWith(':')) {
      if (segment === '') return undefined;
      names[patternSegment.slice(1)] = segment;
    } else if (patternSegment !== segment) return undefined;
  }
  return pattern.length === segments.length ? names : undefined;
}
