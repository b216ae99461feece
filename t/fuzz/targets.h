/*
 * Fuzz targets, one for each decoder of outside input.
 *
 * A target hands its input to the decoder and checks what must hold for every
 * input: a refusal carries an error, what was accepted can be freed, and what
 * has a written form is written and read again alike.
 */
#ifndef T_FUZZ_TARGETS_H
#define T_FUZZ_TARGETS_H

#include <glib.h>

struct fuzz_target
{
  const char *name; /* also the corpus' directory below t/fuzz/corpus */
  void (*run) (const guint8 *data, gsize length);
};

/* The targets, ended by one without a name.  Static.  */
const struct fuzz_target *fuzz_targets (void);

/* The target of that name, or NULL.  */
const struct fuzz_target *fuzz_target_find (const char *name);

#endif
