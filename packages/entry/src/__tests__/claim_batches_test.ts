import { describe, expect, test } from "@jest/globals";
import { IDEMPOTENCY_KEY_RETENTION_MS } from "@sassafrascleat/protocol";
import {
  createRandom,
  ManualClock,
  sleep,
  systemClock,
} from "@sassafrascleat/runtime";
import { applyBatch } from "../claims/apply_batch.ts";
import {
  type ClaimGeneration,
  type ClaimIntent,
  ClaimStatus,
} from "../claims/claim_record.ts";
import { Claims } from "../claims/claims.ts";
import { PRUNE_MARGIN_MS } from "../claims/constants.ts";
import { KeyIndex } from "../claims/key_index.ts";
import { createEntryMetrics } from "../metrics.ts";
import { FakeStore } from "./fakes.ts";

const EMPTY: ClaimGeneration = { sealed: false, claims: {} };
const ANSWER = { status: 200, headers: {}, bodyBase64: "b2s=" };
const NO_SEAL = Infinity;
/**
 * Rounds of claims and keys that they choose from. Each round adds fewer keys
 * than fill a generation and one batch, however the claims are batched.
 */
const ROUNDS = 24;
const KEYS = 120;

function intent(keyHash: string, requestId: string): ClaimIntent {
  return {
    keyHash,
    bodyHash: "body",
    ref: { requestId, attempt: 1 },
    sidecar: "desk-1",
    incarnation: "i1",
  };
}

/** Returns the hash of key `n`; the hashes of all `n` are in the same partition. */
function keyOf(n: number): string {
  const hash = Buffer.alloc(16);
  hash.writeUInt32BE(n, 12);
  return hash.toString("base64url");
}

function claim(before: ClaimGeneration, intents: ClaimIntent[], nowMs: number) {
  return applyBatch(before, { intents, settled: [] }, nowMs, NO_SEAL);
}

describe("a generation of claims", () => {
  test("gives the same results when a batch is applied again", () => {
    const intents = [intent("k", "r1"), intent("k", "r2"), intent("l", "r2")];
    const first = claim(EMPTY, intents, 1);
    const again = claim(first.generation, intents, 2);
    expect(again.results).toEqual(first.results);
    expect(again.changed).toBe(false);
  });

  test("replaces a claim only if the intent names its current holder", () => {
    const first = claim(EMPTY, [intent("k", "r1")], 1);
    const replaces = { requestId: "r1", attempt: 1 };
    const { results } = claim(first.generation, [
      { ...intent("k", "r2"), replaces },
      { ...intent("k", "r3"), replaces },
    ], 2);
    const statuses = results.map((it) => it?.status);
    expect(statuses).toEqual([ClaimStatus.Claimed, ClaimStatus.Held]);
  });

  test("stores a small answer, after which the claim cannot be replaced", () => {
    const ref = { requestId: "r1", attempt: 1 };
    const settled = [{ keyHash: "k", ref, answer: ANSWER }];
    const batch = { intents: [intent("k", "r1")], settled };
    const { generation } = applyBatch(EMPTY, batch, 1, NO_SEAL);
    expect(generation.claims.k!.answer).toEqual(ANSWER);
    const replacement = { ...intent("k", "r2"), replaces: ref };
    const { results } = claim(generation, [replacement], 2);
    expect(results[0]!.status).toBe(ClaimStatus.Held);
  });

  test("treats a key as claimed until the retention time of its claim has passed", () => {
    const { generation } = claim(EMPTY, [intent("k", "r1")], 1);
    const again = [intent("k", "r2")];
    const before = claim(generation, again, IDEMPOTENCY_KEY_RETENTION_MS);
    expect(before.results[0]!.status).toBe(ClaimStatus.Held);
    const after = claim(generation, again, IDEMPOTENCY_KEY_RETENTION_MS + 1);
    expect(after.results[0]!.status).toBe(ClaimStatus.Claimed);
  });

  test("accepts no new key once it is sealed", () => {
    const batch = { intents: [intent("k", "r1")], settled: [] };
    const { generation } = applyBatch(EMPTY, batch, 1, 10);
    expect(generation.sealed).toBe(true);
    const { results, changed } = claim(generation, [intent("l", "r2")], 2);
    expect(results).toEqual([undefined]);
    expect(changed).toBe(false);
  });
});

describe("an index of keys", () => {
  test("finds every key that was added and not a key that was not", () => {
    const keys = Array.from({ length: 500 }, (_, n) => keyOf(n * 2));
    const index = new KeyIndex(keys);
    expect(keys.every((it) => index.mayContain(it))).toBe(true);
    expect(index.mayContain(keyOf(7))).toBe(false);
    expect(new KeyIndex([]).mayContain(keyOf(7))).toBe(false);
  });
});

describe("the claims of several entries", () => {
  function createClaims(store: FakeStore, wallClock = new ManualClock(1)) {
    return new Claims({
      store,
      clock: systemClock,
      wallClock,
      random: createRandom(3),
      metrics: createEntryMetrics(),
      sealBytes: 700,
      signal: new AbortController().signal,
    });
  }

  test("grant each key to exactly one request, also across sealed generations", async () => {
    const store = new FakeStore();
    const random = createRandom(5);
    const put = store.put.bind(store);
    store.put = async (...args) => {
      await sleep(random.int(0, 3));
      const result = await put(...args);
      await sleep(random.int(0, 3));
      return result;
    };
    const entries = [0, 1, 2].map(() => createClaims(store));
    const winnersByKey = new Map<string, string[]>();
    for (let round = 0; round < ROUNDS; round++) {
      store.lostResponses = random.int(0, 2);
      const sent = Array.from({ length: 30 }, (_, i) => {
        const keyHash = keyOf(random.int(0, KEYS - 1));
        const requestId = `r${round}-${i}`;
        return entries[i % 3]!.claim(intent(keyHash, requestId))
          .then((result) => ({ keyHash, requestId, result }));
      });
      for (const { keyHash, requestId, result } of await Promise.all(sent)) {
        expect(result.status).not.toBe(ClaimStatus.Unavailable);
        if (result.status !== ClaimStatus.Claimed) continue;
        winnersByKey.set(keyHash, [
          ...winnersByKey.get(keyHash) ?? [],
          requestId,
        ]);
      }
    }
    const { objects } = await store.memory.list({ prefix: "claims/" }) as never;
    expect((objects as unknown[]).length).toBeGreaterThan(5);
    expect(winnersByKey.size).toBeGreaterThan(90);
    for (const requestIds of winnersByKey.values()) {
      expect(requestIds).toHaveLength(1);
    }
  });

  test("are found by an entry that starts later", async () => {
    const store = new FakeStore();
    const early = createClaims(store);
    const keys = Array.from({ length: 30 }, (_, n) => keyOf(n));
    for (const key of keys) await early.claim(intent(key, `r${key}`));
    const late = createClaims(store);
    for (const key of keys) {
      const result = await late.claim(intent(key, "late"));
      expect(result.status).toBe(ClaimStatus.Held);
    }
  });

  test("can be replaced in a sealed generation", async () => {
    const store = new FakeStore();
    const claims = createClaims(store);
    for (let n = 0; n < 20; n++) await claims.claim(intent(keyOf(n), `r${n}`));
    const replaces = { requestId: "r0", attempt: 1 };
    const replacement = { ...intent(keyOf(0), "taker"), replaces };
    const result = await createClaims(store).claim(replacement);
    expect(result.status).toBe(ClaimStatus.Claimed);
    const held = await claims.claim(intent(keyOf(0), "third"));
    expect(held).toMatchObject({ record: { requestId: "taker" } });
  });

  test("are deleted a margin after they expired, and an idle entry still finds the current head", async () => {
    const store = new FakeStore();
    const wallClock = new ManualClock(1);
    const idle = createClaims(store, wallClock);
    await idle.claim(intent(keyOf(0), "r0"));
    const busy = createClaims(store, wallClock);
    const fill = async (from: number) => {
      for (let n = from; n < from + 20; n++) {
        await busy.claim(intent(keyOf(n), `r${n}`));
      }
    };
    await fill(1);
    wallClock.advance(IDEMPOTENCY_KEY_RETENTION_MS + PRUNE_MARGIN_MS + 1);
    await fill(100);
    await fill(200);
    const first = await store.memory.get("claims/0/0000000001");
    expect(first).toMatchObject({ object: undefined });
    const late = await idle.claim(intent(keyOf(210), "late"));
    expect(late.status).toBe(ClaimStatus.Held);
  });
});

describe("claim writes", () => {
  test("are paced by time, so that their number does not grow with the number of requests", async () => {
    const store = new FakeStore();
    const claims = new Claims({
      store,
      clock: systemClock,
      wallClock: new ManualClock(1),
      random: createRandom(3),
      metrics: createEntryMetrics(),
      signal: new AbortController().signal,
    });
    const sent = Array.from(
      { length: 500 },
      (_, i) => claims.claim(intent(keyOf(i), `r${i}`)),
    );
    const results = await Promise.all(sent);
    expect(results.every((it) => it.status === ClaimStatus.Claimed)).toBe(true);
    expect(store.puts).toBeLessThan(5);
    const held = await claims.claim(intent(keyOf(0), "late"));
    expect(held.status).toBe(ClaimStatus.Held);
  });
});
