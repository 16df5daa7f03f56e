/**
 * Watches running streams for silence, finds the lost engine, and moves the streams of its path to
 * another path. A path is the sequence of engines that a stream passes through.
 */
import { scheduleTimer } from '@spoolplank/node';
import type { LossVerdict, ServerPaths } from '@spoolplank/reach';
import type { PathStage } from '@spoolplank/routing';
import type { BackendTarget } from '../dispatch/backendOperations';
import type { ChainChoice } from '../dispatch/chainChoice';
import type { HandoverEnd } from '../dispatch/streamDispatch';
import type { EngineProbes } from './engineProbes';
import type { EntryContext } from '../entryContext';
import { createPathSilence } from './pathSilence';
import type { DueMove, StreamMigration } from './streamMigration';
import { contentOf } from '../quarantine/requestContent';
import { enginesOf } from '../dispatch/streamTable';
import type { StreamRow, StreamTable } from '../dispatch/streamTable';

export interface StreamRepairOptions {
  readonly context: EntryContext;
  readonly streams: StreamTable;
  readonly chains: ChainChoice;
  /** Reports a lost engine to all entries. */
  readonly suspect: (instanceId: string, evidence: string) => void;
  /** Excludes an engine on this VM for a short time. */
  readonly avoid: (instanceId: string) => void;
  /** This VM's network paths; without them, an engine that it does not reach counts as lost. */
  readonly paths?: StreamRepairPaths;
  /** Asks the designated VM to probe engines; resolves with null when it did not reply. */
  readonly requestProbe: EngineProbes['requestProbe'];
  /** Called when an engine on the path of a running stream is found lost. */
  readonly onLost?: (row: StreamRow, instanceId: string) => void;
  /** Decides which streams are moved off engines that leave; none are moved without it. */
  readonly migration?: StreamMigration;
  /** Restarts a stream on another chain, as its head leaves; null if it has ended. */
  readonly handOver?: (row: StreamRow) => Promise<HandoverEnd | null>;
  /** Runs a function after a delay; by default with a timer. */
  readonly schedule?: (run: () => void, delayMs: number) => void;
}

/** What repair needs to know of the network paths of this VM. */
export type StreamRepairPaths = Pick<
  ServerPaths,
  'confirmLoss' | 'recordUnreachable' | 'isPartitioned'
>;

export interface StreamRepair {
  /** Probes an engine after a failed connection, and reports it to all entries if it is lost. */
  probeAfterFailure(instanceId: string, address: string): void;
  /** Whether the server at an address is lost; concurrent callers share one probe. */
  isServerLost(address: string): Promise<boolean>;
  /** The same by a probe that starts with the call. */
  isServerLostNow(address: string): Promise<boolean>;
  /** Checks for streams that have been silent too long; called periodically by `watch`. */
  tick(): void;
  /** Makes the check that is due, if any; called when an event of a stream has arrived. */
  recordEvent(): void;
  /** Starts the periodic checks; called when a stream starts. They end with the last stream. */
  watch(): void;
  /**
   * Repairs every stream whose path includes an engine that another VM reports as lost. A stream
   * that has just had an event is repaired once it has been silent.
   */
  repairLost(isLost: (instanceId: string) => boolean): void;
}

/**
 * Shortest interval of the checks while streams run. A loss must be found within half of the 250 ms
 * that a pause may take, and each check adds its interval to that. The checks are made when events
 * arrive: a timer of this interval woke nearly every VM 50 times a second.
 */
const TICK_MS = 20;
/**
 * Time without a check after which a timer makes one, and then one every `TICK_MS` until the next
 * event. A path counts as silent after 50 ms at the earliest, so earlier checks would find nothing.
 * With 40 ms the timer would still run 37 to 44 times a second beside 150 events.
 */
const SILENT_TICK_MS = 60;
/**
 * Time since the last check from which this VM may have been busy meanwhile and may not have read
 * events that have arrived; paths then count as silent after the longest timeout only.
 */
const LATE_TICK_MS = 50;
/** Delay of the first check by a timer from which the same holds. */
const LATE_TIMER_MS = 10;
/** Share of the route's target gap after which a silent path is probed. */
const GAP_SHARE = 0.75;
/**
 * Longest share of the target gap after which the designated VM is asked to probe a silent path on
 * behalf of all entries. It is smaller than `GAP_SHARE`, so that this shared probe is over before
 * this entry starts its own.
 */
const PROBE_REQUEST_GAP_SHARE = 0.4;
/** Share of the route's target latency after which a path without a first event is probed. */
const FIRST_EVENT_SHARE = 0.6;
/**
 * Share of the silence limit by which the last event of another stream must be newer for the path
 * to count as active. All streams of a lost path fall silent within a fraction of the limit.
 */
const ACTIVE_PATH_SHARE = 0.5;
/** Interval at which changed engines and streams are looked at for moves. */
const PLAN_INTERVAL_MS = 100;
/**
 * Age up to which the last event of a stream refutes what other VMs say of its engines. A loss is
 * reported after `MIN_TIMEOUT_MS` of silence at the earliest, see `pathSilence`.
 */
const FRESH_EVENT_MS = 40;
/** Silence from which a stream over a direct connection of a partitioned VM is resumed. */
const LINK_SILENCE_MS = 150;
/** Pause before the next check of a stream; it doubles with each check that finds nothing. */
const RECHECK_MS = 300;
const MAX_RECHECK_MS = 1200;
/** A connection within a region takes 2 ms; lost packets, up to 10 %, are resent after 200 ms. */
const FIRST_CONNECT_TIMEOUT_MS = 120;
const SECOND_CONNECT_TIMEOUT_MS = 250;
const REPORT_TIMEOUT_MS = 300;
const REPAIR_TIMEOUT_MS = 400;
/** Time for which a probe is reused, as the streams of a lost engine fall silent together. */
const PROBE_REUSE_MS = 400;
const MAX_REPAIR_ATTEMPTS = 3;
/**
 * Expected number of entries that probe a lost engine at the same time. The first entry that finds
 * it lost informs all others within milliseconds; if all entries probed, the connections would cost
 * more than the loss.
 */
const PROBING_ENTRIES = 12;

/** Result of moving a stream off an engine that leaves; a label of the metric. */
type MoveOutcome = 'moved' | 'refused' | 'no-path' | 'lost';

/** Result of probing an engine: this VM reaches it, or what others say of it. */
type Reachability = 'reachable' | LossVerdict;

const NO_PATHS: StreamRepairPaths = {
  confirmLoss: () => Promise.resolve('lost'),
  recordUnreachable: () => {},
  isPartitioned: false,
};

/** A probe of an engine, which is reused for `PROBE_REUSE_MS`. */
interface CachedProbe<Result> {
  readonly atMs: number;
  readonly result: Promise<Result>;
}

export function createStreamRepair(options: StreamRepairOptions): StreamRepair {
  const { context, streams, chains, suspect, avoid, onLost = () => {} } = options;
  const { clock, log, metrics, operations, random, view, quarantine } = context;
  const { migration, paths: serverPaths = NO_PATHS } = options;
  const reachability = new Map<string, CachedProbe<Reachability>>();
  const paths = createPathSilence(clock);
  const { schedule = scheduleTimer } = options;
  let isWatching = false;
  let tickedAtMs = Number.NEGATIVE_INFINITY;
  /** Revision of the routing view for which moves were planned; null to plan them again. */
  let plannedRevision: number | null = null;
  let plannedAtMs = Number.NEGATIVE_INFINITY;
  let isMoving = false;
  /** Time at which the designated VM was last asked to probe a path, by path key. */
  const probeRequestedAtMs = new Map<string, number>();
  /** Reported losses that recent events refuted; they are looked at again with each tick. */
  let refuted: ((instanceId: string) => boolean) | null = null;
  let probeDraw = { untilMs: Number.NEGATIVE_INFINITY, isProbing: true };

  /**
   * Tries a second, new connection, so that one lost packet does not make an engine a suspect, and
   * asks other VMs meanwhile.
   */
  async function probe(address: string): Promise<Reachability> {
    const connects = (timeoutMs: number): Promise<boolean> =>
      operations.isReachable(address, timeoutMs).catch(() => false);
    if (await connects(FIRST_CONNECT_TIMEOUT_MS)) return 'reachable';
    const confirmed = serverPaths.confirmLoss(address);
    if (await connects(SECOND_CONNECT_TIMEOUT_MS)) return 'reachable';
    const verdict = await confirmed;
    if (verdict === 'unreachable') serverPaths.recordUnreachable(address, 'probe-failed');
    return verdict;
  }

  function findReachability(address: string): Promise<Reachability> {
    const nowMs = clock.nowMs();
    const known = reachability.get(address);
    if (known && nowMs - known.atMs < PROBE_REUSE_MS) return known.result;
    const result = probe(address);
    reachability.set(address, { atMs: nowMs, result });
    return result;
  }

  function instanceAt(address: string, stages: readonly PathStage[]): string | undefined {
    return stages.find((stage) => stage.address === address)?.id;
  }

  function markLost(row: StreamRow, id: string, evidence: string): void {
    row.lostIds.add(id);
    onLost(row, id);
    suspect(id, evidence);
  }

  async function findLostEngines(row: StreamRow): Promise<void> {
    const checks = await Promise.all(
      row.stages.map(async (stage) => ({
        stage,
        result: await findReachability(stage.address),
      })),
    );
    checks
      .filter(({ result }) => result === 'lost')
      .forEach(({ stage }) => markLost(row, stage.id, 'no-connection'));
    row.checks += 1;
    const [head] = row.stages;
    // The engines reach each other; only the way from this VM to the first one matters to it.
    if (row.lostIds.size === 0 && checks[0]?.result === 'unreachable') {
      row.abort('link-lost');
      return;
    }
    // A report costs as much as a request and lags, so it is read only for faults that connection
    // attempts do not reveal.
    if (row.lostIds.size > 0 || row.checks === 1 || !head) return;
    const target: BackendTarget = { instanceId: head.id, address: head.address };
    const { stalled } = await operations.report(target, REPORT_TIMEOUT_MS);
    stalled
      .filter(({ requestId }) => requestId === row.admitted.request.id)
      .forEach(({ address }) => {
        const id = instanceAt(address, row.stages);
        if (id !== undefined) markLost(row, id, 'stalled');
      });
  }

  const describePath = (stages: readonly PathStage[]): readonly string[] =>
    stages.map(({ id, firstLayer, endLayer }) => `${id}=${firstLayer}-${endLayer}`);

  /** Records the path that a stream runs over now. */
  function changePath(row: StreamRow, stages: readonly PathStage[]): void {
    row.stages = stages;
    row.lastCheckAtMs = clock.nowMs();
  }

  /**
   * Engines that a new path of a run must not use. These include the engines of the other run of
   * the same request during a handover: an engine could not tell the two apart, as they have the
   * same request id.
   */
  function listExcluded(row: StreamRow, avoidedIds: readonly string[] = []): ReadonlySet<string> {
    const others = [...streams.list()].filter(
      (other) => other !== row && other.admitted.request.id === row.admitted.request.id,
    );
    const usedByOthers = others.flatMap((other) => [...enginesOf(other)]);
    return new Set([...row.lostIds, ...avoidedIds, ...usedByOthers]);
  }

  /** Orders the head to run a stream over another path. */
  async function orderPath(row: StreamRow, head: PathStage, stages: readonly PathStage[]) {
    const target: BackendTarget = { instanceId: head.id, address: head.address };
    const { orderedStages: before } = row;
    row.orderedStages = [...before, ...stages];
    const { id } = row.admitted.request;
    const outcome = await operations.repair(target, id, stages, REPAIR_TIMEOUT_MS);
    if (outcome.kind === 'repaired') row.orderedStages = [];
    else if (outcome.kind !== 'failed') row.orderedStages = before;
    return outcome;
  }

  function isRunning(row: StreamRow): boolean {
    return row.abortReason === null && [...streams.list()].includes(row);
  }

  async function repairRow(row: StreamRow): Promise<void> {
    const { admitted, model } = row;
    const { request, service } = admitted;
    const [head] = row.stages;
    if (!head || row.lostIds.has(head.id)) {
      row.abort('head-lost');
      return;
    }
    for (let attempt = 0; attempt < MAX_REPAIR_ATTEMPTS; attempt += 1) {
      const stages = chains.repair(service, model, row.stages, listExcluded(row));
      if (!stages) break;
      const outcome = await orderPath(row, head, stages);
      log.info('stream-repair', {
        requestId: request.id,
        lost: [...row.lostIds],
        path: describePath(stages),
        outcome: outcome.kind,
        problem: outcome.kind === 'failed' ? outcome.problem : undefined,
        silentMs: Math.round(clock.nowMs() - row.lastProgressAtMs),
        factsAgeMs: Math.round(context.factsAgeMs()),
      });
      if (outcome.kind === 'repaired') {
        changePath(row, stages);
        return;
      }
      if (!isRunning(row)) return;
      const unfit =
        outcome.kind === 'unfit' ? instanceAt(outcome.address ?? '', stages) : undefined;
      if (unfit === undefined || unfit === head.id) break;
      row.lostIds.add(unfit);
      avoid(unfit);
    }
    row.abort('no-repair');
  }

  function startRepair(row: StreamRow): void {
    // A check or a move may end after its stream, whose head must then get no further order.
    if (row.isRepairing || !isRunning(row)) return;
    if (quarantine.has(contentOf(row.admitted))) {
      row.abort('quarantined');
      return;
    }
    row.isRepairing = true;
    repairRow(row)
      .catch((error: unknown) => {
        log.warn('stream-repair-failed', {
          requestId: row.admitted.request.id,
          problem: String(error),
        });
        row.abort('no-repair');
      })
      .finally(() => {
        row.isRepairing = false;
      });
  }

  /** Orders a move; an order without an answer is repeated once, as it may have been executed. */
  async function orderMove(row: StreamRow, head: PathStage, stages: readonly PathStage[]) {
    const outcome = await orderPath(row, head, stages);
    if (outcome.kind !== 'failed' || !isRunning(row)) return outcome;
    return orderPath(row, head, stages);
  }

  function recordMove(due: DueMove, outcome: MoveOutcome, path: readonly string[]): void {
    const { row, leavingId, announcedAtMs } = due;
    metrics.count('spoolplank_stream_migrations_total', { outcome });
    log.info('stream-migrated', {
      requestId: row.admitted.request.id,
      leaving: leavingId,
      path,
      outcome,
      silentMs: Math.round(clock.nowMs() - row.lastProgressAtMs),
      factAgeMs: Math.round(clock.nowMs() - announcedAtMs),
    });
  }

  /** Moves a stream off an engine that leaves. A stream that cannot be moved stays on its path. */
  async function move(due: DueMove): Promise<void> {
    const { row, leavingId, avoidedIds } = due;
    const [head] = row.stages;
    const excluded = listExcluded(row, avoidedIds);
    const stages = chains.repair(row.admitted.service, row.model, row.stages, excluded);
    let outcome: MoveOutcome = 'no-path';
    if (head && stages) {
      const { kind, ...details } = await orderMove(row, head, stages);
      outcome = kind === 'repaired' ? 'moved' : 'refused';
      if (kind === 'repaired') changePath(row, stages);
      if (kind === 'unknown-request') migration?.giveUp(due);
      const unfit = 'address' in details ? instanceAt(details.address ?? '', stages) : undefined;
      if (unfit !== undefined && unfit !== head.id) avoid(unfit);
    }
    // A stream that ended during the move is unknown to its head.
    if (outcome !== 'moved' && !isRunning(row)) return;
    if (outcome !== 'moved' && row.lostIds.has(leavingId)) outcome = 'lost';
    recordMove(due, outcome, describePath(row.stages));
  }

  /** Hands a stream over to a new run on another chain, as its head leaves. */
  async function restart(due: DueMove): Promise<void> {
    const end = (await options.handOver?.(due.row)) ?? null;
    if (end) recordMove(due, end.outcome, end.path);
  }

  function recordMoveFailure({ row }: DueMove, error: unknown): void {
    const requestId = row.admitted.request.id;
    log.warn('stream-migration-failed', { requestId, problem: String(error) });
  }

  function startMove(due: DueMove): void {
    const { row } = due;
    if (quarantine.has(contentOf(row.admitted))) return;
    if (due.isHead) {
      row.isHandingOver = true;
      restart(due)
        .catch((error: unknown) => recordMoveFailure(due, error))
        .finally(() => {
          row.isHandingOver = false;
        });
      return;
    }
    isMoving = true;
    row.isRepairing = true;
    move(due)
      .catch((error: unknown) => recordMoveFailure(due, error))
      .finally(() => {
        isMoving = false;
        row.isRepairing = false;
        // An engine of the path may have been found lost during the move.
        if (row.stages.some(({ id }) => row.lostIds.has(id))) startRepair(row);
      });
  }

  /** Moves streams off engines that leave, at most one at a time to another path. */
  function migrateDue(nowMs: number): void {
    if (!migration) return;
    if (nowMs - plannedAtMs >= PLAN_INTERVAL_MS) {
      plannedAtMs = nowMs;
      const { revision } = view;
      if (revision !== plannedRevision) migration.plan(streams.list());
      plannedRevision = revision;
    }
    const due = isMoving ? undefined : migration.takeDue(streams.list());
    if (due) startMove(due);
  }

  /**
   * Whether this entry is among those that probe now. This is drawn at random again when cached
   * probes expire.
   */
  function isProbing(nowMs: number): boolean {
    if (nowMs >= probeDraw.untilMs) {
      const entries = Math.max(1, view.listMembers('entry').length);
      probeDraw = {
        untilMs: nowMs + PROBE_REUSE_MS,
        isProbing: random.nextInt(entries) < PROBING_ENTRIES,
      };
    }
    return probeDraw.isProbing;
  }

  async function check(row: StreamRow): Promise<void> {
    row.isChecking = true;
    try {
      await findLostEngines(row);
    } catch (error) {
      // The connection was accepted but the report failed; the next probe decides.
      log.info('stream-check-failed', {
        requestId: row.admitted.request.id,
        problem: String(error),
      });
    } finally {
      row.isChecking = false;
      row.lastCheckAtMs = clock.nowMs();
    }
    if (row.lostIds.size > 0) startRepair(row);
  }

  /** Whether a stream waits for bytes over a link that is cut. */
  function isLinkLost(row: StreamRow, nowMs: number): boolean {
    const isSilent = nowMs - row.lastProgressAtMs > LINK_SILENCE_MS;
    return serverPaths.isPartitioned && row.isRelayed === false && isSilent;
  }

  /**
   * Whether a stream has been silent for long enough to probe its path. A lost engine stops all
   * streams of its path at once, so a single silent stream on an active path is just slow.
   */
  function isSilentTooLong(row: StreamRow, nowMs: number, lastPathEventMs: number): boolean {
    const { targetGapMs, targetLatencyMs } = row.admitted.route;
    const limitMs = row.hasBegun ? targetGapMs * GAP_SHARE : targetLatencyMs * FIRST_EVENT_SHARE;
    if (lastPathEventMs - row.lastProgressAtMs > limitMs * ACTIVE_PATH_SHARE) return false;
    const recheckMs = Math.min(MAX_RECHECK_MS, RECHECK_MS * 2 ** Math.max(0, row.checks - 1));
    return nowMs - row.lastProgressAtMs > limitMs && nowMs - row.lastCheckAtMs > recheckMs;
  }

  /** An event has passed all engines of its path. */
  function hasFreshEvent({ hasBegun, lastProgressAtMs }: StreamRow): boolean {
    return hasBegun && clock.nowMs() - lastProgressAtMs < FRESH_EVENT_MS;
  }

  function repairRows(rows: Iterable<StreamRow>, isLost: (instanceId: string) => boolean): void {
    for (const row of rows) {
      const lost = row.stages.filter(({ id }) => !row.lostIds.has(id) && isLost(id));
      lost.forEach(({ id }) => {
        row.lostIds.add(id);
        onLost(row, id);
      });
      if (lost.length > 0) startRepair(row);
    }
  }

  function repairLost(isLost: (instanceId: string) => boolean): void {
    const rows = [...streams.list()];
    const isAffected = ({ lostIds, stages }: StreamRow) =>
      stages.some(({ id }) => !lostIds.has(id) && isLost(id));
    const hasRefuted = rows.some((row) => hasFreshEvent(row) && isAffected(row));
    refuted = hasRefuted ? isLost : null;
    repairRows(
      rows.filter((row) => !hasFreshEvent(row)),
      isLost,
    );
  }

  /** Requests a probe of the engines of a silent path and repairs the streams over lost ones. */
  async function requestProbeOf({ stages, dataCentre }: StreamRow): Promise<void> {
    const engines = stages.map(({ id, address }) => ({ instanceId: id, address }));
    const lost = await options.requestProbe(dataCentre, engines);
    if (!lost || lost.length === 0) return;
    repairLost((id) => lost.includes(id));
    lost.forEach((id) => suspect(id, 'no-connection'));
  }

  /**
   * Whether the path of a started stream is silent and no probe was requested since. A request that
   * was made before the longest timeout is repeated once after it: too few VMs may have agreed, as
   * the timeouts of their paths differ.
   */
  function isProbeRequestDue(
    row: StreamRow,
    nowMs: number,
    lastPathEventMs: number,
    isLate: boolean,
  ): boolean {
    if (!row.hasBegun) return false;
    const key = paths.keyOf(row.stages);
    const { targetGapMs } = row.admitted.route;
    const longestMs = targetGapMs * PROBE_REQUEST_GAP_SHARE;
    const silentMs = nowMs - lastPathEventMs;
    const requestedAfterMs =
      (probeRequestedAtMs.get(key) ?? Number.NEGATIVE_INFINITY) - lastPathEventMs;
    if (silentMs > longestMs) return requestedAfterMs <= longestMs;
    return !isLate && requestedAfterMs < 0 && silentMs > paths.timeoutMs(key, targetGapMs);
  }

  function pruneProbeRequests(newest: ReadonlyMap<string, number>): void {
    probeRequestedAtMs.forEach((_, key) => {
      if (!newest.has(key)) probeRequestedAtMs.delete(key);
    });
  }

  function tick(lateAfterMs = LATE_TICK_MS): void {
    const nowMs = clock.nowMs();
    const isLate = nowMs - tickedAtMs > lateAfterMs;
    tickedAtMs = nowMs;
    if (refuted) repairLost(refuted);
    const newest = paths.lastEventByPath(streams.list());
    pruneProbeRequests(newest);
    for (const row of streams.list()) {
      const lastPathEventMs = newest.get(paths.keyOf(row.stages)) ?? Number.NEGATIVE_INFINITY;
      if (isLinkLost(row, nowMs)) row.abort('link-lost');
      const isBusy = row.isChecking || row.isRepairing || row.isPaused || row.abortReason !== null;
      if (!isBusy && isProbeRequestDue(row, nowMs, lastPathEventMs, isLate)) {
        probeRequestedAtMs.set(paths.keyOf(row.stages), nowMs);
        void requestProbeOf(row);
      }
      const isDue = !isBusy && isSilentTooLong(row, nowMs, lastPathEventMs);
      if (isDue && isProbing(nowMs)) void check(row);
    }
    migrateDue(nowMs);
  }

  function hasStreams(): boolean {
    return !streams.list()[Symbol.iterator]().next().done;
  }

  /** Checks when no event has caused a check for `intervalMs`. */
  function watchNext(intervalMs: number): void {
    if (!hasStreams()) {
      isWatching = false;
      return;
    }
    const ageMs = clock.nowMs() - tickedAtMs;
    // Timers may run up to 1 ms early.
    const isSilent = ageMs > intervalMs - 1;
    if (isSilent) tick(Math.max(LATE_TICK_MS, intervalMs + LATE_TIMER_MS));
    const nextMs = isSilent ? TICK_MS : SILENT_TICK_MS;
    schedule(() => watchNext(nextMs), isSilent ? nextMs : nextMs - ageMs);
  }

  return {
    probeAfterFailure(instanceId, address) {
      void findReachability(address).then((result) => {
        if (result === 'lost') suspect(instanceId, 'connection-failed');
      });
    },
    isServerLost: async (address) => (await findReachability(address)) === 'lost',
    // A partitioned VM cannot tell, and would wait for the timeouts of its connections.
    isServerLostNow: async (address) =>
      !serverPaths.isPartitioned && (await probe(address)) === 'lost',
    tick,
    recordEvent() {
      if (clock.nowMs() - tickedAtMs >= TICK_MS) tick();
    },
    watch() {
      plannedRevision = null;
      if (isWatching) return;
      isWatching = true;
      tickedAtMs = clock.nowMs();
      schedule(() => watchNext(SILENT_TICK_MS), SILENT_TICK_MS);
    },
    repairLost(isLost) {
      repairLost(isLost);
      // Reading the revision refreshes the routing view, so that the next choice of a chain
      // excludes the lost engines.
      void view.revision;
    },
  };
}
