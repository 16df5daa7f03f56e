/**
 * Renews the confirmation of the document out of turn when the exchanges with the usual source have
 * not renewed it in time. Sources are asked one after the other, each before the last one has
 * failed, so that a silent one costs an interval and no time-out.
 */
import type { Clock } from '@spoolplank/shared';
import type { ConfirmationTimings } from './changeBounds';
import { applyConfirmation, NO_DOCUMENT_VERSION } from './confirmation';
import type { Confirmation, ConfirmationRequest } from './confirmation';
import type { DocumentCache } from './documentCache';

/** The outcome of one request to a source, for the log. */
export type AskReport = {
  readonly source: string;
  /** Age of the confirmation when the source was asked. */
  readonly ageBeforeMs: number;
} & (
  | { readonly documentVersion: number; readonly confirmedAgeMs: number | null }
  | { readonly problem: string }
);

export interface ConfirmationRenewalOptions<Document extends { readonly version: number }> {
  readonly clock: Pick<Clock, 'nowMs'>;
  /** Runs a function after a delay; returns a function that cancels it. */
  readonly schedule: (run: () => void, delayMs: number) => () => void;
  readonly documents: DocumentCache<Document>;
  /** Age from which sources are asked. */
  readonly dueMs: number;
  readonly timings: Pick<ConfirmationTimings, 'askIntervalMs' | 'holdMs' | 'outOfContactMs'>;
  /** Lists the sources in the order in which they are asked. */
  readonly listSources: () => readonly string[];
  /** Sends a request on a connection of its own; rejects when there is no reply. */
  readonly request: (
    source: string,
    params: ConfirmationRequest,
  ) => Promise<Confirmation<Document>>;
  readonly onDocument: (document: Document) => void;
  readonly onAsked: (report: AskReport) => void;
}

export interface ConfirmationRenewal {
  start(): void;
  /**
   * Asks sources at once and resolves when the confirmation is younger than `limitMs`, at the
   * latest after two intervals. Callers that wait at the same time share the asks. Resolves at once
   * while this VM is out of contact, as sources are asked in vain then.
   */
  renewNow(limitMs: number): Promise<void>;
  stop(): void;
}

const ASKS_FOR_CALLERS = 2;

export function createConfirmationRenewal<Document extends { readonly version: number }>(
  options: ConfirmationRenewalOptions<Document>,
): ConfirmationRenewal {
  const { clock, schedule, documents, listSources, request, onDocument, onAsked } = options;
  const { dueMs } = options;
  const { askIntervalMs, holdMs, outOfContactMs } = options.timings;
  const { confirmedAgeMs } = documents;
  /** When each source was last asked in vain, or without a reply yet. */
  const vainlyAskedAtMs = new Map<string, number>();
  let cancelCheck = () => {};
  let isStopped = false;
  let renewal: Promise<void> | null = null;

  /** The first source that was not asked in vain, or else the one for which this is longest ago. */
  function findSource(): string | undefined {
    const sources = listSources();
    [...vainlyAskedAtMs.keys()]
      .filter((source) => !sources.includes(source))
      .forEach((source) => vainlyAskedAtMs.delete(source));
    const untried = sources.find((source) => !vainlyAskedAtMs.has(source));
    if (untried !== undefined) return untried;
    const [longestAgo] = [...vainlyAskedAtMs].sort(([, aMs], [, bMs]) => aMs - bMs);
    return longestAgo?.[0];
  }

  /** Asks the next source; resolves also when it does not reply. */
  async function askNext(): Promise<void> {
    const source = findSource();
    if (source === undefined) return;
    const sentAtMs = clock.nowMs();
    vainlyAskedAtMs.set(source, sentAtMs);
    const ageBeforeMs = Math.round(confirmedAgeMs());
    const { version: documentVersion = NO_DOCUMENT_VERSION } = documents.current ?? {};
    try {
      const reply = await request(source, { documentVersion });
      applyConfirmation(documents, reply, sentAtMs, onDocument);
      if (confirmedAgeMs() < dueMs) vainlyAskedAtMs.delete(source);
      const { documentVersion: confirmedVersion, confirmedAgeMs: ageMs } = reply;
      onAsked({ source, ageBeforeMs, documentVersion: confirmedVersion, confirmedAgeMs: ageMs });
    } catch (error) {
      onAsked({ source, ageBeforeMs, problem: String(error) });
    }
  }

  /** Asks a source if that is due, and returns the time until the next check. */
  function askIfDue(): number {
    const ageMs = confirmedAgeMs();
    if (ageMs < dueMs) return dueMs - ageMs;
    // Before the first confirmation, the exchanges look for a source themselves.
    if (Number.isFinite(ageMs)) void askNext();
    // Out of contact, sources are asked no more often than the exchanges are made.
    return ageMs < outOfContactMs ? askIntervalMs : holdMs;
  }

  function check(): void {
    if (!isStopped) cancelCheck = schedule(check, askIfDue());
  }

  function waitForInterval(): Promise<void> {
    return new Promise((resolve) => {
      schedule(resolve, askIntervalMs);
    });
  }

  async function renew(limitMs: number): Promise<void> {
    for (let asks = 0; asks < ASKS_FOR_CALLERS && confirmedAgeMs() >= limitMs; asks += 1) {
      await Promise.race([askNext(), waitForInterval()]);
    }
  }

  return {
    start: check,
    renewNow(limitMs) {
      if (confirmedAgeMs() >= outOfContactMs) return Promise.resolve();
      renewal ??= renew(limitMs).finally(() => {
        renewal = null;
      });
      return renewal;
    },
    stop() {
      isStopped = true;
      cancelCheck();
    },
  };
}
