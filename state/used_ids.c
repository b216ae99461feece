#include "state/used_ids.h"

#define IDS_PER_BLOCK 4096
#define BITS_PER_BYTE 8

struct used_block
{
  guint64 number; /* sequence number of its first id / IDS_PER_BLOCK */
  gint64 drop_us; /* when to drop it; 0 while it is the latest block */
  guint8 bits[IDS_PER_BLOCK / BITS_PER_BYTE];
};

struct used_ids
{
  GHashTable *blocks;       /* number -> struct used_block, owned */
  guint64 first_kept_block; /* ids of blocks before it count as used */
  guint64 latest_block;     /* the highest block number in use */
};

struct used_ids *
used_ids_new (void)
{
  struct used_ids *used = g_new0 (struct used_ids, 1);

  used->blocks
      = g_hash_table_new_full (g_int64_hash, g_int64_equal, NULL, g_free);
  return used;
}

void
used_ids_free (struct used_ids *used)
{
  g_hash_table_unref (used->blocks);
  g_free (used);
}

/* Sets the drop time of the blocks that are no longer the latest.  */
static void
set_drop_times (struct used_ids *used, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, used->blocks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct used_block *block = value;

      if (block->drop_us == 0 && block->number < used->latest_block)
        block->drop_us = now_us + USED_IDS_KEEP_US;
    }
}

static struct used_block *
add_block (struct used_ids *used, guint64 number, gint64 now_us)
{
  struct used_block *block = g_new0 (struct used_block, 1);

  block->number = number;
  g_hash_table_insert (used->blocks, &block->number, block);
  used->latest_block = MAX (used->latest_block, number);
  set_drop_times (used, now_us);
  return block;
}

void
used_ids_add (struct used_ids *used, guint64 sequence, gint64 now_us)
{
  guint64 number = sequence / IDS_PER_BLOCK;
  guint bit = (guint)(sequence % IDS_PER_BLOCK);
  struct used_block *block = g_hash_table_lookup (used->blocks, &number);

  if (number < used->first_kept_block)
    return;
  if (block == NULL)
    block = add_block (used, number, now_us);
  block->bits[bit / BITS_PER_BYTE] |= 1u << (bit % BITS_PER_BYTE);
}

gboolean
used_ids_contain (const struct used_ids *used, guint64 sequence)
{
  guint64 number = sequence / IDS_PER_BLOCK;
  guint bit = (guint)(sequence % IDS_PER_BLOCK);
  const struct used_block *block = g_hash_table_lookup (used->blocks, &number);

  if (number < used->first_kept_block)
    return TRUE;
  if (block == NULL)
    return FALSE;
  return (block->bits[bit / BITS_PER_BYTE] >> (bit % BITS_PER_BYTE) & 1) != 0;
}

void
used_ids_expire (struct used_ids *used, gint64 now_us)
{
  GHashTableIter iter;
  gpointer value;

  g_hash_table_iter_init (&iter, used->blocks);
  while (g_hash_table_iter_next (&iter, NULL, &value))
    {
      struct used_block *block = value;

      if (block->drop_us == 0 || block->drop_us > now_us)
        continue;
      used->first_kept_block = MAX (used->first_kept_block, block->number + 1);
      g_hash_table_iter_remove (&iter);
    }
}
