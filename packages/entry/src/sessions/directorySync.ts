/** Keeps this VM's table of backend servers and entry VMs by asking registrars. */
import { createDirectory } from '@spoolplank/membership';
import type { Announcement, Directory, DirectoryDelta } from '@spoolplank/membership';
import { delay } from '@spoolplank/node';
import type { VmAddress } from '@spoolplank/settings';
import { rankByRendezvous } from '@spoolplank/shared';
import { listVmsWithRole, toPeerTarget } from '@spoolplank/vm';
import type { VmContext } from '@spoolplank/vm';

/** Service under which entry VMs stand in the directory; no backend server may take the name. */
export const ENTRY_SERVICE = '@entry';

export interface DirectoryPull {
  readonly instance: string;
  readonly sinceRevision: number;
  readonly waitMs: number;
  /** What the asking VM says of itself. */
  readonly announcement: Announcement;
}

export interface DirectoryPullReply {
  readonly delta: DirectoryDelta;
  /**
   * Time between the arrival of the question and this answer, on the registrar's clock. What
   * the answer says held at the earliest that long after the question was sent.
   */
  readonly waitedMs: number;
}

export interface DirectorySync {
  readonly directory: Directory;
  /** VMs that a backend server of a data centre announces itself to, the best first. */
  registrarsFor(name: string, dataCentre: string): readonly VmAddress[];
  serve(pull: DirectoryPull): Promise<DirectoryPullReply>;
  /** Says that this VM is leaving, at once. */
  leave(): Promise<void>;
  start(): void;
  stop(): void;
}

export interface DirectorySyncOptions {
  readonly context: VmContext;
  readonly readLoad: () => { readonly running: number; readonly queued: number };
  /** Whether callers may be sent here. */
  readonly isTaking: () => boolean;
}

const REGISTRARS_PER_DATA_CENTRE = 3;
/**
 * All of them: a row that one registrar has only from another is nearly two rounds old there,
 * and could lapse on its way to an entry VM.
 */
const REGISTRARS_PER_BACKEND_SERVER = REGISTRARS_PER_DATA_CENTRE;
/**
 * Rows of entry VMs live longer by this: each is announced to one registrar and may be three
 * rounds old where it is read. One that leaves says so; one that died misleads callers for
 * not much longer than they keep an answer anyway.
 */
const VM_TTL_FACTOR = 3;
const PULL_WAIT_MS = 800;
const MIN_PULL_SPACING_MS = 100;
/** What a pull may take beyond its wait; short, so that another registrar is asked in time. */
const PULL_TIMEOUT_MS = 700;
const SWEEP_INTERVAL_MS = 5000;

interface PullState {
  instance: string;
  revision: number;
}

export function createDirectorySync({
  context,
  readLoad,
  isTaking,
}: DirectorySyncOptions): DirectorySync {
  const { settings, clock, timings, peers, metrics, instance } = context;
  const { vm } = settings;
  const entries = listVmsWithRole(settings, 'entry');
  const dataCentres = [...new Set(entries.map(({ dataCentre }) => dataCentre))];
  const pullStates = new Map<string, PullState>();
  let waiters: (() => void)[] = [];
  let sequence = 0;
  let isLeaving = false;
  let isStopped = false;
  const incarnation = clock.wallMs();

  const directory = createDirectory({
    clock,
    instance,
    ttlMs: timings.announcementTtlMs,
    ttlMsOf: ({ services }) =>
      timings.announcementTtlMs * (services.includes(ENTRY_SERVICE) ? VM_TTL_FACTOR : 1),
    onChange() {
      const waiting = waiters;
      waiters = [];
      waiting.forEach((resolve) => resolve());
    },
  });

  function registrarsOf(dataCentre: string): readonly VmAddress[] {
    const local = entries.filter((entry) => entry.dataCentre === dataCentre);
    const candidates = local.length > 0 ? local : entries;
    const ranked = rankByRendezvous(
      `registrar ${dataCentre}`,
      candidates.map(({ vmId }) => vmId),
    );
    return ranked
      .slice(0, REGISTRARS_PER_DATA_CENTRE)
      .flatMap((id) => candidates.filter(({ vmId }) => vmId === id));
  }

  /** Registrars to ask: all others of the own data centre for a registrar, else any one of it. */
  function targetsIn(dataCentre: string): readonly VmAddress[] {
    const registrars = registrarsOf(dataCentre);
    const others = registrars.filter(({ vmId }) => vmId !== vm.vmId);
    const ranked = rankByRendezvous(
      vm.vmId,
      others.map(({ vmId }) => vmId),
    );
    return ranked.flatMap((id) => others.filter(({ vmId }) => vmId === id));
  }

  function isRegistrar(): boolean {
    return registrarsOf(vm.dataCentre).some(({ vmId }) => vmId === vm.vmId);
  }

  function describeSelf(): Announcement {
    sequence += 1;
    return {
      name: `@${vm.vmId}`,
      dataCentre: vm.dataCentre,
      host: vm.host,
      port: vm.callerPort,
      incarnation,
      sequence,
      state: isLeaving || !isTaking() ? 'leaving' : 'ready',
      services: [ENTRY_SERVICE],
      load: readLoad(),
    };
  }

  async function pullFrom(target: VmAddress, waitMs = PULL_WAIT_MS): Promise<void> {
    const state = pullStates.get(target.vmId) ?? { instance: '', revision: 0 };
    pullStates.set(target.vmId, state);
    const askedAtMs = clock.nowMs();
    const announcement = describeSelf();
    directory.announce(announcement);
    const pull: DirectoryPull = {
      instance: state.instance,
      sinceRevision: state.revision,
      waitMs,
      announcement,
    };
    const { delta, waitedMs } = await peers.call<DirectoryPullReply>(
      toPeerTarget(target),
      'directory.pull',
      pull,
      waitMs + PULL_TIMEOUT_MS,
    );
    directory.merge(delta, askedAtMs + waitedMs);
    state.instance = delta.instance;
    state.revision = delta.revision;
    await delay(Math.max(0, MIN_PULL_SPACING_MS - (clock.nowMs() - askedAtMs)));
  }

  /** Asks one of several VMs, the next one after a failure. */
  async function followOneOf(targets: readonly VmAddress[]): Promise<void> {
    let at = 0;
    while (!isStopped) {
      const target = targets[at % targets.length];
      if (!target) return;
      try {
        await pullFrom(target);
      } catch {
        metrics.count('spoolplank_directory_pull_failures_total');
        at += 1;
        await delay(MIN_PULL_SPACING_MS);
      }
    }
  }

  function startFollowing(): void {
    dataCentres.forEach((dataCentre) => {
      const targets = targetsIn(dataCentre);
      const isOwn = dataCentre === vm.dataCentre && isRegistrar();
      const groups = isOwn ? targets.map((target) => [target]) : [targets];
      groups.forEach((group) => {
        void followOneOf(group);
      });
    });
  }

  async function announceAlone(): Promise<void> {
    // With no one to ask, nobody else says that this VM is there.
    while (!isStopped) {
      directory.announce(describeSelf());
      directory.sweep();
      await delay(Math.min(SWEEP_INTERVAL_MS, timings.announcementTtlMs / 3));
    }
  }

  return {
    directory,
    registrarsFor(name, dataCentre) {
      const registrars = registrarsOf(dataCentre);
      const isUp = ({ vmId }: VmAddress) =>
        vmId === vm.vmId || directory.findLive(`@${vmId}`) !== undefined;
      const ranked = rankByRendezvous(
        name,
        registrars.map(({ vmId }) => vmId),
      );
      const ordered = ranked.flatMap((id) => registrars.filter(({ vmId }) => vmId === id));
      const up = ordered.filter(isUp);
      // A VM that can be reached but is no registrar passes announcements on as well.
      const spare = entries.filter((entry) => isUp(entry) && !ordered.includes(entry));
      return [...up, ...spare].slice(0, REGISTRARS_PER_BACKEND_SERVER);
    },
    async serve({ instance: asked, sinceRevision, waitMs, announcement }) {
      const arrivedAtMs = clock.nowMs();
      directory.announce(announcement);
      const isCurrent = asked === instance && directory.bodyRevision <= sinceRevision;
      if (isCurrent && waitMs > 0) {
        await new Promise<void>((resolve) => {
          const timer = setTimeout(resolve, Math.min(waitMs, PULL_WAIT_MS));
          waiters.push(() => {
            clearTimeout(timer);
            resolve();
          });
        });
      }
      const waitedMs = Math.floor(clock.nowMs() - arrivedAtMs);
      return { waitedMs, delta: directory.deltaSince(asked, sinceRevision) };
    },
    async leave() {
      isLeaving = true;
      const targets = dataCentres.flatMap(targetsIn);
      await Promise.allSettled(targets.map((target) => pullFrom(target, 0)));
    },
    start() {
      startFollowing();
      announceAlone().catch(() => {});
    },
    stop() {
      isStopped = true;
    },
  };
}
