/**
 * The values that every branch of the settings tree may set, and otherwise inherits. A branch
 * contains only the values that it overrides.
 */
export interface Policy {
  /** Whether requests of this branch are accepted at all. */
  readonly isEnabled: boolean;
  /** Share of capacity relative to other organisations while requests are queued. */
  readonly weight: number;
  /** Requests of priority 0 are shed first, those of priority 9 last. */
  readonly priority: number;
  /** Maximum number of concurrent requests on one entry VM. */
  readonly maxInFlight: number;
  /** Maximum number of queued requests on one entry VM. */
  readonly maxQueueLength: number;
  /** Maximum time that a request may wait for a slot. */
  readonly maxQueueTimeMs: number;
  /** Deadline of a request that does not state one. */
  readonly deadlineMs: number;
  readonly maxBodyBytes: number;
  readonly maxOutputTokens: number;
  /**
   * Whether a request without a `spoolplank-repeatable` header may be retried after an attempt that
   * may have run.
   */
  readonly isRepeatable: boolean;
  /** Maximum number of attempts after the first. */
  readonly maxRetries: number;
  /** How long an idempotency key is retained. */
  readonly keyRetentionMs: number;
  /** What an entry VM does when it cannot confirm its settings. */
  readonly onStaleSettings: 'refuse' | 'serve';
}

/** Values that apply where no branch sets them. */
export const DEFAULT_POLICY: Policy = {
  isEnabled: true,
  weight: 1,
  priority: 5,
  maxInFlight: 512,
  maxQueueLength: 1024,
  maxQueueTimeMs: 10_000,
  deadlineMs: 30_000,
  maxBodyBytes: 1_048_576,
  maxOutputTokens: 4096,
  isRepeatable: true,
  maxRetries: 2,
  keyRetentionMs: 86_400_000,
  onStaleSettings: 'refuse',
};

const COUNT = { type: 'integer', minimum: 0, maximum: 1_000_000 };
const DURATION_MS = { type: 'integer', minimum: 1, maximum: 604_800_000 };

/** JSON schema of a branch's overrides. */
export const POLICY_SCHEMA = {
  type: 'object',
  additionalProperties: false,
  properties: {
    isEnabled: { type: 'boolean', description: 'Whether requests of this branch are accepted.' },
    weight: {
      type: 'number',
      exclusiveMinimum: 0,
      maximum: 1000,
      description: 'Share of capacity relative to other organisations while requests are queued.',
    },
    priority: {
      type: 'integer',
      minimum: 0,
      maximum: 9,
      description: 'Requests of priority 0 are shed first, those of priority 9 last.',
    },
    maxInFlight: {
      ...COUNT,
      description: 'Maximum number of concurrent requests on one entry VM.',
    },
    maxQueueLength: { ...COUNT, description: 'Maximum number of queued requests on one entry VM.' },
    maxQueueTimeMs: {
      ...DURATION_MS,
      description: 'Maximum time that a request may wait for a slot.',
    },
    deadlineMs: { ...DURATION_MS, description: 'Deadline of a request that does not state one.' },
    maxBodyBytes: {
      type: 'integer',
      minimum: 1,
      maximum: 67_108_864,
      description: 'Maximum size of a request body.',
    },
    maxOutputTokens: {
      type: 'integer',
      minimum: 1,
      maximum: 1_000_000,
      description: 'Maximum number of tokens in one answer.',
    },
    isRepeatable: {
      type: 'boolean',
      description:
        'Whether a request without a `spoolplank-repeatable` header may be retried after an attempt that may have run.',
    },
    maxRetries: {
      type: 'integer',
      minimum: 0,
      maximum: 10,
      description: 'Maximum number of attempts after the first.',
    },
    keyRetentionMs: { ...DURATION_MS, description: 'How long an idempotency key is retained.' },
    onStaleSettings: {
      enum: ['refuse', 'serve'],
      description: 'What an entry VM does when it cannot confirm its settings.',
    },
  },
} as const;
