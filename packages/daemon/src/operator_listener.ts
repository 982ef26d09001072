/** The listener for operators, separate from callers and other daemons. */
import {
  createOperatorRoutes,
  type OperatorRouteOptions,
} from "@sassafrascleat/entry";
import { baseUrlOf } from "@sassafrascleat/runtime";
import Fastify from "fastify";

/** An open listener. */
export interface OperatorListener {
  readonly address: string;
  close(): Promise<void>;
}

/** Opens the listener; throws if the address can't be bound. */
export async function createOperatorListener(
  listen: { host: string; port: number },
  routes: OperatorRouteOptions,
): Promise<OperatorListener> {
  const app = Fastify({ logger: false, forceCloseConnections: true });
  await app.register(createOperatorRoutes(routes));
  await app.listen(listen);
  return { address: baseUrlOf(app.server), close: () => app.close() };
}
