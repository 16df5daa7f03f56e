import type { HardState, LogEntry, SnapshotMeta } from './messages';

/** Where the log in memory begins: the last entry that was dropped from it. */
export interface LogBase {
  readonly index: number;
  readonly term: number;
}

/** What a replica finds on its disk when it starts. */
export interface StoredState {
  readonly hardState: HardState;
  readonly snapshot: SnapshotMeta | null;
  readonly base: LogBase;
  readonly entries: readonly LogEntry[];
}

export interface SaveRequest {
  readonly hardState: HardState | null;
  /** Entries to add; from the first one's index on, what was stored before is replaced. */
  readonly entries: readonly LogEntry[];
}

/**
 * Durable storage of one replica. A promise resolves only when the data would survive a
 * loss of power. Calls are made one at a time.
 *
 * @throws SpoolplankError `storage-full` when there is no room; nothing was changed then.
 */
export interface ReplicaStorage {
  load(): Promise<StoredState>;
  save(request: SaveRequest): Promise<void>;
  /** Stores a snapshot of what was applied, and drops entries up to `base`. */
  saveSnapshot(meta: SnapshotMeta, data: string, base: LogBase): Promise<void>;
  /** Stores a snapshot received from the leader, which replaces the whole log. */
  installSnapshot(meta: SnapshotMeta, data: string): Promise<void>;
  /** The text of the newest snapshot; empty when there is none. */
  readSnapshot(): Promise<string>;
}

/** State of a replica that has never stored anything. */
export const BLANK_STATE: StoredState = {
  hardState: { term: 0, votedFor: null },
  snapshot: null,
  base: { index: 0, term: 0 },
  entries: [],
};
