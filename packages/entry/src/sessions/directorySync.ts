/** Keeps this VM's directory of backend servers and entry VMs in sync with the registrars. */
import { createDirectory } from '@spoolplank/membership';
import type { Announcement, Directory, DirectoryDelta } from '@spoolplank/membership';
import { delay } from '@spoolplank/node';
import type { VmAddress } from '@spoolplank/settings';
import { rankByRendezvous } from '@spoolplank/shared';
import { listVmsWithRole, toPeerTarget } from '@spoolplank/vm';
import type { VmContext } from '@spoolplank/vm';

/** Service name of entry VMs in the directory; reserved, so no backend server may use it. */
export const ENTRY_SERVICE = '@entry';

export interface DirectoryPull {
  readonly instance: string;
  readonly sinceRevision: number;
  readonly waitMs: number;
  /** The announcement of the pulling VM itself. */
  readonly announcement: Announcement;
}

export interface DirectoryPullReply {
  readonly delta: DirectoryDelta;
  /**
   * Time between the arrival of the pull and this reply, on the registrar's clock. The reply
   * reflects a state no earlier than this long after the pull was sent.
   */
  readonly waitedMs: number;
}

export interface DirectorySync {
  readonly directory: Directory;
  /** VMs that a backend server of a data centre announces itself to, in order of preference. */
  registrarsFor(name: string, dataCentre: string): readonly VmAddress[];
  serve(pull: DirectoryPull): Promise<DirectoryPullReply>;
  /** Announces immediately that this VM is leaving. */
  leave(): Promise<void>;
  start(): void;
  stop(): void;
}

export interface DirectorySyncOptions {
  readonly context: VmContext;
  readonly readLoad: () => { readonly running: number; readonly queued: number };
  /** Whether this VM accepts callers. */
  readonly isTaking: () => boolean;
}

const REGISTRARS_PER_DATA_CENTRE = 3;
/**
 * A backend server announces itself to every registrar of a data centre. A row that a registrar
 * has only from another registrar is nearly two rounds old and could expire before it reaches an
 * entry VM.
 */
const REGISTRARS_PER_BACKEND_SERVER = REGISTRARS_PER_DATA_CENTRE;
/**
 * Factor on the TTL of entry VM rows. Each is announced to one registrar and may be three rounds
 * old where it is read. A VM that leaves announces it, and the row of one that crashed misdirects
 * callers for little longer than they cache an address answer anyway.
 */
const ENTRY_VM_TTL_FACTOR = 3;
const PULL_WAIT_MS = 800;
const MIN_PULL_INTERVAL_MS = 100;
/** Timeout of a pull beyond its wait; short, so that failover to another registrar is timely. */
const PULL_TIMEOUT_MARGIN_MS = 700;
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
  const entryVms = listVmsWithRole(settings, 'entry');
  const dataCentres = [...new Set(entryVms.map(({ dataCentre }) => dataCentre))];
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
      timings.announcementTtlMs * (services.includes(ENTRY_SERVICE) ? ENTRY_VM_TTL_FACTOR : 1),
    onChange() {
      const waiting = waiters;
      waiters = [];
      waiting.forEach((resolve) => resolve());
    },
  });

  function registrarsOf(dataCentre: string): readonly VmAddress[] {
    const local = entryVms.filter((entry) => entry.dataCentre === dataCentre);
    const candidates = local.length > 0 ? local : entryVms;
    const ranked = rankByRendezvous(
      `registrar ${dataCentre}`,
      candidates.map(({ vmId }) => vmId),
    );
    return ranked
      .slice(0, REGISTRARS_PER_DATA_CENTRE)
      .flatMap((id) => candidates.filter(({ vmId }) => vmId === id));
  }

  /** The registrars of a data centre except this VM, in this VM's order of preference. */
  function registrarsToPull(dataCentre: string): readonly VmAddress[] {
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
    const pullSentAtMs = clock.nowMs();
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
      { timeoutMs: waitMs + PULL_TIMEOUT_MARGIN_MS },
    );
    directory.merge(delta, pullSentAtMs + waitedMs);
    state.instance = delta.instance;
    state.revision = delta.revision;
    await delay(Math.max(0, MIN_PULL_INTERVAL_MS - (clock.nowMs() - pullSentAtMs)));
  }

  /** Pulls from one of several VMs at a time, moving to the next after a failure. */
  async function pullWithFailover(targets: readonly VmAddress[]): Promise<void> {
    let targetIndex = 0;
    while (!isStopped) {
      const target = targets[targetIndex % targets.length];
      if (!target) return;
      try {
        await pullFrom(target);
      } catch {
        metrics.count('spoolplank_directory_pull_failures_total');
        targetIndex += 1;
        await delay(MIN_PULL_INTERVAL_MS);
      }
    }
  }

  function startPulls(): void {
    dataCentres.forEach((dataCentre) => {
      const targets = registrarsToPull(dataCentre);
      const isOwn = dataCentre === vm.dataCentre && isRegistrar();
      const groups = isOwn ? targets.map((target) => [target]) : [targets];
      groups.forEach((group) => {
        void pullWithFailover(group);
      });
    });
  }

  async function announceSelf(): Promise<void> {
    // Pulls carry the announcement of this VM, but with no other registrar there are no pulls.
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
      const isReachable = ({ vmId }: VmAddress) =>
        vmId === vm.vmId || directory.findAvailable(`@${vmId}`) !== undefined;
      const ranked = rankByRendezvous(
        name,
        registrars.map(({ vmId }) => vmId),
      );
      const ordered = ranked.flatMap((id) => registrars.filter(({ vmId }) => vmId === id));
      const reachable = ordered.filter(isReachable);
      // A reachable VM that is not a registrar propagates announcements as well.
      const substitutes = entryVms.filter(
        (entry) => isReachable(entry) && !ordered.includes(entry),
      );
      return [...reachable, ...substitutes].slice(0, REGISTRARS_PER_BACKEND_SERVER);
    },
    async serve({ instance: pullerInstance, sinceRevision, waitMs, announcement }) {
      const arrivedAtMs = clock.nowMs();
      directory.announce(announcement);
      const isCurrent = pullerInstance === instance && directory.bodyRevision <= sinceRevision;
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
      return { waitedMs, delta: directory.deltaSince(pullerInstance, sinceRevision) };
    },
    async leave() {
      isLeaving = true;
      const targets = dataCentres.flatMap(registrarsToPull);
      await Promise.allSettled(targets.map((target) => pullFrom(target, 0)));
    },
    start() {
      startPulls();
      announceSelf().catch(() => {});
    },
    stop() {
      isStopped = true;
    },
  };
}
