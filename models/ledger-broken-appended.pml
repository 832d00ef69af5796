/* A request runs when its claim was appended, before it is read back. */
#define BROKEN_APPENDED
#include "ledger.inc"
