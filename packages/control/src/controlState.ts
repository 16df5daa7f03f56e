import type { JsonValue } from '@spoolplank/shared';
import { createClaimState } from './claimState';
import type { ClaimSnapshot, ClaimState, ClaimStateOptions } from './claimState';
import type { ChangeResult, ClaimResult, ControlCommand, LeaseResult } from './commands';
import { createLeaseState } from './leaseState';
import type { LeaseSnapshot, LeaseState } from './leaseState';
import type { LogClock } from './logClock';
import { createSettingsState } from './settingsState';
import type { SettingsSnapshot, SettingsState, SettingsStateOptions } from './settingsState';

interface ControlSnapshot {
  readonly formatVersion: number;
  readonly logTimeMs: number;
  readonly settings: SettingsSnapshot;
  readonly leases: LeaseSnapshot;
  readonly claims: ClaimSnapshot;
}

export type ControlResult = ChangeResult | LeaseResult | ClaimResult;

export interface ControlStateOptions {
  readonly logClock: LogClock;
  readonly settings?: SettingsStateOptions;
  readonly claims?: ClaimStateOptions;
}

/** The durable state of a deployment, as a state machine over the replicated log. */
export interface ControlState {
  readonly settings: SettingsState;
  readonly leases: LeaseState;
  readonly claims: ClaimState;
  apply(command: JsonValue): JsonValue;
  takeSnapshot(): string;
  restore(snapshot: string): void;
}

type Handler = (state: ControlState, command: never) => ControlResult;

const HANDLERS: Readonly<Record<ControlCommand['kind'], Handler>> = {
  'settings.change': ({ settings }, command) => settings.apply(command),
  'lease.acquire': ({ leases }, command) => leases.acquire(command),
  'lease.release': ({ leases }, command) => leases.release(command),
  'claim.acquire': ({ claims }, command) => claims.acquire(command),
  'claim.settle': ({ claims }, command) => claims.settle(command),
  'claim.void': ({ claims }, command) => claims.voidClaim(command),
};

const FORMAT_VERSION = 1;

export function createControlState({
  logClock,
  settings,
  claims,
}: ControlStateOptions): ControlState {
  let lastLogTimeMs = 0;
  const state: ControlState = {
    settings: createSettingsState(settings),
    leases: createLeaseState(),
    claims: createClaimState(claims),
    apply(raw) {
      const command = raw as unknown as ControlCommand;
      // Log times of successive leaders may be out of order; the applied time never decreases.
      lastLogTimeMs = Math.max(lastLogTimeMs, command.logTimeMs);
      logClock.observe(lastLogTimeMs);
      const stamped = { ...command, logTimeMs: lastLogTimeMs };
      return HANDLERS[command.kind](state, stamped as never) as unknown as JsonValue;
    },
    takeSnapshot() {
      const snapshot: ControlSnapshot = {
        formatVersion: FORMAT_VERSION,
        logTimeMs: lastLogTimeMs,
        settings: state.settings.snapshot(),
        leases: state.leases.snapshot(),
        claims: state.claims.snapshot(),
      };
      return JSON.stringify(snapshot);
    },
    restore(text) {
      if (text === '') return;
      const snapshot = JSON.parse(text) as ControlSnapshot;
      lastLogTimeMs = snapshot.logTimeMs;
      logClock.observe(lastLogTimeMs);
      state.settings.restore(snapshot.settings);
      state.leases.restore(snapshot.leases);
      state.claims.restore(snapshot.claims);
    },
  };
  return state;
}
