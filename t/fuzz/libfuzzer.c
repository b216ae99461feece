/*
 * The entry point of libFuzzer; "make fuzz" links it with clang.  The
 * environment variable FUZZ_TARGET names the target.
 */
#include "t/fuzz/targets.h"

#include <stddef.h>
#include <stdint.h>

int LLVMFuzzerTestOneInput (const uint8_t *data, size_t size);

int
LLVMFuzzerTestOneInput (const uint8_t *data, size_t size)
{
  static const struct fuzz_target *target;

  if (target == NULL)
    target = fuzz_target_find (g_getenv ("FUZZ_TARGET"));
  if (target == NULL)
    g_error ("FUZZ_TARGET must name a target; see t/fuzz/targets.c");
  target->run (data, size);
  return 0;
}
