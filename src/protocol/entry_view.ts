import type {HeartbeatReply} from './generated/burdockmoor.js';

/** Heartbeat reply fields omitted if the agent has them already. */
export type EntryView = Pick<
  HeartbeatReply,
  'entryId' | 'leaseMillis' | 'leases' | 'entries'
>;

/** Stands for an omitted view: no entry has an empty id. */
export const NO_VIEW: EntryView = {
  entryId: '',
  leaseMillis: 0,
  leases: [],
  entries: [],
};
