/**
 * Calls that only the leader of the control group can answer: made locally on the leader, and
 * forwarded to it by the other control VMs.
 */
import { delay } from '@spoolplank/node';
import type { PeerClient, PeerTarget } from '@spoolplank/node';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';
import type { GroupMember } from './group/groupMember';

export interface LeaderCallsOptions {
  readonly clock: Clock;
  readonly peers: PeerClient;
  /** Host of this VM. */
  readonly host: string;
  /** Null on a VM without a replica. */
  readonly group: () => Pick<GroupMember, 'canRead' | 'leaderVm'> | null;
  readonly findTarget: (vmId: string) => PeerTarget;
  readonly listOthers: () => readonly string[];
}

export interface LeaderCall<Result> {
  readonly runLocally: () => Promise<Result> | Result;
  /** Method and parameters by which another VM calls the leader. */
  readonly method: string;
  readonly params: unknown;
  /** Time after which the call fails. */
  readonly timeoutMs: number;
}

export interface LeaderCalls {
  /** The error of a VM that is not the leader; it names the leader if known. */
  notLeader(): SpoolplankError;
  /** @throws SpoolplankError when the outcome is unknown or there is no leader. */
  call<Result>(call: LeaderCall<Result>): Promise<Result>;
}

const FORWARD_TIMEOUT_MS = 800;
const MIN_FORWARD_MS = 50;
const RETRY_MS = 75;

export function createLeaderCalls(options: LeaderCallsOptions): LeaderCalls {
  const { clock, peers, host, findTarget, listOthers } = options;

  /** The VM that answered the last call as the leader, or that another one named since. */
  let lastLeader: string | undefined;
  let turn = 0;

  /** The VM to call: the leader, or, without a local replica, each of the others in turn. */
  function findLeader(): string | undefined {
    const group = options.group();
    const known = group ? group.leaderVm() : lastLeader;
    if (group || known !== undefined) return known === host ? undefined : known;
    const others = listOthers();
    const other = others[turn % others.length];
    turn += 1;
    return other;
  }

  return {
    notLeader: () => new SpoolplankError('not-leader', { leaderId: options.group()?.leaderVm() }),
    async call<Result>({ runLocally, method, params, timeoutMs }: LeaderCall<Result>) {
      const deadlineMs = clock.nowMs() + timeoutMs;
      let lastError: SpoolplankError = new SpoolplankError('not-leader');
      while (clock.nowMs() < deadlineMs) {
        try {
          if (options.group()?.canRead()) return await runLocally();
          // A VM that is not the leader names it; most control VMs have no replica to look it up
          // in.
          const reportedLeader = lastError.leaderId === host ? undefined : lastError.leaderId;
          const leader = reportedLeader ?? findLeader();
          // Without an answer, the next call does not start with the same VM.
          lastLeader = undefined;
          if (leader !== undefined) {
            const leftMs = Math.max(MIN_FORWARD_MS, deadlineMs - clock.nowMs());
            const forwardMs = Math.min(leftMs, FORWARD_TIMEOUT_MS);
            const target = findTarget(leader);
            const result = await peers.call<Result>(target, method, params, {
              timeoutMs: forwardMs,
            });
            lastLeader = leader;
            return result;
          }
        } catch (error) {
          lastError = toSpoolplankError(error);
          lastLeader = lastError.leaderId;
          if (lastError.outcome === 'unknown' && lastError.code !== 'unreachable') throw lastError;
        }
        await delay(RETRY_MS);
      }
      throw lastError;
    },
  };
}
