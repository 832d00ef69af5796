/* Broken on purpose: the stop looks at the core's requests only. */
#define DRAIN_CHECK
#include "drain.inc"
