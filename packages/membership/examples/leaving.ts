/** A backend server announces itself, is replicated to another VM, and leaves on both. */
import { createManualClock } from '@spoolplank/shared';
import { createDirectory } from '@spoolplank/membership';
import type { Announcement } from '@spoolplank/membership';

export function runExample(write: (line: string) => void): void {
  const clock = createManualClock();
  const registrar = createDirectory({ clock, instance: 'registrar', ttlMs: 3000 });
  const entry = createDirectory({ clock, instance: 'entry', ttlMs: 3000 });
  const announcement: Announcement = {
    name: 'bookings-1',
    dataCentre: 'lesage',
    host: '10.0.0.9',
    port: 8000,
    incarnation: 1,
    sequence: 1,
    state: 'ready',
    services: ['bookings'],
    load: { running: 0, queued: 0 },
  };
  const pull = () => entry.merge(registrar.deltaSince('', 0), clock.nowMs());
  const show = (when: string) =>
    write(`${when}: ${entry.findAvailable('bookings-1') ? 'takes work' : 'takes none'}`);
  registrar.announce(announcement);
  pull();
  show('announced');
  registrar.announce({ ...announcement, sequence: 2, state: 'leaving' });
  pull();
  show('leaving');
}
