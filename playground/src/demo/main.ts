/**
 * `npm run demo`: the whole product in one process with a scripted load, then
 * a verdict from the stand-ins' books. `npm start` passes `--keep` and leaves
 * the deployment running.
 */
import { type DevDeployment, startDevDeployment } from "@sassafrascleat/daemon";
import { sleep } from "@sassafrascleat/runtime";
import { keepRunning } from "./keep.ts";
import { Ledger, type Verdict } from "./ledger.ts";
import {
  type DemoContext,
  loadWhileLeaving,
  orderTwice,
  patchPolicy,
  streamAnswers,
} from "./steps.ts";

/** Time for engines to free memory after the last answer, in milliseconds. */
const SETTLE_MS = 1_200;

/** First port of `npm start`. */
const KEEP_BASE_PORT = 8_101;

const say = (line: string) => console.log(line);

async function runSteps(ctx: DemoContext): Promise<void> {
  say("1. one streamed answer in each office");
  await streamAnswers(ctx);
  say("2. an order sent twice with the same idempotency key");
  await orderTwice(ctx);
  say("3. two patches against the same version");
  await patchPolicy(ctx);
  say("4. a load on both offices while an engine leaves");
  await loadWhileLeaving(ctx);
}

function report(verdict: Verdict): boolean {
  for (const problem of verdict.problems) say(`broken promise: ${problem}`);
  const { answered, lost, duplicated, wastedPrefill } = verdict;
  const ok = verdict.problems.length === 0 && lost === 0 && duplicated === 0;
  const figures = `answered=${answered} lost=${lost} duplicated=${duplicated}`;
  const waste = `wasted_prefill=${wastedPrefill.toFixed(4)}`;
  say(`demo ${ok ? "ok" : "failed"} ${figures} ${waste}`);
  return ok;
}

async function runDemo(deployment: DevDeployment): Promise<boolean> {
  const ledger = new Ledger();
  await runSteps({ deployment, ledger, say });
  await sleep(SETTLE_MS);
  const verdict = ledger.verdict(deployment);
  await deployment.close();
  return report(verdict);
}

const keep = process.argv.includes("--keep");
const deployment = await startDevDeployment({
  basePort: keep ? KEEP_BASE_PORT : 0,
  seed: 1,
});
if (keep) {
  keepRunning(deployment, say);
} else {
  const ok = await runDemo(deployment);
  process.exit(ok ? 0 : 1);
}
