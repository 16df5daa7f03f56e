/**
 * Replaces and reads the replicated document: on the leader of the group directly, on other control
 * VMs by a call to the leader.
 */
import type {
  DocumentState,
  ReplaceDocument,
  ReplaceResult,
  StoredDocument,
} from '@spoolplank/control';
import type { PeerMethod } from '@spoolplank/node';
import type { JsonValue } from '@spoolplank/shared';
import type { GroupMember } from './group/groupMember';
import type { LeaderCalls } from './leaderCalls';

export interface DocumentCallsOptions {
  readonly state: DocumentState;
  /** Null on a VM without a replica. */
  readonly group: () => GroupMember | null;
  readonly leader: LeaderCalls;
}

export interface DocumentCalls {
  /** RPC methods that other control VMs call. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** @throws SpoolplankError when the outcome is unknown or there is no leader. */
  replace(document: StoredDocument): Promise<ReplaceResult>;
  /** @throws SpoolplankError `not-leader` when no quorum confirms the document. */
  read(): Promise<StoredDocument | null>;
}

/** Operators give up after one second; a call that is undecided by then fails as unavailable. */
const DECISION_TIMEOUT_MS = 850;
const REPLACE_METHOD = 'document.replace';
const READ_METHOD = 'document.read';

export function createDocumentCalls(options: DocumentCallsOptions): DocumentCalls {
  const { state, leader } = options;

  async function replaceHere(document: StoredDocument): Promise<ReplaceResult> {
    const group = options.group();
    if (!group?.canRead()) throw leader.notLeader();
    const command: ReplaceDocument = { kind: 'document.replace', ...document };
    const known = state.current;
    // A document already in force needs no log entry, only a quorum that confirms it.
    if (known && known.version >= document.version) {
      return { status: 'held', versionInForce: known.version };
    }
    return (await group.propose(command as unknown as JsonValue)) as unknown as ReplaceResult;
  }

  function readHere(): StoredDocument | null {
    if (options.group()?.canRead()) return state.current;
    throw leader.notLeader();
  }

  return {
    methods: {
      [REPLACE_METHOD]: async (params) =>
        (await replaceHere(params as unknown as StoredDocument)) as unknown as JsonValue,
      [READ_METHOD]: () => readHere() as unknown as JsonValue,
    },
    replace: (document) =>
      leader.call({
        runLocally: () => replaceHere(document),
        method: REPLACE_METHOD,
        params: document,
        timeoutMs: DECISION_TIMEOUT_MS,
      }),
    read: () =>
      leader.call({
        runLocally: readHere,
        method: READ_METHOD,
        params: {},
        timeoutMs: DECISION_TIMEOUT_MS,
      }),
  };
}
