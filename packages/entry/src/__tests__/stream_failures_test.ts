import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import {
  FrameKind,
  RefusalReason,
  StreamFailure,
} from "@sassafrascleat/protocol";
import { createPlacementPolicy, PolicyName } from "@sassafrascleat/routing";
import { IDLE_HINT } from "./fake_sidecar.ts";
import { eventsOf, Harness, textOf, until } from "./harness.ts";

const FULL_ANSWER = "a whole answer";

describe("a token stream", () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await Harness.start();
  });

  afterEach(() => harness.close());

  async function answer(): Promise<string> {
    const res = await harness.complete({ stream: true });
    const events = eventsOf(await res.text());
    expect(events.at(-1)).toBe("[DONE]");
    return textOf(events);
  }

  test("that stops delivering frames is resumed on a new connection", async () => {
    const [decode] = harness.decodes;
    decode.onStart = (_req, out) => out.tokens(0, "a ");
    decode.onResume = (req, out) => {
      out.tokens(req.offset, "whole ", "answer");
      out.end(3);
    };
    expect(await answer()).toBe(FULL_ANSWER);
    expect(decode.starts).toHaveLength(1);
    expect(decode.resumes.map((it) => it.offset)).toEqual([1]);
    expect(harness.prefill.prefills).toHaveLength(1);
  });

  test("that delivers no frame at all is started again as the same attempt", async () => {
    const [decode] = harness.decodes;
    const reply = decode.onStart;
    decode.onStart = (req, out) => {
      if (decode.starts.length > 1) reply(req, out);
    };
    expect(await answer()).toBe(FULL_ANSWER);
    expect(decode.starts.map((it) => it.attempt)).toEqual([1, 1]);
  });

  test("drops frames of other requests or attempts and frames with wrong offsets", async () => {
    const [decode] = harness.decodes;
    decode.onStart = (_req, out) => {
      out.tokens(0, "a ");
      const foreign = { offset: 1, tokens: ["WRONG "] };
      out.frame({ kind: FrameKind.Tokens, ...foreign, requestId: "another" });
      out.frame({ kind: FrameKind.Tokens, ...foreign, attempt: 7 });
      out.tokens(0, "a ");
      out.frame({ kind: FrameKind.End, offset: 0 });
      out.frame({ kind: FrameKind.Failed, offset: 0, attempt: 7 });
      out.tokens(1, "whole ", "answer");
      out.end(3);
    };
    expect(await answer()).toBe(FULL_ANSWER);
    const dropped = await harness.metric(/^sassafrascleat_frames_dropped/);
    expect(dropped).toMatch(/ 5$/);
  });

  test("with a gap in its offsets is resumed at the gap", async () => {
    const [decode] = harness.decodes;
    decode.onStart = (_req, out) => {
      out.tokens(0, "a ");
      out.tokens(2, "answer");
      out.end(3);
    };
    decode.onResume = (req, out) => {
      out.tokens(req.offset, "whole ", "answer");
      out.end(3);
    };
    expect(await answer()).toBe(FULL_ANSWER);
    expect(decode.resumes.map((it) => it.offset)).toEqual([1]);
  });

  test("whose engine is lost continues on another server with the tokens sent so far", async () => {
    harness.decodes[0].onStart = (_req, out) => {
      out.tokens(0, "a ");
      out.fail({ kind: FrameKind.Failed, failure: StreamFailure.EngineLost });
    };
    expect(await answer()).toBe(FULL_ANSWER);
    const [start] = harness.decodes[1].starts;
    expect(start!.attempt).toBe(2);
    expect(start!.generated).toEqual(["a "]);
    expect(harness.prefill.prefills[1]!.generated).toEqual(["a "]);
  });

  test("whose sidecar stops continues on another server", async () => {
    harness.decodes[0].onStart = (_req, out) => {
      out.tokens(0, "a ");
      void harness.decodes[0].close();
    };
    expect(await answer()).toBe(FULL_ANSWER);
    expect(harness.hosts.failures).toContain("decode-1");
  });

  test("reuses the prefill result on another server when a transfer fails", async () => {
    harness.decodes[0].onStart = (_req, out) => {
      const failure = StreamFailure.TransferFailed;
      out.fail({ kind: FrameKind.Failed, failure });
    };
    expect(await answer()).toBe(FULL_ANSWER);
    expect(harness.prefill.prefills).toHaveLength(1);
    const [first] = harness.decodes[0].starts;
    const [second] = harness.decodes[1].starts;
    expect(second!.kv.handle).toBe(first!.kv.handle);
    expect(await harness.metric(/prefill_tokens.*wasted/)).toBeUndefined();
  });

  test("repeats the prefill when its result has expired", async () => {
    harness.decodes[0].onStart = (_req, out) => {
      out.fail({ kind: FrameKind.Failed, failure: StreamFailure.KvExpired });
    };
    expect(await answer()).toBe(FULL_ANSWER);
    expect(harness.prefill.prefills).toHaveLength(2);
    expect(await harness.metric(/prefill_tokens.*wasted/)).toMatch(/ 6$/);
    expect(await harness.metric(/prefill_tokens.*used/)).toMatch(/ 6$/);
  });

  test("moves to another server when its grant is refused at the start", async () => {
    harness.decodes[0].onStart = (_req, out) => {
      out.fail({
        kind: FrameKind.Failed,
        failure: StreamFailure.Refused,
        refusal: RefusalReason.GrantExpired,
      });
    };
    expect(await answer()).toBe(FULL_ANSWER);
    expect(harness.prefill.prefills).toHaveLength(1);
  });

  test("that fails in every attempt ends with an error event", async () => {
    for (const decode of harness.decodes) {
      decode.onStart = (_req, out) => {
        out.tokens(0, "a ");
        out.fail({ kind: FrameKind.Failed, failure: StreamFailure.EngineLost });
      };
    }
    const res = await harness.complete({ stream: true });
    const events = eventsOf(await res.text());
    expect(events).not.toContain("[DONE]");
    expect(JSON.parse(events.at(-1)!)).toMatchObject({
      error: { outcome: "unknown", code: "backend_failed" },
    });
    const starts = harness.decodes.flatMap((it) => it.starts);
    expect(starts.map((it) => it.attempt).sort()).toEqual([1, 2, 3, 4]);
  });
});

describe("a request whose reservation or attempt fails", () => {
  test("is refused as not_run with a Retry-After header", async () => {
    const harness = await Harness.start({ policy: { maxQueueMs: 60 } });
    for (const decode of harness.decodes) {
      decode.onReserve = async () => decode.refused(RefusalReason.Full);
    }
    const res = await harness.complete({ stream: true });
    expect(res.status).toBe(503);
    expect(res.headers.get("retry-after")).toBe("1");
    expect(await res.json()).toMatchObject({
      error: { outcome: "not_run", code: "no_capacity" },
    });
    expect(harness.prefill.prefills).toHaveLength(0);
    await harness.close();
  });

  test("is placed on the next sidecar when one is leaving", async () => {
    const harness = await Harness.start();
    const [leaving] = harness.decodes;
    leaving.onReserve = async () => leaving.refused(RefusalReason.Leaving);
    expect((await harness.complete()).status).toBe(200);
    expect(harness.decodes[1].starts).toHaveLength(1);
    await harness.close();
  });

  test("is placed on the next sidecar when one does not reply, and is cancelled at that one", async () => {
    const harness = await Harness.start();
    const [silent, other] = harness.decodes;
    silent.onReserve = () => new Promise(() => {});
    expect((await harness.complete()).status).toBe(200);
    expect(silent.cancels[0]!.attempt).toBe(1);
    expect(other.starts[0]!.attempt).toBe(2);
    await harness.close();
  });

  test("is not reported as not_run after an attempt has started", async () => {
    const harness = await Harness.start({ policy: { maxAttempts: 1 } });
    harness.decodes[0].onStart = (_req, out) => {
      out.fail({ kind: FrameKind.Failed, failure: StreamFailure.EngineLost });
    };
    const res = await harness.complete();
    expect(res.status).toBe(502);
    expect(await res.json()).toMatchObject({ error: { outcome: "unknown" } });
    await harness.close();
  });
});

describe("a running attempt", () => {
  test("is renewed, and resumed immediately when the sidecar reports it missing", async () => {
    const harness = await Harness.start();
    const [decode] = harness.decodes;
    const hints: string[] = [];
    harness.hosts.observe = (name: string) => void hints.push(name);
    decode.onStart = (_req, out) => {
      const heartbeatTimer = setInterval(() => {
        out.frame({ kind: FrameKind.Heartbeat, offset: 0 });
      }, 50);
      void out.closed().then(() => clearInterval(heartbeatTimer));
    };
    decode.onResume = (_req, out) => {
      out.fail({ kind: FrameKind.Failed, failure: StreamFailure.NotFound });
    };
    decode.renew = async (req) => {
      decode.renews.push(req);
      return { incarnation: "d1", missing: req.attempts, hint: IDLE_HINT };
    };
    const res = await harness.complete({ stream: true });
    expect(textOf(eventsOf(await res.text()))).toBe(FULL_ANSWER);
    expect(decode.renews[0]!.attempts).toEqual([
      { requestId: decode.starts[0]!.requestId, attempt: 1 },
    ]);
    expect(decode.resumes).toHaveLength(1);
    expect(harness.decodes[1].starts).toHaveLength(1);
    expect(hints).toContain("decode-1");
    await harness.close();
  });
});

describe("a pool whose servers are all leaving", () => {
  test("is used again when its servers are no longer leaving", async () => {
    const placement = createPlacementPolicy(PolicyName.JustInTime);
    const harness = await Harness.start({ entry: { placement } });
    let leaving = true;
    for (const decode of harness.decodes) {
      const hint = { ...IDLE_HINT, leaving: true };
      decode.onReserve = async () =>
        leaving
          ? { ...decode.refused(RefusalReason.Leaving), hint }
          : decode.granted();
    }
    const sent = harness.complete();
    await until(() => harness.decodes.every((it) => it.reserves.length > 0));
    leaving = false;
    expect((await sent).status).toBe(200);
    await harness.close();
  });
});
