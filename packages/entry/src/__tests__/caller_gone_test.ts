import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { RefusalReason } from "@sassafrascleat/protocol";
import { createPlacementPolicy, PolicyName } from "@sassafrascleat/routing";
import { sleep } from "@sassafrascleat/runtime";
import type { FrameWriter } from "./fake_sidecar.ts";
import { Harness, until } from "./harness.ts";

const NEVER = new Promise<never>(() => {});

describe("a caller that disconnects", () => {
  let harness: Harness;
  let caller: AbortController;

  beforeEach(async () => {
    harness = await Harness.start();
    caller = new AbortController();
  });

  afterEach(() => harness.close());

  /** Sends a request that `caller` can abort; resolves with its text or error. */
  function send(): Promise<unknown> {
    return harness.complete({ stream: true }, { signal: caller.signal })
      .then((res) => res.text()).catch((err) => err);
  }

  async function expectNothingHeld(): Promise<void> {
    await until(() => harness.entry.inFlight === 0);
    const sidecars = [...harness.decodes, harness.prefill];
    await until(() => sidecars.every((it) => it.held.size === 0));
  }

  test("while queued has its request removed from the queue", async () => {
    for (const decode of harness.decodes) {
      decode.onReserve = async () => decode.refused(RefusalReason.Full);
    }
    const sent = send();
    await until(() => harness.decodes[1].reserves.length > 0);
    caller.abort();
    await sent;
    await expectNothingHeld();
    const reservesBefore = harness.decodes[0].reserves.length;
    expect(
      await harness.complete({}, {
        signal: AbortSignal.timeout(100),
      }).catch(() => undefined),
    ).toBeUndefined();
    expect(harness.decodes[0].reserves.length).toBeGreaterThan(reservesBefore);
  });

  test("during the reservation has it cancelled, and nothing is prefilled", async () => {
    let grant = () => {};
    const [decode] = harness.decodes;
    decode.onReserve = async () => {
      await new Promise<void>((resolve) => grant = resolve);
      return decode.granted();
    };
    const sent = send();
    await until(() => decode.reserves.length === 1);
    caller.abort();
    await sent;
    grant();
    await until(() => decode.cancels.length > 0);
    await expectNothingHeld();
    expect(harness.prefill.prefills).toHaveLength(0);
  });

  test("during its prefill has it cancelled at both sidecars and counted as wasted", async () => {
    harness.prefill.onPrefill = () => NEVER;
    const sent = send();
    await until(() => harness.prefill.prefills.length === 1);
    caller.abort();
    await sent;
    await until(() => harness.prefill.cancels.length > 0);
    await until(() => harness.decodes[0].cancels.length > 0);
    await expectNothingHeld();
    const wasted = /prefill_tokens_total.*wasted.* 6$/;
    while (!await harness.metric(wasted)) await sleep(5);
  });

  test("during its stream has the attempt cancelled at the sidecar", async () => {
    let out: FrameWriter | undefined;
    harness.decodes[0].onStart = (_req, writer) => {
      writer.tokens(0, "a ");
      out = writer;
    };
    const res = await harness.complete(
      { stream: true },
      { signal: caller.signal },
    );
    await res.body!.getReader().read();
    caller.abort();
    await out!.closed();
    await until(() => harness.decodes[0].cancels.length > 0);
    await expectNothingHeld();
  });

  test("during its stream is counted as caller_gone, not as backend_failed", async () => {
    harness.decodes[0].onStart = (_req, writer) => writer.tokens(0, "a ");
    const res = await harness.complete(
      { stream: true },
      { signal: caller.signal },
    );
    const reader = res.body!.getReader();
    await reader.read();
    caller.abort();
    await expectNothingHeld();
    const metrics = await fetch(`${harness.entry.callersAddress}/metrics`);
    const text = await metrics.text();
    expect(text).toMatch(/outcome="unknown",reason="caller_gone"\} 1/);
    expect(text).not.toMatch(/backend_failed/);
  });

  test("has its cancel repeated until the sidecar acknowledges it", async () => {
    const [decode] = harness.decodes;
    harness.prefill.onPrefill = () => NEVER;
    const cancel = decode.cancel.bind(decode);
    let lost = 0;
    decode.cancel = async (req) => {
      lost += 1;
      if (lost < 4) throw new Error("lost");
      return cancel(req);
    };
    const sent = send();
    await until(() => harness.prefill.prefills.length === 1);
    caller.abort();
    await sent;
    await expectNothingHeld();
    expect(lost).toBe(4);
  });
});

describe("a caller that reads too slowly", () => {
  test("is disconnected, and its attempt is cancelled", async () => {
    const harness = await Harness.start({ entry: { callerStallMs: 50 } });
    const token = "x".repeat(65_536);
    let sent = 0;
    harness.decodes[0].onStart = (_req, writer) => {
      const timer = setInterval(() => {
        writer.tokens(sent, token);
        sent += 1;
      }, 1);
      void writer.closed().then(() => clearInterval(timer));
    };
    const body = { stream: true, max_tokens: 4_000 };
    const res = await harness.complete(body);
    expect(res.status).toBe(200);
    await until(() => harness.decodes[0].cancels.length > 0);
    await until(() => harness.entry.inFlight === 0);
    await expect(res.text()).rejects.toThrow();
    await harness.close();
  });
});

describe("cancelled prefills", () => {
  test("do not block later requests", async () => {
    const placement = createPlacementPolicy(PolicyName.JustInTime);
    const harness = await Harness.start({ entry: { placement } });
    const { prefill } = harness;
    const prompt = "word ".repeat(3_900);
    const answer = prefill.onPrefill;
    prefill.onPrefill = () => NEVER;
    for (const prefillCount of [1, 2, 3]) {
      const caller = new AbortController();
      const sent = harness.complete({ prompt }, { signal: caller.signal })
        .catch(() => {});
      await until(() => prefill.prefills.length === prefillCount);
      caller.abort();
      await sent;
      await until(() => harness.entry.inFlight === 0);
    }
    prefill.onPrefill = answer;
    expect((await harness.complete({ prompt })).status).toBe(200);
    await harness.close();
  });
});
