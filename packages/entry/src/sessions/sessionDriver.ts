/** Drives a session over chains of engines until its answer is whole. */
import { delay } from '@spoolplank/node';
import type { Chain } from '@spoolplank/routing';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import type { Clock } from '@spoolplank/shared';
import { recordSent, recordRejection, retryAfterMs } from './backendServers';
import { createChainFinder } from './chainFinder';
import type { ChainFinder } from './chainFinder';
import { openEngineStream } from './engineStream';
import type { EngineStream } from './engineStream';
import type { EntryContext } from './entryContext';
import type { SessionReplication } from './sessionReplication';
import type { SessionRecord } from './sessionStore';
import { relayTokens } from './tokenRelay';
import type { AttemptFailure, TokenSink } from './tokenRelay';

export interface DriveOptions {
  readonly context: EntryContext;
  readonly replication: SessionReplication;
  readonly record: SessionRecord;
  readonly layers: number;
  readonly sink: TokenSink;
  /** Aborted when the caller has gone or the deadline has passed. */
  readonly signal: AbortSignal;
}

const NO_CHAIN_WAIT_MS = 8000;
const NO_CHAIN_POLL_MS = 50;
const RETRY_AFTER_MS = 2000;
/** Least time between two moves away from slow chains, so that sessions do not wander. */
const SLOW_MOVE_INTERVAL_MS = 5000;

interface PermittedChain {
  readonly chain: Chain | undefined;
  /** Of the first engines that named a limit, the first turn; undefined where none did. */
  readonly retryInMs: number | undefined;
}

/** A chain whose first engine may be sent the session now. */
async function findPermitted(context: EntryContext, finder: ChainFinder): Promise<PermittedChain> {
  const { limits, directorySync } = context;
  const unpermitted = new Set<string>();
  const retriesInMs: number[] = [];
  for (;;) {
    const chain = finder.find(unpermitted);
    const retryInMs = retriesInMs.length > 0 ? Math.min(...retriesInMs) : undefined;
    const head = chain?.stages[0]?.name ?? '';
    const server = directorySync.directory.findLive(head)?.announcement;
    if (!chain || !server) return { chain, retryInMs };
    const permit = await limits.take(server);
    if (permit.isPermitted) return { chain, retryInMs };
    unpermitted.add(head);
    retriesInMs.push(permit.retryInMs);
  }
}

async function waitForChain(
  { context, record, signal }: DriveOptions,
  finder: ChainFinder,
): Promise<Chain> {
  const untilMs = context.clock.nowMs() + NO_CHAIN_WAIT_MS;
  for (;;) {
    const { chain, retryInMs } = await findPermitted(context, finder);
    if (chain) return chain;
    // With nothing sent yet the caller is better off elsewhere than waiting here.
    const canWait = record.tokens.length > 0 && context.clock.nowMs() < untilMs && !signal.aborted;
    if (!canWait) {
      throw new SpoolplankError('no-backend-server', {
        retryAfterMs: retryInMs ?? retryAfterMs(context, record.request.model, RETRY_AFTER_MS),
        outcome: record.attempt === 0 ? 'not-run' : 'unknown',
        detail: 'No chain of engines holds every layer.',
      });
    }
    await delay(NO_CHAIN_POLL_MS);
  }
}

/** Decides when a session leaves a chain that became slow, and not again too soon. */
function createSlowMoves(finder: ChainFinder, clock: Clock) {
  let lastMs = Number.NEGATIVE_INFINITY;
  return {
    shouldMove(chain: Chain, gapMs: number): boolean {
      if (clock.nowMs() - lastMs <= SLOW_MOVE_INTERVAL_MS) return false;
      if (!finder.hasQuicker(chain, gapMs)) return false;
      lastMs = clock.nowMs();
      return true;
    },
  };
}

async function openAndRelay(
  options: DriveOptions,
  chain: Chain,
  isBetterElsewhere: (gapMs: number) => boolean,
): Promise<AttemptFailure | null> {
  const { context, record, replication, layers, sink, signal } = options;
  let stream: EngineStream;
  const head = chain.stages[0]?.name ?? '';
  const server = context.directorySync.directory.findLive(head)?.announcement;
  recordSent(context, head);
  const sentAtMs = context.clock.steadyMs();
  try {
    stream = await openEngineStream(record, chain, {
      onTurnedAway: (answer) => recordRejection(context, head, answer),
      onLimit: (header) => server && context.limits.recordAnswer(server, header, sentAtMs),
    });
  } catch (thrown) {
    const blamed = chain.stages.slice(0, 1).map(({ name }) => name);
    return { reason: toSpoolplankError(thrown).message, blamed };
  }
  const onProgress = () => replication.record(record);
  try {
    return await relayTokens({
      context,
      record,
      layers,
      chain,
      stream,
      sink,
      signal,
      onProgress,
      isBetterElsewhere,
    });
  } finally {
    stream.cancel();
  }
}

async function runAttempt(
  options: DriveOptions,
  chain: Chain,
  isBetterElsewhere: (gapMs: number) => boolean,
): Promise<AttemptFailure | null> {
  const { loads, clock } = options.context;
  const startedMs = clock.nowMs();
  chain.stages.forEach(({ name }) => loads.start(name));
  let failure: AttemptFailure | null = null;
  try {
    failure = await openAndRelay(options, chain, isBetterElsewhere);
    return failure;
  } finally {
    const nowMs = clock.nowMs();
    chain.stages.forEach(({ name }) => {
      const isFailure = failure?.blamed.includes(name) ?? false;
      loads.finish(name, { isFailure, durationMs: nowMs - startedMs, nowMs });
    });
  }
}

/**
 * Drives a session until every token was passed on, or `signal` is aborted.
 *
 * @throws SpoolplankError `no-backend-server` when no chain could be found in time, or what
 * the sink threw.
 */
export async function driveSession(options: DriveOptions): Promise<void> {
  const { context, record, layers, replication, signal } = options;
  const { metrics, logger, clock } = context;
  const finder = createChainFinder(context, record, layers);
  const slowMoves = createSlowMoves(finder, clock);
  while (!signal.aborted && !record.isDone && record.tokens.length < record.request.maxTokens) {
    const chain = await waitForChain(options, finder);
    record.attempt += 1;
    record.version = chain.version;
    replication.record(record);
    const isBetterElsewhere = (gapMs: number) => slowMoves.shouldMove(chain, gapMs);
    const failure = await runAttempt(options, chain, isBetterElsewhere);
    if (!failure) break;
    const failedAtMs = clock.nowMs();
    const blamed = await finder.blame(failure, chain);
    metrics.count('spoolplank_session_moves_total');
    metrics.observe('spoolplank_session_blame_ms', clock.nowMs() - failedAtMs);
    logger.warn('session-moved', {
      session: record.id,
      attempt: record.attempt,
      reason: failure.reason,
      blamed: blamed.join(','),
    });
  }
  if (signal.aborted) return;
  record.isDone = true;
  replication.record(record);
}
