import { describe, expect, test } from "@jest/globals";
import { CLAIM_RETENTION_MS } from "@sassafrascleat/protocol";
import {
  createRandom,
  ManualClock,
  systemClock,
} from "@sassafrascleat/runtime";
import fc from "fast-check";
import { applyBatch } from "../claims/apply_batch.ts";
import {
  type ClaimIntent,
  type ClaimPartition,
  ClaimStatus,
} from "../claims/claim_record.ts";
import { Claims } from "../claims/claims.ts";
import { MAX_PARTITION_BYTES } from "../claims/constants.ts";
import { createEntryMetrics } from "../metrics.ts";
import { FakeStore } from "./fakes.ts";

function intent(keyHash: string, requestId: string): ClaimIntent {
  return {
    keyHash,
    bodyHash: "body",
    ref: { requestId, attempt: 1 },
    sidecar: "desk-1",
    incarnation: "i1",
  };
}

const ANSWER = { status: 200, headers: {}, bodyBase64: "b2s=" };

describe("a partition of claims", () => {
  test("gives each key to one request, however batches fall", () => {
    const claims = fc.array(
      fc.record({ key: fc.nat(3), request: fc.nat(9), batch: fc.nat(4) }),
      { maxLength: 30 },
    );
    fc.assert(
      fc.property(claims, (asked) => {
        const winners = new Map<string, Set<string>>();
        let partition: ClaimPartition | undefined;
        for (let batch = 0; batch <= 4; batch++) {
          const intents = asked.filter((it) => it.batch === batch)
            .map((it) => intent(`k${it.key}`, `r${it.request}`));
          const applied = applyBatch(partition, { intents, settled: [] }, 1);
          const again = applyBatch(
            applied.partition,
            { intents, settled: [] },
            1,
          );
          expect(again.results).toEqual(applied.results);
          expect(again.changed).toBe(false);
          partition = applied.partition;
          for (const [i, result] of applied.results.entries()) {
            if (result.status !== ClaimStatus.Claimed) continue;
            const { keyHash, ref } = intents[i]!;
            const won = winners.get(keyHash) ?? new Set();
            winners.set(keyHash, won.add(ref.requestId));
          }
        }
        for (const won of winners.values()) expect(won.size).toBe(1);
      }),
      { seed: 11, numRuns: 200 },
    );
  });

  test("is taken over only from the holder that was named", () => {
    const first = applyBatch(undefined, {
      intents: [intent("k", "r1")],
      settled: [],
    }, 1);
    const replaces = { requestId: "r1", attempt: 1 };
    const batch = {
      intents: [
        { ...intent("k", "r2"), replaces },
        { ...intent("k", "r3"), replaces },
      ],
      settled: [],
    };
    const { results } = applyBatch(first.partition, batch, 2);
    expect(results.map((it) => it.status)).toEqual([
      ClaimStatus.Claimed,
      ClaimStatus.Held,
    ]);
  });

  test("keeps a small answer and is not taken over after it", () => {
    const ref = { requestId: "r1", attempt: 1 };
    const { partition } = applyBatch(undefined, {
      intents: [intent("k", "r1")],
      settled: [{ keyHash: "k", ref, answer: ANSWER }],
    }, 1);
    expect(partition.claims.k!.answer).toEqual(ANSWER);
    const { results } = applyBatch(partition, {
      intents: [{ ...intent("k", "r2"), replaces: ref }],
      settled: [],
    }, 2);
    expect(results[0]!.status).toBe(ClaimStatus.Held);
  });

  test("forgets claims after their retention and not before", () => {
    const { partition } = applyBatch(undefined, {
      intents: [intent("k", "r1")],
      settled: [],
    }, 1);
    const again = { intents: [intent("k", "r2")], settled: [] };
    const before = applyBatch(partition, again, CLAIM_RETENTION_MS);
    expect(before.results[0]!.status).toBe(ClaimStatus.Held);
    const after = applyBatch(partition, again, CLAIM_RETENTION_MS + 1);
    expect(after.results[0]!.status).toBe(ClaimStatus.Claimed);
  });

  test("drops kept answers for room, then refuses", () => {
    const intents = Array.from(
      { length: 8_000 },
      (_, i) => intent(`key-number-${i}`, `request-number-${i}`),
    );
    const settled = intents.slice(0, 4_000).map(({ keyHash, ref }) => ({
      keyHash,
      ref,
      answer: ANSWER,
    }));
    const half = applyBatch(
      undefined,
      { intents: intents.slice(0, 4_000), settled },
      1,
    );
    const { partition, results } = applyBatch(
      half.partition,
      { intents, settled: [] },
      2,
    );
    expect(results.at(-1)!.status).toBe(ClaimStatus.Full);
    expect(JSON.stringify(partition).length)
      .toBeLessThan(MAX_PARTITION_BYTES + 100);
    expect(partition.claims["key-number-0"]!.answer).toBeUndefined();
  });
});

describe("claim writes", () => {
  test("grow with time and not with requests", async () => {
    const store = new FakeStore();
    const claims = new Claims({
      store,
      clock: systemClock,
      wallClock: new ManualClock(1),
      random: createRandom(3),
      metrics: createEntryMetrics(),
      signal: new AbortController().signal,
    });
    const keyHash = Buffer.alloc(16).toString("base64url");
    const sent = Array.from({ length: 500 }, (_, i) => {
      const tail = Buffer.alloc(16);
      tail.writeUInt32BE(i, 12);
      return claims.claim(intent(tail.toString("base64url"), `r${i}`));
    });
    const results = await Promise.all(sent);
    expect(results.every((it) => it.status === ClaimStatus.Claimed)).toBe(true);
    expect(store.puts).toBeLessThan(5);
    const held = await claims.claim(intent(keyHash, "late"));
    expect(held.status).toBe(ClaimStatus.Held);
  });
});
