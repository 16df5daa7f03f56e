import type { HardState, LogEntry, SnapshotMeta } from './messages';

/** Position just before the first entry in memory: the last entry dropped from the log. */
export interface LogBase {
  readonly index: number;
  readonly term: number;
}

/** The state that a replica loads from disk when it starts. */
export interface StoredState {
  readonly hardState: HardState;
  readonly snapshot: SnapshotMeta | null;
  readonly base: LogBase;
  readonly entries: readonly LogEntry[];
}

export interface SaveRequest {
  readonly hardState: HardState | null;
  /** Entries to append; stored entries from the first one's index on are replaced. */
  readonly entries: readonly LogEntry[];
}

/**
 * Durable storage of one replica. A promise resolves only once the data survives a power failure.
 * Calls are made one at a time.
 *
 * @throws SpoolplankError `storage-full` if the disk is full; nothing was changed.
 */
export interface ReplicaStorage {
  load(): Promise<StoredState>;
  save(request: SaveRequest): Promise<void>;
  /** Stores a snapshot of the applied state and drops entries up to `base`. */
  saveSnapshot(meta: SnapshotMeta, data: string, base: LogBase): Promise<void>;
  /** Stores a snapshot received from the leader and replaces the whole log. */
  installSnapshot(meta: SnapshotMeta, data: string): Promise<void>;
  /** The text of the newest snapshot; empty if there is none. */
  readSnapshot(): Promise<string>;
}

/** Stored state of a new replica. */
export const EMPTY_STORED_STATE: StoredState = {
  hardState: { term: 0, votedFor: null },
  snapshot: null,
  base: { index: 0, term: 0 },
  entries: [],
};
