import {NO_VIEW} from '../../protocol/entry_view.js';
import type {EntryView} from '../../protocol/entry_view.js';
import type {
  EntryAddress,
  ShardLease,
} from '../../protocol/generated/burdockmoor.js';

/** Assigns versions to the part of heartbeat replies common to all agents. */
export class EntryViewVersioner {
  private version = 0;
  private lastView = NO_VIEW;

  /** Returns the view with its version, which is unique in this entry's run. */
  withVersion(view: EntryView): EntryView & {readonly viewVersion: number} {
    if (!isSame(view, this.lastView)) this.version++;
    this.lastView = view;
    return {...view, viewVersion: this.version};
  }
}

function isSame(left: EntryView, right: EntryView): boolean {
  return (
    left.entryId === right.entryId &&
    left.leaseMillis === right.leaseMillis &&
    areSame(left.leases, right.leases, isSameLease) &&
    areSame(left.entries, right.entries, isSameEntry)
  );
}

function areSame<Item>(
  left: readonly Item[],
  right: readonly Item[],
  isSameItem: (left: Item, right: Item) => boolean,
): boolean {
  if (left.length !== right.length) return false;
  return left.every((item, position) => isSameItem(item, right[position]));
}

function isSameLease(left: ShardLease, right: ShardLease): boolean {
  return left.shard === right.shard && left.epoch === right.epoch;
}

function isSameEntry(left: EntryAddress, right: EntryAddress): boolean {
  return (
    left.entryId === right.entryId &&
    left.address === right.address &&
    left.failureDomain === right.failureDomain
  );
}
