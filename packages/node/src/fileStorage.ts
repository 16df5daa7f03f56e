/** Persistent storage of one replica: a log file and the latest snapshot, in one folder. */
import { mkdir, open, readdir, rm } from 'node:fs/promises';
import type { FileHandle } from 'node:fs/promises';
import { join } from 'node:path';
import { EMPTY_STORED_STATE } from '@spoolplank/consensus';
import type {
  HardState,
  LogBase,
  LogEntry,
  ReplicaStorage,
  SaveRequest,
  SnapshotMeta,
  StoredState,
} from '@spoolplank/consensus';
import { SpoolplankError } from '@spoolplank/shared';
import { readFileIfExists, replaceFile, syncFolder, toStorageError } from './dataFolder';
import { decodeRecords, encodeRecord } from './recordFile';

type LogRecord =
  | { readonly kind: 'base'; readonly base: LogBase }
  | { readonly kind: 'hard-state'; readonly hardState: HardState }
  | { readonly kind: 'entry'; readonly entry: LogEntry };

const SNAPSHOT_FILE = 'snapshot';
const LOG_FILE = 'log';

export interface FileStorageOptions {
  readonly folder: string;
  /** Whether each write is synced to disk. Only benchmarks that measure the cost turn it off. */
  readonly isSynced?: boolean;
  /** Opens the log for appending; tests replace it to simulate disk errors. */
  readonly openLog?: (path: string) => Promise<FileHandle>;
}

interface MutableState {
  hardState: HardState;
  snapshot: SnapshotMeta | null;
  base: LogBase;
  entries: LogEntry[];
}

type ApplyRecord = (state: MutableState, record: never) => void;

const RECORD_APPLIERS: Readonly<Record<LogRecord['kind'], ApplyRecord>> = {
  base(state, { base }: Extract<LogRecord, { kind: 'base' }>) {
    state.base = base;
    state.entries = [];
  },
  'hard-state': (state, { hardState }: Extract<LogRecord, { kind: 'hard-state' }>) => {
    state.hardState = hardState;
  },
  entry(state, { entry }: Extract<LogRecord, { kind: 'entry' }>) {
    state.entries.length = Math.max(0, entry.index - state.base.index - 1);
    state.entries.push(entry);
  },
};

function encodeAll(records: readonly LogRecord[]): Buffer {
  return Buffer.concat(records.map((record) => encodeRecord(JSON.stringify(record))));
}

function toRecords(entries: readonly LogEntry[]): readonly LogRecord[] {
  return entries.map((entry) => ({ kind: 'entry', entry }));
}

/** Creates the storage of a replica in a folder that it has to itself. */
export function createFileStorage(options: FileStorageOptions): ReplicaStorage {
  const { folder, isSynced = true, openLog = (path: string) => open(path, 'a') } = options;
  const logPath = join(folder, LOG_FILE);
  const snapshotPath = join(folder, SNAPSHOT_FILE);
  const state: MutableState = { ...EMPTY_STORED_STATE, entries: [] };
  let handle: FileHandle | null = null;
  let logBytes = 0;

  async function ensureLogOpen(): Promise<FileHandle> {
    handle ??= await openLog(logPath);
    return handle;
  }

  /** Truncates the log after its last complete record; a failed write may leave a torn one. */
  async function truncateLog(): Promise<void> {
    const file = await open(logPath, 'r+');
    await file.truncate(logBytes);
    await file.sync();
    await file.close();
  }

  async function appendRecords(records: readonly LogRecord[]): Promise<void> {
    const bytes = encodeAll(records);
    try {
      const log = await ensureLogOpen();
      await log.writeFile(bytes);
      if (isSynced) await log.datasync();
      logBytes += bytes.length;
    } catch (error) {
      await handle?.close();
      handle = null;
      await truncateLog();
      throw toStorageError(error, logPath);
    }
  }

  /** Rewrites the log without the entries up to its base. */
  async function rewriteLog(): Promise<void> {
    const { base, hardState, entries } = state;
    const bytes = encodeAll([
      { kind: 'base', base },
      { kind: 'hard-state', hardState },
      ...toRecords(entries),
    ]);
    await replaceFile(logPath, bytes);
    await handle?.close();
    handle = null;
    logBytes = bytes.length;
  }

  async function writeSnapshot(meta: SnapshotMeta, data: string): Promise<void> {
    const bytes = Buffer.concat([encodeRecord(JSON.stringify(meta)), encodeRecord(data)]);
    await replaceFile(snapshotPath, bytes);
    state.snapshot = meta;
  }

  async function readSnapshotRecords(): Promise<readonly string[]> {
    const bytes = await readFileIfExists(snapshotPath);
    if (!bytes) return [];
    const { payloads } = decodeRecords(bytes, snapshotPath);
    if (payloads.length !== 2) {
      throw new SpoolplankError('storage-damaged', {
        detail: `${snapshotPath} at byte ${bytes.length}: not exactly two records`,
      });
    }
    return payloads;
  }

  async function loadLog(): Promise<void> {
    const bytes = await readFileIfExists(logPath);
    if (!bytes) {
      await replaceFile(logPath, '');
      return;
    }
    const { payloads, validBytes } = decodeRecords(bytes, logPath);
    payloads
      .map((payload) => JSON.parse(payload) as LogRecord)
      .forEach((record) => RECORD_APPLIERS[record.kind](state, record as never));
    logBytes = validBytes;
    if (validBytes < bytes.length) await truncateLog();
  }

  /**
   * Resets a log that ends before the snapshot: the process may stop after it wrote a snapshot from
   * the leader and before it rewrote the log.
   */
  function alignWithSnapshot(): void {
    const { snapshot, base, entries } = state;
    if (!snapshot || base.index + entries.length >= snapshot.index) return;
    state.base = { index: snapshot.index, term: snapshot.term };
    state.entries = [];
  }

  function assertContiguous(): void {
    state.entries.forEach(({ index }, position) => {
      if (index !== state.base.index + position + 1) {
        throw new SpoolplankError('storage-damaged', {
          detail: `${logPath}: entry ${index} is out of sequence`,
        });
      }
    });
    if (!state.snapshot && state.base.index > 0) {
      throw new SpoolplankError('storage-damaged', { detail: `${snapshotPath} is missing` });
    }
  }

  return {
    async load(): Promise<StoredState> {
      Object.assign(state, EMPTY_STORED_STATE, { entries: [] });
      await mkdir(folder, { recursive: true });
      const names = await readdir(folder);
      await Promise.all(
        names.filter((name) => name.endsWith('.tmp')).map((name) => rm(join(folder, name))),
      );
      const [meta] = await readSnapshotRecords();
      if (meta !== undefined) state.snapshot = JSON.parse(meta) as SnapshotMeta;
      await loadLog();
      alignWithSnapshot();
      assertContiguous();
      await syncFolder(folder);
      const { hardState, snapshot, base, entries } = state;
      return {
        hardState,
        snapshot,
        base,
        entries: [...entries],
      };
    },
    async save({ hardState, entries }: SaveRequest) {
      const records: LogRecord[] = hardState ? [{ kind: 'hard-state', hardState }] : [];
      records.push(...toRecords(entries));
      await appendRecords(records);
      records.forEach((record) => RECORD_APPLIERS[record.kind](state, record as never));
    },
    async saveSnapshot(meta, data, base) {
      await writeSnapshot(meta, data);
      state.entries = state.entries.filter(({ index }) => index > base.index);
      state.base = base;
      await rewriteLog();
    },
    async installSnapshot(meta, data) {
      await writeSnapshot(meta, data);
      state.base = { index: meta.index, term: meta.term };
      state.entries = [];
      await rewriteLog();
    },
    async readSnapshot() {
      const [, data] = await readSnapshotRecords();
      return data ?? '';
    },
  };
}
