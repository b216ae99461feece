/*
 * Long seeded sequences of events against a simulated world: drawing them,
 * running them, and shortening one that fails.
 */
#ifndef T_SUPPORT_SEQUENCE_H
#define T_SUPPORT_SEQUENCE_H

#include <glib.h>

struct sequence
{
  guint32 seed;
  GArray *codes; /* guint32 */
};

/* The world that sequences are run against.  */
struct sequence_ops
{
  gpointer (*create) (guint32 seed);

  /* Each returns NULL, or what no longer holds, a static string.  */
  const char *(*step) (gpointer world, guint32 code);
  const char *(*settle) (gpointer world);

  void (*trace) (gpointer world); /* may be NULL */
  void (*free) (gpointer world);
};

/* LENGTH codes that follow from SEED; unref the codes.  */
struct sequence sequence_draw (guint32 seed, guint length);

/* Runs SEQUENCE and lets everything end.  Returns what broke, or NULL; *N_DONE
   is the number of steps that were performed.  */
const char *sequence_run (const struct sequence *sequence,
                          const struct sequence_ops *ops, gboolean is_traced,
                          guint *n_done);

/* Tells of a failure after N_DONE steps, shortens SEQUENCE as long as it fails
   alike, and tells what is left: by tracing, or else the codes.  */
void sequence_print_failure (struct sequence *sequence,
                             const struct sequence_ops *ops,
                             const char *broken, guint n_done);

#endif
