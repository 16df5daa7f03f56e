/**
 * Sessions with a language model: the request and the tokens generated so far. Each is copied to
 * two other entry VMs, so that a caller whose VM has failed can resume on any other.
 */
import type { Clock } from '@spoolplank/shared';

/** The caller's request. */
export interface SessionRequest {
  readonly model: string;
  readonly prompt: string;
  readonly maxTokens: number;
  readonly priority: number;
  readonly isChat: boolean;
}

export interface SessionToken {
  readonly tokenId: number;
  readonly text: string;
}

/** State of one session, which is copied to other VMs. */
export interface SessionRecord {
  readonly id: string;
  readonly organisation: string;
  readonly request: SessionRequest;
  /** Model version that generated the tokens so far; later attempts use the same version. */
  version: string | undefined;
  readonly tokens: SessionToken[];
  /** Number of the last attempt; unique within a session. */
  attempt: number;
  isDone: boolean;
  /** When the record was last used, on the clock of the VM that holds it. */
  usedAtMs: number;
}

/** The difference that brings a copy up to date. */
export interface SessionUpdate {
  readonly id: string;
  readonly organisation: string;
  /** Absent when the receiver already has the request. */
  readonly request?: SessionRequest;
  readonly version: string | undefined;
  readonly fromPosition: number;
  readonly tokens: readonly SessionToken[];
  readonly attempt: number;
  readonly isDone: boolean;
}

export interface SessionStoreOptions {
  readonly clock: Clock;
  readonly retentionMs?: number;
  /**
   * Maximum number of tokens of all records together, with the prompts estimated by their length;
   * the least recently used records are evicted first.
   */
  readonly maxTotalTokens?: number;
}

export interface SessionStore {
  readonly size: number;
  create(id: string, organisation: string, request: SessionRequest): SessionRecord;
  find(id: string): SessionRecord | undefined;
  /** Applies an update to a copy; returns false when an earlier part is missing. */
  applyUpdate(update: SessionUpdate): boolean;
  sweep(): void;
}

const DEFAULT_RETENTION_MS = 600_000;
const DEFAULT_MAX_TOTAL_TOKENS = 4_000_000;

/** Creates the update that brings a copy from `fromPosition` to the record's current state. */
export function toSessionUpdate(
  record: SessionRecord,
  fromPosition: number,
  isFirst: boolean,
): SessionUpdate {
  const { id, organisation, request, version, tokens, attempt, isDone } = record;
  return {
    id,
    organisation,
    ...(isFirst ? { request } : {}),
    version,
    fromPosition,
    tokens: tokens.slice(fromPosition),
    attempt,
    isDone,
  };
}

function estimateTokens({ tokens, request }: SessionRecord): number {
  return tokens.length + request.prompt.length / 4;
}

export function createSessionStore(options: SessionStoreOptions): SessionStore {
  const {
    clock,
    retentionMs = DEFAULT_RETENTION_MS,
    maxTotalTokens = DEFAULT_MAX_TOTAL_TOKENS,
  } = options;
  const records = new Map<string, SessionRecord>();

  function insert(record: SessionRecord): SessionRecord {
    records.set(record.id, record);
    return record;
  }

  function createRecord(id: string, organisation: string, request: SessionRequest): SessionRecord {
    return insert({
      id,
      organisation,
      request,
      version: undefined,
      tokens: [],
      attempt: 0,
      isDone: false,
      usedAtMs: clock.nowMs(),
    });
  }

  return {
    get size() {
      return records.size;
    },
    create: createRecord,
    find(id) {
      const record = records.get(id);
      if (record) record.usedAtMs = clock.nowMs();
      return record;
    },
    applyUpdate(update) {
      const { id, organisation, request, fromPosition, tokens } = update;
      const record =
        records.get(id) ?? (request ? createRecord(id, organisation, request) : undefined);
      if (!record || fromPosition > record.tokens.length) return false;
      // A delayed update of an older attempt is ignored.
      if (update.attempt < record.attempt) return true;
      // So is an older update of the same attempt.
      const isOutdated =
        update.attempt === record.attempt && fromPosition + tokens.length < record.tokens.length;
      if (isOutdated) return true;
      record.tokens.length = fromPosition;
      record.tokens.push(...tokens);
      Object.assign(record, {
        version: update.version,
        attempt: update.attempt,
        isDone: update.isDone,
        usedAtMs: clock.nowMs(),
      });
      return true;
    },
    sweep() {
      const oldestMs = clock.nowMs() - retentionMs;
      const byLastUse = [...records.values()].sort((a, b) => a.usedAtMs - b.usedAtMs);
      let totalTokens = byLastUse.reduce((sum, record) => sum + estimateTokens(record), 0);
      byLastUse.forEach((record) => {
        if (record.usedAtMs >= oldestMs && totalTokens <= maxTotalTokens) return;
        records.delete(record.id);
        totalTokens -= estimateTokens(record);
      });
    },
  };
}
