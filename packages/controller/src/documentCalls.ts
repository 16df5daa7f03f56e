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
import { delay } from '@spoolplank/node';
import type { PeerClient, PeerMethod, PeerTarget } from '@spoolplank/node';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { Clock, JsonValue } from '@spoolplank/shared';
import type { GroupMember } from './group/groupMember';

export interface DocumentCallsOptions {
  readonly clock: Clock;
  readonly peers: PeerClient;
  /** Host of this VM. */
  readonly host: string;
  readonly state: DocumentState;
  /** Null on a VM without a replica. */
  readonly group: () => GroupMember | null;
  readonly findTarget: (vmId: string) => PeerTarget;
  readonly listOthers: () => readonly string[];
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
const FORWARD_TIMEOUT_MS = 800;
const MIN_FORWARD_MS = 50;
const RETRY_MS = 75;

export function createDocumentCalls(options: DocumentCallsOptions): DocumentCalls {
  const { clock, peers, host, state, findTarget, listOthers } = options;

  function notLeader(): SpoolplankError {
    return new SpoolplankError('not-leader', { leaderId: options.group()?.leaderVm() });
  }

  async function replaceHere(document: StoredDocument): Promise<ReplaceResult> {
    const group = options.group();
    if (!group?.canRead()) throw notLeader();
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
    throw notLeader();
  }

  /** The VM to call: the leader, or, without a local replica, each of the others in turn. */
  function findLeader(turn: number): string | undefined {
    const group = options.group();
    if (!group) {
      const others = listOthers();
      return others[turn % others.length];
    }
    const leader = group.leaderVm();
    return leader === host ? undefined : leader;
  }

  async function callLeader<Result>(
    runLocally: () => Promise<Result> | Result,
    method: string,
    params: unknown,
  ): Promise<Result> {
    const deadlineMs = clock.nowMs() + DECISION_TIMEOUT_MS;
    let lastError: SpoolplankError = new SpoolplankError('not-leader');
    let turn = 0;
    while (clock.nowMs() < deadlineMs) {
      try {
        if (options.group()?.canRead()) return await runLocally();
        // A VM that is not the leader names it; most control VMs have no replica to look it up in.
        const reportedLeader = lastError.leaderId === host ? undefined : lastError.leaderId;
        const leader = reportedLeader ?? findLeader(turn);
        if (reportedLeader === undefined) turn += 1;
        if (leader !== undefined) {
          const leftMs = Math.max(MIN_FORWARD_MS, deadlineMs - clock.nowMs());
          const timeoutMs = Math.min(leftMs, FORWARD_TIMEOUT_MS);
          return await peers.call<Result>(findTarget(leader), method, params, { timeoutMs });
        }
      } catch (error) {
        lastError = toSpoolplankError(error);
        if (lastError.outcome === 'unknown' && lastError.code !== 'unreachable') throw lastError;
      }
      await delay(RETRY_MS);
    }
    throw lastError;
  }

  return {
    methods: {
      'document.replace': async (params) =>
        (await replaceHere(params as unknown as StoredDocument)) as unknown as JsonValue,
      'document.read': () => readHere() as unknown as JsonValue,
    },
    replace: (document) => callLeader(() => replaceHere(document), 'document.replace', document),
    read: () => callLeader(readHere, 'document.read', {}),
  };
}
