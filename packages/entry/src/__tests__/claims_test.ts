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

  test("sent to two entries concurrently runs once, and each caller gets the answer", async () => {
    const answers = await Promise.all([swap(), swap(other), swap()]);
    for (const res of answers) expect(await res.text()).toBe("swapped");
    expect(runs()).toHaveLength(1);
  });

  test("sent again gets the answer of the first run", async () => {
    expect(await (await swap()).text()).toBe("swapped");
    expect(await (await swap(other)).text()).toBe("swapped");
    expect(runs()).toHaveLength(1);
  });

  test("is answered from its stored claim when the sidecar is gone", async () => {
    await swap();
    await harness.entry.drain(AbortSignal.timeout(1_000));
    removeFirstSidecar();
    expect(await (await swap(other)).text()).toBe("swapped");
    expect(runs()).toHaveLength(1);
  });

  test("with a different body is rejected as a conflict", async () => {
    await swap();
    const res = await swap(other, "Bob");
    expect(res.status).toBe(409);
    expect(await refusal(res)).toMatchObject({
      outcome: "not_run",
      code: "idempotency_conflict",
    });
    expect(runs()).toHaveLength(1);
  });

  test("is claimed once when the store's response is lost", async () => {
    harness.store.lostResponses = 1;
    expect(await (await swap()).text()).toBe("swapped");
    expect(harness.store.puts).toBe(1);
    expect(runs()).toHaveLength(1);
  });

  test("is refused as not_run while the store is unavailable", async () => {
    harness.store.isUnavailable = true;
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

  test("has an unknown outcome when the claim's sidecar is gone", async () => {
    await swap();
    removeFirstSidecar();
    const res = await swap(other);
    expect(res.status).toBe(502);
    expect(await refusal(res)).toMatchObject({ outcome: "unknown" });
    expect(runs()).toHaveLength(1);
  });

  test("is taken over when the entry that claimed it stopped before sending it", async () => {
    await claimWithoutCall();
    expect(await (await swap(other)).text()).toBe("swapped");
    expect(runs()).toHaveLength(1);
  });

  test("has an unknown outcome when its claim is too old for the sidecar to prove that it never ran", async () => {
    await claimWithoutCall();
    wallClockMs += 400_000;
    const res = await swap(other);
    expect(await refusal(res)).toMatchObject({
      outcome: "unknown",
      code: "answer_expired",
    });
    expect(runs()).toHaveLength(0);
  });

  test("is not run by a paused holder after another request has taken over its claim", async () => {
    const resume = delayFirstWriteResponse();
    const paused = swap();
    await until(() => harness.store.puts === 1);
    expect(await (await swap(other)).text()).toBe("swapped");
    resume();
    expect(await (await paused).text()).toBe("swapped");
    expect(executed).toHaveLength(1);
  });

  function removeFirstSidecar(): void {
    const { address } = harness.plains[1];
    harness.hosts.servers = harness.hosts.servers
      .filter((it) => it.sidecarAddress === address);
  }

  /** Writes a claim and closes the entry before it sends the claimed call. */
  async function claimWithoutCall(): Promise<void> {
    const put = harness.store.put.bind(harness.store);
    const claimWritten = new Promise<void>((resolve) => {
      harness.store.put = async (...args) => {
        const result = await put(...args);
        harness.store.put = put;
        resolve();
        await harness.entry.close();
        return result;
      };
    });
    void swap().catch(() => {});
    await claimWritten;
    await harness.entry.close();
  }

  /** Delays the store's response to the first write until the returned function is called. */
  function delayFirstWriteResponse(): () => void {
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

  /** Makes a fake sidecar remember answers and tombstones as a real one does. */
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
