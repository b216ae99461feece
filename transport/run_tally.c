#include "transport/run_tally.h"

#include "base/clock.h"

struct run_tally_row
{
  char *upstream;
  guint n_runs;
  gint64 longest_us;
};

static void
clear_row (gpointer data)
{
  struct run_tally_row *row = data;

  g_free (row->upstream);
}

/* The row of UPSTREAM, which is added if there is none.  Valid until the next
   row is added.  */
static struct run_tally_row *
find_row (struct run_tally *tally, const char *upstream)
{
  struct run_tally_row fresh = { 0 };

  if (tally->rows == NULL)
    {
      tally->rows = g_array_new (FALSE, FALSE, sizeof (struct run_tally_row));
      g_array_set_clear_func (tally->rows, clear_row);
    }
  for (guint i = 0; i < tally->rows->len; i++)
    {
      struct run_tally_row *row
          = &g_array_index (tally->rows, struct run_tally_row, i);

      if (g_str_equal (row->upstream, upstream))
        return row;
    }
  fresh.upstream = g_strdup (upstream);
  g_array_append_val (tally->rows, fresh);
  return &g_array_index (tally->rows, struct run_tally_row,
                         tally->rows->len - 1);
}

void
run_tally_add (struct run_tally *tally, const char *upstream, gint64 took_us)
{
  struct run_tally_row *row = find_row (tally, upstream);

  row->n_runs++;
  row->longest_us = MAX (row->longest_us, took_us);
}

char *
run_tally_format (const struct run_tally *tally)
{
  GString *text;

  if (tally->rows == NULL)
    return NULL;
  text = g_string_new (NULL);
  for (guint i = 0; i < tally->rows->len; i++)
    {
      const struct run_tally_row *row
          = &g_array_index (tally->rows, struct run_tally_row, i);

      g_string_append_printf (text, "%s%s:%u:%" G_GINT64_FORMAT,
                              i > 0 ? " " : "", row->upstream, row->n_runs,
                              row->longest_us / USEC_PER_MSEC);
    }
  return g_string_free (text, FALSE);
}

void
run_tally_clear (struct run_tally *tally)
{
  g_clear_pointer (&tally->rows, g_array_unref);
}
