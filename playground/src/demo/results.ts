/** What the demo's callers saw, against what the stand-ins did. */
import type { DevDeployment } from "@sassafrascleat/daemon";
import { expectedText } from "@sassafrascleat/testing";
import type { ModelAnswer, ModelRequest } from "../caller/model_caller.ts";

/** The demo's verdict. */
export interface Verdict {
  answered: number;
  lost: number;
  duplicated: number;
  /** Prefill tokens whose result nobody received, as a share of all. */
  wastedPrefill: number;
  problems: string[];
}

/** Counts answers and collects broken promises. */
export class Ledger {
  #answered = 0;
  #lost = 0;
  readonly #problems: string[] = [];

  /** Records a model answer and compares it with the expected text. */
  model(req: ModelRequest, answer: ModelAnswer): void {
    const expected = expectedText(req.prompt, req.maxTokens);
    if (answer.finished && answer.text === expected) {
      this.#answered++;
      return;
    }
    this.#lost++;
    const { status, outcome } = answer;
    this.problem(
      `model answer is not whole: ${JSON.stringify({ status, outcome })}`,
    );
  }

  /** Records a call that was answered as it should be. */
  answered(): void {
    this.#answered++;
  }

  /** Records a broken promise. */
  problem(message: string): void {
    this.#problems.push(message);
  }

  /** Compares with the stand-ins' books. */
  verdict(deployment: DevDeployment): Verdict {
    const backends = deployment.offices.flatMap((office) => office.backends);
    const engines = backends.flatMap((backend) => backend.engine ?? []);
    const plains = backends.flatMap((backend) => backend.plain ?? []);
    const books = engines.map((engine) => engine.books());
    const run = books.reduce((sum, book) => sum + book.prefillTokens, 0);
    const wasted = books.reduce((sum, book) => sum + book.wastedTokens, 0);
    const held = books.reduce((sum, book) => sum + book.heldPieces, 0);
    if (held > 0) this.problem(`${held} memory pieces are still held`);
    const duplicated = countRepeats(
      plains.map((plain) => plain.books().executionsByBody),
    );
    return {
      answered: this.#answered,
      lost: this.#lost,
      duplicated,
      wastedPrefill: run === 0 ? 0 : wasted / run,
      problems: [...this.#problems],
    };
  }
}

/** Executions beyond the first of each order, over all backend servers. */
function countRepeats(books: Record<string, number>[]): number {
  const totals = new Map<string, number>();
  for (const book of books) {
    for (const [body, count] of Object.entries(book)) {
      if (body === "") continue;
      totals.set(body, (totals.get(body) ?? 0) + count);
    }
  }
  return [...totals.values()].reduce((sum, count) => sum + count - 1, 0);
}
