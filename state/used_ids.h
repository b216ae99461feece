/*
 * Which job ids of this process have been used.
 *
 * An answer is kept for less time than the id under which it was asked for may
 * be sent again, so the id must be remembered for longer than its job.  One
 * bit an id is kept, in blocks; a block is dropped USED_IDS_KEEP_US after ids
 * of a later one came into use, and every id up to it counts as used from then
 * on.
 */
#ifndef STATE_USED_IDS_H
#define STATE_USED_IDS_H

#include <glib.h>

/* At least the life of a job id.  */
#define USED_IDS_KEEP_US (G_GINT64_CONSTANT (3600) * 1000000)

struct used_ids;

struct used_ids *used_ids_new (void);
void used_ids_free (struct used_ids *used);

/* Notes that the id of that SEQUENCE is used.  */
void used_ids_add (struct used_ids *used, guint64 sequence, gint64 now_us);

/* Whether it has been used, or may have been.  */
gboolean used_ids_contain (const struct used_ids *used, guint64 sequence);

/* Drops the blocks whose time has passed.  */
void used_ids_expire (struct used_ids *used, gint64 now_us);

#endif
