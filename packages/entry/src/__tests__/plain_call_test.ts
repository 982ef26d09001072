import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import { RefusalReason } from "@sassafrascleat/protocol";
import { isRepeatable } from "../plain/repeatable.ts";
import { PLAIN_SERVICE } from "./fakes.ts";
import { Harness, until } from "./harness.ts";

describe("a plain call that may not be repeated", () => {
  let harness: Harness;

  beforeEach(async () => {
    harness = await Harness.start();
  });

  afterEach(() => harness.close());

  function swap(): Promise<Response> {
    return harness.order("/swaps", { method: "POST", body: "Ann for Bob" });
  }

  async function outcomeOf(res: Response): Promise<unknown> {
    const body = await res.json() as { error: { outcome: string } };
    return body.error.outcome;
  }

  test("whose answer is lost gets it by an attach request, not by a second call", async () => {
    const [first, second] = harness.plains;
    first.onCall = async () => undefined;
    first.onAttach = async () => first.answered("swapped");
    const res = await swap();
    expect(await res.text()).toBe("swapped");
    expect(first.calls).toHaveLength(1);
    expect(second.calls).toHaveLength(0);
    expect(first.attaches[0]).toMatchObject({ attempt: 1, settle: true });
  });

  test("that provably never started is sent to another sidecar", async () => {
    const [first, second] = harness.plains;
    first.onCall = async () => undefined;
    first.onAttach = async () => first.notRun();
    const res = await swap();
    expect(await res.text()).toBe("done");
    expect(second.calls.map((it) => it.attempt)).toEqual([2]);
  });

  test("that was refused is sent to another sidecar", async () => {
    const [first, second] = harness.plains;
    first.onCall = async () => first.notRun(RefusalReason.Leaving);
    expect((await swap()).status).toBe(200);
    expect(second.calls).toHaveLength(1);
  });

  test("has an unknown outcome after its sidecar restarted", async () => {
    const [first, second] = harness.plains;
    first.onCall = async () => undefined;
    first.onAttach = async () => ({ ...first.notRun(), incarnation: "new" });
    const res = await swap();
    expect(res.status).toBe(502);
    expect(await outcomeOf(res)).toBe("unknown");
    expect(second.calls).toHaveLength(0);
  });

  test("has an unknown outcome when its sidecar is gone, and is not sent again", async () => {
    const [first, second] = harness.plains;
    first.onCall = async () => {
      void first.close();
      return undefined;
    };
    const res = await swap();
    expect(res.status).toBe(502);
    expect(await outcomeOf(res)).toBe("unknown");
    expect(first.calls.length + second.calls.length).toBe(1);
  });

  test("continues when its caller disconnects", async () => {
    const [first] = harness.plains;
    let finish = () => {};
    first.onCall = async () => {
      await new Promise<void>((resolve) => finish = resolve);
      return first.answered("swapped");
    };
    const caller = new AbortController();
    const sent = harness.order("/swaps", {
      method: "POST",
      signal: caller.signal,
    }).catch(() => {});
    await until(() => first.calls.length === 1);
    caller.abort();
    await sent;
    finish();
    await until(() => harness.entry.inFlight === 0);
    expect(first.cancels).toHaveLength(0);
  });

  test("that every sidecar refuses ends as not_run", async () => {
    for (const sidecar of harness.plains) {
      sidecar.onCall = async () => sidecar.notRun(RefusalReason.EngineDown);
    }
    const res = await swap();
    expect(res.status).toBe(503);
    expect(await outcomeOf(res)).toBe("not_run");
  });
});

describe("a plain call that may be repeated", () => {
  test("is sent to another sidecar when its answer is lost", async () => {
    const harness = await Harness.start();
    const [first, second] = harness.plains;
    first.onCall = async () => undefined;
    first.onAttach = async () => ({ ...first.notRun(), incarnation: "new" });
    const res = await harness.order("/stock/castle");
    expect(await res.text()).toBe("done");
    expect(second.calls.map((it) => it.attempt)).toEqual([2]);
    await harness.close();
  });

  test.each([
    ["GET", "/stock", true],
    ["GET", "/stock/castle?size=2", true],
    ["POST", "/stock/castle", false],
    ["GET", "/stocks", false],
    ["GET", "/stock/../swaps", false],
    ["GET", "/stock/%2e%2e/swaps", false],
    ["GET", "/stock//swaps", false],
  ])("%s %s is repeatable: %s", (method, path, repeatable) => {
    expect(isRepeatable(PLAIN_SERVICE, method, path)).toBe(repeatable);
  });
});
