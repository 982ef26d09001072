/** HTTP client whose calls know the connection that they use. */
import { Client, type Dispatcher } from "undici";
import type { ConnectionBytes } from "./response_limits.ts";

/** Options of a dispatch, with a callback for the connection that it uses. */
export type TrackedDispatchOptions = Dispatcher.DispatchOptions & {
  onConnection?: (connection: ConnectionBytes) => void;
};

/** HTTP client with one connection that tells each call which one it uses. */
export class TrackedClient extends Client {
  readonly #connection: ConnectionBytes;

  constructor(
    origin: URL | string,
    options: Client.Options,
    connection: ConnectionBytes,
  ) {
    super(origin, options);
    this.#connection = connection;
  }

  override dispatch(
    options: TrackedDispatchOptions,
    handler: Dispatcher.DispatchHandler,
  ): boolean {
    options.onConnection?.(this.#connection);
    return super.dispatch(options, handler);
  }
}
