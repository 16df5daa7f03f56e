import type { JsonValue } from '@spoolplank/shared';
import type { Configuration, ReplicaId } from './configuration';

export type EntryPayload =
  | { readonly kind: 'noop' }
  | { readonly kind: 'command'; readonly command: JsonValue }
  | { readonly kind: 'configuration'; readonly configuration: Configuration };

export interface LogEntry {
  readonly index: number;
  readonly term: number;
  readonly payload: EntryPayload;
}

/** State that a replica must have on disk before it sends messages that depend on it. */
export interface HardState {
  readonly term: number;
  readonly votedFor: ReplicaId | null;
}

/** Metadata of a snapshot, which covers all entries up to `index`. */
export interface SnapshotMeta {
  readonly index: number;
  readonly term: number;
  readonly configuration: Configuration;
}

interface Envelope {
  readonly group: string;
  readonly from: ReplicaId;
  readonly to: ReplicaId;
  readonly term: number;
}

export interface PreVoteMessage extends Envelope {
  readonly kind: 'pre-vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
}

export interface PreVoteReply extends Envelope {
  readonly kind: 'pre-vote-reply';
  readonly isGranted: boolean;
}

export interface VoteMessage extends Envelope {
  readonly kind: 'vote';
  readonly lastIndex: number;
  readonly lastTerm: number;
  /** The leader requested this election, so voters need not wait for its lease to expire. */
  readonly isTransfer: boolean;
}

export interface VoteReply extends Envelope {
  readonly kind: 'vote-reply';
  readonly isGranted: boolean;
}

export interface AppendMessage extends Envelope {
  readonly kind: 'append';
  readonly prevIndex: number;
  readonly prevTerm: number;
  readonly entries: readonly LogEntry[];
  readonly commitIndex: number;
  /** The leader's monotonic time at sending; echoed by the follower. */
  readonly sentAtMs: number;
}

export interface AppendReply extends Envelope {
  readonly kind: 'append-reply';
  readonly isAccepted: boolean;
  /** If accepted: the last index known to match. If refused: the index at which to retry. */
  readonly matchIndex: number;
  readonly sentAtMs: number;
}

export interface SnapshotMessage extends Envelope {
  readonly kind: 'snapshot';
  readonly meta: SnapshotMeta;
  /** Offset of this chunk in the snapshot text, in UTF-16 code units. */
  readonly offset: number;
  /** Set by the runner, as the replica does not read storage. */
  readonly data: string;
  readonly isLast: boolean;
  readonly sentAtMs: number;
}

export interface SnapshotReply extends Envelope {
  readonly kind: 'snapshot-reply';
  readonly snapshotIndex: number;
  readonly nextOffset: number;
  readonly sentAtMs: number;
}

export interface TimeoutNowMessage extends Envelope {
  readonly kind: 'timeout-now';
}

/** The messages exchanged by the replicas of a group. */
export type Message =
  | PreVoteMessage
  | PreVoteReply
  | VoteMessage
  | VoteReply
  | AppendMessage
  | AppendReply
  | SnapshotMessage
  | SnapshotReply
  | TimeoutNowMessage;

export type MessageOf<Kind extends Message['kind']> = Extract<Message, { readonly kind: Kind }>;
