/**
 * The values that every branch of the settings tree may set and inherits from the branch
 * above it. A branch states only what it overrides.
 */
export interface Policy {
  /** Whether requests of this branch are taken at all. */
  readonly isEnabled: boolean;
  /** Share of capacity against other organisations when there is a queue. */
  readonly weight: number;
  /** 0 is shed first, 9 last. */
  readonly priority: number;
  /** Greatest number of requests that run at once on one entry VM. */
  readonly maxInFlight: number;
  /** Greatest number of requests that wait on one entry VM. */
  readonly maxQueueLength: number;
  /** Longest time a request may wait for a slot. */
  readonly maxQueueTimeMs: number;
  /** Deadline of a request that states none. */
  readonly deadlineMs: number;
  readonly maxBodyBytes: number;
  readonly maxOutputTokens: number;
  /** Whether a request that says nothing may be run again after a failure. */
  readonly isRepeatable: boolean;
  /** Greatest number of attempts beyond the first. */
  readonly maxRetries: number;
  /** How long an idempotency key is kept. */
  readonly keyRetentionMs: number;
  /** What an entry VM does when it cannot confirm its settings. */
  readonly onStaleSettings: 'refuse' | 'serve';
}

/** What applies where no branch says otherwise. */
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
    isEnabled: { type: 'boolean', description: 'Whether requests of this branch are taken.' },
    weight: {
      type: 'number',
      exclusiveMinimum: 0,
      maximum: 1000,
      description: 'Share of capacity while requests queue.',
    },
    priority: {
      type: 'integer',
      minimum: 0,
      maximum: 9,
      description: '0 is shed first, 9 last.',
    },
    maxInFlight: { ...COUNT, description: 'Requests that run at once on one entry VM.' },
    maxQueueLength: { ...COUNT, description: 'Requests that wait on one entry VM.' },
    maxQueueTimeMs: { ...DURATION_MS, description: 'Longest wait for a slot.' },
    deadlineMs: { ...DURATION_MS, description: 'Deadline of a request that states none.' },
    maxBodyBytes: {
      type: 'integer',
      minimum: 1,
      maximum: 67_108_864,
      description: 'Largest request body.',
    },
    maxOutputTokens: {
      type: 'integer',
      minimum: 1,
      maximum: 1_000_000,
      description: 'Most tokens in one answer.',
    },
    isRepeatable: {
      type: 'boolean',
      description: 'Whether a request that says nothing may be run again after a failure.',
    },
    maxRetries: {
      type: 'integer',
      minimum: 0,
      maximum: 10,
      description: 'Attempts beyond the first.',
    },
    keyRetentionMs: { ...DURATION_MS, description: 'How long an idempotency key is kept.' },
    onStaleSettings: {
      enum: ['refuse', 'serve'],
      description: 'What an entry VM does when it cannot confirm its settings.',
    },
  },
} as const;
