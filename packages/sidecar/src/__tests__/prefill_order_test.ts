/** Order in which prompts are sent to a prefill engine. */
import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { BackendRole, MAX_LATE_PRIORITY } from "@sassafrascleat/protocol";
import { prefillRequest, TestEnvironment, waitUntil } from "./harness.ts";

let env: TestEnvironment;
beforeEach(() => {
  env = new TestEnvironment();
});
afterEach(() => env.close());

/** Prompt tokens that the slow engine of these tests processes in one second. */
const LONG_TOKENS = 10_000;
const SHORT_TOKENS = 100;

describe("prefill order", () => {
  async function slowNode() {
    const options = { prefillRate: 10_000, prefillChunkTokens: 500 };
    const node = await env.node(BackendRole.Prefill, options);
    const ended: string[] = [];
    const run = async (id: string, fields: object) => {
      const req = prefillRequest(id, id, fields);
      const reply = await node.sidecar.control.prefill(req);
      ended.push(id);
      return reply;
    };
    return { node, ended, run };
  }

  test("urgent prompts overtake a long late one, which doesn't count as urgent", async () => {
    const { node, ended, run } = await slowNode();
    const long = run("long", {
      promptTokens: LONG_TOKENS,
      priority: MAX_LATE_PRIORITY,
    });
    await waitUntil("work", () => node.server.stats().heldIds.length === 1);
    const { hint } = await node.sidecar.control.status();
    expect(hint.queuedTokens).toBeGreaterThan(SHORT_TOKENS);
    expect(hint.urgentTokens).toBe(0);
    const urgent = { promptTokens: SHORT_TOKENS, priority: 1 };
    await Promise.all([run("a", urgent), run("b", urgent), long]);
    expect(ended.at(-1)).toBe("long");
  });

  test("orders by due time regardless of arrival, with late prompts last", async () => {
    const { ended, run } = await slowNode();
    const prompt = (dueInMs: number) => ({
      promptTokens: 4_000,
      priority: 1,
      dueInMs,
    });
    await Promise.all([
      run("first", prompt(10_000)),
      run("hopeless", prompt(50)),
      run("later", prompt(9_000)),
      run("sooner", prompt(8_000)),
    ]);
    const queued = ended.filter((id) => id !== "first");
    expect(queued).toEqual(["sooner", "later", "hopeless"]);
  });
});
