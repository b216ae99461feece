/*
 * The set of the job ids that have been used in this process.
 *
 * A caller may send the same id again after the answer to its job has been
 * dropped, so ids are remembered for longer than jobs.  The set has one bit
 * for each sequence number, in blocks.  A block is dropped USED_IDS_KEEP_US
 * after the first id of a later block was used.  From then on all ids up to
 * the end of the dropped block count as used.
 */
#ifndef STATE_USED_IDS_H
#define STATE_USED_IDS_H

#include <glib.h>

/* Must be at least as long as a job id is valid.  */
#define USED_IDS_KEEP_US (G_GINT64_CONSTANT (3600) * 1000000)

struct used_ids;

struct used_ids *used_ids_new (void);
void used_ids_free (struct used_ids *used);

/* Adds the id with the sequence number SEQUENCE.  */
void used_ids_add (struct used_ids *used, guint64 sequence, gint64 now_us);

/* Whether the id with the sequence number SEQUENCE was used, or may have been
   because its block has been dropped.  */
gboolean used_ids_contain (const struct used_ids *used, guint64 sequence);

/* Drops the blocks that are due to be dropped.  */
void used_ids_expire (struct used_ids *used, gint64 now_us);

#endif
