import { toSpoolplankError } from '@spoolplank/shared';
import type { SpoolplankError } from '@spoolplank/shared';
import type { Ready } from './replica';
import type { ReplicaStorage } from './storage';

/**
 * Saves the state that a replica hands out in a `Ready` to disk. While the disk is full, it retries
 * until there is space.
 */
export interface ReadyStore {
  /** Whether the disk is full, which blocks the replica until there is space. */
  readonly isFull: boolean;
  /**
   * Resolves once all state of a `Ready` is on disk. A full disk is retried and causes no error,
   * unless the replica has been stopped.
   *
   * @throws SpoolplankError for any other storage error, and `storage-full` after a stop.
   */
  store(ready: Ready): Promise<void>;
}

export interface ReadyStoreOptions {
  readonly storage: ReplicaStorage;
  /** Runs a function after a delay; returns a function that cancels it. */
  readonly schedule: (run: () => void, delayMs: number) => () => void;
  /** Whether the replica has been stopped, after which a full disk is not retried. */
  readonly isStopped: () => boolean;
  /** Called once when the disk becomes full and once, with null, when it recovers. */
  readonly onStorageState?: (error: SpoolplankError | null) => void;
}

/** Delay between two attempts while the disk is full. */
const RETRY_MS = 1000;

export function createReadyStore(options: ReadyStoreOptions): ReadyStore {
  const { storage, schedule, isStopped, onStorageState } = options;
  let isFull = false;

  async function storeOnce({ hardState, snapshot, entries }: Ready): Promise<void> {
    if (snapshot) await storage.installSnapshot(snapshot.meta, snapshot.data);
    if (hardState ?? entries.length) await storage.save({ hardState, entries });
  }

  function updateStorageState(error: SpoolplankError | null): void {
    if (Boolean(error) !== isFull) onStorageState?.(error);
    isFull = Boolean(error);
  }

  function delay(durationMs: number): Promise<void> {
    return new Promise((resolve) => {
      schedule(resolve, durationMs);
    });
  }

  return {
    get isFull() {
      return isFull;
    },
    async store(ready) {
      for (;;) {
        try {
          await storeOnce(ready);
          updateStorageState(null);
          return;
        } catch (error) {
          const known = toSpoolplankError(error);
          if (known.code !== 'storage-full' || isStopped()) throw known;
          updateStorageState(known);
          await delay(RETRY_MS);
        }
      }
    },
  };
}
