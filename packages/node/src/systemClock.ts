import { performance } from 'node:perf_hooks';
import type { Clock } from '@spoolplank/shared';

/** The clock of the machine. */
export const SYSTEM_CLOCK: Clock = {
  nowMs: () => performance.now(),
  wallMs: () => Date.now(),
};

/** Runs a function later; returns how to cancel that. */
export function scheduleTimer(run: () => void, delayMs: number): () => void {
  const timer = setTimeout(run, delayMs);
  return () => clearTimeout(timer);
}

/** Resolves after a time. */
export function delay(durationMs: number): Promise<void> {
  return new Promise((resolve) => {
    setTimeout(resolve, durationMs);
  });
}
