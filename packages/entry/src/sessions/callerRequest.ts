/** Parses and validates the headers of a caller's request. */
import { randomUUID } from 'node:crypto';
import type { IncomingMessage } from 'node:http';
import { digestToken, readBearerToken, readSingleHeader } from '@spoolplank/node';
import type { Policy } from '@spoolplank/settings';
import { SpoolplankError } from '@spoolplank/shared';
import type { SettingsMirror } from './settingsMirror';

export interface CallerRequest {
  readonly requestId: string;
  readonly organisation: string;
  readonly service: string;
  readonly policy: Policy;
  readonly receivedAtMs: number;
  /** When the caller stops waiting; undefined when the request has no deadline header. */
  readonly statedDeadlineMs: number | undefined;
  /**
   * Whether the deadline applies to the first token only. This holds for sessions with a model
   * that have no explicit deadline, since they may last for hours.
   */
  readonly isFirstTokenDeadline: boolean;
  readonly isRepeatable: boolean;
  readonly idempotencyKey: string | undefined;
  /** When the key was created, on the caller's wall clock; undefined unless it is a UUIDv7. */
  readonly keyIssuedWallMs: number | undefined;
}

const MAX_DEADLINE_MS = 86_400_000;
const KEY_PATTERN = /^[\x21-\x7e]{1,255}$/;
const UUID_V7_PATTERN =
  /^([0-9a-f]{8})-([0-9a-f]{4})-7[0-9a-f]{3}-[89ab][0-9a-f]{3}-[0-9a-f]{12}$/i;

function readDeadline(request: IncomingMessage): number | undefined {
  const text = readSingleHeader(request, 'spoolplank-deadline-ms');
  if (text === undefined) return undefined;
  const durationMs = /^\d{1,9}$/.test(text) ? Number(text) : 0;
  if (durationMs < 1 || durationMs > MAX_DEADLINE_MS) {
    throw new SpoolplankError('invalid-header', {
      detail: `spoolplank-deadline-ms: a whole number from 1 to ${MAX_DEADLINE_MS} is expected.`,
    });
  }
  return durationMs;
}

const BOOLEANS: Readonly<Record<string, boolean>> = { true: true, false: false };

function readRepeatable(request: IncomingMessage, fallback: boolean): boolean {
  const text = readSingleHeader(request, 'spoolplank-repeatable');
  if (text === undefined) return fallback;
  const value = BOOLEANS[text.toLowerCase()];
  if (value === undefined) {
    throw new SpoolplankError('invalid-header', {
      detail: 'spoolplank-repeatable: true or false is expected.',
    });
  }
  return value;
}

function readKey(request: IncomingMessage): string | undefined {
  const key = readSingleHeader(request, 'idempotency-key');
  if (key !== undefined && !KEY_PATTERN.test(key)) {
    throw new SpoolplankError('invalid-header', {
      detail: 'idempotency-key: 1 to 255 printable characters are expected.',
    });
  }
  return key;
}

/** Timestamp of a key in UUID version 7 format (RFC 9562); undefined for any other key. */
export function readKeyTimestamp(key: string | undefined): number | undefined {
  const match = UUID_V7_PATTERN.exec(key ?? '');
  return match ? Number.parseInt(`${match[1]}${match[2]}`, 16) : undefined;
}

/**
 * Returns the organisation that the request's bearer token belongs to.
 *
 * @throws SpoolplankError `unauthorized`.
 */
export function authenticate(request: IncomingMessage, mirror: SettingsMirror): string {
  const token = readBearerToken(request);
  const organisation = token === '' ? undefined : mirror.findOrganisation(digestToken(token));
  if (organisation === undefined) throw new SpoolplankError('unauthorized');
  return organisation;
}

/** Parses and validates the headers that a request to a service may carry. */
export function readCallerRequest(
  request: IncomingMessage,
  organisation: string,
  service: string,
  mirror: SettingsMirror,
  receivedAtMs: number,
): CallerRequest {
  const policy = mirror.policyOf({ organisation, service });
  const durationMs = readDeadline(request);
  const idempotencyKey = readKey(request);
  return {
    requestId: randomUUID(),
    organisation,
    service,
    policy,
    receivedAtMs,
    statedDeadlineMs: durationMs === undefined ? undefined : receivedAtMs + durationMs,
    isFirstTokenDeadline:
      durationMs === undefined && mirror.tree.services?.[service]?.kind === 'model',
    isRepeatable: readRepeatable(request, policy.isRepeatable),
    idempotencyKey,
    keyIssuedWallMs: readKeyTimestamp(idempotencyKey),
  };
}

/** The explicit deadline, or the one from the policy. */
export function deadlineOf({ statedDeadlineMs, receivedAtMs, policy }: CallerRequest): number {
  return statedDeadlineMs ?? receivedAtMs + policy.deadlineMs;
}
