/** Replicates sessions to other entry VMs in batches, and fetches them from there. */
import { rankByRendezvous } from '@spoolplank/shared';
import type { VmAddress } from '@spoolplank/settings';
import { listVmsWithRole, toPeerTarget } from '@spoolplank/vm';
import type { VmContext } from '@spoolplank/vm';
import { toSessionUpdate } from './sessionStore';
import type { SessionRecord, SessionStore, SessionUpdate } from './sessionStore';

export interface SessionReplication {
  /** Marks a record as changed; its copies are updated with the next batch. */
  record(record: SessionRecord): void;
  /** Sends all pending changes immediately. */
  flush(): Promise<void>;
  /** Looks a session up locally and on the VMs that hold its copies. */
  fetch(id: string): Promise<SessionRecord | undefined>;
  start(): void;
  stop(): void;
}

const COPIES_PER_SESSION = 2;
const FLUSH_INTERVAL_MS = 150;
const SWEEP_INTERVAL_MS = 10_000;
const MAX_FETCH_HOLDERS = 4;
const FETCH_TIMEOUT_MS = 600;

interface CopyState {
  readonly record: SessionRecord;
  /** Number of tokens that each holder is known to have; absent until it has the request. */
  readonly sent: Map<string, number>;
}

/** The entry VMs in the order in which they are chosen to hold copies of a session. */
export function rankHolders(
  context: Pick<VmContext, 'settings'>,
  id: string,
): readonly VmAddress[] {
  const entries = listVmsWithRole(context.settings, 'entry');
  const ranked = rankByRendezvous(
    id,
    entries.map(({ vmId }) => vmId),
  );
  return ranked.flatMap((vmId) => entries.filter((entry) => entry.vmId === vmId));
}

export function createSessionReplication(
  context: VmContext,
  store: SessionStore,
): SessionReplication {
  const { settings, peers, metrics } = context;
  const copyStates = new Map<string, CopyState>();
  const dirty = new Set<string>();
  let flushTimer: NodeJS.Timeout | undefined;
  let sweepTimer: NodeJS.Timeout | undefined;

  function holdersOf(id: string): readonly VmAddress[] {
    return rankHolders(context, id)
      .filter(({ vmId }) => vmId !== settings.vm.vmId)
      .slice(0, COPIES_PER_SESSION);
  }

  function collectByHolder(): ReadonlyMap<VmAddress, readonly CopyState[]> {
    const byHolder = new Map<VmAddress, CopyState[]>();
    dirty.forEach((id) => {
      const state = copyStates.get(id);
      if (!state) return;
      holdersOf(id).forEach((holder) =>
        byHolder.set(holder, [...(byHolder.get(holder) ?? []), state]),
      );
    });
    dirty.clear();
    return byHolder;
  }

  async function sendTo(holder: VmAddress, changed: readonly CopyState[]): Promise<void> {
    const updates: readonly SessionUpdate[] = changed.map(({ record, sent }) => {
      const known = sent.get(holder.vmId);
      return toSessionUpdate(record, known ?? 0, known === undefined);
    });
    try {
      const { missing } = await peers.call<{ missing: readonly string[] }>(
        toPeerTarget(holder),
        'sessions.put',
        { updates },
      );
      updates.forEach(({ id, fromPosition, tokens }) => {
        const sent = copyStates.get(id)?.sent;
        if (missing.includes(id)) sent?.delete(holder.vmId);
        else sent?.set(holder.vmId, fromPosition + tokens.length);
      });
      missing.forEach((id) => dirty.add(id));
    } catch {
      metrics.count('spoolplank_session_copy_failures_total');
    }
  }

  async function flush(): Promise<void> {
    const byHolder = collectByHolder();
    await Promise.all([...byHolder].map(([holder, changed]) => sendTo(holder, changed)));
    copyStates.forEach(({ record }, id) => {
      if (record.isDone && !dirty.has(id)) copyStates.delete(id);
    });
  }

  function flushPeriodically(): void {
    flush()
      .catch(() => {})
      .finally(() => {
        if (flushTimer) flushTimer = setTimeout(flushPeriodically, FLUSH_INTERVAL_MS);
      });
  }

  return {
    record(record) {
      if (!copyStates.has(record.id)) copyStates.set(record.id, { record, sent: new Map() });
      dirty.add(record.id);
    },
    flush,
    async fetch(id) {
      const localRecord = store.find(id);
      const remoteHolders = rankHolders(context, id)
        .filter(({ vmId }) => vmId !== settings.vm.vmId)
        .slice(0, MAX_FETCH_HOLDERS);
      const updates = await Promise.all(
        remoteHolders.map((holder) =>
          peers
            .call<SessionUpdate | null>(
              toPeerTarget(holder),
              'sessions.get',
              { id },
              { timeoutMs: FETCH_TIMEOUT_MS },
            )
            .catch(() => null),
        ),
      );
      // The session resumes from the most advanced copy, by attempt or by length.
      updates.forEach((update) => {
        const existing = store.find(id);
        const isMoreAdvanced =
          update &&
          (!existing ||
            update.attempt > existing.attempt ||
            update.tokens.length > existing.tokens.length);
        if (isMoreAdvanced) store.applyUpdate(update);
      });
      return store.find(id) ?? localRecord;
    },
    start() {
      flushTimer = setTimeout(flushPeriodically, FLUSH_INTERVAL_MS);
      sweepTimer = setInterval(() => store.sweep(), SWEEP_INTERVAL_MS);
    },
    stop() {
      clearTimeout(flushTimer);
      clearInterval(sweepTimer);
      flushTimer = undefined;
    },
  };
}
