/**
 * Enforces the rate limits that backend servers name, across all entry VMs of a deployment. For
 * each server one entry VM, chosen by rendezvous hashing, owns the limit and issues the permits.
 * See docs/design/named-limits.md.
 */
import { parseRate } from '@spoolplank/node';
import type { PeerMethod } from '@spoolplank/node';
import type { Announcement } from '@spoolplank/membership';
import type { VmAddress } from '@spoolplank/settings';
import { createRetrySchedule } from '@spoolplank/routing';
import type { LimitDirective, AdvertisedLimit } from '@spoolplank/routing';
import { rankByRendezvous } from '@spoolplank/shared';
import type { JsonValue } from '@spoolplank/shared';
import { listVmsWithRole, toPeerTarget } from '@spoolplank/vm';
import type { VmContext } from '@spoolplank/vm';
import { createLimitAccount } from '../limits/limitAccount';
import type { LimitReport } from '../limits/limitAccount';
import { createServerLimits, toLimitReport } from '../limits/serverLimits';
import type { PendingReport } from '../limits/serverLimits';
import type { DirectorySync } from './directorySync';

/** A response header value as Node.js represents it. */
export type HeaderValue = string | readonly string[] | undefined;

/** One incarnation of a server. */
type ServerInstance = Pick<Announcement, 'name' | 'incarnation' | 'host' | 'port'>;

interface PermitCall {
  readonly vm: string;
  readonly instanceId: string;
  readonly limits: readonly AdvertisedLimit[];
  readonly reports: readonly LimitReport[];
  /** Whether the call requests a permit, rather than only reporting. */
  readonly isAsk: boolean;
}

interface PermitReply {
  readonly isPermitted: boolean;
  /** Limit in requests a second; null where there is none. */
  readonly perS: number | null;
  /** Retry delay in milliseconds for a request without a permit; 0 with one. */
  readonly retryInMs: number;
}

/** Whether a request may be sent to a server, and the retry delay if it may not. */
export type PermitAnswer =
  { readonly isPermitted: true } | { readonly isPermitted: false; readonly retryInMs: number };

export interface SessionLimits {
  /** Peer methods that other entry VMs call on this one. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** Takes a permit where the server named a limit; always permits where it named none. */
  take(server: ServerInstance): Promise<PermitAnswer>;
  /** Processes the limit header of an answer; `sentAtMs` is on the steady clock. */
  recordAnswer(server: ServerInstance, header: HeaderValue, sentAtMs: number): void;
  sweep(): void;
  describe(): JsonValue;
}

/** Response header with the requests a second that a server accepts from all VMs together. */
export const LIMIT_HEADER = 'spoolplank-limit';
const PERMIT_METHOD = 'limits.permit';
/** Covers the round trip and the delay on a busy VM. */
const PERMIT_TIMEOUT_MS = 120;
/** Retry delay while the owner does not answer; a failed owner is replaced in about this time. */
const DEFAULT_RETRY_DELAY_MS = 1000;

/** A limit applies to one incarnation of a server. */
const instanceIdOf = ({ name, incarnation }: ServerInstance): string => `${name}/${incarnation}`;

function toDirective(header: HeaderValue): LimitDirective | null {
  if (header === undefined) return { kind: 'unnamed' };
  const perS = parseRate([header].flat());
  return perS === null ? null : { kind: 'named', perS };
}

export function createSessionLimits(
  context: VmContext,
  { directory }: Pick<DirectorySync, 'directory'>,
): SessionLimits {
  const { clock, random, logger: log, metrics, settings, peers } = context;
  const { vmId } = settings.vm;

  function listLiveEntryVms(): readonly VmAddress[] {
    const live = new Set(directory.listAvailable().map(({ announcement: { name } }) => name));
    return listVmsWithRole(settings, 'entry').filter(
      (vm) => vm.vmId === vmId || live.has(`@${vm.vmId}`),
    );
  }

  function ownerOf(instanceId: string): VmAddress | undefined {
    const entries = listLiveEntryVms();
    const [ownerId] = rankByRendezvous(
      instanceId,
      entries.map((vm) => vm.vmId),
    );
    return entries.find((vm) => vm.vmId === ownerId);
  }

  const countEntryVms = () => listLiveEntryVms().length;
  const serverLimits = createServerLimits({
    clock,
    random,
    log,
    metrics,
    countEntries: countEntryVms,
  });
  const retrySchedule = createRetrySchedule({ clock });
  const isOwner = (instanceId: string) => ownerOf(instanceId)?.vmId === vmId;
  const account = createLimitAccount({ clock, log, metrics, isOwner, countEntries: countEntryVms });

  function handlePermitCall({ vm, instanceId, limits, reports, isAsk }: PermitCall): PermitReply {
    account.recordReports(vm, reports, limits);
    const isPermitted = !isAsk || (account.hasPermit(instanceId) && account.tryAcquire(instanceId));
    const retryInMs = isPermitted
      ? 0
      : retrySchedule.reserveDelayMs(instanceId, account.ratePerS(instanceId), 0);
    return { isPermitted, perS: account.limitPerSOf(instanceId), retryInMs };
  }

  async function callOwner(
    instanceId: string,
    details: Pick<PermitCall, 'reports' | 'isAsk'>,
  ): Promise<PermitReply | null> {
    const owner = ownerOf(instanceId);
    const limits = serverLimits.list().filter((limit) => limit.instanceId === instanceId);
    const params: PermitCall = { vm: vmId, instanceId, limits, ...details };
    if (!owner) return null;
    if (owner.vmId === vmId) return handlePermitCall(params);
    try {
      const target = toPeerTarget(owner);
      return await peers.call<PermitReply>(
        target,
        PERMIT_METHOD,
        { ...params },
        {
          timeoutMs: PERMIT_TIMEOUT_MS,
        },
      );
    } catch (error) {
      log.info('limit-owner-silent', { owner: owner.vmId, instanceId, problem: String(error) });
      return null;
    }
  }

  serverLimits.onReport((report: PendingReport) => {
    const reports = [toLimitReport(report, clock.steadyMs())];
    void callOwner(report.instanceId, { reports, isAsk: false });
  });

  return {
    methods: {
      [PERMIT_METHOD]: (params) => ({ ...handlePermitCall(params as unknown as PermitCall) }),
    },
    async take(server) {
      const instanceId = instanceIdOf(server);
      const perS = serverLimits.limitPerSOf(instanceId);
      if (perS === null) return { isPermitted: true };
      const permitAskedAtMs = clock.steadyMs();
      const reply = await callOwner(instanceId, { reports: [], isAsk: true });
      if (reply && reply.perS === null) serverLimits.recordUnlimited(instanceId, permitAskedAtMs);
      const isPermitted = reply ? reply.isPermitted : serverLimits.takeOwnQuota(instanceId);
      if (isPermitted) return { isPermitted };
      metrics.count('spoolplank_sends_held_back_total', { reason: 'limit' });
      return { isPermitted, retryInMs: reply?.retryInMs ?? DEFAULT_RETRY_DELAY_MS };
    },
    recordAnswer(server, header, sentAtMs) {
      const directive = toDirective(header);
      const target = { instanceId: instanceIdOf(server), address: `${server.host}:${server.port}` };
      if (directive) serverLimits.recordAnswer(target, directive, sentAtMs);
    },
    sweep() {
      serverLimits.sweep();
      account.sweep();
    },
    describe: () => ({
      named: serverLimits.describe(),
      kept: account.list() as unknown as JsonValue,
    }),
  };
}
