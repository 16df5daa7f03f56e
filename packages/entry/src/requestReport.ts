/** Reports the end of each request with a log line, a counter and a histogram. */
import type { EventLog, LogFields, Metrics } from '@spoolplank/node';
import type { Clock, SpoolplankError } from '@spoolplank/shared';
import type { CallerRequest } from './callerRequest';
import type { SlotDecision, RequestEnd } from './entryContext';

export interface RequestReportOptions {
  readonly clock: Clock;
  readonly log: EventLog;
  readonly metrics: Metrics;
  /** Version of the document in force on this VM. */
  readonly documentVersion: () => number | null;
  /** Age of the last confirmation that the document is the latest. */
  readonly confirmedAgeMs: () => number;
  /** Where the confirmation comes from, logged with refusals that depend on it. */
  readonly describeConfirmation: () => LogFields;
  /** Age of the facts, which are the records that VMs replicate by gossip. */
  readonly factsAgeMs: () => number;
}

/** Reports the end of a request, with additional fields for the log. */
export type RequestReport = (
  request: CallerRequest,
  end: RequestEnd,
  fields: Readonly<Record<string, string>>,
) => void;

/** Refusals of requests that another version of the document may allow. */
const DOCUMENT_REFUSALS: ReadonlySet<string> = new Set([
  'not-found',
  'unauthorized',
  'settings-stale',
]);

/** Larger and infinite ages are logged as this value. */
const MAX_AGE_MS = 60_000;

function roundIfKnown(durationMs: number | undefined): number | undefined {
  return durationMs === undefined ? undefined : Math.round(durationMs);
}

/** Log fields of the slot that a stream was given. */
function describeSlot(slot: SlotDecision | null | undefined) {
  if (!slot) return {};
  return {
    grantedBy: slot.grantedBy,
    chainDataCentre: slot.dataCentre,
    chainInFlight: Math.round(slot.inFlight),
    chainCapacity: Math.round(slot.capacity),
  };
}

/** Maps the error that a caller was refused with to the end of its request. */
export function toRequestEnd({ outcome, httpStatus }: SpoolplankError): RequestEnd {
  return {
    outcome: outcome === 'not-run' ? 'refused' : 'failed',
    status: httpStatus,
    attempts: 0,
    servedBy: [],
    firstByteMs: null,
  };
}

export function createRequestReport(options: RequestReportOptions): RequestReport {
  const { clock, log, metrics } = options;
  const capAge = (ageMs: number) => Math.round(Math.min(ageMs, MAX_AGE_MS));

  return (request, end, fields) => {
    const durationMs = clock.nowMs() - request.arrivedAtMs;
    metrics.count('spoolplank_requests_total', { outcome: end.outcome, route: fields.route ?? '' });
    metrics.observe('spoolplank_request_duration_ms', durationMs, { outcome: end.outcome });
    const isExpected = end.outcome === 'served' || end.outcome === 'caller-left';
    log[isExpected ? 'info' : 'warn']('request-ended', {
      requestId: request.id,
      ...fields,
      outcome: end.outcome,
      status: end.status,
      attempts: end.attempts,
      servedBy: end.servedBy,
      ...describeSlot(end.slot),
      firstByteMs: end.firstByteMs === null ? null : Math.round(end.firstByteMs),
      waitedMs: roundIfKnown(end.waitedMs),
      longestPauseMs: roundIfKnown(end.longestPauseMs),
      ...end.answerEnd,
      durationMs: Math.round(durationMs),
      remainingMs: request.deadlineMs,
      documentVersion: options.documentVersion(),
      confirmedAgeMs: capAge(options.confirmedAgeMs()),
      factsAgeMs: capAge(options.factsAgeMs()),
      ...(DOCUMENT_REFUSALS.has(fields.code ?? '') ? options.describeConfirmation() : {}),
    });
  };
}
