/** Periodically evaluates a group and executes the resulting membership changes. */
import { affectedReplicas } from '@spoolplank/consensus';
import type {
  ConfigurationChange,
  GroupMembership,
  GroupRunner,
  JoinRequest,
  MembershipAction,
  ReplicaId,
  ReplicaStatus,
} from '@spoolplank/consensus';
import { delay } from '@spoolplank/node';
import type { EventLog } from '@spoolplank/node';
import type { Clock } from '@spoolplank/shared';
import type { GroupWatch } from './groupWatch';

export interface GroupLoopOptions {
  readonly clock: Clock;
  readonly log: Pick<EventLog, 'info' | 'warn' | 'error'>;
  readonly membership: GroupMembership;
  readonly watch: GroupWatch;
  readonly replicaId: ReplicaId;
  readonly dataCentre: string;
  readonly isFirstStart: boolean;
  /** Null while the replica is not running. */
  readonly runner: () => GroupRunner | null;
  /** Sends the same request to all other control VMs, of which only the leader accepts it. */
  readonly askOthers: (method: string, request: JoinRequest, onAccepted: () => void) => void;
  /** Checks whether the group was recovered without this replica. */
  readonly checkGeneration: () => Promise<void>;
  readonly onElected?: () => void;
}

export interface GroupLoop {
  start(): void;
  /** Evaluates the group immediately, after a membership request was received. */
  evaluateNow(): void;
  stop(): void;
}

/** Interval of evaluations while the membership changes or there is no confirmed leader. */
const STEP_MS = 100;
/** Interval while the group is stable, as evaluations cost processor time on every control VM. */
const IDLE_STEP_MS = 250;
/** Minimum time between two rounds of requests to all other VMs. */
const ASK_PAUSE_MS = 250;
/** Interval of generation checks while there is no confirmed leader. */
const GENERATION_CHECK_MS = 2000;
/** Interval of generation checks on a leader, whose voters may all have returned late. */
const LEADER_GENERATION_CHECK_MS = 30_000;

export function createGroupLoop(options: GroupLoopOptions): GroupLoop {
  const { clock, log, membership, watch, replicaId, runner } = options;
  let isStopped = false;
  let wasLeader = false;
  let requestedAtMs = Number.NEGATIVE_INFINITY;
  let checkedAtMs = Number.NEGATIVE_INFINITY;

  function askOthers(method: string, request: JoinRequest, onAccepted = () => {}): void {
    if (clock.nowMs() - requestedAtMs < ASK_PAUSE_MS) return;
    requestedAtMs = clock.nowMs();
    options.askOthers(method, request, onAccepted);
  }

  function changeMembership(
    running: GroupRunner,
    change: ConfigurationChange,
    reason: string,
  ): void {
    log.info('group-change', {
      kind: change.kind,
      replicas: affectedReplicas(change),
      reason,
      voters: running.status().configuration.voters,
    });
    running
      .changeMembership(change)
      .catch((error: unknown) => log.warn('group-change-failed', { problem: String(error) }));
  }

  function execute(running: GroupRunner, action: MembershipAction): void {
    if (action.kind === 'change') changeMembership(running, action.change, action.reason);
    else if (action.kind === 'hand-over') {
      const { successor, reason } = action;
      if (running.transferLeadership(successor)) {
        log.info('lead-handed-over', { successor, reason });
      }
    } else if (action.kind === 'ask-to-join') {
      const { dataCentre, isFirstStart } = options;
      askOthers('group.join', { replicaId, dataCentre, isFounding: isFirstStart });
    } else askOthers('group.leave', { replicaId }, membership.confirmLeave);
  }

  function recordLeadership({ role, term, leaderId }: ReplicaStatus): void {
    const isLeader = role === 'leader';
    if (isLeader === wasLeader) return;
    wasLeader = isLeader;
    log.info(isLeader ? 'lead-won' : 'lead-lost', { term, leader: leaderId });
    if (isLeader) options.onElected?.();
  }

  function checkGenerationAfter(pauseMs: number): void {
    if (clock.nowMs() - checkedAtMs < pauseMs) return;
    checkedAtMs = clock.nowMs();
    options
      .checkGeneration()
      .catch((error: unknown) => log.warn('generation-unchecked', { problem: String(error) }));
  }

  /** Executes the next action; returns whether the group must be evaluated again soon. */
  function step(running: GroupRunner): boolean {
    const status = running.status();
    recordLeadership(status);
    const isConfirmed = wasLeader ? running.canRead() : status.leaderId !== null;
    watch.observe(status, isConfirmed);
    if (!isConfirmed) checkGenerationAfter(GENERATION_CHECK_MS);
    else if (wasLeader) checkGenerationAfter(LEADER_GENERATION_CHECK_MS);
    const action = membership.next(status);
    if (action) execute(running, action);
    const { learners, outgoing } = status.configuration;
    return action !== null || learners.length > 0 || Boolean(outgoing) || !isConfirmed;
  }

  function evaluate(): boolean {
    const running = runner();
    if (!running) return false;
    try {
      return step(running);
    } catch (error) {
      log.warn('group-step-failed', { problem: String(error) });
      return false;
    }
  }

  async function run(): Promise<void> {
    while (!isStopped) await delay(evaluate() ? STEP_MS : IDLE_STEP_MS);
  }

  return {
    start() {
      // The group may have been recovered while this replica was stopped.
      checkGenerationAfter(0);
      run().catch((error: unknown) => log.error('group-ended', { problem: String(error) }));
    },
    evaluateNow() {
      evaluate();
    },
    stop() {
      isStopped = true;
    },
  };
}
