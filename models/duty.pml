#include "duty.inc"
