/**
 * The chain of generations of one partition. Only the last one takes new keys;
 * a generation is sealed for good before the next one is made. The key set of
 * a sealed generation never changes, so an entry reads it once and keeps its
 * fingerprints: a key is free when neither they nor the head hold it.
 */
import { CLAIM_RETENTION_MS } from "@sassafrascleat/protocol";
import {
  type Clock,
  createLogger,
  deadlineSignal,
} from "@sassafrascleat/runtime";
import {
  ABSENT,
  type ObjectStore,
  type StoredObject,
  StoreStatus,
} from "@sassafrascleat/store";
import { type ClaimGeneration, claimGenerationSchema } from "./claim_record.ts";
import {
  CHAIN_PAGE,
  CLAIM_STORE_CALL_MS,
  MAX_ADVANCES,
  PRUNE_MARGIN_MS,
} from "./constants.ts";
import { KeyIndex } from "./key_index.ts";

const log = createLogger("entry:claims");
const NUMBER_DIGITS = 10;

/** A generation as it was read. */
export interface GenerationRead {
  number: number;
  /** Version for a conditional write; `ABSENT` for one that is to be made. */
  version: number;
  value: ClaimGeneration;
}

interface Sealed {
  number: number;
  index: KeyIndex;
  /** Time of its last claim, milliseconds since the epoch. */
  newestAtMs: number;
}

/** Reads and writes the generations of one partition. */
export class ClaimChain {
  readonly #prefix: string;
  readonly #store: ObjectStore;
  readonly #wallClock: Clock;
  #sealed: Sealed[] = [];
  #head: number | undefined;

  constructor(prefix: string, store: ObjectStore, wallClock: Clock) {
    this.#prefix = prefix;
    this.#store = store;
    this.#wallClock = wallClock;
  }

  /** The generation that takes new keys; undefined when the store fails. */
  async head(): Promise<GenerationRead | undefined> {
    for (let i = 0; i < MAX_ADVANCES; i++) {
      if (this.#head === undefined && !await this.#load()) return undefined;
      const number = this.#head!;
      const read = await this.read(number);
      if (!read) return undefined;
      if (read.version === ABSENT && !await this.#mayCreate(number)) {
        this.#forget();
        continue;
      }
      if (!read.value.sealed) return read;
      this.#remember(number, read.value);
      this.#head = number + 1;
    }
    return undefined;
  }

  /** Sealed generations that may hold the key, the newest first. */
  candidates(keyHash: string): number[] {
    return this.#sealed.filter((it) => it.index.mayHold(keyHash))
      .map((it) => it.number).reverse();
  }

  /** One generation, empty when it does not exist; undefined when the store fails. */
  async read(number: number): Promise<GenerationRead | undefined> {
    const result = await this.#store.get(this.#key(number), storeLimit());
    if (result.status !== StoreStatus.Ok) return undefined;
    const { object } = result;
    if (!object) return { number, version: ABSENT, value: emptyGeneration() };
    const value = parse(object);
    return value && { number, version: object.version, value };
  }

  /** Writes `value` over what was read. */
  async write(
    read: GenerationRead,
    value: ClaimGeneration,
  ): Promise<StoreStatus> {
    const key = this.#key(read.number);
    const result = await this.#store
      .put(key, value, read.version, storeLimit());
    const written = result.status === StoreStatus.Ok;
    if (!written) log("write", { key, result: result.status });
    return result.status;
  }

  /** Deletes the oldest generation when all of its claims have long expired. */
  async prune(): Promise<void> {
    const [oldest] = this.#sealed;
    if (!oldest) return;
    const endsAtMs = oldest.newestAtMs + CLAIM_RETENTION_MS + PRUNE_MARGIN_MS;
    if (this.#wallClock.now() < endsAtMs) return;
    this.#sealed.shift();
    const read = await this.read(oldest.number);
    if (!read || read.version === ABSENT) return;
    const key = this.#key(oldest.number);
    await this.#store.delete(key, read.version, storeLimit());
  }

  /** Reads the whole chain. */
  async #load(): Promise<boolean> {
    this.#sealed = [];
    let head = 1;
    let after = "";
    while (true) {
      const page = await this.#page(after, CHAIN_PAGE);
      if (!page) return false;
      for (const object of page) {
        const value = parse(object);
        if (!value) return false;
        const number = Number(object.key.slice(this.#prefix.length));
        if (value.sealed) this.#remember(number, value);
        head = value.sealed ? number + 1 : number;
        after = object.key;
      }
      if (page.length < CHAIN_PAGE) break;
    }
    this.#head = head;
    return true;
  }

  /**
   * A generation that is not there may be made only right after its sealed
   * predecessor was seen: otherwise it may have come and gone already, and the
   * head is elsewhere.
   */
  async #mayCreate(number: number): Promise<boolean> {
    if (number === 1) return (await this.#page("", 1))?.length === 0;
    const before = await this.read(number - 1);
    return before !== undefined && before.value.sealed;
  }

  async #page(
    after: string,
    limit: number,
  ): Promise<StoredObject[] | undefined> {
    const options = { prefix: this.#prefix, after, limit };
    const result = await this.#store.list(options, storeLimit());
    return result.status === StoreStatus.Ok ? result.objects : undefined;
  }

  #remember(number: number, value: ClaimGeneration): void {
    const records = Object.values(value.claims);
    this.#sealed.push({
      number,
      index: new KeyIndex(Object.keys(value.claims)),
      newestAtMs: Math.max(0, ...records.map((it) => it.claimedAtMs)),
    });
  }

  #forget(): void {
    this.#head = undefined;
    this.#sealed = [];
  }

  #key(number: number): string {
    return this.#prefix + String(number).padStart(NUMBER_DIGITS, "0");
  }
}

function emptyGeneration(): ClaimGeneration {
  return { sealed: false, claims: {} };
}

/** The value of a stored generation; undefined when this version can't read it. */
function parse(object: StoredObject): ClaimGeneration | undefined {
  const parsed = claimGenerationSchema.safeParse(object.value);
  if (parsed.success) return parsed.data;
  log("unreadable", { key: object.key, version: object.version });
  return undefined;
}

function storeLimit(): AbortSignal {
  return deadlineSignal(CLAIM_STORE_CALL_MS);
}
