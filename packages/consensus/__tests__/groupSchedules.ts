/**
 * Random schedules of losses that a group must tolerate by its settings: up to `lossesBorne` VMs at
 * a time, where a VM counts as lost until `catchUpMs` after it or its replacement has started.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Random } from '@spoolplank/shared';
import { listReplicas } from '..';
import { MemoryGroup } from './memoryGroup';
import type { GroupVm } from './memoryGroup';

export interface GroupScheduleOptions {
  readonly seed: number;
  /** Number of initial VMs with a disk. */
  readonly size: number;
  /** Number of data centres over which they are spread. */
  readonly dataCentres: number;
  /** Number of VMs that may be lost at the same time. */
  readonly lossesBorne: number;
  /** How long a VM counts as lost after it has started. */
  readonly catchUpMs: number;
  /** Number of consecutive losses in each of the `lossesBorne` slots. */
  readonly lossesInRow: number;
  /** Fault after which the recovery is observed, once all losses before it are over. */
  readonly finalFault?: FinalFault;
}

/** `lossesBorne` VMs lose their disks at the same moment, and all others their power or nothing. */
export type FinalFault = 'disks-lost' | 'disks-and-power-lost';

export interface GroupScheduleResult {
  /** Time after the last loss until a leader is confirmed; null if none is. */
  readonly confirmedAfterMs: number | null;
  /** Time after the last loss until every running VM is a member; null if some never are. */
  readonly completeAfterMs: number | null;
  /** Whether the leader lacks acknowledged entries. */
  readonly hasLostCommits: boolean;
  readonly losses: readonly string[];
}

interface ScheduleContext {
  readonly group: MemoryGroup;
  readonly random: Random;
  readonly catchUpMs: number;
  /** VMs with a current fault, which other slots do not select. */
  readonly affectedVms: Set<GroupVm>;
  /** Runs a function after a delay in virtual time. */
  schedule(delayMs: number, run: () => void): void;
  /** Called when the VM or its replacement runs; calls back once it no longer counts as lost. */
  recoverAfterDelay(onRecovered: () => void): void;
  /** Time until which all VMs count as lost after a power failure of all of them. */
  allLostUntilMs: number;
}

/** Injects a fault into a VM and calls back once the VM no longer counts as lost. */
type Fault = (context: ScheduleContext, victim: GroupVm, onRecovered: () => void) => void;

const ELECTION_MS = 3000;
const MAX_AWAY_MS = 2500;
const MAX_PAUSE_MS = 500;
const RECOVERY_LIMIT_MS = 15_000;
const STEP_MS = 50;
/** Time after which a process that was requested to stop is killed. */
const GRACE_MS = 2000;
const MAX_POWER_OFF_MS = 1000;
const MAX_START_GAP_MS = 50;
/** One in this many schedules has a power failure of all VMs midway, or with a last loss. */
const SCHEDULES_PER_POWER_CYCLE = 3;
const MAX_POWER_CYCLE_DELAY_MS = 12_000;

const randomInt = ({ random }: ScheduleContext, limitMs: number) => random.nextInt(limitMs);

/** Creates a fault that ends after a random time. */
function createTemporaryFault(
  change: (vm: GroupVm, isBegun: boolean, context: ScheduleContext) => void,
): Fault {
  return (context, victim, onRecovered) => {
    change(victim, true, context);
    context.schedule(randomInt(context, MAX_AWAY_MS), () => {
      change(victim, false, context);
      context.recoverAfterDelay(onRecovered);
    });
  };
}

function addSuccessor(context: ScheduleContext, victim: GroupVm, onRecovered: () => void): GroupVm {
  context.recoverAfterDelay(onRecovered);
  return context.group.addVm(victim.dataCentre);
}

/** Requests the shutdown of a VM's process and removes the VM once it is done or killed. */
function stopForGood(context: ScheduleContext, vm: GroupVm, onGone: () => void): void {
  const { group } = context;
  const killedAtMs = group.nowMs + GRACE_MS;
  const poll = () => {
    if (MemoryGroup.tryShutDown(vm) || group.nowMs >= killedAtMs) {
      group.remove(vm);
      onGone();
    } else context.schedule(STEP_MS, poll);
  };
  poll();
}

const loseDisk: Fault = (context, victim, onRecovered) => {
  context.group.loseDisk(victim);
  context.schedule(randomInt(context, MAX_AWAY_MS), () => {
    context.group.start(victim);
    context.recoverAfterDelay(onRecovered);
  });
};
const losePower = createTemporaryFault((vm, isBegun, { group }) => {
  if (isBegun) group.stop(vm);
  else group.start(vm);
});
const freeze = createTemporaryFault(({ node }, isBegun, { group }) => {
  if (isBegun) group.cluster.freeze(node);
  else group.cluster.unfreeze(node);
});
const partition = createTemporaryFault(({ node }, isBegun) => {
  node.isPartitioned = isBegun;
});
const blockInbound = createTemporaryFault(({ node }, isBegun) => {
  node.isInboundBlocked = isBegun;
});
const blockOutbound = createTemporaryFault(({ node }, isBegun) => {
  node.isOutboundBlocked = isBegun;
});
/** Faults of a VM that is not replaced. */
const NEWCOMER_FAULTS: readonly Fault[] = [
  loseDisk,
  losePower,
  freeze,
  partition,
  blockInbound,
  blockOutbound,
];

/** Cuts the power of all running VMs, which restart within 1 s with their disks intact. */
function powerCycleAll(context: ScheduleContext): void {
  const { group, catchUpMs } = context;
  const affectedVms = group.vms.filter(({ isRunning }) => isRunning);
  const awayMs = randomInt(context, MAX_POWER_OFF_MS);
  context.allLostUntilMs = group.nowMs + awayMs + catchUpMs;
  affectedVms.forEach((vm) => group.stop(vm));
  context.schedule(awayMs, () => affectedVms.forEach((vm) => group.start(vm)));
}

const FAULTS: Readonly<Record<string, Fault>> = {
  replacedOldFirst(context, victim, onRecovered) {
    context.group.remove(victim);
    context.schedule(randomInt(context, MAX_AWAY_MS), () =>
      addSuccessor(context, victim, onRecovered),
    );
  },
  replacedWhileJoining(context, victim, onRecovered) {
    addSuccessor(context, victim, onRecovered);
    context.schedule(randomInt(context, context.catchUpMs / 2), () => context.group.remove(victim));
  },
  replacedOldLast(context, victim, onRecovered) {
    addSuccessor(context, victim, () => stopForGood(context, victim, onRecovered));
  },
  replacedTwice(context, victim, onRecovered) {
    const firstLifetimeMs = randomInt(context, context.catchUpMs);
    context.group.remove(victim);
    context.schedule(randomInt(context, MAX_AWAY_MS), () => {
      const first = context.group.addVm(victim.dataCentre);
      context.schedule(firstLifetimeMs, () => {
        context.group.remove(first);
        addSuccessor(context, victim, onRecovered);
      });
    });
  },
  newcomerFails(context, victim, onRecovered) {
    context.group.remove(victim);
    context.schedule(randomInt(context, MAX_AWAY_MS), () => {
      const newcomer = context.group.addVm(victim.dataCentre);
      const injectNewcomerFault =
        NEWCOMER_FAULTS[randomInt(context, NEWCOMER_FAULTS.length)] ?? losePower;
      context.schedule(randomInt(context, context.catchUpMs), () =>
        injectNewcomerFault(context, newcomer, onRecovered),
      );
    });
  },
  diskLost: loseDisk,
  powerLost: losePower,
  frozen: freeze,
  partitioned: partition,
  inboundBlocked: blockInbound,
  outboundBlocked: blockOutbound,
};
/** Replacements have double weight. */
const WEIGHTED_FAULT_NAMES = Object.keys(FAULTS).flatMap((name) =>
  name.startsWith('replaced') ? [name, name] : [name],
);

function pickVictim({ group, random, affectedVms }: ScheduleContext): GroupVm | undefined {
  const leader = group.confirmedLeader();
  if (leader && !affectedVms.has(leader) && random.nextInt(2) === 0) return leader;
  const others = group.vms.filter((vm) => vm.isRunning && !affectedVms.has(vm));
  return others[random.nextInt(Math.max(1, others.length))];
}

function isComplete({ vms }: MemoryGroup, leader: GroupVm): boolean {
  const status = leader.node.replica?.status();
  const members = status ? listReplicas(status.configuration) : [];
  return vms.every(({ isRunning, node }) => !isRunning || members.includes(node.id));
}

function observeRecovery(
  group: MemoryGroup,
): Pick<GroupScheduleResult, 'confirmedAfterMs' | 'completeAfterMs'> {
  const startedAtMs = group.nowMs;
  let confirmedAfterMs: number | null = null;
  while (group.nowMs - startedAtMs < RECOVERY_LIMIT_MS) {
    const leader = group.confirmedLeader();
    if (leader) confirmedAfterMs ??= group.nowMs - startedAtMs;
    if (leader && isComplete(group, leader)) {
      return { confirmedAfterMs, completeAfterMs: group.nowMs - startedAtMs };
    }
    group.run(STEP_MS);
  }
  return { confirmedAfterMs, completeAfterMs: null };
}

/** VMs that lose their disks: half of the time the leader, otherwise any; the rest are random. */
function drawWipedVms({ group, random }: ScheduleContext, count: number): readonly GroupVm[] {
  const running = group.vms.filter(({ isRunning }) => isRunning);
  const shuffled = running
    .map((vm) => ({ vm, rank: random.nextFloat() }))
    .sort((a, b) => a.rank - b.rank)
    .map(({ vm }) => vm);
  const leader = random.nextInt(2) === 0 ? group.confirmedLeader() : undefined;
  const inOrder = leader ? [leader, ...shuffled.filter((vm) => vm !== leader)] : shuffled;
  return inOrder.slice(0, count);
}

/** Injects the final fault at a random moment and ends it; all VMs start again within 300 ms. */
function injectFinalFault(context: ScheduleContext, fault: FinalFault, lossesBorne: number): void {
  const { group, random, catchUpMs } = context;
  group.run(catchUpMs + random.nextInt(MAX_PAUSE_MS));
  const wiped = drawWipedVms(context, lossesBorne);
  const others = group.vms.filter((vm) => vm.isRunning && !wiped.includes(vm));
  const unpowered = fault === 'disks-and-power-lost' ? others : [];
  wiped.forEach((vm) => group.loseDisk(vm));
  unpowered.forEach((vm) => group.stop(vm));
  group.run(randomInt(context, MAX_AWAY_MS));
  [...wiped, ...unpowered].forEach((vm) => {
    group.run(random.nextInt(MAX_START_GAP_MS));
    group.start(vm);
  });
}

/** Runs one schedule and observes the recovery after it. */
export function runGroupSchedule(options: GroupScheduleOptions): GroupScheduleResult {
  const { seed, size, dataCentres, lossesBorne, catchUpMs, lossesInRow } = options;
  const faultTolerance = { lossesBorne, catchUpMs };
  const group = new MemoryGroup({ seed, size, faultTolerance, dataCentres });
  const { random } = group.cluster;
  const due: { readonly atMs: number; readonly run: () => void }[] = [];
  const losses: string[] = [];
  /** Callbacks of the last losses, after which the recovery is observed without a delay. */
  const finalRecoveries = new Set<() => void>();
  const context: ScheduleContext = {
    group,
    random,
    catchUpMs,
    affectedVms: new Set(),
    schedule(delayMs, run) {
      due.push({ atMs: group.nowMs + delayMs, run });
    },
    recoverAfterDelay(onRecovered) {
      if (finalRecoveries.has(onRecovered)) return;
      const recoverOrWait = () => {
        const leftMs = context.allLostUntilMs - group.nowMs;
        if (leftMs > 0) context.schedule(leftMs, recoverOrWait);
        else onRecovered();
      };
      context.schedule(catchUpMs, recoverOrWait);
    },
    allLostUntilMs: 0,
  };

  function injectFault(left: number): void {
    const victim = pickVictim(context);
    const name = WEIGHTED_FAULT_NAMES[random.nextInt(WEIGHTED_FAULT_NAMES.length)] ?? '';
    const inject = FAULTS[name];
    if (!victim || !inject) return;
    losses.push(`${group.nowMs}: ${victim.node.vmId} ${name}`);
    context.affectedVms.add(victim);
    const onRecovered = () => {
      context.affectedVms.delete(victim);
      if (left > 1) context.schedule(randomInt(context, MAX_PAUSE_MS), () => injectFault(left - 1));
    };
    if (left === 1) finalRecoveries.add(onRecovered);
    if (left === 1 && randomInt(context, SCHEDULES_PER_POWER_CYCLE) === 0) powerCycleAll(context);
    inject(context, victim, onRecovered);
  }

  group.run(ELECTION_MS);
  for (let slot = 0; slot < lossesBorne; slot += 1) {
    context.schedule(randomInt(context, MAX_AWAY_MS), () => injectFault(lossesInRow));
  }
  if (randomInt(context, SCHEDULES_PER_POWER_CYCLE) === 0)
    context.schedule(randomInt(context, MAX_POWER_CYCLE_DELAY_MS), () => powerCycleAll(context));
  while (due.length > 0) {
    due.sort((a, b) => a.atMs - b.atMs);
    const [next] = due.splice(0, 1);
    if (!next) break;
    if (next.atMs > group.nowMs) group.run(next.atMs - group.nowMs);
    next.run();
  }
  if (options.finalFault) injectFinalFault(context, options.finalFault, lossesBorne);
  const recovery = observeRecovery(group);
  const leader = group.confirmedLeader();
  const acked = group.cluster.ackedIndex;
  return {
    ...recovery,
    hasLostCommits: leader !== undefined && leader.node.appliedIndex < acked,
    losses,
  };
}

const PARTS = 4;
const SCHEDULES = 10_000;
const CONFIRMED_WITHIN_MS = 5000;
const COMPLETE_WITHIN_MS = 10_000;
/** The group settings under test. */
const GROUPS: readonly Omit<GroupScheduleOptions, 'seed'>[] = [
  { size: 3, dataCentres: 3, lossesBorne: 1, catchUpMs: 4000, lossesInRow: 3 },
  { size: 3, dataCentres: 1, lossesBorne: 1, catchUpMs: 2000, lossesInRow: 4 },
  { size: 5, dataCentres: 3, lossesBorne: 2, catchUpMs: 4000, lossesInRow: 2 },
  { size: 6, dataCentres: 3, lossesBorne: 2, catchUpMs: 6000, lossesInRow: 2 },
  { size: 3, dataCentres: 3, lossesBorne: 1, catchUpMs: 2000, lossesInRow: 3 },
];

/** The options of the schedule with a seed. */
export function optionsOf(seed: number): GroupScheduleOptions {
  const options = GROUPS[seed % GROUPS.length];
  assert.ok(options);
  return { seed, ...options };
}

/** Returns which requirement of the settings a schedule violated, or null if none. */
export function findProblem(result: GroupScheduleResult): string | null {
  const { confirmedAfterMs, completeAfterMs, hasLostCommits } = result;
  if (hasLostCommits) return 'acknowledged entries were lost';
  if (confirmedAfterMs === null) return 'no leader was confirmed';
  if (confirmedAfterMs > CONFIRMED_WITHIN_MS)
    return `a leader was confirmed only after ${confirmedAfterMs} ms`;
  if (completeAfterMs === null) return 'a VM did not become a member';
  return completeAfterMs > COMPLETE_WITHIN_MS
    ? `all VMs were members only after ${completeAfterMs} ms`
    : null;
}

/** One of four equal parts of the schedules, in a test file each so that they run in parallel. */
export function describeGroupSchedules(part: number): void {
  describe('a group under losses that its settings tolerate', () => {
    it(`has a leader within 5 s and all VMs as members within 10 s, part ${part} of ${PARTS}`, () => {
      const problems: string[] = [];
      for (let seed = part; seed <= SCHEDULES; seed += PARTS) {
        const result = runGroupSchedule(optionsOf(seed));
        const problem = findProblem(result);
        if (problem !== null)
          problems.push(`seed ${seed}: ${problem}: ${result.losses.join('; ')}`);
      }
      const shown = problems.slice(0, 3).join('\n');
      assert.equal(problems.length, 0, `${problems.length} schedules failed, the first:\n${shown}`);
    });
  });
}
