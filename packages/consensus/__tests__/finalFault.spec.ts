import assert from 'node:assert/strict';
import { describe, it } from 'node:test';
import { findProblem, runGroupSchedule } from './groupSchedules';
import type { GroupScheduleOptions } from './groupSchedules';

type Group = Omit<GroupScheduleOptions, 'seed' | 'finalFault'>;

const SCHEDULES_PER_GROUP = 60;
const FINAL_FAULTS = ['disks-lost', 'disks-and-power-lost'] as const;
const GROUPS: readonly Group[] = [
  { size: 3, dataCentres: 3, lossesBorne: 1, catchUpMs: 4000, lossesInRow: 1 },
  { size: 3, dataCentres: 1, lossesBorne: 1, catchUpMs: 4000, lossesInRow: 1 },
  { size: 5, dataCentres: 1, lossesBorne: 2, catchUpMs: 4000, lossesInRow: 1 },
  { size: 5, dataCentres: 5, lossesBorne: 2, catchUpMs: 4000, lossesInRow: 1 },
  { size: 6, dataCentres: 3, lossesBorne: 2, catchUpMs: 6000, lossesInRow: 2 },
  { size: 6, dataCentres: 1, lossesBorne: 2, catchUpMs: 6000, lossesInRow: 1 },
  { size: 8, dataCentres: 4, lossesBorne: 2, catchUpMs: 6000, lossesInRow: 1 },
];

describe('a group of which the tolerated number of VMs lose their disks at the same moment', () => {
  FINAL_FAULTS.forEach((finalFault) =>
    GROUPS.forEach((group) => {
      const { size, dataCentres, lossesBorne } = group;
      it(`is led again and keeps what it acknowledged: ${lossesBorne} of ${size} VMs in ${dataCentres}, ${finalFault}`, () => {
        const problems: string[] = [];
        for (let seed = 1; seed <= SCHEDULES_PER_GROUP; seed += 1) {
          const result = runGroupSchedule({ ...group, seed, finalFault });
          const problem = findProblem(result);
          if (problem !== null)
            problems.push(`seed ${seed}: ${problem}: ${result.losses.join('; ')}`);
        }
        assert.deepEqual(problems.slice(0, 3), [], `${problems.length} schedules failed`);
      });
    }),
  );
});
