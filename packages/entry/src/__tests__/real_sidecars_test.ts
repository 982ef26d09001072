import { afterEach, describe, expect, test } from "@jest/globals";
import { expectedText, ProxyMode } from "@sassafrascleat/testing";
import { eventsOf, textOf, until } from "./harness.ts";
import { RealRig } from "./real_rig.ts";

const MAX_TOKENS = 60;

describe("an entry with real sidecars", () => {
  let rig: RealRig;

  afterEach(() => rig.close());

  async function complete(prompt: string, signal?: AbortSignal) {
    const res = await fetch(`${rig.entry.callersAddress}/v1/completions`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        model: "guide-writer",
        prompt,
        stream: true,
        max_tokens: MAX_TOKENS,
      }),
      signal,
    });
    const text = await res.text();
    if (res.status !== 200) return `${res.status} ${text}`;
    const events = eventsOf(text);
    return events.at(-1) === "[DONE]" ? textOf(events) : events.at(-1)!;
  }

  function order(body: string, headers: Record<string, string> = {}) {
    const url = `${rig.entry.callersAddress}/services/orders/orders`;
    return fetch(url, { method: "POST", body, headers });
  }

  function prompts(count: number): string[] {
    return Array.from({ length: count }, (_, i) => `guide ${i} #len=50`);
  }

  function held(): string[] {
    return [...rig.decodes, ...rig.prefills]
      .flatMap((it) => it.server.stats().heldIds);
  }

  async function expectCompleteAnswers(
    sentPrompts: string[],
    answers: Promise<string>[],
  ) {
    const texts = await Promise.all(answers);
    const expectedTexts = sentPrompts.map((it) => expectedText(it, MAX_TOKENS));
    expect(texts).toEqual(expectedTexts);
    await until(() => held().length === 0);
  }

  test("answers every caller with its own whole answer", async () => {
    rig = await RealRig.start();
    const sentPrompts = prompts(30);
    await expectCompleteAnswers(
      sentPrompts,
      sentPrompts.map((it) => complete(it)),
    );
    const { prefillsRun, wastedTokens } = rig.prefills[0]!.server.stats();
    expect(prefillsRun).toBe(30);
    expect(wastedTokens).toBe(0);
  });

  test("resumes streams at their offset when open connections stop delivering data", async () => {
    rig = await RealRig.start();
    const sentPrompts = prompts(8);
    const answers = sentPrompts.map((it) => complete(it));
    const [first, second] = rig.decodes;
    await until(() => startedDecodes(first!) + startedDecodes(second!) === 8);
    for (const { proxy } of rig.decodes) proxy.blackholeOpenConnections();
    await expectCompleteAnswers(sentPrompts, answers);
    expect(startedDecodes(first!) + startedDecodes(second!)).toBe(8);
    const metrics = await rig.entry.metrics.registry.metrics();
    expect(metrics).toMatch(/stream_redials_total [1-9]/);
  });

  test("completes every answer when a decode engine crashes during its streams", async () => {
    rig = await RealRig.start();
    const sentPrompts = prompts(12);
    const answers = sentPrompts.map((it) => complete(it));
    const [first] = rig.decodes;
    await until(() => startedDecodes(first!) > 2);
    first!.server.setFaults({ dead: true });
    const texts = await Promise.all(answers);
    expect(texts).toEqual(
      sentPrompts.map((it) => expectedText(it, MAX_TOKENS)),
    );
  });

  test("completes every answer when a decode sidecar is unreachable permanently", async () => {
    rig = await RealRig.start();
    const sentPrompts = prompts(8);
    const answers = sentPrompts.map((it) => complete(it));
    const [first] = rig.decodes;
    await until(() => startedDecodes(first!) > 1);
    first!.proxy.setMode(ProxyMode.Reset);
    first!.proxy.resetAll();
    await expectCompleteAnswers(sentPrompts, answers);
  });

  test("uses a prefill result on another decode engine when its transfer stalls", async () => {
    rig = await RealRig.start({ transferTimeoutMs: 150 });
    for (const { server } of rig.decodes) {
      server.setFaults({ stallTransfers: true });
    }
    const answer = complete("guide #len=20");
    const [first, second] = rig.decodes;
    await until(() => held().some((id) => id.endsWith("/1")));
    const stalled = first!.server.stats().heldIds.length > 0 ? first : second;
    const other = stalled === first ? second : first;
    other!.server.setFaults({ stallTransfers: false });
    expect(await answer).toBe(expectedText("guide #len=20", MAX_TOKENS));
    expect(rig.prefills[0]!.server.stats().prefillsRun).toBe(1);
    expect(startedDecodes(stalled!)).toBe(0);
    expect(startedDecodes(other!)).toBe(1);
  });

  test("frees the engine memory of callers that have disconnected", async () => {
    rig = await RealRig.start();
    const caller = new AbortController();
    const sent = prompts(20).map((it) =>
      complete(it, caller.signal).catch(() => "")
    );
    const [first, second] = rig.decodes;
    await until(() => startedDecodes(first!) + startedDecodes(second!) > 3);
    caller.abort();
    await Promise.all(sent);
    await until(() => rig.entry.inFlight === 0);
    await until(() => held().length === 0);
  });

  test("runs an order once when its answer is lost", async () => {
    rig = await RealRig.start();
    const [plainBackend] = rig.plains;
    plainBackend!.server.setDelay(300);
    const sent = order("ten castles");
    await until(() => plainBackend!.server.stats().total === 1);
    plainBackend!.proxy.blackholeOpenConnections();
    const res = await sent;
    expect(res.status).toBe(200);
    expect(await res.json()).toMatchObject({ echo: "ten castles" });
    expect(plainBackend!.server.stats().executionsByBody).toEqual({
      "ten castles": 1,
    });
  });

  test("runs concurrent orders with the same idempotency key once", async () => {
    rig = await RealRig.start();
    const [plainBackend] = rig.plains;
    plainBackend!.server.setDelay(100);
    const key = { "idempotency-key": "order-7" };
    const sent = Array.from({ length: 6 }, () => order("a keep", key));
    for (const res of await Promise.all(sent)) {
      expect(await res.json()).toMatchObject({ echo: "a keep", count: 1 });
    }
    expect(plainBackend!.server.stats().total).toBe(1);
  });

  test("reports an unknown outcome when the order's sidecar closes during the call", async () => {
    rig = await RealRig.start();
    const [plainBackend] = rig.plains;
    plainBackend!.server.setDelay(200);
    const sent = order("a moat");
    await until(() => plainBackend!.server.stats().total === 1);
    await plainBackend!.sidecar.close();
    const res = await sent;
    expect(await res.json()).toMatchObject({ error: { outcome: "unknown" } });
    expect(plainBackend!.server.stats().total).toBe(1);
  });
});

function startedDecodes(node: RealRig["decodes"][number]): number {
  return node.server.stats().decodesStarted;
}
