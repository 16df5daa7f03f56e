/**
 * Simulated control VMs in mocked time, and the live connections to them, which can fall silent
 * without a reset while new ones work.
 */
import type { StoredDocument } from '@spoolplank/control';
import { delay } from '@spoolplank/node';
import type { PeerCallOptions, PeerClient, PeerTarget } from '@spoolplank/node';
import { SpoolplankError } from '@spoolplank/shared';

export interface SilentControlVmsOptions {
  readonly hosts: readonly string[];
  /** Connections of the pool to each control VM when they fall silent. */
  readonly pooled: number;
  /** Time of a message in one direction. */
  readonly latencyMs: number;
  /** Shifts the times at which control VMs renew their own confirmations. */
  readonly phaseMs: number;
}

interface ControlCall {
  readonly documentVersion: number;
  readonly waitMs?: number;
}

/** A control VM that does not lead renews its confirmation at this interval. */
const RENEWAL_MS = 800;
const POLL_MS = 10;
const TIMEOUT_MS = 700;

export function createSilentControlVms(options: SilentControlVmsOptions) {
  const { hosts, pooled, latencyMs, phaseMs } = options;
  let document: StoredDocument = { version: 1, data: '' };
  /** Silent connections that are left in the pool of each host; null before the silence. */
  let silent: Map<string, number> | null = null;
  let unreachable: ReadonlySet<string> = new Set();
  let calls = 0;

  /** Age of a control VM's own confirmation; the first one leads. */
  function confirmedAgeOf(host: string): number {
    const index = hosts.indexOf(host);
    return index === 0 ? 0 : (Date.now() + phaseMs + index * 270) % RENEWAL_MS;
  }

  async function hold({ documentVersion, waitMs = 0 }: ControlCall): Promise<void> {
    const endsAtMs = Date.now() + waitMs;
    while (document.version <= documentVersion && Date.now() < endsAtMs) await delay(POLL_MS);
  }

  async function answer(host: string, request: ControlCall) {
    await delay(latencyMs);
    const arrivedAtMs = Date.now();
    await hold(request);
    const reply = {
      delta: { instance: host, revision: 1, updates: [] },
      ...(document.version > request.documentVersion ? { document } : {}),
      documentVersion: document.version,
      confirmedAgeMs: confirmedAgeOf(host),
      waitedMs: Date.now() - arrivedAtMs,
    };
    await delay(latencyMs);
    return reply;
  }

  /** A call on a connection that is silent from the start, or falls silent before the answer. */
  async function failWithin(timeoutMs: number): Promise<never> {
    await delay(timeoutMs);
    throw new SpoolplankError('unreachable', { detail: `no answer within ${timeoutMs} ms` });
  }

  async function callOnNewConnection({ host }: PeerTarget, params: unknown, timeoutMs: number) {
    calls += 1;
    if (unreachable.has(host)) return failWithin(timeoutMs);
    // The handshake takes a message in each direction.
    await delay(2 * latencyMs);
    return answer(host, params as ControlCall);
  }

  async function call(
    target: PeerTarget,
    _method: string,
    params: unknown,
    { timeoutMs = TIMEOUT_MS, usesNewConnection = false }: PeerCallOptions = {},
  ) {
    if (usesNewConnection) return callOnNewConnection(target, params, timeoutMs);
    const left = silent?.get(target.host) ?? 0;
    if (left > 0) {
      calls += 1;
      silent?.set(target.host, left - 1);
      return failWithin(timeoutMs);
    }
    if (unreachable.has(target.host) || silent) {
      return callOnNewConnection(target, params, timeoutMs);
    }
    calls += 1;
    const reply = await answer(target.host, params as ControlCall);
    // The answer is lost if its connection has fallen silent meanwhile.
    return silent ? failWithin(timeoutMs - reply.waitedMs) : reply;
  }

  return {
    peers: { call, close() {} } as unknown as PeerClient,
    /** Silences the live connections to some hosts, and makes others unreachable for good. */
    silence(silentHosts: readonly string[], unreachableHosts: readonly string[] = []): void {
      silent = new Map(silentHosts.map((host) => [host, pooled]));
      unreachable = new Set(unreachableHosts);
    },
    change(): void {
      document = { version: document.version + 1, data: '' };
    },
    get version() {
      return document.version;
    },
    get calls() {
      return calls;
    },
  };
}
