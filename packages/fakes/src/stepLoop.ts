/** Continuous batching: each step takes what waits, up to the greatest batch. */
export interface StepItem {
  readonly priority: number;
  /** Tokens beyond the first that this item makes the step longer by. */
  readonly extraTokens: number;
  run(): void;
}

export interface StepLoopOptions {
  readonly maxBatch: number;
  readonly stepBaseMs: number;
  readonly stepPerItemMs: number;
  readonly prefillPerTokenMs: number;
}

export interface StepLoop {
  readonly queued: number;
  readonly running: number;
  /** Steps and items since the start. */
  readonly totals: { readonly steps: number; readonly items: number };
  add(item: StepItem): void;
}

export function createStepLoop(options: StepLoopOptions): StepLoop {
  const { maxBatch, stepBaseMs, stepPerItemMs, prefillPerTokenMs } = options;
  let waiting: StepItem[] = [];
  let running = 0;
  let steps = 0;
  let items = 0;
  let isBusy = false;
  /** When the engine is free: kept apart from timers, so that their lateness does not add up. */
  let freeAtMs = 0;

  function takeBatch(): readonly StepItem[] {
    if (waiting.length > maxBatch) waiting.sort((a, b) => b.priority - a.priority);
    return waiting.splice(0, maxBatch);
  }

  function durationMs(batch: readonly StepItem[]): number {
    const extraTokens = batch.reduce((sum, item) => sum + item.extraTokens, 0);
    return stepBaseMs + stepPerItemMs * (batch.length - 1) + prefillPerTokenMs * extraTokens;
  }

  function step(): void {
    if (waiting.length === 0) {
      isBusy = false;
      return;
    }
    isBusy = true;
    const batch = takeBatch();
    running = batch.length;
    const nowMs = performance.now();
    freeAtMs = Math.max(freeAtMs, nowMs - 1) + durationMs(batch);
    setTimeout(
      () => {
        running = 0;
        steps += 1;
        items += batch.length;
        batch.forEach((item) => item.run());
        step();
      },
      Math.max(0, freeAtMs - nowMs),
    );
  }

  return {
    get queued() {
      return waiting.length;
    },
    get running() {
      return running;
    },
    get totals() {
      return { steps, items };
    },
    add(item) {
      waiting = [...waiting, item];
      // In the next turn, so that items that arrive together share a step.
      if (!isBusy) {
        isBusy = true;
        setImmediate(step);
      }
    },
  };
}
