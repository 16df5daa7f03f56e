/** Changes and reads of the document, here where this VM leads, and at the leader otherwise. */
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
  /** This VM among its peers. */
  readonly host: string;
  readonly state: DocumentState;
  /** Null on a VM without a replica. */
  readonly group: () => GroupMember | null;
  readonly findTarget: (vmId: string) => PeerTarget;
  readonly listOthers: () => readonly string[];
}

export interface DocumentCalls {
  /** What other control VMs call here. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** @throws SpoolplankError when the outcome is not known, or nobody leads. */
  replace(document: StoredDocument): Promise<ReplaceResult>;
  /** @throws SpoolplankError `not-leader` when no quorum confirms the document. */
  read(): Promise<StoredDocument | null>;
}

/** Operators move on after a second: what is not decided by then is answered as unavailable. */
const DECIDE_MS = 850;
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
    // What is in force already needs no place in the log, only a quorum that confirms it.
    if (known && known.version >= document.version) {
      return { status: 'held', versionInForce: known.version };
    }
    return (await group.propose(command as unknown as JsonValue)) as unknown as ReplaceResult;
  }

  function readHere(): StoredDocument | null {
    if (options.group()?.canRead()) return state.current;
    throw notLeader();
  }

  /** Another VM to ask: the leader, or, where this one holds no replica, each of them in turn. */
  function findLeader(turn: number): string | undefined {
    const group = options.group();
    if (!group) {
      const others = listOthers();
      return others[turn % others.length];
    }
    const leader = group.leaderVm();
    return leader === host ? undefined : leader;
  }

  async function atLeader<Result>(
    here: () => Promise<Result> | Result,
    method: string,
    params: unknown,
  ): Promise<Result> {
    const deadlineMs = clock.nowMs() + DECIDE_MS;
    let last: SpoolplankError = new SpoolplankError('not-leader');
    let turn = 0;
    while (clock.nowMs() < deadlineMs) {
      try {
        if (options.group()?.canRead()) return await here();
        // Who does not lead says who does: most control VMs hold no replica, and know no better.
        const told = last.leaderId === host ? undefined : last.leaderId;
        const leader = told ?? findLeader(turn);
        if (told === undefined) turn += 1;
        if (leader !== undefined) {
          const leftMs = Math.max(MIN_FORWARD_MS, deadlineMs - clock.nowMs());
          const timeoutMs = Math.min(leftMs, FORWARD_TIMEOUT_MS);
          return await peers.call<Result>(findTarget(leader), method, params, timeoutMs);
        }
      } catch (error) {
        last = toSpoolplankError(error);
        if (last.outcome === 'unknown' && last.code !== 'unreachable') throw last;
      }
      await delay(RETRY_MS);
    }
    throw last;
  }

  return {
    methods: {
      'document.replace': async (params) =>
        (await replaceHere(params as unknown as StoredDocument)) as unknown as JsonValue,
      'document.read': () => readHere() as unknown as JsonValue,
    },
    replace: (document) => atLeader(() => replaceHere(document), 'document.replace', document),
    read: () => atLeader(readHere, 'document.read', {}),
  };
}
