#include "coordination/ticket_window.h"

/* Number of sequences in a block, and of bits in a word.  */
#define BLOCK_SIZE 4096
#define WORD_BITS 64

/* BLOCK_SIZE consecutive sequences, a bit for each.  */
struct block
{
  gint64 last_deadline_unix_ms;
  guint64 used[BLOCK_SIZE / WORD_BITS];
};

struct ticket_window
{
  GPtrArray *blocks;   /* struct block, oldest first */
  guint64 first_block; /* number of the oldest block: its first sequence /
                          BLOCK_SIZE */
  guint64 next_sequence;
  gint64 last_deadline_unix_ms;
};

struct ticket_window *
ticket_window_new (void)
{
  struct ticket_window *window = g_new0 (struct ticket_window, 1);

  window->blocks = g_ptr_array_new_with_free_func (g_free);
  window->next_sequence = 1;
  return window;
}

void
ticket_window_free (struct ticket_window *window)
{
  g_ptr_array_unref (window->blocks);
  g_free (window);
}

/* The block of SEQUENCE, or NULL when it was dropped or does not exist yet. */
static struct block *
find_block (const struct ticket_window *window, guint64 sequence)
{
  guint64 number = sequence / BLOCK_SIZE;

  if (number < window->first_block
      || number - window->first_block >= window->blocks->len)
    return NULL;
  return window->blocks->pdata[number - window->first_block];
}

guint64
ticket_window_issue (struct ticket_window *window, gint64 *deadline_unix_ms)
{
  guint64 sequence = window->next_sequence++;
  struct block *block = find_block (window, sequence);

  if (block == NULL)
    {
      if (window->blocks->len == 0)
        window->first_block = sequence / BLOCK_SIZE;
      block = g_new0 (struct block, 1);
      g_ptr_array_add (window->blocks, block);
    }
  window->last_deadline_unix_ms
      = MAX (window->last_deadline_unix_ms, *deadline_unix_ms);
  block->last_deadline_unix_ms = window->last_deadline_unix_ms;
  *deadline_unix_ms = window->last_deadline_unix_ms;
  return sequence;
}

static guint64
bit_of (guint64 sequence)
{
  return G_GUINT64_CONSTANT (1) << (sequence % WORD_BITS);
}

enum ticket_state
ticket_window_get_state (const struct ticket_window *window, guint64 sequence,
                         gint64 deadline_unix_ms, gint64 now_unix_ms)
{
  struct block *block = find_block (window, sequence);

  if (sequence == 0 || sequence >= window->next_sequence)
    return TICKET_NOT_ISSUED;
  if (block == NULL)
    return TICKET_FORGOTTEN;
  if ((block->used[sequence % BLOCK_SIZE / WORD_BITS] & bit_of (sequence))
      != 0)
    return TICKET_USED;
  return deadline_unix_ms < now_unix_ms ? TICKET_EXPIRED : TICKET_USABLE;
}

void
ticket_window_mark_used (struct ticket_window *window, guint64 sequence)
{
  struct block *block = find_block (window, sequence);

  g_return_if_fail (block != NULL);
  block->used[sequence % BLOCK_SIZE / WORD_BITS] |= bit_of (sequence);
}

void
ticket_window_advance (struct ticket_window *window, gint64 now_unix_ms)
{
  guint n = 0;

  while (n < window->blocks->len)
    {
      struct block *block = window->blocks->pdata[n];

      if (block->last_deadline_unix_ms + TICKET_RETENTION_MS >= now_unix_ms)
        break;
      n++;
    }
  if (n == 0)
    return;
  g_ptr_array_remove_range (window->blocks, 0, n);
  window->first_block += n;
}

gsize
ticket_window_bytes (const struct ticket_window *window)
{
  return sizeof *window
         + window->blocks->len * (sizeof (struct block) + sizeof (gpointer));
}
