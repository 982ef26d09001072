/** Test harness: an entry connected to scripted sidecars. */
import type { Policy } from "@sassafrascleat/config";
import { BackendRole } from "@sassafrascleat/protocol";
import { createRandom, Secret, sleep } from "@sassafrascleat/runtime";
import { createEntry, type Entry, type EntryOptions } from "../index.ts";
import { FakeSidecar } from "./fake_sidecar.ts";
import { FakeConfig, FakeHosts, FakeStore, ListOrderPolicy } from "./fakes.ts";

/** Overrides of the defaults for one test. */
export interface HarnessOptions {
  policy?: Partial<Policy>;
  entry?: Partial<EntryOptions>;
}

/** One or more entries with two decode, one prefill and two plain sidecars. */
export class Harness {
  readonly config: FakeConfig;
  readonly hosts = new FakeHosts();
  readonly store = new FakeStore();
  readonly decodes = [new FakeSidecar("d1"), new FakeSidecar("d2")] as const;
  readonly prefill = new FakeSidecar("p1");
  readonly plains = [new FakeSidecar("s1"), new FakeSidecar("s2")] as const;
  readonly #options: HarnessOptions;
  readonly #entries: Entry[] = [];

  constructor(options: HarnessOptions = {}) {
    this.#options = options;
    this.config = new FakeConfig(options.policy);
  }

  static async start(options: HarnessOptions = {}): Promise<Harness> {
    const harness = new Harness(options);
    await Promise.all(harness.#sidecars().map((it) => it.listen()));
    harness.#addHosts("decode", BackendRole.Decode, harness.decodes);
    harness.#addHosts("prefill", BackendRole.Prefill, [harness.prefill]);
    harness.#addHosts("orders", BackendRole.Plain, harness.plains);
    await harness.addEntry("entry-1");
    return harness;
  }

  get entry(): Entry {
    return this.#entries[0]!;
  }

  async addEntry(entryId: string): Promise<Entry> {
    const entry = await createEntry({
      entryId,
      office: "hobart",
      availabilityZone: "hobart-a",
      secret: new Secret("system", "between us"),
      config: this.config,
      hosts: this.hosts,
      store: this.store,
      placement: new ListOrderPolicy(),
      random: createRandom(7),
      lameDuckMs: 0,
      ...this.#options.entry,
    });
    this.#entries.push(entry);
    return entry;
  }

  /** Posts a completion request; with `stream: true` in `fields` the answer is server-sent events. */
  complete(fields: object = {}, init: RequestInit = {}): Promise<Response> {
    return fetch(`${this.entry.callersAddress}/v1/completions`, {
      method: "POST",
      headers: { "content-type": "application/json" },
      body: JSON.stringify({
        model: "guide-writer",
        prompt: "how do I fold the gate?",
        ...fields,
      }),
      ...init,
    });
  }

  /** Calls the plain service. */
  order(
    path: string,
    init: RequestInit = {},
    entry: Entry = this.entry,
  ): Promise<Response> {
    return fetch(`${entry.callersAddress}/services/orders${path}`, init);
  }

  async metric(line: RegExp): Promise<string | undefined> {
    const text = await this.entry.metrics.registry.metrics();
    return text.split("\n").find((it) => line.test(it));
  }

  async close(): Promise<void> {
    await Promise.all(this.#entries.map((it) => it.close()));
    await Promise.all(this.#sidecars().map((it) => it.close()));
  }

  #sidecars(): FakeSidecar[] {
    return [...this.decodes, this.prefill, ...this.plains];
  }

  #addHosts(
    pool: string,
    role: BackendRole,
    sidecars: readonly FakeSidecar[],
  ): void {
    for (const [i, sidecar] of sidecars.entries()) {
      this.hosts.add(`${pool}-${i + 1}`, pool, role, sidecar.address);
    }
  }
}

/** Polls until `condition` is true; if it never is, the test fails by its timeout. */
export async function until(condition: () => boolean): Promise<void> {
  while (!condition()) await sleep(5);
}

/** Returns the data of each server-sent event. */
export function eventsOf(text: string): string[] {
  return text.split("\n\n").filter((it) => it.startsWith("data: "))
    .map((it) => it.slice("data: ".length));
}

/** Returns the concatenated text of a streamed completion. */
export function textOf(events: string[]): string {
  return events.filter((it) => it !== "[DONE]")
    .map((it) => JSON.parse(it).choices?.[0]?.text ?? "").join("");
}
