#include "base/hash64.h"

/* Parameters of 64-bit FNV-1a.  */
#define FNV_OFFSET G_GUINT64_CONSTANT (0xcbf29ce484222325)
#define FNV_PRIME G_GUINT64_CONSTANT (0x100000001b3)

/* Multipliers of the finaliser of SplitMix64.  */
#define MIX_FIRST G_GUINT64_CONSTANT (0xbf58476d1ce4e5b9)
#define MIX_SECOND G_GUINT64_CONSTANT (0x94d049bb133111eb)

static guint64
mix (guint64 value)
{
  value = (value ^ (value >> 30)) * MIX_FIRST;
  value = (value ^ (value >> 27)) * MIX_SECOND;
  return value ^ (value >> 31);
}

guint64
hash64_string (const char *text)
{
  guint64 value = FNV_OFFSET;

  for (; *text != '\0'; text++)
    value = (value ^ (guchar)*text) * FNV_PRIME;
  value = mix (value);
  return value != 0 ? value : 1;
}

guint64
hash64_pair (guint64 a, guint64 b)
{
  return mix (MIN (a, b) * MIX_FIRST + MAX (a, b));
}
