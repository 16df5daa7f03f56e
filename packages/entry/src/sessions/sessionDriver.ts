/** Runs a session over chains of engines, with failover, until its answer is complete. */
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
  /** Aborted when the caller has disconnected or the deadline has passed. */
  readonly signal: AbortSignal;
}

const MAX_CHAIN_WAIT_MS = 8000;
const CHAIN_POLL_INTERVAL_MS = 50;
const DEFAULT_RETRY_AFTER_MS = 2000;
/** Minimum time between two moves away from slow chains, so that a session does not oscillate. */
const MIN_SLOW_MOVE_INTERVAL_MS = 5000;

interface PermittedChain {
  readonly chain: Chain | undefined;
  /**
   * Shortest retry delay of the first engines that refused a permit; undefined where none did.
   */
  readonly retryInMs: number | undefined;
}

/** Finds a chain whose first engine grants a permit for the session. */
async function findPermittedChain(
  context: EntryContext,
  finder: ChainFinder,
): Promise<PermittedChain> {
  const { limits, directorySync } = context;
  const withoutPermit = new Set<string>();
  const retryDelaysMs: number[] = [];
  for (;;) {
    const chain = finder.find(withoutPermit);
    const retryInMs = retryDelaysMs.length > 0 ? Math.min(...retryDelaysMs) : undefined;
    const firstEngine = chain?.stages[0]?.name ?? '';
    const server = directorySync.directory.findAvailable(firstEngine)?.announcement;
    if (!chain || !server) return { chain, retryInMs };
    const permit = await limits.take(server);
    if (permit.isPermitted) return { chain, retryInMs };
    withoutPermit.add(firstEngine);
    retryDelaysMs.push(permit.retryInMs);
  }
}

async function waitForChain(
  { context, record, signal }: DriveOptions,
  finder: ChainFinder,
): Promise<Chain> {
  const waitUntilMs = context.clock.nowMs() + MAX_CHAIN_WAIT_MS;
  for (;;) {
    const { chain, retryInMs } = await findPermittedChain(context, finder);
    if (chain) return chain;
    // Before the first token, the caller can still retry on another VM, so it is rejected at once.
    const canWait =
      record.tokens.length > 0 && context.clock.nowMs() < waitUntilMs && !signal.aborted;
    if (!canWait) {
      throw new SpoolplankError('no-backend-server', {
        retryAfterMs:
          retryInMs ?? retryAfterMs(context, record.request.model, DEFAULT_RETRY_AFTER_MS),
        outcome: record.attempt === 0 ? 'not-run' : 'unknown',
        detail: 'No chain of engines covers every layer.',
      });
    }
    await delay(CHAIN_POLL_INTERVAL_MS);
  }
}

/** Decides when a session leaves a degraded chain, with a minimum interval between moves. */
function createSlowChainPolicy(finder: ChainFinder, clock: Clock) {
  let lastMoveMs = Number.NEGATIVE_INFINITY;
  return {
    shouldMove(chain: Chain, gapMs: number): boolean {
      if (clock.nowMs() - lastMoveMs <= MIN_SLOW_MOVE_INTERVAL_MS) return false;
      if (!finder.hasFasterAlternative(chain, gapMs)) return false;
      lastMoveMs = clock.nowMs();
      return true;
    },
  };
}

async function openAndRelay(
  options: DriveOptions,
  chain: Chain,
  hasFasterChain: (gapMs: number) => boolean,
): Promise<AttemptFailure | null> {
  const { context, record, replication, layers, sink, signal } = options;
  let stream: EngineStream;
  const firstEngine = chain.stages[0]?.name ?? '';
  const server = context.directorySync.directory.findAvailable(firstEngine)?.announcement;
  recordSent(context, firstEngine);
  const sentAtMs = context.clock.steadyMs();
  try {
    stream = await openEngineStream(record, chain, {
      onRejected: (answer) => recordRejection(context, firstEngine, answer),
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
      hasFasterChain,
    });
  } finally {
    stream.cancel();
  }
}

async function runAttempt(
  options: DriveOptions,
  chain: Chain,
  hasFasterChain: (gapMs: number) => boolean,
): Promise<AttemptFailure | null> {
  const { loads, clock } = options.context;
  const startedMs = clock.nowMs();
  chain.stages.forEach(({ name }) => loads.start(name));
  let failure: AttemptFailure | null = null;
  try {
    failure = await openAndRelay(options, chain, hasFasterChain);
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
 * Runs a session until every token was relayed, or `signal` is aborted.
 *
 * @throws SpoolplankError `no-backend-server` when no chain could be found in time, or the error
 * that the sink threw.
 */
export async function driveSession(options: DriveOptions): Promise<void> {
  const { context, record, layers, replication, signal } = options;
  const { metrics, logger, clock } = context;
  const finder = createChainFinder(context, record, layers);
  const slowChainPolicy = createSlowChainPolicy(finder, clock);
  while (!signal.aborted && !record.isDone && record.tokens.length < record.request.maxTokens) {
    const chain = await waitForChain(options, finder);
    record.attempt += 1;
    record.version = chain.version;
    replication.record(record);
    const hasFasterChain = (gapMs: number) => slowChainPolicy.shouldMove(chain, gapMs);
    const failure = await runAttempt(options, chain, hasFasterChain);
    if (!failure) break;
    const failedAtMs = clock.nowMs();
    const blamed = await finder.excludeFailed(failure, chain);
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
