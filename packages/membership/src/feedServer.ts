import type { Clock } from '@spoolplank/shared';
import type { DocumentCache } from './documentCache';
import type { FactTable } from './factTable';
import { describeConfirmation, NO_DOCUMENT_VERSION } from './confirmation';
import type { Confirmation, ConfirmationRequest } from './confirmation';
import type { FeedReply, FeedRequest } from './feed';

interface Versioned {
  readonly version: number;
}

export interface FeedServerOptions<Body, Document extends Versioned> {
  readonly clock: Clock;
  readonly table: FactTable<Body>;
  readonly documents: DocumentCache<Document>;
  /** Renews the confirmation of the document if this process is able to. */
  readonly refreshConfirmation: () => void;
  /** Runs a function after a delay; returns a function that cancels it. */
  readonly schedule: (run: () => void, delayMs: number) => () => void;
  /** Longest time for which a request is held. */
  readonly maxWaitMs: number;
  /** Minimum time between two flushes of held requests, in milliseconds. */
  readonly batchIntervalMs?: number;
}

export interface FeedServer<Body, Document> {
  answer(request: FeedRequest<Body>): Promise<FeedReply<Body, Document>>;
  /** Answers at once whether the requester's document is the latest. */
  confirm(request: ConfirmationRequest): Confirmation<Document>;
  /** Answers the held requests whose senders lack an urgent change or a new document. */
  wake(): void;
}

/**
 * Changes arrive in bursts: while 216 engines load their layers there are about 650 changes within
 * two seconds. A separate reply to each would cost 1 KB in each direction per pair of control VMs;
 * this interval limits the replies to 20 per second.
 */
const DEFAULT_BATCH_INTERVAL_MS = 50;

/** A request that is held until something changes (long polling). */
interface HeldRequest<Body> {
  readonly request: FeedRequest<Body>;
  readonly release: () => void;
}

/** Answers feed requests, holding each until there is an urgent change or the wait time is over. */
export function createFeedServer<Body, Document extends Versioned>(
  options: FeedServerOptions<Body, Document>,
): FeedServer<Body, Document> {
  const {
    clock,
    table,
    documents,
    schedule,
    batchIntervalMs = DEFAULT_BATCH_INTERVAL_MS,
  } = options;
  let heldRequests: HeldRequest<Body>[] = [];
  let lastFlushAtMs = Number.NEGATIVE_INFINITY;
  let isFlushScheduled = false;

  /** Whether a request is answered immediately. Facts that it excludes by origin do not count. */
  function hasUnseenChanges(request: FeedRequest<Body>): boolean {
    const { instance, revision, documentVersion, exceptOrigins } = request;
    if (instance !== table.instance || table.hasUrgentSince(revision, exceptOrigins)) return true;
    return (documents.current?.version ?? NO_DOCUMENT_VERSION) > documentVersion;
  }

  function waitForChange(request: FeedRequest<Body>): Promise<void> {
    return new Promise((resolve) => {
      const cancel = schedule(resolve, Math.min(request.waitMs, options.maxWaitMs));
      const release = () => {
        cancel();
        resolve();
      };
      heldRequests.push({ request, release });
    });
  }

  function flush(): void {
    isFlushScheduled = false;
    lastFlushAtMs = clock.nowMs();
    const due: HeldRequest<Body>[] = [];
    const others: HeldRequest<Body>[] = [];
    heldRequests.forEach((held) => (hasUnseenChanges(held.request) ? due : others).push(held));
    heldRequests = others;
    due.forEach(({ release }) => release());
  }

  return {
    async answer(request) {
      // The requester adds this duration to its own send time, so it must not be overestimated.
      const arrivedAtMs = clock.steadyMs();
      table.merge(request.updates, clock.nowMs());
      if (request.waitMs > 0 && !hasUnseenChanges(request)) {
        await waitForChange(request);
        heldRequests = heldRequests.filter((held) => held.request !== request);
      }
      // The requester dates the confirmation with the wait less its age. A pause of the process
      // between the two readings must make it older, so the wait is read first.
      const waitedMs = Math.floor(clock.steadyMs() - arrivedAtMs);
      options.refreshConfirmation();
      return {
        ...describeConfirmation(documents, request),
        delta: table.deltaSince(request.instance, request.revision, request.exceptOrigins),
        waitedMs,
      };
    },
    confirm(request) {
      options.refreshConfirmation();
      return describeConfirmation(documents, request);
    },
    wake() {
      if (isFlushScheduled) return;
      const sinceMs = clock.nowMs() - lastFlushAtMs;
      if (sinceMs >= batchIntervalMs) {
        flush();
        return;
      }
      isFlushScheduled = true;
      schedule(flush, batchIntervalMs - sinceMs);
    },
  };
}
