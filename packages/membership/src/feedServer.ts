import type { Clock } from '@spoolplank/shared';
import type { DocumentCache } from './documentCache';
import type { FactTable } from './factTable';
import { NO_DOCUMENT_VERSION } from './feed';
import type { FeedReply, FeedRequest } from './feed';

interface Versioned {
  readonly version: number;
}

export interface FeedServerOptions<Body, Document extends Versioned> {
  readonly clock: Clock;
  readonly table: FactTable<Body>;
  readonly documents: DocumentCache<Document>;
  /** Renews the confirmation of the document where this process can. */
  readonly refreshConfirmation: () => void;
  /** Runs a function later; returns how to cancel that. */
  readonly schedule: (run: () => void, delayMs: number) => () => void;
  /** The longest that an answer is held back. */
  readonly maxWaitMs: number;
}

export interface FeedServer<Body, Document> {
  answer(request: FeedRequest<Body>): Promise<FeedReply<Body, Document>>;
  /** To be called after an urgent fact or a new document: ends all waits. */
  wake(): void;
}

/** Answers feed requests, holding each back until something urgent is new. */
export function createFeedServer<Body, Document extends Versioned>(
  options: FeedServerOptions<Body, Document>,
): FeedServer<Body, Document> {
  const { clock, table, documents, schedule } = options;
  let urgentRevision = 0;
  let waiting: (() => void)[] = [];

  function hasNews({ instance, revision, documentVersion }: FeedRequest<Body>): boolean {
    if (instance !== table.instance || urgentRevision > revision) return true;
    return (documents.current?.version ?? NO_DOCUMENT_VERSION) > documentVersion;
  }

  function waitForNews(waitMs: number): Promise<void> {
    return new Promise((resolve) => {
      const cancel = schedule(resolve, Math.min(waitMs, options.maxWaitMs));
      waiting.push(() => {
        cancel();
        resolve();
      });
    });
  }

  return {
    async answer(request) {
      const arrivedAtMs = clock.nowMs();
      table.merge(request.updates, arrivedAtMs);
      if (request.waitMs > 0 && !hasNews(request)) await waitForNews(request.waitMs);
      options.refreshConfirmation();
      const document = documents.current;
      const documentVersion = document?.version ?? NO_DOCUMENT_VERSION;
      const ageMs = documents.confirmedAgeMs();
      return {
        delta: table.deltaSince(request.instance, request.revision, request.exceptOrigins),
        ...(document && documentVersion > request.documentVersion ? { document } : {}),
        documentVersion,
        confirmedAgeMs: Number.isFinite(ageMs) ? Math.ceil(ageMs) : null,
        waitedMs: Math.floor(clock.nowMs() - arrivedAtMs),
      };
    },
    wake() {
      urgentRevision = table.revision;
      const woken = waiting;
      waiting = [];
      woken.forEach((resolve) => resolve());
    },
  };
}
