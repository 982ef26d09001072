import { describe, expect, test } from "@jest/globals";
import { ManualClock } from "@sassafrascleat/runtime";
import { CallVerdict, HealthBook } from "../backend_health.ts";

function create() {
  const clock = new ManualClock(1_000);
  return { clock, book: new HealthBook(clock) };
}

describe("a backend server that does not answer", () => {
  test("is ejected after two calls and tried again later", () => {
    const { clock, book } = create();
    expect(book.record("a", CallVerdict.Silent, 0, () => ["a", "b"])).toBe(
      false,
    );
    expect(book.record("a", CallVerdict.Silent, 0, () => ["a", "b"])).toBe(
      true,
    );
    expect(book.usable("a")).toBe(false);
    clock.advance(1_000);
    expect(book.usable("a")).toBe(true);
  });

  test("stays away longer each time", () => {
    const { clock, book } = create();
    for (let round = 0; round < 2; round += 1) {
      book.record("a", CallVerdict.Silent, 0, () => []);
      book.record("a", CallVerdict.Silent, 0, () => []);
      clock.advance(1_000);
    }
    expect(book.usable("a")).toBe(false);
    clock.advance(1_000);
    expect(book.usable("a")).toBe(true);
  });
});

test("failing far more often than the peers ejects", () => {
  const { book } = create();
  const peers = ["a", "b", "c"];
  let ejected = false;
  for (let call = 0; call < 40 && !ejected; call += 1) {
    for (const key of ["b", "c"]) {
      book.record(key, CallVerdict.Good, 10, () => peers);
    }
    const verdict = call % 2 === 0 ? CallVerdict.Error : CallVerdict.Good;
    ejected = book.record("a", verdict, 10, () => peers);
  }
  expect(ejected).toBe(true);
});

test("failing as often as the peers ejects nobody", () => {
  const { book } = create();
  const peers = ["a", "b", "c"];
  for (let call = 0; call < 60; call += 1) {
    for (const key of peers) {
      const verdict = call % 2 === 0 ? CallVerdict.Error : CallVerdict.Good;
      expect(book.record(key, verdict, 10, () => peers)).toBe(false);
    }
  }
});

test("proof that a request did not run says nothing about health", () => {
  const { book } = create();
  for (let call = 0; call < 20; call += 1) {
    book.record("a", CallVerdict.Shed, 0, () => ["a", "b"]);
  }
  expect(book.usable("a")).toBe(true);
});

test("an address that another one took is left alone until it is listed anew", () => {
  const { clock, book } = create();
  book.replaced("a");
  clock.advance(60_000);
  expect(book.usable("a")).toBe(false);
  book.forget("a");
  expect(book.usable("a")).toBe(true);
});

test("a backend server that is set aside gets no work until it is taken back", () => {
  const clock = new ManualClock(0);
  const health = new HealthBook(clock);
  health.setAside("a", 9_000);
  clock.advance(8_999);
  expect(health.usable("a")).toBe(false);
  health.takeBack("a");
  expect(health.usable("a")).toBe(true);
  health.setAside("a", 1_000);
  clock.advance(1_000);
  expect(health.usable("a")).toBe(true);
  health.setAside("a", 1_000);
  health.forget("a");
  expect(health.usable("a")).toBe(true);
});
