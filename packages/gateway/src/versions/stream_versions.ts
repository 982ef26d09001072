/** What a router knows of the software versions that streams began at. */
import type { DefaultVersions } from "./version_log.ts";

/** The default versions, as this router last saw them. */
export class StreamVersions {
  #defaults: DefaultVersions | undefined;

  /** The default versions; undefined until they have been read. */
  get defaults(): DefaultVersions | undefined {
    return this.#defaults;
  }

  /** Applies the default versions of the shared log. */
  observe(defaults: DefaultVersions): void {
    this.#defaults = defaults;
  }
}
