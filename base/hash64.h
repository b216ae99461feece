/*
 * 64-bit hashes that every process computes alike.
 *
 * For names on the wire and for rendezvous hashing; no defence against inputs
 * that are chosen to collide.
 */
#ifndef BASE_HASH64_H
#define BASE_HASH64_H

#include <glib.h>

/* The hash of a string.  Never 0.  */
guint64 hash64_string (const char *text);

/* The weight of the pair A, B, the same for B, A.  */
guint64 hash64_pair (guint64 a, guint64 b);

#endif
