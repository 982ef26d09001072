import { afterEach, beforeEach, describe, expect, test } from "@jest/globals";
import type { PlainCallRequest } from "@sassafrascleat/protocol";
import type { Entry } from "../index.ts";
import { Harness, until } from "./harness.ts";

const KEY = { "idempotency-key": "swap-17" };

interface Refusal {
  error: { outcome: string; code: string };
}

describe("a call with an idempotency key", () => {
  let harness: Harness;
  let other: Entry;
  let wallClockMs: number;

  beforeEach(async () => {
    wallClockMs = 1_000_000_000;
    const wallClock = { now: () => wallClockMs };
    harness = await Harness.start({ entry: { wallClock } });
    other = await harness.addEntry("entry-2");
    for (const sidecar of harness.plains) rememberCalls(sidecar);
  });

  afterEach(() => harness.close());

  function swap(entry = harness.entry, body = "Ann"): Promise<Response> {
    const init = { method: "POST", body, headers: KEY };
    return harness.order("/swaps", init, entry);
  }

  function runs(): PlainCallRequest[] {
    return harness.plains.flatMap((it) => it.calls);
  }

  async function refusal(res: Response): Promise<Refusal["error"]> {
    return (await res.json() as Refusal).error;
  }

  test("sent to two entries at once runs once and is answered twice", async () => {
    const answers = await Promise.all([swap(), swap(other), swap()]);
    for (const res of answers) expect(await res.text()).toBe("swapped");
    expect(runs()).toHaveLength(1);
  });

  test("sent again is answered with the first answer", async () => {
    expect(await (await swap()).text()).toBe("swapped");
    expect(await (await swap(other)).text()).toBe("swapped");
    expect(runs()).toHaveLength(1);
  });

  test("is answered from its claim after the sidecar is gone", async () => {
    await swap();
    await harness.entry.drain(AbortSignal.timeout(1_000));
    leaveOnlySecond();
    expect(await (await swap(other)).text()).toBe("swapped");
    expect(runs()).toHaveLength(1);
  });

  test("with another body is a conflict", async () => {
    await swap();
    const res = await swap(other, "Bob");
    expect(res.status).toBe(409);
    expect(await refusal(res)).toMatchObject({
      outcome: "not_run",
      code: "idempotency_conflict",
    });
    expect(runs()).toHaveLength(1);
  });

  test("is claimed once although the store's answer is lost", async () => {
    harness.store.lostAnswers = 1;
    expect(await (await swap()).text()).toBe("swapped");
    expect(harness.store.puts).toBe(1);
    expect(runs()).toHaveLength(1);
  });

  test("is refused as not run while the store is out", async () => {
    harness.store.out = true;
    const res = await swap();
    expect(res.status).toBe(503);
    expect(res.headers.get("retry-after")).toBe("2");
    expect(await refusal(res)).toMatchObject({ outcome: "not_run" });
    expect(runs()).toHaveLength(0);
    const [first] = harness.plains;
    await until(() => first.held.size === 0);
    const unkeyed = await harness.order("/swaps", { method: "POST" });
    expect(unkeyed.status).toBe(200);
  });

  test("is unknown when the claim's sidecar is gone", async () => {
    await swap();
    leaveOnlySecond();
    const res = await swap(other);
    expect(res.status).toBe(502);
    expect(await refusal(res)).toMatchObject({ outcome: "unknown" });
    expect(runs()).toHaveLength(1);
  });

  test("is taken over when its entry died before it sent the call", async () => {
    await claimOnly();
    expect(await (await swap(other)).text()).toBe("swapped");
    expect(runs()).toHaveLength(1);
  });

  test("is unknown when its claim is older than what a sidecar can prove", async () => {
    await claimOnly();
    wallClockMs += 400_000;
    const res = await swap(other);
    expect(await refusal(res)).toMatchObject({
      outcome: "unknown",
      code: "answer_expired",
    });
    expect(runs()).toHaveLength(0);
  });

  test("of a paused holder is not run by it after a takeover", async () => {
    const resume = pauseStore();
    const paused = swap();
    await until(() => harness.store.puts === 1);
    expect(await (await swap(other)).text()).toBe("swapped");
    resume();
    expect(await (await paused).text()).toBe("swapped");
    expect(executed).toHaveLength(1);
  });

  function leaveOnlySecond(): void {
    const { address } = harness.plains[1];
    harness.hosts.servers = harness.hosts.servers
      .filter((it) => it.sidecarAddress === address);
  }

  /** Writes a claim whose holder never sends its call. */
  async function claimOnly(): Promise<void> {
    const put = harness.store.put.bind(harness.store);
    const holder = new Promise<void>((resolve) => {
      harness.store.put = async (...args) => {
        const result = await put(...args);
        harness.store.put = put;
        resolve();
        await harness.entry.close();
        return result;
      };
    });
    void swap().catch(() => {});
    await holder;
    await harness.entry.close();
  }

  /** Holds the answer of the first claim back until the result is called. */
  function pauseStore(): () => void {
    const put = harness.store.put.bind(harness.store);
    let resume = () => {};
    harness.store.put = async (...args) => {
      harness.store.put = put;
      const result = await put(...args);
      await new Promise<void>((resolve) => resume = resolve);
      return result;
    };
    return () => resume();
  }

  let executed: string[] = [];

  /** Makes a sidecar keep answers and tombstones as a real one does. */
  function rememberCalls(sidecar: Harness["plains"][number]): void {
    executed = [];
    const known = new Map<string, "run" | "tombstone">();
    sidecar.onCall = async (req) => {
      const id = `${req.requestId}/${req.attempt}`;
      if (known.get(id) === "tombstone") return sidecar.notRun();
      if (!known.has(id)) executed.push(id);
      known.set(id, "run");
      return sidecar.answered("swapped");
    };
    sidecar.onAttach = async (req) => {
      const id = `${req.requestId}/${req.attempt}`;
      if (known.get(id) === "run") return sidecar.answered("swapped");
      if (req.settle) known.set(id, "tombstone");
      return known.has(id) ? sidecar.notRun() : sidecar.running();
    };
  }
});
