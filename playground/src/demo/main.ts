/**
 * `npm run demo`: runs the whole product in one process under a scripted load,
 * then checks the results against the stand-ins' counters. `npm start` passes
 * `--keep`, which skips the load and keeps the deployment running.
 */
import { type DevDeployment, startDevDeployment } from "@sassafrascleat/daemon";
import { sleep } from "@sassafrascleat/runtime";
import { keepRunning } from "./keep_running.ts";
import { DemoResults, type Verdict } from "./results.ts";
import {
  type DemoContext,
  loadWhileLeaving,
  orderTwice,
  patchPolicy,
  streamAnswers,
} from "./steps.ts";

/** Wait after the last answer for engines to free memory, in milliseconds. */
const MEMORY_RELEASE_WAIT_MS = 1_200;

/** First port of `npm start`. */
const KEEP_BASE_PORT = 8_101;

const print = (line: string) => console.log(line);

async function runSteps(ctx: DemoContext): Promise<void> {
  print("1. one streamed answer in each office");
  await streamAnswers(ctx);
  print("2. an order sent twice with the same idempotency key");
  await orderTwice(ctx);
  print("3. two patches against the same version");
  await patchPolicy(ctx);
  print("4. load on both offices while an engine is leaving");
  await loadWhileLeaving(ctx);
}

function report(verdict: Verdict): boolean {
  for (const problem of verdict.problems) {
    print(`violated guarantee: ${problem}`);
  }
  const { answered, lost, duplicated, wastedPrefill } = verdict;
  const ok = verdict.problems.length === 0 && lost === 0 && duplicated === 0;
  const figures = `answered=${answered} lost=${lost} duplicated=${duplicated}`;
  const waste = `wasted_prefill=${wastedPrefill.toFixed(4)}`;
  print(`demo ${ok ? "ok" : "failed"} ${figures} ${waste}`);
  return ok;
}

async function runDemo(deployment: DevDeployment): Promise<boolean> {
  const results = new DemoResults();
  await runSteps({ deployment, results, print });
  await sleep(MEMORY_RELEASE_WAIT_MS);
  const verdict = results.verdict(deployment);
  await deployment.close();
  return report(verdict);
}

const keep = process.argv.includes("--keep");
const deployment = await startDevDeployment({
  basePort: keep ? KEEP_BASE_PORT : 0,
  seed: 1,
});
if (keep) {
  keepRunning(deployment, print);
} else {
  const ok = await runDemo(deployment);
  process.exit(ok ? 0 : 1);
}
