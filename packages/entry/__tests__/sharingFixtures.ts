/** Simulates callers of several organisations and classes in front of one data centre. */
import { DEFAULT_DECISIONS } from '@spoolplank/routing';
import type { SharingSettings } from '@spoolplank/routing';
import { createSeededRandom } from '@spoolplank/shared';
import type { SlotOutcome } from '../src/slots/slotClient';
import type { DataCentre } from './slotFixtures';

export const SHARED = DEFAULT_DECISIONS.sharing;
export const UNSHARED: SharingSettings = { ...SHARED, isEnabled: false };
/** Duration of a stream. A chain of the fixtures then serves 23.5 requests a second. */
export const STREAM_MS = 4000;
/** Time to the first event on a chain that is not overfilled. */
const FIRST_EVENT_MS = 150;
const MAX_WAIT_MS = 1200;
const STEP_MS = 10;

/** Requests of one kind of callers. */
export interface Callers {
  readonly name: string;
  /** Requests per second, by the time since the start of the load. */
  readonly perS: (atMs: number) => number;
  readonly classPriority?: number;
  readonly organisation?: string;
  readonly weight?: number;
  readonly targetMs?: number;
  /** Requests that a caller sends at once after a refusal; 0 by default. */
  readonly retries?: number;
  /** Time after which a caller hangs up and sends its request again; never by default. */
  readonly hangsUpAfterMs?: number;
}

/** How the requests of one kind of callers ended. */
export interface Served {
  sent: number;
  granted: number;
  inTime: number;
}

export const shareOf = ({ granted, sent }: Served): number => granted / sent;
export const inTimeShareOf = ({ inTime, sent }: Served): number => inTime / sent;

/**
 * Sends the requests of all callers for some seconds, from all VMs in turn; the times between
 * requests vary. Returns how those that arrived in each period ended, by name of the callers.
 */
export async function playLoad(
  site: DataCentre,
  callers: readonly Callers[],
  durationMs: number,
  periodOf: (atMs: number) => string = () => '',
  seed = 1,
) {
  const random = createSeededRandom(seed);
  const ends = new Map<string, Served>();
  const due = callers.map(() => random.nextFloat());
  let tickets = 0;
  const endsAtMs = site.clock.nowMs() + durationMs;

  const endsOf = (name: string): Served => {
    const known = ends.get(name) ?? { sent: 0, granted: 0, inTime: 0 };
    ends.set(name, known);
    return known;
  };

  function send(caller: Callers, atMs: number, firstSentAtMs: number | null = null): void {
    const { name, classPriority = 1, organisation, weight, targetMs = 500 } = caller;
    const { retries = 0, hangsUpAfterMs = Number.POSITIVE_INFINITY } = caller;
    tickets += 1;
    const ticket = `s${tickets}`;
    const up = site.vms.filter(({ isUp }) => isUp);
    const vm = up[tickets % up.length];
    if (!vm) return;
    const arrivedAtMs = site.clock.nowMs();
    const queueDeadlineAtMs = arrivedAtMs + MAX_WAIT_MS;
    const sentAtMs = firstSentAtMs ?? arrivedAtMs;
    const isRetry = firstSentAtMs !== null;
    const latestStartAtMs = sentAtMs + targetMs - FIRST_EVENT_MS;
    const end = endsOf(`${name}${periodOf(atMs)}`);
    end.sent += 1;
    let hasLeft = false;
    const repeat = (count: number): void => {
      if (isRetry || site.clock.nowMs() >= endsAtMs) return;
      for (let index = 0; index < count; index += 1) send(caller, atMs, sentAtMs);
    };
    const record = (outcome: SlotOutcome): void => {
      const nowMs = site.clock.nowMs();
      if (outcome.kind === 'granted') {
        end.granted += 1;
        if (nowMs <= latestStartAtMs) end.inTime += 1;
      } else if (!hasLeft) repeat(retries);
    };
    if (!isRetry && Number.isFinite(hangsUpAfterMs)) {
      site.schedule(() => {
        if (vm.held.has(ticket)) return;
        hasLeft = true;
        repeat(1);
      }, hangsUpAfterMs);
    }
    const claim = {
      classPriority,
      cost: 1,
      ...(organisation === undefined ? {} : { organisation }),
      ...(weight === undefined ? {} : { weight }),
    };
    // Durations vary from 0.5 to 1.5 times, so that slots are not released in bursts.
    const lastsMs = STREAM_MS * (0.5 + random.nextFloat());
    const isAbandoned = () => !vm.isUp || hasLeft || site.clock.nowMs() >= queueDeadlineAtMs;
    const times = { latestStartAtMs, queueDeadlineAtMs, isAbandoned };
    site.send(vm, ticket, { ...times, claim, isRetry }, lastsMs, record);
  }

  for (let atMs = 0; atMs < durationMs; atMs += STEP_MS) {
    callers.forEach((caller, index) => {
      due[index] = (due[index] ?? 0) + caller.perS(atMs) * (STEP_MS / 1000);
      while ((due[index] ?? 0) >= 1) {
        // A part of the next request varies, which spreads the requests of callers of equal rates.
        due[index] = (due[index] ?? 0) - 0.5 - random.nextFloat();
        send(caller, atMs);
      }
    });
    await site.pass(STEP_MS);
  }
  await site.pass(1300);
  return { endsOf };
}
