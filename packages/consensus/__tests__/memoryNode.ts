/** A replica of an in-memory group and its simulated disk. */
import type { JsonValue } from '@spoolplank/shared';
import { EMPTY_STORED_STATE } from '..';
import type {
  ConfigurationChange,
  HardState,
  LogEntry,
  Message,
  Ready,
  Replica,
  ReplicaId,
  SnapshotMeta,
  StoredState,
} from '..';

/** The disk contents that survive a power failure. */
export interface Disk {
  hardState: HardState;
  snapshot: SnapshotMeta | null;
  snapshotData: string;
  base: StoredState['base'];
  entries: LogEntry[];
}

export interface Node {
  readonly vmId: string;
  id: ReplicaId;
  disk: Disk;
  replica: Replica | null;
  /** Output of the replica whose save is in progress. */
  saving: Ready | null;
  isFrozen: boolean;
  frozenAtMs: number;
  freezeCount: number;
  /** Total time during which its steady clock stood still. */
  suspendedMs: number;
  /** How far its `nowMs` clock runs ahead. */
  clockAheadMs: number;
  /** Whether messages from and to this node are held in transit. */
  isPartitioned: boolean;
  /** Whether messages in one direction, to or from this node, are held in transit. */
  isInboundBlocked: boolean;
  isOutboundBlocked: boolean;
  /** Applied commands by index; stands in for a state machine. */
  applied: Map<number, string>;
  appliedIndex: number;
  appliedTerm: number;
  clockRate: number;
  clockOffsetMs: number;
}

/** Short, so that a snapshot needs many messages. */
export const SHORT_CHUNK_LENGTH = 40;

export function blankDisk(): Disk {
  return { ...EMPTY_STORED_STATE, snapshotData: '', entries: [] };
}

/** Proposes a membership change to a leader. */
export function changeMembership(node: Node, change: ConfigurationChange): boolean {
  return node.replica?.proposeConfiguration(change) !== null;
}

/** Writes to the simulated disk; entries from the first new one's index on are replaced. */
export function writeToDisk(
  node: Node,
  { hardState, entries }: Pick<Ready, 'hardState' | 'entries'>,
): void {
  const { disk } = node;
  if (hardState) disk.hardState = hardState;
  entries.forEach((entry) => {
    disk.entries.length = Math.max(0, entry.index - disk.base.index - 1);
    disk.entries.push(entry);
  });
}

/** Adds the chunk to a snapshot message; drops the message if the snapshot has been replaced. */
export function fillSnapshot(
  node: Node,
  message: Message,
  chunkLength: number,
): readonly Message[] {
  if (message.kind !== 'snapshot') return [message];
  const { snapshot, snapshotData } = node.disk;
  if (snapshot?.index !== message.meta.index) return [];
  const end = message.offset + chunkLength;
  return [
    {
      ...message,
      data: snapshotData.slice(message.offset, end),
      isLast: end >= snapshotData.length,
    },
  ];
}

/** Returns the applied commands in log order, for comparison between replicas. */
export function appliedCommands(node: Node): JsonValue {
  return [...node.applied.entries()].sort(([a], [b]) => a - b);
}
