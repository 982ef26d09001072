import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { eventsOf, Harness, textOf, until } from "./harness.ts";

describe("a model request", () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await Harness.start();
  });

  afterEach(() => harness.close());

  test("is reserved, prefilled, started and streamed", async () => {
    const res = await harness.complete({ stream: true });
    expect(res.status).toBe(200);
    expect(res.headers.get("x-request-id")).toHaveLength(22);
    const events = eventsOf(await res.text());
    expect(textOf(events)).toBe("a whole answer");
    expect(events.at(-1)).toBe("[DONE]");
    expect(harness.decodes[0].reserves).toHaveLength(1);
    expect(harness.prefill.prefills).toHaveLength(1);
    const start = harness.decodes[0].starts[0]!;
    expect(start.kv.handle).toBe(`kv-${start.requestId}-1`);
  });

  test("gets one JSON object when the caller does not request a stream", async () => {
    const res = await harness.complete();
    expect(await res.json()).toMatchObject({
      choices: [{ text: "a whole answer", finish_reason: "stop" }],
      usage: { completion_tokens: 3 },
    });
  });
});

describe("limits of a request", () => {
  test("an empty prompt reserves memory for one token", async () => {
    const harness = await Harness.start();
    expect((await harness.complete({ prompt: "" })).status).toBe(200);
    expect(harness.decodes[0].reserves[0]!.promptTokens).toBe(1);
    await harness.close();
  });

  test("a timeout above the maximum delay of a timer does not expire immediately", async () => {
    const policy = { requestTimeoutMs: 1e12 };
    const harness = await Harness.start({ policy });
    expect((await harness.complete()).status).toBe(200);
    await harness.close();
  });

  test("a request ends at its deadline, and its reservation is released", async () => {
    const policy = { requestTimeoutMs: 150 };
    const harness = await Harness.start({ policy });
    const [decode] = harness.decodes;
    decode.onStart = (_req, out) => out.tokens(0, "a ");
    const res = await harness.complete({ stream: true });
    const events = eventsOf(await res.text());
    expect(JSON.parse(events.at(-1)!)).toMatchObject({
      error: { outcome: "unknown", code: "still_running" },
    });
    await until(() => decode.held.size === 0);
    await harness.close();
  });
});

describe("a plain call", () => {
  test("is answered by the service", async () => {
    const harness = await Harness.start();
    const res = await harness.order("/swaps?x=1", {
      method: "POST",
      body: "two",
    });
    expect(res.status).toBe(200);
    expect(await res.text()).toBe("done");
    expect(res.headers.get("x-answer")).toBe("yes");
    const call = harness.plains[0].calls[0]!;
    expect(call.path).toBe("/swaps?x=1");
    expect(Buffer.from(call.bodyBase64, "base64").toString()).toBe("two");
    await harness.close();
  });
});
