/* Leases and fencing; see lease.inc. */
#include "lease.inc"
