/* The holder counts its term from when it reads its claim back. */
#define BROKEN_ANSWER
#include "lease.inc"
