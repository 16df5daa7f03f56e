/** Random schedules of failures, partitions, restarts and changes around a rate-limited server. */
import { createLimitedSite } from './limitFixtures';
import type { LimitedSite } from './limitFixtures';

/**
 * Bounds on the requests in a window: the rule of the platform, and the stricter target of this
 * project.
 */
export const platformBound = (allowed: number): number => 1.5 * allowed + 5;
export const targetBound = (allowed: number): number => 1.1 * allowed + 2;

/** Faults and limit changes that are injected at random moments. */
const FAULTS: readonly ((site: LimitedSite, configuredAfterMs: number) => void)[] = [
  (site) => {
    const vm = site.vms[site.random.nextInt(site.vms.length)];
    if (vm && site.vms.filter(({ isUp }) => isUp).length > 1) vm.isUp = false;
  },
  (site) => {
    if (site.vms.filter(({ isUp }) => isUp).length > 1) site.allocator().isUp = false;
  },
  (site) => {
    const allocator = site.allocator();
    allocator.losesAnswers = !allocator.losesAnswers;
  },
  (site) => {
    const vm = site.vms[site.random.nextInt(site.vms.length)];
    if (vm) vm.isPartitioned = !vm.isPartitioned;
  },
  (site, configuredAfterMs) => {
    const down = site.vms.find(({ isUp }) => !isUp);
    if (down) site.restart(down.host, configuredAfterMs);
  },
  (site) => {
    site.setLimit('c1', [0, 0.5, 2, 3.2, 8, 30][site.random.nextInt(6)] ?? 3.2);
  },
  (site) => {
    site.setLimit('c1', null);
  },
];

/**
 * Runs one schedule; returns by how much the worst window exceeds the platform's bound. A restarted
 * VM has no configuration for `configuredAfterMs`.
 */
export async function playSchedule(
  vms: number,
  seed: number,
  configuredAfterMs = 0,
): Promise<number> {
  const site = createLimitedSite({ vms, seed });
  await site.pass(1500);
  site.setNamingInterval(1 + site.random.nextInt(2));
  await site.callFor(1000, 20);
  site.setLimit('c1', 3.2);
  for (let step = 0; step < 6; step += 1) {
    const pressure = [4, 13, 40][site.random.nextInt(3)] ?? 13;
    const few = 1 + site.random.nextInt(vms);
    await site.callFor(
      500 + site.random.nextInt(3000),
      pressure,
      (up) => up[site.random.nextInt(Math.min(few, up.length))],
    );
    FAULTS[site.random.nextInt(FAULTS.length)]?.(site, configuredAfterMs);
  }
  await site.callFor(2000, 13);
  return site.worstExcess('c1', platformBound);
}
