/** One replica of the group in memory, and what its disk keeps. */
import type { JsonValue } from '@spoolplank/shared';
import { BLANK_STATE } from '..';
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

/** What a disk holds after a loss of power. */
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
  /** Taken from the replica, not yet on disk. */
  saving: Ready | null;
  isFrozen: boolean;
  frozenAtMs: number;
  freezes: number;
  /** Time that its steady clock has left out. */
  suspendedMs: number;
  /** How far its other clock runs ahead. */
  aheadMs: number;
  /** Cut off: what it sends and what is sent to it stays on the way. */
  isCut: boolean;
  /** Cut off one way: what is sent to it, or what it sends, stays on the way. */
  isDeaf: boolean;
  isMute: boolean;
  /** Commands applied, by index; what a state machine would be. */
  applied: Map<number, string>;
  appliedIndex: number;
  appliedTerm: number;
  clockRate: number;
  clockOffsetMs: number;
}

/** Short, so that a snapshot takes many messages. */
export const SHORT_CHUNK_LENGTH = 40;

export function blankDisk(): Disk {
  return { ...BLANK_STATE, snapshotData: '', entries: [] };
}

/** Asks a leader for one step of membership. */
export function changeMembership(node: Node, change: ConfigurationChange): boolean {
  return node.replica?.proposeConfiguration(change) !== null;
}

/** Writes as a real disk would: what stood from the first entry on is replaced. */
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

/** Puts the chunk into a snapshot message; none when the snapshot was replaced meanwhile. */
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

/** Whether two sets of commands are the same, for the check at the end. */
export function appliedCommands(node: Node): JsonValue {
  return [...node.applied.entries()].sort(([a], [b]) => a - b);
}
