import type {HeartbeatReply} from './generated/burdockmoor.js';

/** The part of a heartbeat's reply that is left out while the agent holds it. */
export type EntryView = Pick<
  HeartbeatReply,
  'entryId' | 'leaseMillis' | 'leases' | 'entries'
>;

/** In the place of a view that is left out; no entry has an empty id. */
export const NO_VIEW: EntryView = {
  entryId: '',
  leaseMillis: 0,
  leases: [],
  entries: [],
};
