/** Validates and relays the tokens of one attempt, and detects when the chain stalls. */
import { findLineageProblem } from '@spoolplank/routing';
import type { Chain } from '@spoolplank/routing';
import type { EngineStream, StreamLine } from './engineStream';
import type { EntryContext } from './entryContext';
import type { SessionRecord, SessionToken } from './sessionStore';
import { createChainFailureDetector } from './chainFailureDetector';
import { findSilentStages } from './stageProbe';

/** Receives the relayed tokens. */
export interface TokenSink {
  /** Takes a validated token; returns false to apply backpressure. */
  onToken(token: SessionToken, position: number): boolean;
  /** Resolves when the sink can take more tokens. */
  drained(): Promise<void>;
}

/** Why an attempt ended before the answer was complete. */
export interface AttemptFailure {
  readonly reason: string;
  /** Engines known to be at fault. */
  readonly blamed: readonly string[];
}

export interface TokenRelayOptions {
  readonly context: EntryContext;
  readonly record: SessionRecord;
  readonly layers: number;
  readonly chain: Chain;
  readonly stream: EngineStream;
  readonly sink: TokenSink;
  readonly signal: AbortSignal;
  /** Called after the record has grown. */
  readonly onProgress: () => void;
  /** Whether another chain is estimated to be much faster than this interval between tokens. */
  readonly hasFasterChain: (gapMs: number) => boolean;
}

type TokenLine = Extract<StreamLine, { readonly kind: 'token' }>;

const CHECK_INTERVAL_MS = 25;
/** Approximate number of prompt characters per token. */
const CHARACTERS_PER_TOKEN = 4;

/**
 * Relays tokens until the answer is complete or the caller has disconnected (null), or the attempt
 * fails.
 */
export function relayTokens(options: TokenRelayOptions): Promise<AttemptFailure | null> {
  const { context, record, layers, chain, stream, sink, signal, onProgress } = options;
  const { hasFasterChain } = options;
  const { clock, metrics } = context;
  const prefillTokens = record.request.prompt.length / CHARACTERS_PER_TOKEN + record.tokens.length;
  const { estimatedStepMs } = chain;
  const stallDetector = createChainFailureDetector({ clock, estimatedStepMs, prefillTokens });
  const stageNames = chain.stages.map(({ name }) => name);

  return new Promise((resolve, reject) => {
    let isSettled = false;
    let isProbing = false;
    let hasProbed = false;
    let isPausedForCaller = false;
    let timer: NodeJS.Timeout | undefined;

    function finish(result: AttemptFailure | null): void {
      if (isSettled) return;
      isSettled = true;
      clearInterval(timer);
      resolve(result);
    }

    function relayToken(line: TokenLine): boolean {
      const problem = findLineageProblem(line, record.tokens.length, chain.stages, layers);
      if (problem) {
        metrics.count('spoolplank_lineage_problems_total', { problem });
        finish({ reason: `invalid token: ${problem}`, blamed: stageNames });
        return false;
      }
      stallDetector.observe();
      hasProbed = false;
      const token = { tokenId: line.tokenId, text: line.text };
      record.tokens.push(token);
      onProgress();
      return sink.onToken(token, line.position);
    }

    function pauseForCaller(): void {
      isPausedForCaller = true;
      sink
        .drained()
        .then(() => {
          isPausedForCaller = false;
          stallDetector.restart();
          stream.resume();
        })
        .catch(reject);
    }

    function handleLine(line: StreamLine): boolean {
      if (isSettled) return false;
      if (line.kind === 'end') {
        const isComplete =
          line.reason === 'stop' || record.tokens.length >= record.request.maxTokens;
        // An early end is a fault of the chain, but it does not show which stage caused it.
        finish(isComplete ? null : { reason: 'the answer ended early', blamed: [] });
        return true;
      }
      if (line.kind === 'problem') {
        const blamed = stageNames.filter((name) => line.problem.startsWith(`${name} `));
        finish({ reason: line.problem, blamed });
        return true;
      }
      const canTakeMore = relayToken(line);
      if (!canTakeMore && !isSettled && !isPausedForCaller) pauseForCaller();
      return canTakeMore;
    }

    /** Probes a chain that is late. If all its stages answer, it is busy and gets more time. */
    async function probe(): Promise<void> {
      isProbing = true;
      const position = record.tokens.length;
      const silent = await findSilentStages(chain.stages);
      isProbing = false;
      hasProbed = true;
      if (record.tokens.length > position) return;
      if (silent.length > 0) {
        finish({ reason: 'a stage does not answer', blamed: silent.map(({ name }) => name) });
      } else metrics.count('spoolplank_busy_chains_total');
    }

    function checkProgress(): void {
      if (signal.aborted) {
        finish(null);
        return;
      }
      const degradedGapMs = stallDetector.degradedGapMs();
      if (degradedGapMs !== undefined && !isPausedForCaller && hasFasterChain(degradedGapMs)) {
        finish({ reason: 'the chain has degraded', blamed: [] });
        return;
      }
      const nowMs = clock.nowMs();
      if (isPausedForCaller || isProbing || nowMs < stallDetector.suspectAtMs()) return;
      if (!hasProbed) probe().catch(reject);
      else if (nowMs >= stallDetector.giveUpAtMs())
        finish({ reason: 'timed out waiting for a token', blamed: [] });
    }

    timer = setInterval(checkProgress, CHECK_INTERVAL_MS);
    signal.addEventListener('abort', () => finish(null), { once: true });
    stream.listen({
      onLine(line) {
        try {
          return handleLine(line);
        } catch (error) {
          isSettled = true;
          clearInterval(timer);
          reject(error);
          return false;
        }
      },
      onEnd: (reason) => finish({ reason, blamed: [] }),
    });
  });
}
