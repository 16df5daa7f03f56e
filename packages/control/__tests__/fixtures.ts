import { createManualClock } from '@spoolplank/shared';
import type { JsonValue, ManualClock } from '@spoolplank/shared';
import { createControlState, createLogClock } from '..';
import type { ControlRequest, ControlResult, ControlState } from '..';

export interface ControlFixture {
  readonly clock: ManualClock;
  readonly state: ControlState;
  /** Applies a command with the log time that a leader would assign. */
  submit(request: ControlRequest): ControlResult;
}

export function createControlFixture(maxClaims?: number): ControlFixture {
  const clock = createManualClock();
  const logClock = createLogClock(clock);
  const state = createControlState({
    logClock,
    claims: maxClaims === undefined ? {} : { maxClaims },
  });
  return {
    clock,
    state,
    submit: (request) =>
      state.apply({
        ...request,
        logTimeMs: logClock.nowMs(),
      } as unknown as JsonValue) as unknown as ControlResult,
  };
}

export function settingsChange(
  changeId: string,
  baseVersion: number,
  priority = 5,
): ControlRequest {
  return {
    kind: 'settings.change',
    changeId,
    baseVersion,
    edits: [{ pointer: '/policy/priority', value: priority }],
    author: 'op',
    wallMs: 0,
  };
}

export function claim(owner: string, key = 'k', requestDigest = 'd'): ControlRequest {
  return {
    kind: 'claim.acquire',
    organisation: 'o',
    key,
    requestDigest,
    owner,
    retentionMs: 60_000,
  };
}
