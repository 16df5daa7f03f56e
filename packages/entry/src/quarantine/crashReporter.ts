/**
 * Distinguishes a crash of a backend server from the loss of a connection.
 *
 * A run that broke off while its server still accepts connections may turn out to be a crash later.
 * Until then it is published to all VMs as an open run, so that a crash that only one VM saw is
 * counted even if that VM stops.
 */
import { FACT_KEYS, OPEN_RUN_RETENTION_MS } from '@spoolplank/membership';
import type {
  CrashEvidence,
  CrashFact,
  CrashIdentity,
  FactTable,
  OpenRunFact,
  SystemFact,
} from '@spoolplank/membership';
import type { Clock } from '@spoolplank/shared';
import type { BackendTarget } from '../dispatch/backendOperations';
import { digestContent } from './requestContent';
import type { RequestContent } from './requestContent';

/** A run of a content on one incarnation of a backend server, which broke off. */
export interface ServerRun {
  /** Digest of the content. */
  readonly content: string;
  readonly instanceId: string;
  readonly address: string;
  /** How long the content had run on the server. */
  readonly ranMs: number;
  /** Keys of the parts of its prompt; none by default. */
  readonly parts?: readonly string[];
}

/**
 * A run whose server ended. Its evidence is `run` if the server had started to execute the content,
 * and `attempt` if the request had been sent without proof of that.
 */
export type CrashedRun = Omit<CrashFact, 'kind'>;

export interface CrashReporterOptions {
  readonly clock: Clock;
  readonly table: Pick<FactTable<SystemFact>, 'find'>;
  /** Publishes a fact, which is a record that all VMs replicate by gossip. */
  readonly publish: (key: string, body: OpenRunFact) => void;
  /** Whether a server has ended while it ran the content. */
  readonly isSuspected: (content: RequestContent) => boolean;
  /** Whether a new connection to the server is accepted. */
  readonly isReachable: (address: string) => Promise<boolean>;
  /**
   * The incarnation that received a request sent at `sentAtMs`: a later one than the target, if it
   * had announced itself at the address before.
   */
  readonly findReceiver: (target: BackendTarget, sentAtMs: number) => string;
  /** Whether an incarnation that was sent a request at `sinceMs` is known to have ended. */
  readonly isLostOrReplaced: (target: BackendTarget, sinceMs: number) => boolean;
  /** Number of VMs that report the end of another VM's open run before this one. */
  readonly rankOf: (key: string) => number;
  /** Called with each run whose server ended. */
  readonly onCrash: (end: CrashedRun) => void;
}

export interface CrashReporter {
  /**
   * Publishes an attempt that is about to be sent as an open run, if servers have ended under its
   * content. A crash then counts even if the head of the response is lost on the way, or this VM
   * stops.
   */
  recordSend(content: RequestContent, target: BackendTarget): void;
  /** Checks whether the server of a run that broke off has crashed; resolves after the check. */
  record(run: ServerRun): Promise<void>;
  /** Must be called when an open run was published, by this VM or another. */
  onFact(body: OpenRunFact): void;
  /** Reports the open runs whose server has ended since; called periodically. */
  tick(): void;
  /** Whether there are open runs, which `tick` must check. */
  readonly isFollowing: boolean;
}

/** An open run that is tracked until its server ends. */
interface FollowedRun {
  /** The incarnation that received the run, as far as known; null before the first check. */
  readonly instanceId: string | null;
  /** When this VM reports the end; null while the server has not ended. */
  readonly reportsAtMs: number | null;
}

const UNCHECKED: FollowedRun = { instanceId: null, reportsAtMs: null };

/**
 * Interval between the reports of different VMs. The VM that published a run reports the end of its
 * server at once; in case that VM has stopped, the others report it in turn, unless a report has
 * reached them. A report takes two hops, each of which waits up to 50 ms, so 150 ms suffice.
 */
const REPORT_STAGGER_MS = 150;
/** Bounds memory: the reset of a network link breaks many connections whose servers live on. */
const MAX_OPEN_RUNS = 512;

export function createCrashReporter(options: CrashReporterOptions): CrashReporter {
  const {
    clock,
    table,
    publish,
    isSuspected,
    isReachable,
    findReceiver,
    isLostOrReplaced,
    rankOf,
    onCrash,
  } = options;
  /** Open runs by the key of their fact. */
  const followed = new Map<string, FollowedRun>();
  const own = new Set<string>();

  function wasKnown(identity: CrashIdentity, sentAtMs: number): boolean {
    const keys = [FACT_KEYS.crash(identity), FACT_KEYS.openRun(identity)];
    return keys.some((key) => (table.find(key)?.receivedAtMs ?? Infinity) < sentAtMs);
  }

  /**
   * Counts the runs of the content under this instance id that had broken off before the run was
   * sent. If one of them was a crash, the server has restarted since, and the count tells its
   * incarnations apart although the new instance id is not known yet. If only connections were
   * lost, none of these runs is a crash, and the count does not matter.
   */
  function countBefore({ content, instanceId }: ServerRun, sentAtMs: number): number {
    let turn = 0;
    while (wasKnown({ content, instanceId, turn, evidence: 'run' }, sentAtMs)) turn += 1;
    return turn;
  }

  /**
   * Attempts always have turn 0, as an attempt after the server's end may have reached no server.
   */
  function toEnd(run: ServerRun, evidence: CrashEvidence, sentAtMs: number): CrashedRun {
    const { content, instanceId, ranMs, parts = [] } = run;
    const turn = evidence === 'run' ? countBefore(run, sentAtMs) : 0;
    const end = { content, instanceId, turn, evidence, ranMs: Math.round(ranMs) };
    return parts.length > 0 ? { ...end, parts } : end;
  }

  function open(end: CrashedRun, address: string): void {
    const wallMs = Math.floor(clock.wallMs());
    const body: OpenRunFact = { kind: 'open-run', ...end, address, wallMs };
    const key = FACT_KEYS.openRun(body);
    publish(key, body);
    // Only tracked runs are kept as this VM's own: `forget` removes a run from both together.
    if (followed.has(key)) own.add(key);
  }

  function forget(key: string): void {
    followed.delete(key);
    own.delete(key);
  }

  function reportDelayMs(key: string): number {
    return own.has(key) ? 0 : rankOf(key) * REPORT_STAGGER_MS;
  }

  function checkRun(key: string, { instanceId, reportsAtMs }: FollowedRun): void {
    const fact = table.find(key);
    const nowMs = clock.nowMs();
    if (fact?.body.kind !== 'open-run' || nowMs - fact.receivedAtMs >= OPEN_RUN_RETENTION_MS) {
      forget(key);
      return;
    }
    const { body } = fact;
    const sentAtMs = fact.receivedAtMs - body.ranMs;
    const target = { instanceId: instanceId ?? body.instanceId, address: body.address };
    const hasTargetEnded = isLostOrReplaced(target, sentAtMs);
    const receiverId = hasTargetEnded ? findReceiver(target, sentAtMs) : target.instanceId;
    const isOver =
      hasTargetEnded &&
      (receiverId === target.instanceId ||
        isLostOrReplaced({ ...target, instanceId: receiverId }, sentAtMs));
    const atMs = isOver ? (reportsAtMs ?? nowMs + reportDelayMs(key)) : null;
    followed.set(key, { instanceId: receiverId, reportsAtMs: atMs });
    if (atMs === null || nowMs < atMs) return;
    forget(key);
    const { content, turn, evidence, ranMs, parts } = body;
    const agedMs = Math.round(nowMs - fact.receivedAtMs);
    const crashed = { content, instanceId: receiverId, turn, evidence, ranMs, agedMs };
    onCrash(parts ? { ...crashed, parts } : crashed);
  }

  return {
    recordSend(content, { instanceId, address }) {
      if (!isSuspected(content)) return;
      const run = { content: digestContent(content), instanceId, address, ranMs: 0 };
      open(toEnd(run, 'attempt', clock.nowMs()), address);
    },
    async record(run) {
      const sentAtMs = clock.nowMs() - run.ranMs;
      const received = { ...run, instanceId: findReceiver(run, sentAtMs) };
      const isCrash = isLostOrReplaced(received, sentAtMs) || !(await isReachable(run.address));
      const end = toEnd(received, 'run', sentAtMs);
      if (isCrash) onCrash(end);
      else open(end, run.address);
    },
    onFact(body) {
      const key = FACT_KEYS.openRun(body);
      if (followed.has(key)) return;
      followed.set(key, UNCHECKED);
      const [oldest] = followed.keys();
      if (followed.size > MAX_OPEN_RUNS && oldest !== undefined) forget(oldest);
    },
    tick() {
      followed.forEach((run, key) => checkRun(key, run));
    },
    get isFollowing() {
      return followed.size > 0;
    },
  };
}
