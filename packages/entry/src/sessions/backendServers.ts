/** The backend servers that new work may go to, with their loads taken in. */
import type { Announcement } from '@spoolplank/membership';
import { ENTRY_SERVICE } from './directorySync';
import type { EntryContext } from './entryContext';

export function listBackendServers({
  directorySync,
  loads,
}: EntryContext): readonly Announcement[] {
  const announced = directorySync.directory
    .listLive()
    .map(({ announcement }) => announcement)
    .filter(({ services }) => !services.includes(ENTRY_SERVICE));
  announced.forEach((announcement) => loads.report(announcement));
  return announced;
}
