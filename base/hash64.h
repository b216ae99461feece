/*
 * 64-bit hashes that are the same in every process.
 *
 * They are used for names on the wire and for rendezvous hashing.  They don't
 * protect against inputs that are chosen to collide.
 */
#ifndef BASE_HASH64_H
#define BASE_HASH64_H

#include <glib.h>

/* The hash of a string.  Never 0.  */
guint64 hash64_string (const char *text);

/* The rendezvous weight of A and B.  Symmetric.  */
guint64 hash64_pair (guint64 a, guint64 b);

#endif
