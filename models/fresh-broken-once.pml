/* A request is judged once, and sent after a pause. */
#define AGE asked
#define NEWER (version == 0 || !answer)
#define AGAIN
#include "fresh.inc"
