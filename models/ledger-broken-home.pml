/* A home takes back a claim on its own. */
#define BROKEN_HOME
#include "ledger.inc"
