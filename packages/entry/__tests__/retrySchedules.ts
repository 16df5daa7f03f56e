/**
 * Random schedules of failures around a service whose servers reject most requests, in virtual
 * time: entries and accounts of retries that are killed, restarted, cut off and suspended, servers
 * that stand still and read later what was sent to them, requests that wait before they are read or
 * sent, or arrive late, and links that hold single ones back. A request counts when its caller
 * sends it, whenever the entry reads it, and each of its arrivals but the first is a retry when a
 * server reads it.
 */
import { createRetryReservations } from '@spoolplank/control';
import { createMetrics } from '@spoolplank/node';
import { createRetryAccount, LOAN_VALIDITY_MS, RETRY_ARRIVAL_MS } from '@spoolplank/routing';
import type { RetryAccount, RetryLoan, RetryLoanRequest } from '@spoolplank/routing';
import { createSeededRandom, SpoolplankError } from '@spoolplank/shared';
import { createRetryBudgets } from '../src/admission/retryBudgets';
import type { RetryBudget, RetryLimits } from '../src/admission/retryBudgets';
import type { BackendCall } from '../src/dispatch/backendOperations';
import { createRequestArrivals } from '../src/dispatch/requestArrivals';
import type { RequestArrivals } from '../src/dispatch/requestArrivals';
import type { Sending } from '../src/dispatch/unreadSendings';
import { createCreditRequests } from '../src/admission/creditRequests';
import { createHeldReports } from '../src/admission/heldReports';
import { createOpenRetries } from '../src/admission/openRetries';
import { createTestAccount, createTestSendings } from './fixtures';
import { createReadingGaps } from '../src/admission/readingGaps';
import type { ReadingGaps } from '../src/admission/readingGaps';
import { createRetryLoans } from '../src/admission/retryLoans';
import { createVirtualTime } from './virtualTime';

/** Deliberate faults of the model, each of which must break the bound in some schedule. */
export type PlantedFault =
  | 'account-forgets-at-takeover'
  | 'answers-prove-other-connections'
  | 'loan-requests-numbered-alike'
  | 'requests-dated-by-reading'
  | 'sendings-forgotten-when-given-up'
  | 'slack-by-entry'
  | 'two-accounts-lend';

export interface ScheduleOptions {
  readonly planted?: PlantedFault | undefined;
  /** Whether entries have many requests, and all retries are earned by these; by default not. */
  readonly areAllEarned?: boolean;
  /** Whether links hold single requests back; by default not. */
  readonly hasHeldLinks?: boolean;
  /**
   * Whether held requests of an entry that has ended, or is cut off, arrive although the leader was
   * replaced since they were sent, so that the new one cannot know of them; by default not.
   */
  readonly hasUnreportedRequests?: boolean;
}

export interface ScheduleResult {
  /** Retries in the worst window as a share of the allowed ones. */
  readonly worstShare: number;
  readonly retries: number;
}

interface Entry {
  budget: RetryBudget;
  gaps: ReadingGaps;
  arrivals: RequestArrivals;
  /** By server, the sendings that were given up. */
  given: Map<number, readonly Sending[]>;
  tick: () => void;
  /** Identifies the incarnation; 0 while the entry is down. */
  incarnation: number;
  isCut: boolean;
  suspendedUntilMs: number;
}

const LIMITS: RetryLimits = { windowMs: 10_000, ratio: 0.2, allowance: 12 };
/** All retries are lent, so that each one that is not counted shows. */
const HELD_LIMITS: RetryLimits = { windowMs: 10_000, ratio: 0, allowance: 12 };
/** No retries are lent, so that each one that was earned too many shows. */
const EARNED_LIMITS: RetryLimits = { windowMs: 10_000, ratio: 0.2, allowance: 0 };
const ENTRIES = 4;
const KEEPERS = 3;
const STEPS = 12;
const MAX_ATTEMPTS = 3;
const SERVERS = 4;
/** Time after which an entry gives up a request that its server has not read. */
const ATTEMPT_TIMEOUT_MS = 400;
/** Pauses between requests, one of which is drawn for each step. */
const PAUSES_MS: readonly number[] = [60, 150, 400];
/** Pauses of every fourth schedule, in which requests earn most of the allowed retries. */
const SHORT_PAUSES_MS: readonly number[] = [10, 20, 60];
const SHORTEST_PAUSES_MS: readonly number[] = [4, 8, 16];
const TICK_MS = 200;
/** Interval at which a leader records what counts beyond the time of its loans. */
const CARRIED_INTERVAL_MS = 2000;
const SUSPENSIONS_MS: readonly number[] = [200, 1000, 4000, 10_000];
/** Time over which an entry reads the requests that came while it was suspended. */
const CATCH_UP_MS = 300;
/** Shares of the requests to a server that its link holds back, one of which is drawn. */
const HELD_SHARES: readonly number[] = [0.2, 0.6, 1];
const MAX_HELD_MS = 13_600;
/** Share of the steps after which links begin to hold requests. */
const HOLD_SHARE = 0.4;
/**
 * Longest time after which a request arrives that was held when its entry ended. The account counts
 * an unconfirmed loan for as long and a window more.
 */
const MAX_HELD_AFTER_END_MS = 9000;
/** Time within which a server that answers one request reads the others that it has received. */
const READ_ON_MS = 300;

const countBetween = (timesMs: readonly number[], fromMs: number, toMs: number): number =>
  timesMs.filter((atMs) => atMs >= fromMs && atMs < toMs).length;

/** The requests count in the window, the one before it or half a window earlier: the most. */
function findWorstShare(
  requestsAtMs: readonly number[],
  retriesAtMs: readonly number[],
  { windowMs, ratio, allowance }: RetryLimits,
): number {
  const shares = retriesAtMs.map((lastAtMs) => {
    const endMs = lastAtMs + 1;
    const requests = [0, windowMs / 2, windowMs].map((earlierMs) =>
      countBetween(requestsAtMs, endMs - earlierMs - windowMs, endMs - earlierMs),
    );
    const retries = countBetween(retriesAtMs, endMs - windowMs, endMs);
    return retries / (Math.max(...requests) * ratio + allowance);
  });
  return Math.max(0, ...shares);
}

function findLimits({ hasHeldLinks = false, areAllEarned = false }: ScheduleOptions): RetryLimits {
  if (areAllEarned) return EARNED_LIMITS;
  return hasHeldLinks ? HELD_LIMITS : LIMITS;
}

export async function playRetrySchedule(
  seed: number,
  options: ScheduleOptions = {},
): Promise<ScheduleResult> {
  const { planted, areAllEarned = false } = options;
  const { hasHeldLinks = false, hasUnreportedRequests = false } = options;
  const limits = findLimits(options);
  const random = createSeededRandom(seed);
  const linkRandom = createSeededRandom(-seed);
  const time = createVirtualTime();
  const { clock, delay } = time;
  const usualPausesMs = seed % 4 === 0 ? SHORT_PAUSES_MS : PAUSES_MS;
  const pausesMs = areAllEarned ? SHORTEST_PAUSES_MS : usualPausesMs;
  const requestsAtMs: number[] = [];
  const retriesAtMs: number[] = [];
  const isLucky = (share: number) => random.nextFloat() < share;
  const drawMs = (limitMs: number) => random.nextInt(limitMs);
  const createKeeper = (): RetryAccount =>
    createRetryAccount({ clock, windowMs: limits.windowMs, allowance: limits.allowance });
  const keepers = Array.from({ length: KEEPERS }, createKeeper);
  /** Until when each keeper is suspended. */
  const keepersAwakeAtMs = keepers.map(() => 0);
  /** Until when each server stands still. */
  const serversAwakeAtMs = Array.from({ length: SERVERS }, () => 0);
  /** What the link to each server holds, and until when. */
  const links = Array.from({ length: SERVERS }, () => ({ share: 0, untilMs: 0 }));
  let leader: number | null = 0;
  let incarnations = 0;
  let terms = 1;
  /** What is committed. */
  const reservations = createRetryReservations(clock);
  let recordedAtMs = Number.NEGATIVE_INFINITY;

  /** Delay of a message between an entry and the leader. */
  function drawMessageMs(): number {
    if (isLucky(0.05)) return drawMs(3 * LOAN_VALIDITY_MS);
    return 1 + drawMs(4);
  }

  function findKeeper(): number | null {
    return planted === 'two-accounts-lend' ? random.nextInt(KEEPERS) : leader;
  }

  const leads = (index: number) => index === leader || planted === 'two-accounts-lend';

  /** Commits a reservation; false if the keeper does not lead any more. */
  async function reserve(keeper: RetryAccount, request: RetryLoanRequest): Promise<boolean> {
    const count = keeper.missingFor(request);
    const sinceMs = clock.nowMs();
    const term = terms;
    if (count > 0) {
      await delay(isLucky(0.05) ? drawMs(2500) : drawMs(20));
      if (term !== terms) return false;
      const { service } = request;
      const most = keeper.exposedOf(service) + count;
      reservations.apply({ kind: 'retries.reserve', service, count, most });
      keeper.setReserved(request.service, count, sinceMs);
    }
    return true;
  }

  async function askOnce(entry: Entry, request: RetryLoanRequest): Promise<RetryLoan> {
    if (entry.isCut) {
      await delay(LOAN_VALIDITY_MS);
      throw new SpoolplankError('unreachable');
    }
    await delay(drawMessageMs());
    const index = findKeeper();
    if (index === null) throw new SpoolplankError('not-leader');
    await delay(Math.max(0, (keepersAwakeAtMs[index] ?? 0) - clock.nowMs()));
    const keeper = keepers[index];
    if (!keeper || !leads(index)) throw new SpoolplankError('not-leader');
    if (!(await reserve(keeper, request))) throw new SpoolplankError('not-leader');
    const loan = keeper.lend(request);
    await delay(drawMessageMs());
    if (isLucky(0.05)) throw new SpoolplankError('unreachable');
    return loan;
  }

  /** Asks through one control VM, or later through a second one as well. */
  async function ask(entry: Entry, request: RetryLoanRequest): Promise<RetryLoan> {
    const { origin } = request;
    const isNumberedAlike = planted === 'loan-requests-numbered-alike' && origin !== undefined;
    const sent = isNumberedAlike ? { ...request, origin: { ...origin, sequence: 1 } } : request;
    const answer = askOnce(entry, sent);
    if (!isLucky(0.2)) return answer;
    const second = delay(drawMs(LOAN_VALIDITY_MS)).then(() => askOnce(entry, sent));
    return Promise.any([answer, second]).catch(() => {
      throw new SpoolplankError('unreachable');
    });
  }

  function start(entry: Entry): void {
    incarnations += 1;
    const quiet = { info: () => {} };
    const borrower = `entry-${incarnations}`;
    const loans = createRetryLoans({
      clock,
      log: quiet,
      metrics: createMetrics(),
      delay,
      borrower,
      ask: (request) => ask(entry, request),
    });
    const runningStreams = () => 0;
    const metrics = createMetrics();
    const open = createOpenRetries({ clock, windowMs: limits.windowMs });
    const credits = createCreditRequests({ clock, windowMs: limits.windowMs });
    const reports = createHeldReports({
      clock,
      log: quiet,
      borrower,
      open,
      loans,
      credits,
      ask: (request) => ask(entry, request),
    });
    const shared = { clock, log: quiet, metrics, limits, open, credits, runningStreams };
    const budget = createRetryBudgets({ ...shared, loans })('app');
    const gaps = createReadingGaps({ clock, log: quiet, metrics });
    const unread = createTestSendings(clock);
    const arrivals = createRequestArrivals(unread);
    const tickAll = () => [gaps.mark, unread.tick, reports.tick].forEach((tickOne) => tickOne());
    const given = new Map<number, readonly Sending[]>();
    const parts = { budget, gaps, arrivals, given, tick: tickAll };
    Object.assign(entry, { ...parts, incarnation: incarnations });
    if (planted !== 'slack-by-entry') return;
    const part = createTestAccount({
      clock,
      windowMs: limits.windowMs,
      allowance: limits.allowance / ENTRIES,
    });
    const ownLoans = createRetryLoans({
      clock,
      log: quiet,
      metrics: createMetrics(),
      delay,
      borrower,
      ask: (request) => Promise.resolve(part.lend(request)),
    });
    const budgets = createRetryBudgets({ ...shared, loans: ownLoans });
    Object.assign(entry, { budget: budgets('app') });
  }

  const entries = Array.from({ length: ENTRIES }, () => {
    const entry = { isCut: false, suspendedUntilMs: 0 } as Entry;
    start(entry);
    return entry;
  });

  /** Time from the moment at which a request is sent until it arrives. */
  function drawArrivalMs(): number {
    if (isLucky(0.05)) return RETRY_ARRIVAL_MS + drawMs(4000);
    if (isLucky(0.1)) return drawMs(RETRY_ARRIVAL_MS - LOAN_VALIDITY_MS);
    return 1 + drawMs(5);
  }

  /** Time for which the link to a server holds a request that is sent now. */
  function drawHeldMs(server: number): number {
    const link = links[server];
    const heldMs = (link?.untilMs ?? 0) - clock.nowMs();
    if (!link || heldMs <= 0) return 0;
    return linkRandom.nextFloat() < link.share ? heldMs : 0;
  }

  /** Holds requests back on some links, until one time. */
  function holdLinks(): void {
    const untilMs = clock.nowMs() + linkRandom.nextInt(MAX_HELD_MS);
    const share = HELD_SHARES[linkRandom.nextInt(HELD_SHARES.length)] ?? 1;
    const held = 1 + linkRandom.nextInt(SERVERS);
    links.slice(0, held).forEach((link) => Object.assign(link, { share, untilMs }));
  }

  const isSuspended = (entry: Entry) => entry.suspendedUntilMs > clock.nowMs();

  /** Resolves when an entry has read a request that is sent to it now. */
  async function deliver(entry: Entry): Promise<void> {
    await delay(isLucky(0.03) ? drawMs(400) : 1 + drawMs(4));
    while (isSuspended(entry)) {
      await delay(entry.suspendedUntilMs - clock.nowMs());
      if (!isSuspended(entry)) await delay(drawMs(CATCH_UP_MS));
    }
  }

  async function serve(entry: Entry): Promise<void> {
    const { incarnation, budget, gaps, arrivals, given } = entry;
    const isUp = () => entry.incarnation === incarnation;
    requestsAtMs.push(clock.nowMs());
    if (incarnation === 0) return;
    await deliver(entry);
    if (!isUp()) return;
    gaps.mark();
    const isDatedByReading = planted === 'requests-dated-by-reading';
    budget.earn(isDatedByReading ? clock.steadyMs() : gaps.sentAfterMs(clock.nowMs()));
    const request = { id: `request-${requestsAtMs.length}` } as BackendCall['request'];
    const first = random.nextInt(SERVERS);
    let hasArrived = false;

    /** Delivers a request to a server; resolves when the server has read it. */
    async function arrive(server: number, heldMs: number): Promise<void> {
      const term = terms;
      await delay(drawArrivalMs() + heldMs);
      const isAwake = () => (serversAwakeAtMs[server] ?? 0) <= clock.nowMs();
      // The connections of a process end with it, but not what a server or a link has received.
      const isHeld = heldMs > 0 ? heldMs <= MAX_HELD_AFTER_END_MS : !isAwake();
      if (!isHeld && !isUp()) return;
      while (!isAwake()) await delay((serversAwakeAtMs[server] ?? 0) - clock.nowMs());
      const isUnreported = (!isUp() || entry.isCut) && term !== terms;
      if (hasHeldLinks && isUnreported && !hasUnreportedRequests) return;
      if (hasArrived) retriesAtMs.push(clock.nowMs());
      hasArrived = true;
    }

    /** Waits for an answer; a server that stands still does not answer in time. */
    async function awaitAnswer(
      server: number,
      arrived: Promise<void>,
      heldMs: number,
    ): Promise<'answered' | 'none'> {
      const timeout = delay(ATTEMPT_TIMEOUT_MS).then(async () => {
        if (heldMs > 0) return 'none';
        const isSilent = (serversAwakeAtMs[server] ?? 0) > clock.nowMs() - ATTEMPT_TIMEOUT_MS;
        if (!isSilent) await arrived;
        return isSilent ? ('none' as const) : ('answered' as const);
      });
      return Promise.race([arrived.then(() => 'answered' as const), timeout]);
    }

    /** Reports what becomes of the connection of a request that was given up. */
    async function endLater(sending: Sending, arrived: Promise<void>): Promise<void> {
      const runsUp = async () => {
        await delay(Math.max(0, entry.suspendedUntilMs - clock.nowMs()));
        return isUp();
      };
      const draw = hasHeldLinks ? linkRandom.nextFloat() : 1;
      // A proxy on the way may end the connection before it delivers the request.
      if (draw < 0.2 && (await runsUp())) sending.recordEnd();
      await arrived;
      if (draw < 0.2 || !(await runsUp())) return;
      if (draw < 0.4) sending.recordEnd();
      else sending.recordAnswer();
    }

    /** Takes the answer on one connection for one on all connections to the server. */
    function proveOthers(server: number): void {
      const others = given.get(server) ?? [];
      given.delete(server);
      time.schedule(() => others.forEach((sending) => sending.recordAnswer()), READ_ON_MS);
    }

    for (let attempt = 0; attempt < MAX_ATTEMPTS; attempt += 1) {
      // Waits for a server or a slot.
      await delay(isLucky(0.1) ? drawMs(1500) : 1);
      await delay(Math.max(0, entry.suspendedUntilMs - clock.nowMs()));
      if (!isUp()) return;
      const permit = attempt === 0 ? null : await budget.take('usual');
      if ((attempt > 0 && permit === null) || !isUp()) return;
      const server = (first + attempt) % SERVERS;
      const call = { request, target: { instanceId: `s${server}`, address: '' }, service: 'app' };
      const sending = arrivals.add(call as unknown as BackendCall, permit);
      sending.begin();
      const heldMs = drawHeldMs(server);
      const arrived = arrive(server, heldMs);
      const outcome = await awaitAnswer(server, arrived, heldMs);
      await delay(Math.max(0, entry.suspendedUntilMs - clock.nowMs()));
      if (!isUp()) return;
      const isForgetting = planted === 'sendings-forgotten-when-given-up';
      if (outcome === 'answered' || isForgetting) sending.recordAnswer();
      else {
        sending.giveUp();
        given.set(server, [...(given.get(server) ?? []), sending]);
        void endLater(sending, arrived);
      }
      if (outcome === 'answered' && planted === 'answers-prove-other-connections') {
        proveOthers(server);
      }
      if (isLucky(0.1)) return;
    }
  }

  function drawEntry(): Entry {
    return entries[random.nextInt(ENTRIES)] as Entry;
  }

  /** The reservations as a replica knows them, which has applied each of them a little later. */
  const listKnown = () =>
    reservations.list().map(({ service, count, knownForMs }) => ({
      service,
      count,
      knownForMs: Math.max(0, knownForMs - drawMs(200)),
    }));

  /** Records what counts beyond the time of its loans, unless the leader is suspended. */
  function recordCarried(): void {
    const keeper = leader === null ? undefined : keepers[leader];
    if (!keeper || leader === null || (keepersAwakeAtMs[leader] ?? 0) > clock.nowMs()) return;
    if (clock.nowMs() - recordedAtMs < CARRIED_INTERVAL_MS) return;
    recordedAtMs = clock.nowMs();
    keeper.listCarried().forEach(({ service, count }) => {
      const most = Math.max(keeper.exposedOf(service), count);
      reservations.apply({ kind: 'retries.reserve', service, count, most });
    });
  }

  function replaceLeader(): void {
    const next = random.nextInt(KEEPERS);
    leader = null;
    terms += 1;
    time.schedule(() => {
      const isForgetting = planted === 'account-forgets-at-takeover';
      keepers[next]?.takeOver(isForgetting ? [] : listKnown());
      leader = next;
    }, drawMs(1500));
  }

  function kill(entry: Entry): void {
    Object.assign(entry, { incarnation: 0 });
    time.schedule(() => start(entry), 50 + drawMs(600));
  }

  function drawSuspensionMs(): number {
    return drawMs(SUSPENSIONS_MS[random.nextInt(SUSPENSIONS_MS.length)] ?? 1);
  }

  function suspend(entry: Entry): void {
    entry.suspendedUntilMs = clock.nowMs() + drawSuspensionMs();
  }

  function stopServers(servers: readonly number[]): void {
    const awakeAtMs = clock.nowMs() + drawSuspensionMs();
    servers.forEach((server) => {
      serversAwakeAtMs[server] = awakeAtMs;
    });
  }

  function tick(): void {
    recordCarried();
    entries.filter((entry) => !isSuspended(entry)).forEach((entry) => entry.tick());
    time.schedule(tick, TICK_MS);
  }
  tick();

  const faults: readonly (() => void)[] = [
    () => kill(drawEntry()),
    () => entries.forEach(kill),
    () => {
      const entry = drawEntry();
      entry.isCut = !entry.isCut;
    },
    () => suspend(drawEntry()),
    () => entries.forEach((entry) => suspend(entry)),
    () => {
      keepersAwakeAtMs[random.nextInt(KEEPERS)] = clock.nowMs() + drawSuspensionMs();
      // Another keeper is elected once the lease of a suspended one has expired.
      if (isLucky(0.5)) time.schedule(replaceLeader, 700);
    },
    replaceLeader,
    () => stopServers([random.nextInt(SERVERS)]),
    () => stopServers([0, 1]),
    () => stopServers([0, 1, 2, 3]),
    () => {},
  ];

  for (let step = 0; step < STEPS; step += 1) {
    const endMs = clock.nowMs() + 500 + drawMs(4000);
    const pauseMs = pausesMs[random.nextInt(pausesMs.length)] ?? 150;
    const few = 1 + random.nextInt(ENTRIES);
    while (clock.nowMs() < endMs) {
      void serve(entries[random.nextInt(few)] as Entry);
      await time.pass(1 + drawMs(2 * pauseMs));
    }
    faults[random.nextInt(faults.length)]?.();
    if (hasHeldLinks && linkRandom.nextFloat() < HOLD_SHARE) holdLinks();
  }
  await time.pass(hasHeldLinks ? 2 * MAX_HELD_MS : 12_000);
  return {
    worstShare: findWorstShare(requestsAtMs, retriesAtMs, limits),
    retries: retriesAtMs.length,
  };
}

/** Returns the first seed from `first` on whose schedule breaks the bound; null if none does. */
export async function findBrokenSchedule(
  first: number,
  count: number,
  options: ScheduleOptions = {},
): Promise<number | null> {
  for (let seed = first; seed < first + count; seed += 1) {
    const { worstShare } = await playRetrySchedule(seed, options);
    if (worstShare > 1) return seed;
  }
  return null;
}
