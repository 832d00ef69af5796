#define AGE asked
#define NEWER (version == 0 || !answer)
#define AGAIN && has_key && FRESH
#include "fresh.inc"
