/**
 * The chain of generations of one partition. Only the last one, the head,
 * accepts new keys; it is sealed permanently before the next one is created.
 * The key set of a sealed generation never changes, so an entry reads it once
 * and caches fingerprints of the keys. A key is unclaimed if it matches no
 * fingerprint and is not in the head.
 */
import { IDEMPOTENCY_KEY_RETENTION_MS } from "@sassafrascleat/protocol";
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
  CHAIN_PAGE_SIZE,
  CLAIM_STORE_CALL_MS,
  MAX_HEAD_ADVANCES,
  PRUNE_MARGIN_MS,
} from "./constants.ts";
import { KeyIndex } from "./key_index.ts";

const log = createLogger("entry:claims");
const GENERATION_NUMBER_DIGITS = 10;

/** A generation as read from the store. */
export interface GenerationRead {
  number: number;
  /** Version for a conditional write; `ABSENT` if it does not exist yet. */
  version: number;
  value: ClaimGeneration;
}

interface SealedGeneration {
  number: number;
  index: KeyIndex;
  /** Time of its newest claim, in milliseconds since the epoch. */
  newestClaimAtMs: number;
}

/** Reads and writes the generations of one partition. */
export class ClaimChain {
  readonly #prefix: string;
  readonly #store: ObjectStore;
  readonly #wallClock: Clock;
  #sealed: SealedGeneration[] = [];
  #head: number | undefined;

  constructor(prefix: string, store: ObjectStore, wallClock: Clock) {
    this.#prefix = prefix;
    this.#store = store;
    this.#wallClock = wallClock;
  }

  /**
   * Reads the generation that accepts new keys. Undefined if the store fails or
   * `MAX_HEAD_ADVANCES` steps don't reach it.
   */
  async head(): Promise<GenerationRead | undefined> {
    for (let i = 0; i < MAX_HEAD_ADVANCES; i++) {
      if (this.#head === undefined && !await this.#loadChain()) {
        return undefined;
      }
      const number = this.#head!;
      const read = await this.read(number);
      if (!read) return undefined;
      if (read.version === ABSENT && !await this.#mayCreate(number)) {
        this.#clearCache();
        continue;
      }
      if (!read.value.sealed) return read;
      this.#addSealed(number, read.value);
      this.#head = number + 1;
    }
    return undefined;
  }

  /** Numbers of the sealed generations that may contain the key, newest first. */
  candidates(keyHash: string): number[] {
    return this.#sealed.filter((it) => it.index.mayContain(keyHash))
      .map((it) => it.number).reverse();
  }

  /**
   * Reads one generation, which is empty if it does not exist. Undefined if the
   * store fails or the stored value can't be parsed.
   */
  async read(number: number): Promise<GenerationRead | undefined> {
    const result = await this.#store.get(
      this.#objectKey(number),
      storeDeadline(),
    );
    if (result.status !== StoreStatus.Ok) return undefined;
    const { object } = result;
    if (!object) return { number, version: ABSENT, value: emptyGeneration() };
    const value = parseGeneration(object);
    return value && { number, version: object.version, value };
  }

  /** Writes `value` if the generation is still at the version that was read. */
  async write(
    read: GenerationRead,
    value: ClaimGeneration,
  ): Promise<StoreStatus> {
    const key = this.#objectKey(read.number);
    const result = await this.#store
      .put(key, value, read.version, storeDeadline());
    const written = result.status === StoreStatus.Ok;
    if (!written) log("write", { key, result: result.status });
    return result.status;
  }

  /**
   * Deletes the oldest generation once its newest claim has been expired for
   * `PRUNE_MARGIN_MS`.
   */
  async prune(): Promise<void> {
    const [oldest] = this.#sealed;
    if (!oldest) return;
    const deletableAtMs = oldest.newestClaimAtMs +
      IDEMPOTENCY_KEY_RETENTION_MS +
      PRUNE_MARGIN_MS;
    if (this.#wallClock.now() < deletableAtMs) return;
    this.#sealed.shift();
    const read = await this.read(oldest.number);
    if (!read || read.version === ABSENT) return;
    const key = this.#objectKey(oldest.number);
    await this.#store.delete(key, read.version, storeDeadline());
  }

  /** Reads the whole chain into the cache; false if that fails. */
  async #loadChain(): Promise<boolean> {
    this.#sealed = [];
    let head = 1;
    let after = "";
    while (true) {
      const page = await this.#listPage(after, CHAIN_PAGE_SIZE);
      if (!page) return false;
      for (const object of page) {
        const value = parseGeneration(object);
        if (!value) return false;
        const number = Number(object.key.slice(this.#prefix.length));
        if (value.sealed) this.#addSealed(number, value);
        head = value.sealed ? number + 1 : number;
        after = object.key;
      }
      if (page.length < CHAIN_PAGE_SIZE) break;
    }
    this.#head = head;
    return true;
  }

  /**
   * Whether a missing generation may be created: only right after its
   * predecessor was read as sealed. Otherwise it may have been created, sealed
   * and deleted already, and the head is a later generation.
   */
  async #mayCreate(number: number): Promise<boolean> {
    if (number === 1) return (await this.#listPage("", 1))?.length === 0;
    const predecessor = await this.read(number - 1);
    return predecessor !== undefined && predecessor.value.sealed;
  }

  async #listPage(
    after: string,
    limit: number,
  ): Promise<StoredObject[] | undefined> {
    const options = { prefix: this.#prefix, after, limit };
    const result = await this.#store.list(options, storeDeadline());
    return result.status === StoreStatus.Ok ? result.objects : undefined;
  }

  #addSealed(number: number, value: ClaimGeneration): void {
    const records = Object.values(value.claims);
    this.#sealed.push({
      number,
      index: new KeyIndex(Object.keys(value.claims)),
      newestClaimAtMs: Math.max(0, ...records.map((it) => it.claimedAtMs)),
    });
  }

  #clearCache(): void {
    this.#head = undefined;
    this.#sealed = [];
  }

  #objectKey(number: number): string {
    return this.#prefix +
      String(number).padStart(GENERATION_NUMBER_DIGITS, "0");
  }
}

function emptyGeneration(): ClaimGeneration {
  return { sealed: false, claims: {} };
}

/** Parses a stored generation; undefined if this software version can't. */
function parseGeneration(object: StoredObject): ClaimGeneration | undefined {
  const parsed = claimGenerationSchema.safeParse(object.value);
  if (parsed.success) return parsed.data;
  log("unreadable", { key: object.key, version: object.version });
  return undefined;
}

function storeDeadline(): AbortSignal {
  return deadlineSignal(CLAIM_STORE_CALL_MS);
}
