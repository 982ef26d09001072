/** The operators' HTTP API. */
export {
  createOperatorRoutes,
  type OperatorRouteOptions,
} from "./operator_routes.ts";
