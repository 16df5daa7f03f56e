import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue, Random } from '@spoolplank/shared';
import type { ConfigurationChange, ReplicaId } from './configuration';
import type { LogEntry, Message, SnapshotMeta } from './messages';
import { createProposalWaiters } from './proposalWaiters';
import type { ProposalPosition } from './proposalWaiters';
import { createReadyStore } from './readyStore';
import { createReplica } from './replica';
import type { Ready, Replica, ReplicaStatus } from './replica';
import type { ReplicaTimings } from './replicaState';
import type { ReplicaStorage } from './storage';

/** Applies commands in log order, and creates and restores snapshots of the resulting state. */
export interface StateMachine {
  /** Must be deterministic: the result depends only on the commands applied so far. */
  apply(command: JsonValue): JsonValue;
  takeSnapshot(): string;
  restore(snapshot: string): void;
}

export interface GroupRunnerOptions {
  readonly id: ReplicaId;
  readonly group: string;
  readonly clock: Clock;
  readonly random: Random;
  readonly storage: ReplicaStorage;
  readonly stateMachine: StateMachine;
  /** Sends a message; delivery is not guaranteed. */
  readonly send: (message: Message) => void;
  /** Runs a function after a delay; returns a function that cancels it. */
  readonly schedule: (run: () => void, delayMs: number) => () => void;
  /** Called when the disk becomes full or fails, and with null when it has recovered. */
  readonly onStorageState?: (error: SpoolplankError | null) => void;
  /** Called after entries have been applied or a snapshot has been restored. */
  readonly onApplied?: () => void;
  readonly timings?: Partial<ReplicaTimings>;
  /** Number of applied entries after which a snapshot is taken. */
  readonly snapshotEveryEntries?: number;
  /** Number of entries kept before a snapshot, for followers that lag slightly. */
  readonly keepEntries?: number;
  readonly snapshotChunkLength?: number;
  /** Time after which the outcome of a proposal is reported as unknown. */
  readonly proposalTimeoutMs?: number;
  readonly tickIntervalMs?: number;
}

export interface GroupRunner {
  /** Loads the stored state and starts the replica. */
  start(): Promise<void>;
  receive(message: Message): void;
  /**
   * Appends a command and resolves with the result of the state machine.
   *
   * @throws SpoolplankError `not-leader` (nothing was done), `no-quorum` (outcome unknown),
   * `storage-full` (nothing was done).
   */
  propose(command: JsonValue): Promise<JsonValue>;
  /** Changes the membership by one step and resolves once the change is committed. */
  changeMembership(change: ConfigurationChange): Promise<void>;
  canRead(): boolean;
  /** Transfers leadership to a voter; returns whether the transfer has started. */
  transferLeadership(successor?: ReplicaId): boolean;
  /** Delays this replica's elections from now on, because it is about to stop. */
  deferElections(): void;
  status(): ReplicaStatus;
  /** Stops the replica after the save in progress has finished. */
  stop(): Promise<void>;
}

const DEFAULTS = {
  snapshotEveryEntries: 2000,
  keepEntries: 500,
  snapshotChunkLength: 262_144,
  proposalTimeoutMs: 4000,
  tickIntervalMs: 25,
};

function hasWork({
  hardState,
  snapshot,
  entries,
  messages,
  earlyMessages,
  committed,
}: Ready): boolean {
  return (
    Boolean(hardState ?? snapshot) ||
    entries.length + messages.length + earlyMessages.length + committed.length > 0
  );
}

/**
 * Runs one replica with a disk, a network and a state machine. Commands that arrive during a write
 * are batched into the next one, so that one sync serves many commands.
 */
export function createGroupRunner(options: GroupRunnerOptions): GroupRunner {
  const settings = { ...DEFAULTS, ...options };
  const { storage, stateMachine, clock, schedule } = settings;
  const waiters = createProposalWaiters({ schedule, timeoutMs: settings.proposalTimeoutMs });
  let replica: Replica;
  let appliedIndex = 0;
  let appliedTerm = 0;
  let isStopped = false;
  let cancelTick = () => {};
  let pumping: Promise<void> | null = null;
  const readyStore = createReadyStore({
    storage,
    schedule,
    isStopped: () => isStopped,
    onStorageState: options.onStorageState,
  });

  function applyCommitted(committed: readonly LogEntry[]): void {
    committed.forEach((entry) => {
      const result =
        entry.payload.kind === 'command' ? stateMachine.apply(entry.payload.command) : null;
      appliedIndex = entry.index;
      appliedTerm = entry.term;
      waiters.settle(entry, result);
    });
    if (committed.length) options.onApplied?.();
  }

  function restore(meta: SnapshotMeta, data: string): void {
    stateMachine.restore(data);
    appliedIndex = meta.index;
    appliedTerm = meta.term;
    waiters.failUpTo(meta.index);
    options.onApplied?.();
  }

  async function fillSnapshotChunk(message: Message): Promise<Message | null> {
    if (message.kind !== 'snapshot') return message;
    // Saves and sends run one after the other, so the snapshot cannot be replaced during the read.
    if (message.meta.index !== replica.status().snapshotIndex) return null;
    const text = await storage.readSnapshot();
    const end = message.offset + settings.snapshotChunkLength;
    return { ...message, data: text.slice(message.offset, end), isLast: end >= text.length };
  }

  async function sendFilled(messages: readonly Message[]): Promise<void> {
    for (const message of messages) {
      const filled = await fillSnapshotChunk(message);
      if (filled && !isStopped) options.send(filled);
    }
  }

  async function takeSnapshotIfDue(): Promise<void> {
    const { snapshotIndex } = replica.status();
    if (appliedIndex - snapshotIndex < settings.snapshotEveryEntries) return;
    const meta: SnapshotMeta = {
      index: appliedIndex,
      term: appliedTerm,
      // The newest configuration may be in an unapplied entry, which another leader may overwrite.
      configuration: replica.configurationAt(appliedIndex),
    };
    const baseIndex = Math.max(0, appliedIndex - settings.keepEntries);
    const base = replica.baseFor(baseIndex);
    await storage.saveSnapshot(meta, stateMachine.takeSnapshot(), base);
    replica.compact(base.index, meta);
  }

  /** Takes a snapshot if due; on a full disk the log keeps growing until a later call succeeds. */
  async function tryTakeSnapshot(): Promise<void> {
    try {
      await takeSnapshotIfDue();
    } catch (error) {
      const known = toSpoolplankError(error);
      if (known.code !== 'storage-full') throw known;
      settings.onStorageState?.(known);
    }
  }

  async function processReady(ready: Ready): Promise<void> {
    ready.earlyMessages.forEach(settings.send);
    await readyStore.store(ready);
    replica.onSaved(ready);
    await sendFilled(ready.messages);
    if (ready.snapshot) restore(ready.snapshot.meta, ready.snapshot.data);
    applyCommitted(ready.committed);
    await tryTakeSnapshot();
  }

  async function pump(): Promise<void> {
    for (
      let ready = replica.takeReady();
      hasWork(ready) && !isStopped;
      ready = replica.takeReady()
    ) {
      await processReady(ready);
    }
  }

  function wake(): void {
    if (pumping || isStopped) return;
    pumping = pump()
      .catch((error: unknown) => {
        isStopped = true;
        settings.onStorageState?.(toSpoolplankError(error));
      })
      .finally(() => {
        pumping = null;
      });
  }

  function tick(): void {
    if (isStopped) return;
    if (!readyStore.isFull) replica.tick();
    wake();
    cancelTick = schedule(tick, settings.tickIntervalMs);
  }

  function assertWritable(): void {
    if (isStopped) throw new SpoolplankError('shutting-down');
    if (readyStore.isFull) throw new SpoolplankError('storage-full');
  }

  function waitFor(position: ProposalPosition | null): Promise<JsonValue> {
    if (!position) {
      const leaderId = replica.status().leaderId ?? undefined;
      return Promise.reject(new SpoolplankError('not-leader', { leaderId }));
    }
    const waiting = waiters.waitFor(position);
    // Deferred to a microtask, so that proposals made in the same turn share one write.
    queueMicrotask(wake);
    return waiting;
  }

  return {
    async start() {
      const stored = await storage.load();
      const { id, group, random, timings } = options;
      replica = createReplica({
        id,
        group,
        clock,
        random,
        stored,
        timings,
      });
      if (stored.snapshot) restore(stored.snapshot, await storage.readSnapshot());
      tick();
    },
    receive(message) {
      if (isStopped || readyStore.isFull) return;
      replica.receive(message);
      wake();
    },
    async propose(command) {
      assertWritable();
      return waitFor(replica.propose(command));
    },
    async changeMembership(change) {
      assertWritable();
      await waitFor(replica.proposeConfiguration(change));
    },
    canRead: () =>
      !isStopped &&
      !readyStore.isFull &&
      replica.canRead() &&
      replica.status().commitIndex <= appliedIndex,
    transferLeadership(successor) {
      const hasBegun = replica.transferLeadership(successor);
      wake();
      return hasBegun;
    },
    deferElections: () => replica.deferElections(),
    status: () => replica.status(),
    async stop() {
      isStopped = true;
      cancelTick();
      await pumping;
      waiters.failUpTo(Number.POSITIVE_INFINITY);
    },
  };
}
