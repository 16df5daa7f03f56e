/**
 * Guards against a group that keeps too few voters: the VMs in the settings found it, up to three,
 * and the other VMs that start with the system must become voters before a loss may follow.
 */
import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { deriveMembershipLimits } from '..';
import { MemoryGroup } from './memoryGroup';

interface FoundingShape {
  /** Number of VMs with a disk. */
  readonly disks: number;
  readonly dataCentres: number;
  /** Number of them that found the group. */
  readonly founders: number;
  readonly lossesBorne: number;
  /** Whether all other VMs lose their power at the same moment. */
  readonly isPowerLost: boolean;
}

const CATCH_UP_MS = 4000;
const MAX_START_GAP_MS = 300;
const MAX_DOWNTIME_MS = 2500;
const CONFIRMED_WITHIN_MS = 5000;
const SEEDS = 3;
const MAX_DISKS = 7;
const MAX_FOUNDERS = 3;

const range = (from: number, to: number): readonly number[] =>
  Array.from({ length: to - from + 1 }, (_unused, index) => from + index);

const votersWanted = (lossesBorne: number): number =>
  deriveMembershipLimits({ lossesBorne, catchUpMs: CATCH_UP_MS }).votersWanted;

/** All shapes with enough disks for the losses. */
function listShapes(): readonly FoundingShape[] {
  return [1, 2].flatMap((lossesBorne) =>
    range(votersWanted(lossesBorne), MAX_DISKS).flatMap((disks) =>
      [1, 2, 3].flatMap((dataCentres) =>
        range(1, MAX_FOUNDERS).flatMap((founders) =>
          [false, true].map((isPowerLost) => ({
            disks,
            dataCentres,
            founders,
            lossesBorne,
            isPowerLost,
          })),
        ),
      ),
    ),
  );
}

/** Founds the group, loses disks as soon as the settings allow it, and reports a violation. */
function findProblem(shape: FoundingShape, seed: number): string | null {
  const { disks, dataCentres, founders, lossesBorne, isPowerLost } = shape;
  const faultTolerance = { lossesBorne, catchUpMs: CATCH_UP_MS };
  const group = new MemoryGroup({ seed, size: founders, faultTolerance, dataCentres });
  const { random } = group.cluster;
  range(founders, disks - 1).forEach((index) => {
    group.run(random.nextInt(MAX_START_GAP_MS / disks));
    group.addVm(`dc${index % dataCentres}`);
  });
  group.run(CATCH_UP_MS);
  const leader = group.confirmedLeader();
  const others = group.vms.filter((vm) => vm !== leader).sort(() => random.nextInt(2) - 0.5);
  const victims = [...(leader ? [leader] : []), ...others];
  const wiped = victims.slice(0, lossesBorne);
  const unpowered = isPowerLost ? victims.slice(lossesBorne) : [];
  wiped.forEach((vm) => group.loseDisk(vm));
  unpowered.forEach((vm) => group.stop(vm));
  group.run(random.nextInt(MAX_DOWNTIME_MS));
  [...wiped, ...unpowered].forEach((vm) => {
    group.run(random.nextInt(MAX_START_GAP_MS / disks));
    group.start(vm);
  });
  if (group.runUntilConfirmed(CONFIRMED_WITHIN_MS) === null) return 'no leader was confirmed';
  const isComplete = (group.confirmedLeader()?.node.appliedIndex ?? 0) >= group.cluster.ackedIndex;
  return isComplete ? null : 'acknowledged entries were lost';
}

describe('a group that has just been founded', () => {
  it('keeps what it acknowledged after the tolerated losses, whichever VMs founded it', () => {
    const problems = listShapes().flatMap((shape) =>
      range(1, SEEDS).flatMap((seed) => {
        const problem = findProblem(shape, seed);
        return problem === null ? [] : [`${JSON.stringify(shape)}, seed ${seed}: ${problem}`];
      }),
    );
    assert.deepEqual(problems.slice(0, 3), [], `${problems.length} schedules failed`);
  });
});
