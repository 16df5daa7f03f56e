/** Announces a fake backend server to the entry VMs, as the client code of a real one does. */
import { callJson, parseAddress } from '@spoolplank/node';
import type { Announcement, ReportedLoad } from '@spoolplank/membership';

export interface AnnouncerOptions {
  /** Entry VMs that are queried for the registrars, as host:port. */
  readonly addresses: readonly string[];
  readonly token: string;
  readonly intervalMs: number;
  readonly describe: () => Omit<Announcement, 'incarnation' | 'sequence' | 'load'>;
  readonly readLoad: () => ReportedLoad;
  /** Age of the load that is reported, to simulate stale reports. */
  readonly loadLagMs: number;
}

export interface Announcer {
  start(): void;
  stop(): void;
  announceNow(): Promise<void>;
}

interface AddressAnswer {
  readonly registrars: readonly string[];
}

const REQUEST_TIMEOUT_MS = 1000;
const REGISTRARS_TTL_MS = 5000;

export function createAnnouncer(options: AnnouncerOptions): Announcer {
  const incarnation = Date.now();
  let sequence = 0;
  let timer: NodeJS.Timeout | undefined;
  let registrars: readonly string[] = [];
  let registrarsFetchedAtMs = Number.NEGATIVE_INFINITY;
  const pastLoads: { readonly atMs: number; readonly load: ReportedLoad }[] = [];

  function readDelayedLoad(): ReportedLoad {
    const nowMs = performance.now();
    pastLoads.push({ atMs: nowMs, load: options.readLoad() });
    while (pastLoads.length > 1 && (pastLoads[1]?.atMs ?? nowMs) <= nowMs - options.loadLagMs)
      pastLoads.shift();
    return pastLoads[0]?.load ?? options.readLoad();
  }

  async function call(
    address: string,
    method: string,
    path: string,
    json?: unknown,
  ): Promise<unknown> {
    const answer = await callJson({
      endpoint: parseAddress(address),
      method,
      path,
      json,
      timeoutMs: REQUEST_TIMEOUT_MS,
      headers: { authorization: `Bearer ${options.token}` },
    });
    if (answer.status !== 200) throw new Error(`status ${answer.status}`);
    return answer.json;
  }

  async function refreshRegistrars(): Promise<void> {
    if (performance.now() - registrarsFetchedAtMs < REGISTRARS_TTL_MS && registrars.length > 0)
      return;
    const { name, dataCentre } = options.describe();
    const path = `/v1/addresses?for=${name}&dataCentre=${dataCentre}`;
    const known = [...new Set([...registrars, ...options.addresses])];
    for (const address of known) {
      try {
        const answer = (await call(address, 'GET', path)) as AddressAnswer;
        registrars = answer.registrars;
        registrarsFetchedAtMs = performance.now();
        return;
      } catch {
        // Continue with the next address.
      }
    }
  }

  async function announceNow(): Promise<void> {
    await refreshRegistrars();
    sequence += 1;
    const body: Announcement = {
      ...options.describe(),
      incarnation,
      sequence,
      load: readDelayedLoad(),
    };
    const results = await Promise.allSettled(
      registrars.map((address) => call(address, 'POST', '/v1/announcements', body)),
    );
    if (results.some(({ status }) => status === 'rejected'))
      registrarsFetchedAtMs = Number.NEGATIVE_INFINITY;
  }

  function announcePeriodically(): void {
    announceNow()
      .catch(() => {})
      .finally(() => {
        if (timer) timer = setTimeout(announcePeriodically, options.intervalMs);
      });
  }

  return {
    start() {
      if (options.addresses.length === 0) return;
      timer = setTimeout(announcePeriodically, 0);
    },
    stop() {
      clearTimeout(timer);
      timer = undefined;
    },
    announceNow,
  };
}
