/**
 * Asks other VMs whether they reach a backend server that this VM does not reach. A VM that can
 * connect to no server says nothing about any of them: its own links may be at fault.
 *
 * Sources: Das, Gupta and Motivala, "SWIM: scalable weakly-consistent infection-style process group
 * membership protocol", DSN 2002; Dadgar, Phillips and Currey, "Lifeguard: local health awareness
 * for more accurate failure detection", 2018.
 */
import type { MemberFact } from '@spoolplank/membership';
import type { EventLog, Metrics, PeerClient, PeerMethod } from '@spoolplank/node';
import type { Clock, Random } from '@spoolplank/shared';

/** What a VM says about its way to a server; `unknown` when it may be at fault itself. */
export type ProbeReport = 'reachable' | 'unreachable' | 'unknown';

/** `lost`: other VMs do not reach the server either. `unreachable`: it is this VM's path. */
export type LossVerdict = 'lost' | 'unreachable';

export interface IndirectProbesOptions {
  readonly clock: Pick<Clock, 'nowMs'>;
  readonly random: Random;
  readonly log: EventLog;
  readonly metrics: Metrics;
  readonly peers: Pick<PeerClient, 'call'>;
  readonly host: string;
  readonly dataCentre: string;
  readonly listEntries: () => readonly MemberFact[];
  /** Whether a new, direct connection to the server is accepted within the timeout. */
  readonly isReachable: (address: string, timeoutMs: number) => Promise<boolean>;
  /** Number of signs of life from any server over direct connections; it only increases. */
  readonly countContacts: () => number;
  /** Addresses of other servers, which are tried to verify this VM's own links. */
  readonly listServers: () => readonly string[];
}

export interface IndirectProbes {
  /** RPC methods that other VMs call on this one. */
  readonly methods: Readonly<Record<string, PeerMethod>>;
  /** Decides whether a server that this VM failed to connect to is lost. */
  confirmLoss(address: string): Promise<LossVerdict>;
}

const PROBE_METHOD = 'servers.probe';
/** VMs that are asked, the first of them in this data centre. */
const MAX_REPORTERS = 3;
const PROBE_TIMEOUT_MS = 80;
/** Covers the connection to the server, the one to another server, and the way to the VM. */
const CALL_TIMEOUT_MS = 200;
/** Other servers that a VM tries to verify its own links. */
const MAX_CONTROLS = 3;
/** Time for which a report is reused, as many VMs ask about a lost server at the same time. */
const REUSE_MS = 150;
const MAX_REUSED = 512;

interface CachedReport<Result> {
  readonly atMs: number;
  readonly result: Promise<Result>;
}

/** Reuses the results of a function for `REUSE_MS`. */
function createReuse<Result>(
  clock: Pick<Clock, 'nowMs'>,
  find: (address: string) => Promise<Result>,
): (address: string) => Promise<Result> {
  const known = new Map<string, CachedReport<Result>>();
  return (address) => {
    const nowMs = clock.nowMs();
    const cached = known.get(address);
    if (cached && nowMs - cached.atMs < REUSE_MS) return cached.result;
    if (known.size >= MAX_REUSED) known.clear();
    const result = find(address);
    known.set(address, { atMs: nowMs, result });
    return result;
  };
}

function takeRandom<Item>(items: readonly Item[], count: number, random: Random): readonly Item[] {
  const rest = [...items];
  return Array.from({ length: Math.min(count, rest.length) }, () =>
    rest.splice(random.nextInt(rest.length), 1),
  ).flat();
}

export function createIndirectProbes(options: IndirectProbesOptions): IndirectProbes {
  const { clock, random, log, metrics, peers, host, dataCentre, countContacts } = options;

  const tryServer = (address: string): Promise<boolean> =>
    options.isReachable(address, PROBE_TIMEOUT_MS).catch(() => false);

  /** Whether the links of this VM work, by what arrived since or by a connection to any server. */
  async function hasWorkingLinks(contactsBefore: number, address: string): Promise<boolean> {
    if (countContacts() > contactsBefore) return true;
    const others = options.listServers().filter((other) => other !== address);
    const tries = takeRandom(others, MAX_CONTROLS, random).map(tryServer);
    return (await Promise.all(tries)).includes(true);
  }

  const report = createReuse(clock, async (address: string): Promise<ProbeReport> => {
    const contactsBefore = countContacts();
    const startedAtMs = clock.nowMs();
    if (await tryServer(address)) return 'reachable';
    // A VM that was suspended meanwhile may have missed an accepted connection.
    const isLocalStall = clock.nowMs() - startedAtMs > 2 * PROBE_TIMEOUT_MS;
    if (isLocalStall) return 'unknown';
    return (await hasWorkingLinks(contactsBefore, address)) ? 'unreachable' : 'unknown';
  });

  function chooseReporters(): readonly MemberFact[] {
    const others = options
      .listEntries()
      .filter((member) => member.host !== host && member.peerPort !== undefined);
    const near = others.filter((member) => member.dataCentre === dataCentre);
    const first = takeRandom(near, 1, random);
    const rest = others.filter((member) => !first.includes(member));
    return [...first, ...takeRandom(rest, MAX_REPORTERS - first.length, random)];
  }

  async function ask(member: MemberFact, address: string): Promise<ProbeReport> {
    const peer = { vmId: member.host, host: member.host, port: member.peerPort ?? 0 };
    try {
      return await peers.call<ProbeReport>(
        peer,
        PROBE_METHOD,
        { address },
        { timeoutMs: CALL_TIMEOUT_MS },
      );
    } catch {
      return 'unknown';
    }
  }

  const confirmLoss = createReuse(clock, async (address: string): Promise<LossVerdict> => {
    const contactsBefore = countContacts();
    const reporters = chooseReporters();
    const reports = await Promise.all(reporters.map((member) => ask(member, address)));
    const isSeen = reports.includes('reachable');
    const isMissed = reports.includes('unreachable');
    // Without any report, a VM whose own links work decides alone.
    const isAlone = !isSeen && !isMissed;
    const isLost = isAlone ? await hasWorkingLinks(contactsBefore, address) : !isSeen;
    const verdict = isLost ? 'lost' : 'unreachable';
    metrics.count('spoolplank_loss_verdicts_total', { verdict });
    log.info('server-checked', {
      address,
      verdict,
      reporters: reporters.map((member) => member.host),
      reports,
    });
    return verdict;
  });

  return {
    confirmLoss,
    methods: {
      [PROBE_METHOD]: (params) => {
        const { address } = params as unknown as { readonly address: string };
        return report(address);
      },
    },
  };
}
