/** The backend servers that new work may go to, with their loads taken in, and those at rest. */
import type { Announcement } from '@spoolplank/membership';
import { parseRestMs } from '@spoolplank/node';
import { ENTRY_SERVICE } from './directorySync';
import type { EntryContext } from './entryContext';

/** Only this status asks for rest. */
const TURNED_AWAY = 503;

/** A rest holds for one run of a server: the next one wants work. */
function restNameOf({ name, incarnation }: Pick<Announcement, 'name' | 'incarnation'>): string {
  return `${name}/${incarnation}`;
}

function listAnnounced({ directorySync }: EntryContext): readonly Announcement[] {
  return directorySync.directory
    .listLive()
    .map(({ announcement }) => announcement)
    .filter(({ services }) => !services.includes(ENTRY_SERVICE));
}

/** All that are announced, but for those that want nothing from this VM now. */
export function listBackendServers(context: EntryContext): readonly Announcement[] {
  const { loads, rests } = context;
  const announced = listAnnounced(context);
  announced.forEach((announcement) => loads.report(announcement));
  return announced.filter((announcement) => !rests.isHeldBack(restNameOf(announcement)));
}

/** What a server answered when it did not take a request. */
export interface TurnedAway {
  readonly status: number;
  readonly retryAfter: string | undefined;
}

/** Takes in that a server turned a request away; it rests if it asked for that. */
export function noteTurnedAway(
  { directorySync, rests, logger }: EntryContext,
  name: string,
  { status, retryAfter = '' }: TurnedAway,
): void {
  const restMs = status === TURNED_AWAY ? parseRestMs([retryAfter]) : null;
  const row = directorySync.directory.findLive(name);
  if (restMs === null || !row) return;
  const hasBegun = rests.note(restNameOf(row.announcement), restMs);
  if (hasBegun) logger.info('server-rests', { name, restMs });
}

/** Notes that something is sent to a server. */
export function noteSent({ directorySync, rests }: EntryContext, name: string): void {
  const row = directorySync.directory.findLive(name);
  if (row) rests.noteSent(restNameOf(row.announcement));
}

/**
 * When a caller of a service is to come back for which there is no server, in milliseconds: when it
 * is its turn after the first rest, where servers rest, or else `otherwiseMs`.
 */
export function returnAfterMs(context: EntryContext, service: string, otherwiseMs: number): number {
  const restsMs = listAnnounced(context)
    .filter(({ services }) => services.includes(service))
    .map((announcement) => context.rests.remainingMs(restNameOf(announcement)))
    .filter((restMs) => restMs > 0);
  if (restsMs.length === 0) return otherwiseMs;
  return context.rests.returnAfterMs(service, Math.min(...restsMs));
}
