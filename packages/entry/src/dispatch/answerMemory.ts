/**
 * Limits the memory for answers that this VM keeps until they have ended. A faulty server may send
 * bytes without end, so the limit holds for all answers together: beyond it, the answer that keeps
 * most is given up, and the others are not affected.
 */
import { SpoolplankError } from '@spoolplank/shared';

export interface AnswerMemoryOptions {
  /** Bytes that all answers together may keep. */
  readonly maxBytes: number;
}

/** The bytes of one answer. */
export interface KeptAnswer {
  /** Records how many bytes of the answer are kept now. */
  setBytes(bytes: number): void;
  /** Ends the account; called when the answer has ended or is no longer kept. */
  release(): void;
}

export interface AnswerMemory {
  /** Bytes that are kept now. */
  readonly bytes: number;
  /**
   * Begins the account of an answer.
   *
   * @param onGivenUp Called with `answer-too-large` when the answer must no longer be kept.
   */
  open(onGivenUp: (error: SpoolplankError) => void): KeptAnswer;
}

interface Account {
  bytes: number;
  readonly onGivenUp: (error: SpoolplankError) => void;
}

export function createAnswerMemory({ maxBytes }: AnswerMemoryOptions): AnswerMemory {
  const accounts = new Set<Account>();
  let total = 0;

  function close(account: Account): void {
    if (!accounts.delete(account)) return;
    total -= account.bytes;
  }

  function giveUpLargest(): void {
    const [largest] = [...accounts].sort((a, b) => b.bytes - a.bytes);
    if (!largest) return;
    close(largest);
    const detail = `${largest.bytes} bytes, the most of ${accounts.size + 1} answers.`;
    largest.onGivenUp(new SpoolplankError('answer-too-large', { detail }));
  }

  return {
    get bytes() {
      return total;
    },
    open(onGivenUp) {
      const account: Account = { bytes: 0, onGivenUp };
      accounts.add(account);
      return {
        setBytes(bytes) {
          if (bytes === account.bytes || !accounts.has(account)) return;
          total += bytes - account.bytes;
          account.bytes = bytes;
          if (total > maxBytes) giveUpLargest();
        },
        release: () => close(account),
      };
    },
  };
}
