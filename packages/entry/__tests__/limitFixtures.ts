/** Simulates entry VMs in front of rate-limited servers, in virtual time, and records arrivals. */
import { createSeededRandom } from '@spoolplank/shared';
import type { Random } from '@spoolplank/shared';
import { createDataCentre } from './slotFixtures';
import type { Vm } from './slotFixtures';

/** A request that reached a server. */
export interface LimitedArrival {
  readonly atMs: number;
  readonly vm: string;
  /** Whether its VM had received the limit at least half a second before. */
  readonly isInformed: boolean;
}

export interface LimitedSiteOptions {
  readonly vms: number;
  readonly seed?: number;
  readonly servers?: readonly string[];
}

export const WINDOW_MS = 4000;
export const INFORMED_AFTER_MS = 500;
const MS_PER_S = 1000;
/** The head of an answer arrives after one to ten times this duration. */
const HEAD_MS = 20;
const HEAD_STEPS = 10;
/**
 * Attempts of a request that are held back by a limit set just before the send; as in
 * `plainDispatch`.
 */
const MAX_HELD_BACK = 4;
const STREAM_MS = 600;

/** A limit and the time from which it is in force; a null rate removes the limit. */
interface LimitStep {
  readonly fromMs: number;
  readonly perS: number | null;
}

export function createLimitedSite({ vms, seed = 1, servers = ['c1'] }: LimitedSiteOptions) {
  const random: Random = createSeededRandom(seed);
  const site = createDataCentre(vms, servers);
  const { clock } = site;
  const steps = new Map<string, LimitStep[]>(servers.map((id) => [id, []]));
  const arrivals = new Map<string, LimitedArrival[]>(servers.map((id) => [id, []]));
  const firstNamedAtMs = new Map<string, number>();
  const outcomes = { sent: 0, refused: 0, retryInMs: [] as number[] };
  /** A server states its limit in every n-th answer. */
  let namingInterval = 1;
  let answers = 0;

  const limitPerSOf = (id: string): number | null => steps.get(id)?.at(-1)?.perS ?? null;

  function answer(id: string, vm: Vm, sentAtMs: number, hasPermit: boolean): void {
    answers += 1;
    const perS = limitPerSOf(id);
    const isNamed = perS !== null && answers % namingInterval === 0;
    const headMs = HEAD_MS * (1 + random.nextInt(HEAD_STEPS));
    site.schedule(() => {
      if (!vm.isUp) return;
      const key = `${vm.host} ${id}`;
      if (isNamed && !firstNamedAtMs.has(key)) firstNamedAtMs.set(key, clock.nowMs());
      const directive = isNamed
        ? ({ kind: 'named', perS } as const)
        : ({ kind: 'unnamed' } as const);
      const target = { instanceId: id, address: `${id}:1` };
      vm.limits.recordAnswer(target, directive, sentAtMs, hasPermit);
    }, headMs);
  }

  /** Sends unless the VM knows a limit and has no permit, like the last check before a send. */
  function trySend(vm: Vm, id: string, hasPermit: boolean): boolean {
    if (!hasPermit && vm.limits.limitPerSOf(id) !== null && !vm.limits.takeOwnQuota(id))
      return false;
    const atMs = clock.nowMs();
    const namedAtMs = firstNamedAtMs.get(`${vm.host} ${id}`) ?? Number.POSITIVE_INFINITY;
    arrivals
      .get(id)
      ?.push({ atMs, vm: vm.host, isInformed: atMs >= namedAtMs + INFORMED_AFTER_MS });
    outcomes.sent += 1;
    answer(id, vm, clock.steadyMs(), hasPermit);
    return true;
  }

  function sendAlone(vm: Vm): void {
    const id = servers.find((server) => vm.limits.maySendWithoutPermit(server));
    if (id === undefined || !trySend(vm, id, false)) outcomes.refused += 1;
  }

  /** Simulates one request of a caller, from its arrival at a VM to its end. */
  async function call(vm: Vm, name: string): Promise<void> {
    for (let tries = 0; tries < MAX_HELD_BACK; tries += 1) {
      const outcome = await site.find(vm, `${name}/${tries}`);
      if (!vm.isUp) return;
      if (outcome.kind === 'unavailable') {
        sendAlone(vm);
        return;
      }
      if (outcome.kind === 'refused') {
        outcomes.refused += 1;
        if (outcome.retryInMs !== undefined) outcomes.retryInMs.push(outcome.retryInMs);
        return;
      }
      const { headId, hasPermit } = outcome.chain;
      if (trySend(vm, headId, hasPermit)) {
        site.hold(vm, `${name}/${tries}`, headId, STREAM_MS);
        return;
      }
      vm.client.recordReleased('a', `${name}/${tries}`);
    }
    outcomes.refused += 1;
  }

  /** Sends requests at a rate for a time; `draw` chooses the VM of each. */
  async function callFor(
    durationMs: number,
    perS: number,
    draw: (up: readonly Vm[]) => Vm | undefined = (up) => up[random.nextInt(up.length)],
  ): Promise<void> {
    const endsAtMs = clock.nowMs() + durationMs;
    const gapMs = MS_PER_S / perS;
    let calls = 0;
    while (clock.nowMs() < endsAtMs) {
      const vm = draw(site.vms.filter(({ isUp }) => isUp));
      if (vm) void call(vm, `${clock.nowMs()}-${calls}`);
      calls += 1;
      await site.pass(gapMs * (0.5 + random.nextInt(1000) / 1000));
    }
  }

  function setLimit(id: string, perS: number | null): void {
    steps.get(id)?.push({ fromMs: clock.nowMs(), perS });
  }

  /** Requests that a limit allows within a window; null if it was not in force throughout. */
  function allowedIn(id: string, fromMs: number, endMs: number): number | null {
    const list = steps.get(id) ?? [];
    const inForce = list.filter((step, index) => {
      // A lower limit is known to all VMs half a second later.
      const until = (list[index + 1]?.fromMs ?? Number.POSITIVE_INFINITY) + INFORMED_AFTER_MS;
      return step.fromMs <= endMs && until > fromMs;
    });
    const isWhole = inForce.length > 0 && (inForce[0]?.fromMs ?? Infinity) <= fromMs;
    const rates = inForce.map(({ perS }) => perS ?? Number.POSITIVE_INFINITY);
    if (!isWhole || rates.includes(Number.POSITIVE_INFINITY)) return null;
    return (Math.max(...rates) * WINDOW_MS) / MS_PER_S;
  }

  /**
   * Excess of the requests of informed VMs over a bound in the worst window; negative without
   * excess.
   */
  function worstExcess(id: string, bound: (allowed: number) => number): number {
    const informed = (arrivals.get(id) ?? []).filter(({ isInformed }) => isInformed);
    const excesses = informed.map(({ atMs: endMs }) => {
      const fromMs = endMs - WINDOW_MS;
      const allowed = allowedIn(id, fromMs, endMs);
      if (allowed === null) return Number.NEGATIVE_INFINITY;
      const count = informed.filter(({ atMs }) => atMs > fromMs && atMs <= endMs).length;
      return count - bound(allowed);
    });
    return Math.max(Number.NEGATIVE_INFINITY, ...excesses);
  }

  /** Requests that a server received within a period, as a share of what its limit allows. */
  function usedShare(id: string, fromMs: number, endMs: number): number {
    const perS = limitPerSOf(id) ?? Number.POSITIVE_INFINITY;
    const count = (arrivals.get(id) ?? []).filter(
      ({ atMs }) => atMs > fromMs && atMs <= endMs,
    ).length;
    return count / ((perS * (endMs - fromMs)) / MS_PER_S);
  }

  return {
    ...site,
    random,
    outcomes,
    arrivalsAt: (id: string) => arrivals.get(id) ?? [],
    call,
    callFor,
    setLimit,
    setNamingInterval(count: number) {
      namingInterval = count;
    },
    worstExcess,
    usedShare,
  };
}

export type LimitedSite = ReturnType<typeof createLimitedSite>;
