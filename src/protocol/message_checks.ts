/** Validates received messages before they reach the handlers. */
import type {
  AttemptName,
  ExchangePeersRequest,
  ForwardCallRequest,
  HeartbeatRequest,
  ListingDelta,
  QueryAttemptsRequest,
  ReportAttemptsRequest,
  ServeRequest,
  StartAttemptsRequest,
  StopAttemptsRequest,
  WorkerUpdate,
} from './generated/burdockmoor.js';
import {isChanged, isFullHeartbeat} from './heartbeat_delta.js';
import {InvalidMessageError} from './invalid_message_error.js';

const MAXIMUM_NAME_LENGTH = 200;
const MAXIMUM_DEADLINE_MILLIS = 3_600_000;
const MAXIMUM_ITEMS = 10_000;
/** Values per run in `progress`: run number, tenths of a percent, measure. */
export const VALUES_PER_PROGRESS_ENTRY = 3;
const CONTROL_CHARACTERS = /\p{Cc}/u;

/** @throws InvalidMessageError that names the invalid field. */
export function checkHeartbeat(request: HeartbeatRequest): void {
  if (isFullHeartbeat(request)) requireFullHeartbeat(request);
  for (const field of ['capacity', 'committed', 'used'] as const) {
    if (isChanged(request, field)) requirePresent(field, request[field]);
  }
  requireItemCount('executors', request.executors);
  requireItemCount('loads', request.loads);
  requireItemCount('interference', request.interference);
  for (const executor of request.executors) {
    requireName('executors.service', executor.service);
    requireNonNegative('executors.service_millis', executor.serviceMillis);
    requireNonNegative('executors.tail_millis', executor.tailMillis);
  }
  for (const {slowdown} of request.interference) {
    requireNonNegative('interference.slowdown', slowdown);
  }
}

/** @throws InvalidMessageError that names the invalid field. */
export function checkReportAttempts(request: ReportAttemptsRequest): void {
  requireName('agent_id', request.agentId);
  requireName('incarnation', request.incarnation);
  requireItemCount('reports', request.reports);
  for (const report of request.reports) requireAttempt(report.name);
}

/** @throws InvalidMessageError that names the invalid field. */
export function checkForwardCall(request: ForwardCallRequest): void {
  requireName('method', request.method);
  if (!request.path.startsWith('/')) reject('path', 'does not start with /');
}

/** @throws InvalidMessageError that names the invalid field. */
export function checkExchangePeers(request: ExchangePeersRequest): void {
  requireName('entry_id', request.entryId);
  if (!request.sender) return;
  requireName('sender.entry_id', request.sender.entryId);
  requireName('sender.process_address', request.sender.processAddress);
}

/** @throws InvalidMessageError that names the invalid field. */
export function checkServe(request: ServeRequest): void {
  requireName('request_id', request.requestId);
  requireName('service', request.service);
  requireName('method', request.method);
  if (!request.path.startsWith('/')) reject('path', 'does not start with /');
  if (request.deadlineMillis > MAXIMUM_DEADLINE_MILLIS) {
    reject('deadline_millis', `exceeds ${MAXIMUM_DEADLINE_MILLIS}`);
  }
}

/** @throws InvalidMessageError that names the invalid field. */
export function checkStartAttempts(request: StartAttemptsRequest): void {
  requireName('incarnation', request.incarnation);
  requireItemCount('starts', request.starts);
  for (const start of request.starts) {
    requireAttempt(start.name);
    requirePresent('starts.size', start.size);
  }
}

/** @throws InvalidMessageError that names the invalid field. */
export function checkStopAttempts(request: StopAttemptsRequest): void {
  requireItemCount('stops', request.stops);
  for (const stop of request.stops) requireAttempt(stop.name);
}

/** @throws InvalidMessageError that names the invalid field. */
export function checkQueryAttempts(request: QueryAttemptsRequest): void {
  requireItemCount('names', request.names);
  for (const name of request.names) requireAttempt(name);
}

/** @throws InvalidMessageError that names the invalid field. */
export function checkWorkerUpdate(update: WorkerUpdate): void {
  const {agent, worker, listing, ends, results} = update;
  if (agent !== '') requireName('agent', agent);
  if (worker) {
    requireName('worker.incarnation', worker.incarnation);
    requireName('worker.service', worker.service);
    requirePresent('worker.room', worker.room);
  }
  requireItemCount('ends', ends);
  requireItemCount('results', results);
  if (listing) checkListing(listing);
}

function checkListing({added, gone, progress}: ListingDelta): void {
  requireItemCount('listing.added', added);
  requireItemCount('listing.gone', gone);
  if (progress.length % VALUES_PER_PROGRESS_ENTRY !== 0) {
    reject(
      'listing.progress',
      `is not a multiple of ${VALUES_PER_PROGRESS_ENTRY}`,
    );
  }
  for (const {task, percent, measure} of added) {
    requireName('listing.added.task', task);
    requireNonNegative('listing.added.percent', percent);
    requireNonNegative('listing.added.measure', measure);
  }
}

/** Checks the fields that a full heartbeat must have and a delta may omit. */
function requireFullHeartbeat(request: HeartbeatRequest): void {
  requireName('agent_id', request.agentId);
  requireName('incarnation', request.incarnation);
  requireName('failure_domain', request.failureDomain);
  requireName('address', request.address);
  requirePresent('capacity', request.capacity);
  requirePresent('committed', request.committed);
}

function requireAttempt(name: AttemptName | undefined): void {
  if (!name) return reject('name', 'is missing');
  requireName('name.team', name.team);
  requireName('name.job', name.job);
  if (name.attempt < 1) reject('name.attempt', 'is below 1');
}

function requireName(field: string, value: string): void {
  if (value === '') reject(field, 'is empty');
  if (value.length > MAXIMUM_NAME_LENGTH) {
    reject(field, `is longer than ${MAXIMUM_NAME_LENGTH}`);
  }
  if (CONTROL_CHARACTERS.test(value)) reject(field, 'has control characters');
}

function requireNonNegative(field: string, value: number): void {
  if (!Number.isFinite(value) || value < 0) {
    reject(field, 'is not a finite number of at least 0');
  }
}

function requirePresent(field: string, value: unknown): void {
  if (value === undefined) reject(field, 'is missing');
}

function requireItemCount(field: string, items: readonly unknown[]): void {
  if (items.length > MAXIMUM_ITEMS) {
    reject(field, `has more than ${MAXIMUM_ITEMS} items`);
  }
}

function reject(field: string, problem: string): void {
  throw new InvalidMessageError(`Field ${field} ${problem}.`);
}
