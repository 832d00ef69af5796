/* The stop waits for answers that are still being sent. */
#define DRAIN_CHECK && unsent == 0
#include "drain.inc"
