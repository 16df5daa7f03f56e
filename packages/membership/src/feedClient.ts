import type { Clock } from '@spoolplank/shared';
import { applyConfirmation, NO_DOCUMENT_VERSION } from './confirmation';
import type { DocumentCache } from './documentCache';
import type { FactTable, FactUpdate } from './factTable';
import type { FeedReply, FeedRequest } from './feed';

interface Versioned {
  readonly version: number;
}

export interface FeedClientOptions<Body, Document extends Versioned> {
  readonly clock: Clock;
  readonly table: FactTable<Body>;
  readonly documents: DocumentCache<Document>;
  /** Facts that this process publishes; evaluated for each exchange. */
  readonly outgoingFacts: () => readonly FactUpdate<Body>[];
  /** Sends a request to the current source; rejects when the source does not answer. */
  readonly exchange: (request: FeedRequest<Body>) => Promise<FeedReply<Body, Document>>;
  readonly delay: (durationMs: number) => Promise<void>;
  /** Whether this process forwards facts to other VMs; the origin of each fact is recorded then. */
  readonly isRelay?: boolean;
  /** Table instances whose facts are received directly; evaluated for each exchange. */
  readonly exceptOrigins?: () => readonly string[];
  /** How long the source may hold a request. */
  readonly waitMs: number;
  readonly retryMs: number;
  readonly onDocument?: (document: Document) => void;
  /** Called when exchanges start to fail and when they succeed again. */
  readonly onState?: (isConnected: boolean, problem: string) => void;
  /**
   * Called when the source has restarted without a failed exchange in between. Facts that other
   * sources omitted because the earlier incarnation delivered them may be missing in the table.
   */
  readonly onSourceRestart?: () => void;
  /** Called after each exchange that delivered facts. */
  readonly onFacts?: () => void;
}

export interface FeedClient {
  /** Performs exchanges one after the other until stopped. */
  run(): Promise<void>;
  /** Publishes the current facts immediately, without long polling. */
  push(): Promise<void>;
  /** Time of the last reply of a source, on this VM's clock. */
  readonly syncedAtMs: number;
  /** Time for which the exchange in flight has had no reply; 0 when none is in flight. */
  readonly unansweredMs: number;
  /** Whether the last exchange succeeded. */
  readonly isConnected: boolean;
  /** Table instance of the source that replied last; empty before the first reply. */
  readonly sourceIncarnation: string;
  /**
   * Requests all facts with the next exchange. Required when an origin is no longer received
   * directly, as the source has omitted the facts of that origin until then.
   */
  restart(): void;
  stop(): void;
}

/** Synchronises a fact table and a document cache with a source. */
export function createFeedClient<Body, Document extends Versioned>(
  options: FeedClientOptions<Body, Document>,
): FeedClient {
  const { clock, table, documents } = options;
  let instance = '';
  let revision = 0;
  let syncedAtMs = Number.NEGATIVE_INFINITY;
  let isStopped = false;
  let isConnected: boolean | null = null;
  let restarts = 0;
  let sourceIncarnation = '';
  let unansweredSinceMs: number | null = null;

  function recordConnection(nowConnected: boolean, problem = ''): void {
    if (isConnected === nowConnected) return;
    isConnected = nowConnected;
    options.onState?.(nowConnected, problem);
  }

  function applyReply(reply: FeedReply<Body, Document>, sentAtMs: number): void {
    const nowMs = clock.nowMs();
    syncedAtMs = nowMs;
    applyConfirmation(documents, reply, sentAtMs + reply.waitedMs, options.onDocument);
    const { instance: sourceInstance, updates } = reply.delta;
    // A restart after a failed exchange needs no handling: during the failure this process no
    // longer listed the source in `exceptOrigins`, so the other sources sent the facts of the
    // source.
    const isRestarted =
      isConnected === true && sourceIncarnation !== '' && sourceInstance !== sourceIncarnation;
    sourceIncarnation = sourceInstance;
    table.merge(updates, nowMs, options.isRelay ? sourceInstance : undefined);
    if (isRestarted) options.onSourceRestart?.();
    if (reply.delta.updates.length) options.onFacts?.();
  }

  async function exchangeOnce(waitMs: number): Promise<FeedReply<Body, Document>> {
    const sentAtMs = clock.nowMs();
    const reply = await options.exchange({
      updates: options.outgoingFacts(),
      instance,
      revision,
      documentVersion: documents.current?.version ?? NO_DOCUMENT_VERSION,
      exceptOrigins: options.exceptOrigins?.() ?? [],
      waitMs,
    });
    applyReply(reply, sentAtMs);
    return reply;
  }

  return {
    get syncedAtMs() {
      return syncedAtMs;
    },
    get unansweredMs() {
      return unansweredSinceMs === null ? 0 : clock.nowMs() - unansweredSinceMs;
    },
    get isConnected() {
      return isConnected === true;
    },
    get sourceIncarnation() {
      return sourceIncarnation;
    },
    restart() {
      restarts += 1;
      instance = '';
    },
    async run() {
      while (!isStopped) {
        unansweredSinceMs = clock.nowMs();
        try {
          const restartsBefore = restarts;
          // The first exchange with a source delivers all its facts, so it must not be held.
          const { delta } = await exchangeOnce(instance === '' ? 0 : options.waitMs);
          if (restarts === restartsBefore) ({ instance, revision } = delta);
          recordConnection(true);
        } catch (error) {
          recordConnection(false, error instanceof Error ? error.message : String(error));
          instance = '';
          unansweredSinceMs = null;
          await options.delay(options.retryMs);
        }
      }
    },
    async push() {
      try {
        await exchangeOnce(0);
      } catch (error) {
        recordConnection(false, error instanceof Error ? error.message : String(error));
      }
    },
    stop() {
      isStopped = true;
    },
  };
}
