/* At most once by the ledger; see ledger.inc. */
#include "ledger.inc"
