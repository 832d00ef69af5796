/* What was taken back is not remembered. */
#define BROKEN_FORGET
#include "ledger.inc"
