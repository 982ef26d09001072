/** Compares the results of the demo's callers with the stand-ins' counters. */
import type { DevDeployment } from "@sassafrascleat/daemon";
import { expectedText } from "@sassafrascleat/testing";
import type { ModelAnswer, ModelRequest } from "../caller/model_caller.ts";

/** Outcome of the demo. */
export interface Verdict {
  answered: number;
  lost: number;
  duplicated: number;
  /** Fraction of prefill tokens whose result was not used. */
  wastedPrefill: number;
  problems: string[];
}

/** Counts answers and collects violated guarantees. */
export class DemoResults {
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
    this.addProblem(
      `model answer is incomplete or wrong: ${
        JSON.stringify({ status, outcome })
      }`,
    );
  }

  /** Records a call that was answered correctly. */
  answered(): void {
    this.#answered++;
  }

  /** Records a violated guarantee. */
  addProblem(message: string): void {
    this.#problems.push(message);
  }

  /** Compares the recorded answers with the stand-ins' counters. */
  verdict(deployment: DevDeployment): Verdict {
    const backends = deployment.offices.flatMap((office) => office.backends);
    const engines = backends.flatMap((backend) => backend.engine ?? []);
    const plains = backends.flatMap((backend) => backend.plain ?? []);
    const stats = engines.map((engine) => engine.stats());
    const run = stats.reduce((sum, engine) => sum + engine.prefillTokens, 0);
    const wasted = stats.reduce((sum, engine) => sum + engine.wastedTokens, 0);
    const held = stats.reduce((sum, engine) => sum + engine.heldPieces, 0);
    if (held > 0) this.addProblem(`${held} memory blocks are still held`);
    const duplicated = countDuplicates(
      plains.map((plain) => plain.stats().executionsByBody),
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

/** Counts executions of an order after its first, over all backend servers. */
function countDuplicates(counts: Record<string, number>[]): number {
  const totals = new Map<string, number>();
  for (const executionsByBody of counts) {
    for (const [body, count] of Object.entries(executionsByBody)) {
      if (body === "") continue;
      totals.set(body, (totals.get(body) ?? 0) + count);
    }
  }
  return [...totals.values()].reduce((sum, count) => sum + count - 1, 0);
}
