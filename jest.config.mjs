/** Runs every test from source; packages resolve to their public index. */
export default {
  testMatch: ["**/__tests__/**/*_test.ts"],
  testPathIgnorePatterns: ["/node_modules/", "/dist/", "<rootDir>/target/"],
  modulePathIgnorePatterns: ["/dist/", "<rootDir>/target/"],
  extensionsToTreatAsEsm: [".ts"],
  transform: { "^.+\\.ts$": "@swc/jest" },
  moduleNameMapper: {
    "^@sassafrascleat/([a-z]+)$": "<rootDir>/packages/$1/src/index.ts",
  },
  maxWorkers: 4,
  testTimeout: 60000,
};
