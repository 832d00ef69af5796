/* A home that has lost earlier records judges all the same. */
#define BROKEN_BLIND
#include "ledger.inc"
