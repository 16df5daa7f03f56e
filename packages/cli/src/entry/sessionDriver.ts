/** Drives a session over chains of engines until its answer is whole. */
import type { Announcement } from '@spoolplank/membership';
import { findLineageProblem, selectChain } from '@spoolplank/routing';
import type { Chain } from '@spoolplank/routing';
import { SpoolplankError, toSpoolplankError } from '@spoolplank/shared';
import { listBackendServers } from './backendServers';
import type { EngineStream, StreamLine } from './engineStream';
import { openEngineStream } from './engineStream';
import type { EntryContext } from './entryContext';
import type { SessionReplication } from './sessionReplication';
import type { SessionRecord, SessionToken } from './sessionStore';
import { createStagePatience } from './stagePatience';
import { findSilentStages } from './stageProbe';

export interface DriveOptions {
  readonly context: EntryContext;
  readonly replication: SessionReplication;
  readonly record: SessionRecord;
  readonly layers: number;
  /** Takes a token that passed every check; waits while the caller cannot take more. */
  readonly onToken: (token: SessionToken, position: number) => Promise<void> | void;
  /** Aborted when the caller has gone or the deadline has passed. */
  readonly signal: AbortSignal;
}

/** Why an attempt ended before the answer was whole. */
interface AttemptFailure {
  readonly reason: string;
  /** Engines that the next attempt leaves out. */
  readonly blamed: readonly string[];
}

const NO_CHAIN_WAIT_MS = 8000;
const NO_CHAIN_POLL_MS = 50;
const RETRY_AFTER_MS = 2000;
/** How long an engine that failed a session is left out of its chains. */
const BLAME_DURATION_MS = 2000;

function waitFor(durationMs: number, signal: AbortSignal): Promise<void> {
  return new Promise((resolve) => {
    const timer = setTimeout(resolve, Math.max(0, durationMs));
    const finish = () => {
      clearTimeout(timer);
      resolve();
    };
    signal.addEventListener('abort', finish, { once: true });
  });
}

/** An engine that failed this session. */
interface Blame {
  /** The run of the engine that failed; the next one is not to blame. */
  readonly incarnation: number;
  /** Whether it gave no answer at all, or was only part of a chain that failed. */
  readonly isSilent: boolean;
  /** A blame ends: one that was only too busy to answer must not stay out for hours. */
  readonly untilMs: number;
}

type Blames = ReadonlyMap<string, Blame>;

function listExcluded(
  announced: readonly Announcement[],
  blames: Blames,
  nowMs: number,
  isStrict: boolean,
): ReadonlySet<string> {
  const isExcluded = ({ name, incarnation }: Announcement) => {
    const blame = blames.get(name);
    if (blame?.incarnation !== incarnation || blame.untilMs <= nowMs) return false;
    return isStrict || blame.isSilent;
  };
  return new Set(announced.filter(isExcluded).map(({ name }) => name));
}

async function findChain(options: DriveOptions, blames: Blames): Promise<Chain> {
  const { context, record, layers, signal } = options;
  const untilMs = context.clock.nowMs() + NO_CHAIN_WAIT_MS;
  for (;;) {
    const announced = listBackendServers(context);
    const select = (isStrict: boolean) =>
      selectChain(
        announced,
        {
          model: record.request.model,
          layers,
          version: record.version,
          excluded: listExcluded(announced, blames, context.clock.nowMs(), isStrict),
          dataCentre: context.settings.vm.dataCentre,
          nowMs: context.clock.nowMs(),
        },
        context.loads,
      );
    // Better a chain with a part that is only under suspicion than none.
    const chain = select(true) ?? select(false);
    if (chain) return chain;
    // With nothing sent yet the caller is better off elsewhere than waiting here.
    const canWait = record.tokens.length > 0 && context.clock.nowMs() < untilMs && !signal.aborted;
    if (!canWait) {
      throw new SpoolplankError('no-backend-server', {
        retryAfterMs: RETRY_AFTER_MS,
        outcome: record.attempt === 0 ? 'not-run' : 'unknown',
        detail: 'No chain of engines holds every layer.',
      });
    }
    await waitFor(NO_CHAIN_POLL_MS, signal);
  }
}

/** The next line, or null when the chain has to be given up. */
async function nextLine(
  iterator: AsyncIterator<StreamLine>,
  chain: Chain,
  patience: ReturnType<typeof createStagePatience>,
  context: EntryContext,
): Promise<{ readonly line: StreamLine } | AttemptFailure> {
  const pending = iterator.next().then(
    (result) =>
      result.done ? { reason: 'stream ended early', blamed: [] } : { line: result.value },
    (error: unknown) => ({ reason: toSpoolplankError(error).message, blamed: [] }),
  );
  let hasProbed = false;
  for (;;) {
    const dueMs = hasProbed ? patience.giveUpAtMs() : patience.suspectAtMs();
    const controller = new AbortController();
    const result = await Promise.race([
      pending,
      waitFor(dueMs - context.clock.nowMs(), controller.signal),
    ]);
    controller.abort();
    if (result) return result;
    if (hasProbed) return { reason: 'no token in time', blamed: [] };
    hasProbed = true;
    const silent = await Promise.race([pending.then(() => []), findSilentStages(chain.stages)]);
    if (silent.length > 0)
      return { reason: 'a stage is silent', blamed: silent.map(({ name }) => name) };
    context.metrics.count('spoolplank_busy_chains_total');
  }
}

function checkToken(
  line: Extract<StreamLine, { kind: 'token' }>,
  options: DriveOptions,
  chain: Chain,
): void {
  const problem = findLineageProblem(
    line,
    options.record.tokens.length,
    chain.stages,
    options.layers,
  );
  if (!problem) return;
  options.context.metrics.count('spoolplank_lineage_problems_total', { problem });
  throw new SpoolplankError('answer-invalid', { detail: problem });
}

/** Passes tokens on until the answer is whole (null) or the attempt fails. */
async function relayTokens(
  options: DriveOptions,
  chain: Chain,
  stream: EngineStream,
): Promise<AttemptFailure | null> {
  const { context, record, replication, onToken, signal } = options;
  const prefillTokens = record.request.prompt.length / 4 + record.tokens.length;
  const patience = createStagePatience({
    clock: context.clock,
    estimatedStepMs: chain.estimatedStepMs,
    prefillTokens,
  });
  const iterator = stream.lines[Symbol.asyncIterator]();
  for (;;) {
    if (signal.aborted) return null;
    const next = await nextLine(iterator, chain, patience, context);
    if (signal.aborted) return null;
    if (!('line' in next)) return next;
    const { line } = next;
    if (line.kind === 'end') return null;
    if (line.kind === 'problem') {
      const blamed = chain.stages
        .filter(({ name }) => line.problem.startsWith(name))
        .map(({ name }) => name);
      return { reason: line.problem, blamed };
    }
    patience.observe();
    checkToken(line, options, chain);
    const token = { tokenId: line.tokenId, text: line.text };
    record.tokens.push(token);
    replication.note(record);
    await onToken(token, line.position);
  }
}

async function runAttempt(options: DriveOptions, chain: Chain): Promise<AttemptFailure | null> {
  const { context, record, signal } = options;
  const { loads, clock } = context;
  const startedMs = clock.nowMs();
  chain.stages.forEach(({ name }) => loads.start(name));
  let blamed: readonly string[] = [];
  let stream: EngineStream | undefined;
  const cancel = () => stream?.cancel();
  signal.addEventListener('abort', cancel, { once: true });
  try {
    stream = await openEngineStream(record, chain);
    const failure = await relayTokens(options, chain, stream);
    if (failure) ({ blamed } = failure);
    return failure;
  } catch (thrown) {
    const error = toSpoolplankError(thrown);
    blamed =
      error.code === 'answer-invalid'
        ? chain.stages.map(({ name }) => name)
        : chain.stages.slice(0, 1).map(({ name }) => name);
    return { reason: error.message, blamed };
  } finally {
    cancel();
    signal.removeEventListener('abort', cancel);
    const durationMs = clock.nowMs() - startedMs;
    chain.stages.forEach(({ name }) =>
      loads.finish(name, { isFailure: blamed.includes(name), durationMs, nowMs: clock.nowMs() }),
    );
  }
}

async function blameFor(
  failure: AttemptFailure,
  chain: Chain,
  context: EntryContext,
): Promise<ReadonlyMap<string, Blame>> {
  const silent = await findSilentStages(chain.stages);
  const silentNames = silent.map(({ name }) => name);
  const known = [...new Set([...failure.blamed, ...silentNames])];
  // When every stage answers, what lies between them must be at fault, so none of it is kept.
  const names = known.length > 0 ? known : chain.stages.map(({ name }) => name);
  return new Map(
    names.map((name) => {
      const row = context.directorySync.directory.findLive(name);
      const incarnation = row?.announcement.incarnation ?? 0;
      const untilMs = context.clock.nowMs() + BLAME_DURATION_MS;
      return [name, { incarnation, isSilent: silentNames.includes(name), untilMs }];
    }),
  );
}

/**
 * Drives a session until every token was passed on.
 *
 * @throws SpoolplankError `no-backend-server` when no chain could be found in time.
 */
export async function driveSession(options: DriveOptions): Promise<void> {
  const { context, record, replication, signal } = options;
  const { metrics, logger } = context;
  const blames = new Map<string, Blame>();
  while (!signal.aborted && record.tokens.length < record.request.maxTokens) {
    const chain = await findChain(options, blames);
    record.attempt += 1;
    record.version = chain.version;
    replication.note(record);
    const failure = await runAttempt(options, chain);
    if (!failure) break;
    const failedAtMs = context.clock.nowMs();
    const blamed = await blameFor(failure, chain, context);
    blamed.forEach((blame, name) => blames.set(name, blame));
    metrics.count('spoolplank_session_moves_total');
    metrics.observe('spoolplank_session_blame_ms', context.clock.nowMs() - failedAtMs);
    logger.warn('session-moved', {
      session: record.id,
      attempt: record.attempt,
      reason: failure.reason,
      blamed: [...blamed.keys()].join(','),
    });
  }
  if (signal.aborted) return;
  record.isDone = true;
  replication.note(record);
}
