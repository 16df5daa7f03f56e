/**
 * Selects the backend servers that may receive new requests: records their announced loads and
 * leaves out those in backoff.
 */
import type { Announcement } from '@spoolplank/membership';
import { parseBackoffMs } from '@spoolplank/node';
import { ENTRY_SERVICE } from './directorySync';
import type { EntryContext } from './entryContext';

/** A `Retry-After` header requests a backoff only with this status. */
const BACKOFF_STATUS = 503;

/** A backoff applies to one incarnation of a server; a restarted server accepts requests again. */
function backoffKeyOf({ name, incarnation }: Pick<Announcement, 'name' | 'incarnation'>): string {
  return `${name}/${incarnation}`;
}

function listAnnouncedServers({ directorySync }: EntryContext): readonly Announcement[] {
  return directorySync.directory
    .listAvailable()
    .map(({ announcement }) => announcement)
    .filter(({ services }) => !services.includes(ENTRY_SERVICE));
}

/** All announced backend servers except those in backoff for this VM. */
export function listBackendServers(context: EntryContext): readonly Announcement[] {
  const { loads, backoffs } = context;
  const announced = listAnnouncedServers(context);
  announced.forEach((announcement) => loads.report(announcement));
  return announced.filter((announcement) => !backoffs.isHeldBack(backoffKeyOf(announcement)));
}

/** The answer with which a server rejected a request. */
export interface RejectedAnswer {
  readonly status: number;
  readonly retryAfter: string | undefined;
}

/** Records that a server rejected a request, and starts a backoff if the answer requests one. */
export function recordRejection(
  { directorySync, backoffs, logger }: EntryContext,
  name: string,
  { status, retryAfter = '' }: RejectedAnswer,
): void {
  const backoffMs = status === BACKOFF_STATUS ? parseBackoffMs([retryAfter]) : null;
  const row = directorySync.directory.findAvailable(name);
  if (backoffMs === null || !row) return;
  const hasBegun = backoffs.record(backoffKeyOf(row.announcement), backoffMs);
  if (hasBegun) logger.info('server-backoff', { name, backoffMs });
}

/** Records that a request is sent to a server, for its backoff state. */
export function recordSent({ directorySync, backoffs }: EntryContext, name: string): void {
  const row = directorySync.directory.findAvailable(name);
  if (row) backoffs.recordSent(backoffKeyOf(row.announcement));
}

/**
 * Retry delay in milliseconds for a caller of a service that has no available server. Where servers
 * of the service are in backoff, the delay staggers callers after the end of the first backoff;
 * otherwise it is `defaultMs`.
 */
export function retryAfterMs(context: EntryContext, service: string, defaultMs: number): number {
  const backoffsMs = listAnnouncedServers(context)
    .filter(({ services }) => services.includes(service))
    .map((announcement) => context.backoffs.remainingMs(backoffKeyOf(announcement)))
    .filter((backoffMs) => backoffMs > 0);
  if (backoffsMs.length === 0) return defaultMs;
  return context.backoffs.retryAfterMs(service, Math.min(...backoffsMs));
}
