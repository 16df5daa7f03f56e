/** A small group of replicas in one process with a seeded scheduler. */
import assert from 'node:assert/strict';
import { createSeededRandom } from '@spoolplank/shared';
import type { Random } from '@spoolplank/shared';
import { createReplica } from '..';
import type {
  Configuration,
  LogEntry,
  Message,
  ReplicaId,
  ReplicaTimings,
  SnapshotMeta,
  StoredState,
} from '..';
import { blankDisk, fillSnapshot, SHORT_CHUNK_LENGTH, writeToDisk } from './memoryNode';
import type { Node } from './memoryNode';

export interface ClusterOptions {
  readonly seed: number;
  readonly size?: number;
  /** Entries after which a replica takes a snapshot. */
  readonly snapshotEvery?: number;
  readonly timings?: Partial<ReplicaTimings>;
  /** Maximum length of a snapshot chunk in one message. */
  readonly chunkLength?: number;
}

/** Half of the election timeout: ending a vote restriction this early would allow two leaders. */
const FALSE_SUSPENSION_MS = 500;
const TIMINGS: ReplicaTimings = {
  electionTimeoutMs: 1000,
  heartbeatIntervalMs: 150,
  maxBatchEntries: 4,
  maxInFlightEntries: 16,
};

export class MemoryCluster {
  readonly random: Random;

  readonly nodes: Node[];

  network: Message[] = [];

  /** The entry committed at each index, as first applied by any replica. */
  readonly committed = new Map<number, string>();

  /** Highest index that was acknowledged to its proposer. */
  ackedIndex = 0;

  readonly leadersByTerm = new Map<number, ReplicaId>();

  #nowMs = 0;

  readonly #snapshotEvery: number;

  readonly #timings: ReplicaTimings;

  readonly #chunkLength: number;

  #identityCount = 0;

  #proposed = 0;

  constructor(options: ClusterOptions) {
    const { seed, size = 3, snapshotEvery = 6, timings } = options;
    this.random = createSeededRandom(seed);
    this.#snapshotEvery = snapshotEvery;
    this.#timings = { ...TIMINGS, ...timings };
    this.#chunkLength = options.chunkLength ?? SHORT_CHUNK_LENGTH;
    this.nodes = Array.from({ length: size }, (_unused, index) =>
      this.#createNode(`vm${index + 1}`),
    );
    const configuration: Configuration = { voters: this.nodes.map(({ id }) => id), learners: [] };
    this.nodes.forEach((node) => {
      node.disk.snapshot = { index: 1, term: 0, configuration };
      node.disk.base = { index: 1, term: 0 };
      this.start(node);
    });
  }

  #createNode(vmId: string): Node {
    this.#identityCount += 1;
    return {
      vmId,
      id: `${vmId}#${this.#identityCount}`,
      disk: blankDisk(),
      replica: null,
      saving: null,
      isFrozen: false,
      frozenAtMs: 0,
      freezeCount: 0,
      suspendedMs: 0,
      clockAheadMs: 0,
      isPartitioned: false,
      isInboundBlocked: false,
      isOutboundBlocked: false,
      applied: new Map(),
      appliedIndex: 0,
      appliedTerm: 0,
      // Clock rates differ by less than the lease margin allows for.
      clockRate: 0.97 + this.random.nextFloat() * 0.06,
      clockOffsetMs: this.random.nextInt(100_000),
    };
  }

  /** Adds a VM with an empty disk without starting it. */
  addBlank(vmId: string): Node {
    const node = this.#createNode(vmId);
    this.nodes.push(node);
    return node;
  }

  get nowMs(): number {
    return this.#nowMs;
  }

  advance(durationMs: number): void {
    this.#nowMs += durationMs;
  }

  start(node: Node): void {
    this.unfreeze(node);
    const clock = {
      nowMs: () => node.clockOffsetMs + this.#nowMs * node.clockRate + node.clockAheadMs,
      steadyMs: () => node.clockOffsetMs + (this.#nowMs - node.suspendedMs) * node.clockRate,
      wallMs: () => 0,
    };
    const { disk } = node;
    const stored: StoredState = {
      hardState: disk.hardState,
      snapshot: disk.snapshot,
      base: disk.base,
      entries: [...disk.entries],
    };
    node.replica = createReplica({
      id: node.id,
      group: 'g',
      clock,
      random: this.random,
      stored,
      timings: this.#timings,
    });
    node.applied = new Map(
      disk.snapshotData === '' ? [] : (JSON.parse(disk.snapshotData) as [number, string][]),
    );
    node.appliedIndex = disk.snapshot?.index ?? 0;
    node.appliedTerm = disk.snapshot?.term ?? 0;
    node.saving = null;
  }

  freeze(node: Node): void {
    node.isFrozen = true;
    node.frozenAtMs = this.#nowMs;
    node.freezeCount += 1;
  }

  /**
   * Resumes a replica. Every second freeze is a suspension of its VM, during which the steady clock
   * stands still. After every fourth one its `nowMs` clock runs ahead, as it does when a step of
   * the wall clock is mistaken for a suspension.
   */
  unfreeze(node: Node): void {
    if (!node.isFrozen) return;
    node.isFrozen = false;
    if (node.freezeCount % 2 === 1) node.suspendedMs += this.#nowMs - node.frozenAtMs;
    if (node.freezeCount % 4 === 0) node.clockAheadMs += FALSE_SUSPENSION_MS;
  }

  /** Crashes a replica; only saved state survives, and a write in progress may be partial. */
  crash(node: Node): void {
    const { saving } = node;
    if (saving && !saving.snapshot && this.random.nextInt(2) === 0) {
      const written = saving.entries.slice(0, this.random.nextInt(saving.entries.length + 1));
      writeToDisk(node, { ...saving, entries: written });
    }
    node.replica = null;
    node.saving = null;
  }

  /** Wipes the disk of a stopped VM, which then restarts under a new identity. */
  loseDisk(node: Node): void {
    this.#identityCount += 1;
    node.id = `${node.vmId}#${this.#identityCount}`;
    node.disk = blankDisk();
    node.applied = new Map();
    node.appliedIndex = 0;
  }

  /** Wipes the disk and restarts the VM immediately. */
  wipe(node: Node): void {
    this.crash(node);
    this.loseDisk(node);
    this.start(node);
  }

  leader(): Node | undefined {
    const leaders = this.nodes.filter(
      ({ replica, isFrozen }) => !isFrozen && replica?.status().role === 'leader',
    );
    return leaders.sort(
      (a, b) => (b.replica?.status().term ?? 0) - (a.replica?.status().term ?? 0),
    )[0];
  }

  propose(node: Node): { readonly index: number; readonly term: number } | null {
    this.#proposed += 1;
    return node.replica?.propose(`command-${this.#proposed}`) ?? null;
  }

  /** First half of a turn: takes the state to save and sends the early messages. */
  beginSave(node: Node): boolean {
    if (!node.replica || node.isFrozen || node.saving) return false;
    const ready = node.replica.takeReady();
    const size =
      ready.entries.length +
      ready.messages.length +
      ready.earlyMessages.length +
      ready.committed.length;
    if (size === 0 && !ready.hardState && !ready.snapshot) return false;
    node.saving = ready;
    this.network.push(...ready.earlyMessages);
    return true;
  }

  /** Second half: completes the save, sends messages and applies entries. */
  finishSave(node: Node): boolean {
    const { saving: ready, replica, disk } = node;
    if (!ready || !replica || node.isFrozen) return false;
    node.saving = null;
    if (ready.snapshot) {
      Object.assign(disk, {
        snapshot: ready.snapshot.meta,
        snapshotData: ready.snapshot.data,
        entries: [],
      });
      disk.base = { index: ready.snapshot.meta.index, term: ready.snapshot.meta.term };
      node.applied = new Map(JSON.parse(ready.snapshot.data || '[]') as [number, string][]);
      node.appliedIndex = ready.snapshot.meta.index;
      node.appliedTerm = ready.snapshot.meta.term;
    }
    writeToDisk(node, ready);
    replica.onSaved(ready);
    this.network.push(
      ...ready.messages.flatMap((message) => fillSnapshot(node, message, this.#chunkLength)),
    );
    ready.committed.forEach((entry) => this.#apply(node, entry));
    this.#snapshotIfDue(node);
    return true;
  }

  #apply(node: Node, { index, term, payload }: LogEntry): void {
    assert.equal(
      index,
      node.appliedIndex + 1,
      `${node.id} applied ${index} after ${node.appliedIndex}`,
    );
    const text = JSON.stringify({ term, payload });
    const known = this.committed.get(index);
    if (known === undefined) this.committed.set(index, text);
    else assert.equal(text, known, `${node.id} applied another entry at ${index}`);
    node.appliedIndex = index;
    node.appliedTerm = term;
    if (payload.kind === 'command') node.applied.set(index, JSON.stringify(payload.command));
    const status = node.replica?.status();
    // The leader that proposed the entry acknowledges it at this point.
    if (status?.role === 'leader' && status.term === term)
      this.ackedIndex = Math.max(this.ackedIndex, index);
  }

  #snapshotIfDue(node: Node): void {
    const { replica, disk } = node;
    if (!replica) return;
    const { snapshotIndex } = replica.status();
    if (node.appliedIndex - snapshotIndex < this.#snapshotEvery) return;
    const meta: SnapshotMeta = {
      index: node.appliedIndex,
      term: node.appliedTerm,
      configuration: replica.configurationAt(node.appliedIndex),
    };
    const base = replica.baseFor(node.appliedIndex - 2);
    disk.snapshot = meta;
    disk.snapshotData = JSON.stringify([...node.applied]);
    disk.entries = disk.entries.filter(({ index }) => index > base.index);
    disk.base = base;
    replica.compact(base.index, meta);
  }

  deliver(at: number): void {
    const [message] = this.network.splice(at, 1);
    if (!message) return;
    const target = this.nodes.find(({ id }) => id === message.to);
    if (!target?.replica) return;
    const sender = this.nodes.find(({ id }) => id === message.from);
    const isSenderBlocked =
      sender !== undefined && (sender.isPartitioned || sender.isOutboundBlocked);
    const isBlocked =
      target.isFrozen || target.isPartitioned || target.isInboundBlocked || isSenderBlocked;
    if (isBlocked) this.network.push(message);
    else target.replica.receive(message);
  }

  tick(): void {
    this.nodes.forEach(({ replica, isFrozen }) => {
      if (!isFrozen) replica?.tick();
    });
  }

  /** Checks the invariants that must always hold. */
  checkInvariants(): void {
    this.nodes.forEach((node) => {
      const status = node.replica?.status();
      if (!status) return;
      if (status.role === 'leader') {
        const known = this.leadersByTerm.get(status.term);
        assert.ok(known === undefined || known === node.id, `term ${status.term} has two leaders`);
        this.leadersByTerm.set(status.term, node.id);
      }
      if (node.replica?.canRead() && status.commitIndex <= node.appliedIndex) {
        assert.ok(
          node.appliedIndex >= this.ackedIndex,
          `${node.id} would serve a read at index ${node.appliedIndex}, but ${this.ackedIndex} was acknowledged`,
        );
      }
    });
  }

  /** Ends all faults and runs for the given number of rounds. */
  runWithoutFaults(rounds = 60): void {
    this.nodes.forEach((node) => {
      if (!node.replica) this.start(node);
      this.unfreeze(node);
      node.isPartitioned = false;
    });
    for (let round = 0; round < rounds; round += 1) {
      this.advance(60);
      this.tick();
      this.runTurn();
      this.checkInvariants();
    }
  }

  /** Completes pending saves and deliveries without advancing time. */
  runTurn(): void {
    for (let round = 0; round < 3; round += 1) {
      this.nodes.forEach((node) => {
        this.beginSave(node);
        this.finishSave(node);
      });
      const count = this.network.length;
      for (let at = 0; at < count; at += 1) this.deliver(0);
    }
  }

  /** Runs without faults until a leader is elected; throws if none is. */
  electLeader(): Node {
    for (let round = 0; round < 500; round += 1) {
      const leader = this.leader();
      if (leader?.replica?.canRead()) return leader;
      this.advance(20);
      this.tick();
      this.runTurn();
    }
    throw new Error('no leader was elected');
  }

  /** Proposes a command and runs until it is acknowledged; returns its index. */
  commit(node: Node, rounds = 50): number {
    const place = this.propose(node);
    assert.ok(place, `${node.id} is not the leader`);
    for (let round = 0; round < rounds && this.ackedIndex < place.index; round += 1) {
      this.advance(10);
      this.runTurn();
    }
    return place.index;
  }
}
