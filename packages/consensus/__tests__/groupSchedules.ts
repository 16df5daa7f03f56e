/**
 * Random schedules of losses that a group's settings say are borne: so many VMs lost at a time,
 * and each lost until so long after it, or the VM that takes its place, has started.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import type { Random } from '@spoolplank/shared';
import { listReplicas } from '..';
import { MemoryGroup } from './memoryGroup';
import type { GroupVm } from './memoryGroup';

export interface GroupScheduleOptions {
  readonly seed: number;
  /** VMs with a disk at the start. */
  readonly size: number;
  /** Data centres over which they are spread. */
  readonly dataCentres: number;
  /** VMs that may be lost at a time. */
  readonly lossesBorne: number;
  /** How long a VM counts as lost after it has started, in milliseconds. */
  readonly catchUpMs: number;
  /** Losses in a row, in each of the slots that may be lost at a time. */
  readonly lossesInRow: number;
}

export interface GroupScheduleResult {
  /** Time in the calm after the losses until a leader is confirmed; null when none ever is. */
  readonly confirmedAfterMs: number | null;
  /** Time in the calm until every VM that runs belongs to the group; null when some never do. */
  readonly completeAfterMs: number | null;
  /** Whether the leader lacks what was acknowledged. */
  readonly hasLostCommits: boolean;
  readonly losses: readonly string[];
}

interface World {
  readonly group: MemoryGroup;
  readonly random: Random;
  readonly catchUpMs: number;
  /** VMs that are struck now: another slot leaves them alone. */
  readonly struck: Set<GroupVm>;
  /** Runs something when its time has come. */
  schedule(delayMs: number, run: () => void): void;
  /** Tells that the VM is back, or its successor is there: it counts as lost a while longer. */
  settle(regain: () => void): void;
  /** Until when all VMs count as lost, as all of them lost their power. */
  allLostUntilMs: number;
}

/** Strikes a VM, and tells when it no longer counts as lost. */
type Loss = (world: World, victim: GroupVm, regain: () => void) => void;

const ELECTION_MS = 3000;
const MAX_AWAY_MS = 2500;
const MAX_PAUSE_MS = 500;
const CALM_LIMIT_MS = 15_000;
const STEP_MS = 50;
/** A process that is asked to stop is killed after this. */
const GRACE_MS = 2000;
const MAX_HERD_MS = 1000;
/** In one of so many schedules all VMs lose their power, in the middle or with the last loss. */
const HERDS_OF = 3;
const HERD_WITHIN_MS = 12_000;

const draw = ({ random }: World, limitMs: number) => random.nextInt(limitMs);

/** The VM stands still, or is cut off, and is as before after a while. */
function disturb(change: (vm: GroupVm, isBegun: boolean, world: World) => void): Loss {
  return (world, victim, regain) => {
    change(victim, true, world);
    world.schedule(draw(world, MAX_AWAY_MS), () => {
      change(victim, false, world);
      world.settle(regain);
    });
  };
}

function addSuccessor(world: World, victim: GroupVm, regain: () => void): GroupVm {
  world.settle(regain);
  return world.group.addVm(victim.dataCentre);
}

/** Asks the process of a VM to stop, and takes the VM away when it has, or after its grace. */
function stopForGood(world: World, vm: GroupVm, onGone: () => void): void {
  const { group } = world;
  const killedAtMs = group.nowMs + GRACE_MS;
  const look = () => {
    if (MemoryGroup.isReadyToEnd(vm) || group.nowMs >= killedAtMs) {
      group.remove(vm);
      onGone();
    } else world.schedule(STEP_MS, look);
  };
  look();
}

const loseDisk: Loss = (world, victim, regain) => {
  world.group.loseDisk(victim);
  world.schedule(draw(world, MAX_AWAY_MS), () => {
    world.group.start(victim);
    world.settle(regain);
  });
};
const disturbPower = disturb((vm, isBegun, { group }) => {
  if (isBegun) group.stop(vm);
  else group.start(vm);
});
const freeze = disturb(({ node }, isBegun, { group }) => {
  if (isBegun) group.cluster.freeze(node);
  else group.cluster.thaw(node);
});
const cutOff = disturb(({ node }, isBegun) => {
  node.isCut = isBegun;
});
const deafen = disturb(({ node }, isBegun) => {
  node.isDeaf = isBegun;
});
const silence = disturb(({ node }, isBegun) => {
  node.isMute = isBegun;
});
/** What may strike a VM that stays. */
const STRIKES: readonly Loss[] = [loseDisk, disturbPower, freeze, cutOff, deafen, silence];

/** All VMs that run lose their power, and are back within a second with the disks they had. */
function herd(world: World): void {
  const { group, catchUpMs } = world;
  const struck = group.vms.filter(({ isRunning }) => isRunning);
  const awayMs = draw(world, MAX_HERD_MS);
  world.allLostUntilMs = group.nowMs + awayMs + catchUpMs;
  struck.forEach((vm) => group.stop(vm));
  world.schedule(awayMs, () => struck.forEach((vm) => group.start(vm)));
}

const LOSSES: Readonly<Record<string, Loss>> = {
  replacedOldFirst(world, victim, regain) {
    world.group.remove(victim);
    world.schedule(draw(world, MAX_AWAY_MS), () => addSuccessor(world, victim, regain));
  },
  replacedWhileJoining(world, victim, regain) {
    addSuccessor(world, victim, regain);
    world.schedule(draw(world, world.catchUpMs / 2), () => world.group.remove(victim));
  },
  replacedOldLast(world, victim, regain) {
    addSuccessor(world, victim, () => stopForGood(world, victim, regain));
  },
  replacedTwice(world, victim, regain) {
    const livesMs = draw(world, world.catchUpMs);
    world.group.remove(victim);
    world.schedule(draw(world, MAX_AWAY_MS), () => {
      const first = world.group.addVm(victim.dataCentre);
      world.schedule(livesMs, () => {
        world.group.remove(first);
        addSuccessor(world, victim, regain);
      });
    });
  },
  newcomerStruck(world, victim, regain) {
    world.group.remove(victim);
    world.schedule(draw(world, MAX_AWAY_MS), () => {
      const newcomer = world.group.addVm(victim.dataCentre);
      const strikeNewcomer = STRIKES[draw(world, STRIKES.length)] ?? disturbPower;
      world.schedule(draw(world, world.catchUpMs), () => strikeNewcomer(world, newcomer, regain));
    });
  },
  diskLost: loseDisk,
  powerLost: disturbPower,
  frozen: freeze,
  cutOff,
  deaf: deafen,
  mute: silence,
};
/** Replacements come as often as everything else together. */
const DRAWN = Object.keys(LOSSES).flatMap((name) =>
  name.startsWith('replaced') ? [name, name] : [name],
);

function pickVictim({ group, random, struck }: World): GroupVm | undefined {
  const leader = group.confirmedLeader();
  if (leader && !struck.has(leader) && random.nextInt(2) === 0) return leader;
  const others = group.vms.filter((vm) => vm.isRunning && !struck.has(vm));
  return others[random.nextInt(Math.max(1, others.length))];
}

function isComplete({ vms }: MemoryGroup, leader: GroupVm): boolean {
  const status = leader.node.replica?.status();
  const members = status ? listReplicas(status.configuration) : [];
  return vms.every(({ isRunning, node }) => !isRunning || members.includes(node.id));
}

function watchCalm(
  group: MemoryGroup,
): Pick<GroupScheduleResult, 'confirmedAfterMs' | 'completeAfterMs'> {
  const startedAtMs = group.nowMs;
  let confirmedAfterMs: number | null = null;
  while (group.nowMs - startedAtMs < CALM_LIMIT_MS) {
    const leader = group.confirmedLeader();
    if (leader) confirmedAfterMs ??= group.nowMs - startedAtMs;
    if (leader && isComplete(group, leader)) {
      return { confirmedAfterMs, completeAfterMs: group.nowMs - startedAtMs };
    }
    group.run(STEP_MS);
  }
  return { confirmedAfterMs, completeAfterMs: null };
}

/** Plays one schedule, and the calm after it. */
export function runGroupSchedule(options: GroupScheduleOptions): GroupScheduleResult {
  const { seed, size, dataCentres, lossesBorne, catchUpMs, lossesInRow } = options;
  const promise = { lossesBorne, catchUpMs };
  const group = new MemoryGroup({ seed, size, promise, dataCentres });
  const { random } = group.cluster;
  const due: { readonly atMs: number; readonly run: () => void }[] = [];
  const losses: string[] = [];
  /** After the last losses the calm begins at once. */
  const lastRegains = new Set<() => void>();
  const world: World = {
    group,
    random,
    catchUpMs,
    struck: new Set(),
    schedule(delayMs, run) {
      due.push({ atMs: group.nowMs + delayMs, run });
    },
    settle(regain) {
      if (lastRegains.has(regain)) return;
      const regainOrWait = () => {
        const leftMs = world.allLostUntilMs - group.nowMs;
        if (leftMs > 0) world.schedule(leftMs, regainOrWait);
        else regain();
      };
      world.schedule(catchUpMs, regainOrWait);
    },
    allLostUntilMs: 0,
  };

  function strike(left: number): void {
    const victim = pickVictim(world);
    const name = DRAWN[random.nextInt(DRAWN.length)] ?? '';
    const loss = LOSSES[name];
    if (!victim || !loss) return;
    losses.push(`${group.nowMs}: ${victim.node.vmId} ${name}`);
    world.struck.add(victim);
    const regain = () => {
      world.struck.delete(victim);
      if (left > 1) world.schedule(draw(world, MAX_PAUSE_MS), () => strike(left - 1));
    };
    if (left === 1) lastRegains.add(regain);
    if (left === 1 && draw(world, HERDS_OF) === 0) herd(world);
    loss(world, victim, regain);
  }

  group.run(ELECTION_MS);
  for (let slot = 0; slot < lossesBorne; slot += 1) {
    world.schedule(draw(world, MAX_AWAY_MS), () => strike(lossesInRow));
  }
  if (draw(world, HERDS_OF) === 0) world.schedule(draw(world, HERD_WITHIN_MS), () => herd(world));
  while (due.length > 0) {
    due.sort((a, b) => a.atMs - b.atMs);
    const [next] = due.splice(0, 1);
    if (!next) break;
    if (next.atMs > group.nowMs) group.run(next.atMs - group.nowMs);
    next.run();
  }
  const calm = watchCalm(group);
  const leader = group.confirmedLeader();
  const acked = group.cluster.ackedIndex;
  return {
    ...calm,
    hasLostCommits: leader !== undefined && leader.node.appliedIndex < acked,
    losses,
  };
}

const PARTS = 4;
const SCHEDULES = 10_000;
const CONFIRMED_WITHIN_MS = 5000;
const COMPLETE_WITHIN_MS = 10_000;
/** What the settings of a group may say. */
const GROUPS: readonly Omit<GroupScheduleOptions, 'seed'>[] = [
  { size: 3, dataCentres: 3, lossesBorne: 1, catchUpMs: 4000, lossesInRow: 3 },
  { size: 3, dataCentres: 1, lossesBorne: 1, catchUpMs: 2000, lossesInRow: 4 },
  { size: 5, dataCentres: 3, lossesBorne: 2, catchUpMs: 4000, lossesInRow: 2 },
  { size: 6, dataCentres: 3, lossesBorne: 2, catchUpMs: 6000, lossesInRow: 2 },
  { size: 3, dataCentres: 3, lossesBorne: 1, catchUpMs: 2000, lossesInRow: 3 },
];

/** What the schedule of a seed is played with. */
export function optionsOf(seed: number): GroupScheduleOptions {
  const options = GROUPS[seed % GROUPS.length];
  assert.ok(options);
  return { seed, ...options };
}

/** Says what the settings promise and a schedule did not keep; null when it kept everything. */
export function findProblem(result: GroupScheduleResult): string | null {
  const { confirmedAfterMs, completeAfterMs, hasLostCommits } = result;
  if (hasLostCommits) return 'what was acknowledged is gone';
  if (confirmedAfterMs === null) return 'no leader was confirmed any more';
  if (confirmedAfterMs > CONFIRMED_WITHIN_MS) return `led after ${confirmedAfterMs} ms`;
  if (completeAfterMs === null) return 'a VM waits outside';
  return completeAfterMs > COMPLETE_WITHIN_MS ? `complete after ${completeAfterMs} ms` : null;
}

/** One of four equal parts of the schedules; each is a test file, so that they run side by side. */
export function describeGroupSchedules(part: number): void {
  describe('a group under losses that its settings bear', () => {
    it(`leads again within 5 s and takes everyone in within 10 s, part ${part} of ${PARTS}`, () => {
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
