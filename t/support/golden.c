#include "t/support/golden.h"

#include <gio/gio.h>
#include <glib/gstdio.h>
#include <string.h>

struct golden
{
  GString *steps;
  GTree *channels; /* name -> GTree of texts */
};

/* What is replaced: a pattern and the word that stands for its matches.  Each
   distinct match of a numbered one gets its own number.  */
static const struct
{
  const char *pattern;
  const char *word;
  gboolean is_numbered;
} replacements[] = {
  { "r1\\.[a-z0-9-]+(\\.[0-9a-f]+){3,4}", "JOB", TRUE },
  { "127\\.0\\.0\\.1:[0-9]+", "ADDRESS", TRUE },
  { "(?<=Task-Token: )[0-9]+", "TOKEN", FALSE },
  { "(?<=\"token\":)[0-9]+", "TOKEN", FALSE },
  { "(?<=\"unfinished\":)[0-9]+", "N", FALSE },
};

/* Headers that say nothing about the protocol or change with the library.  */
static const char *const hidden_headers[]
    = { "Date",       "Server",          "Content-Length", "Connection",
        "User-Agent", "Accept-Encoding", "Host",           "Keep-Alive" };

static int
compare_texts (gconstpointer a, gconstpointer b, gpointer data)
{
  return strcmp (a, b);
}

struct golden *
golden_new (void)
{
  struct golden *golden = g_new0 (struct golden, 1);

  golden->steps = g_string_new (NULL);
  golden->channels = g_tree_new_full (compare_texts, NULL, g_free,
                                      (GDestroyNotify)g_tree_unref);
  return golden;
}

void
golden_free (struct golden *golden)
{
  g_string_free (golden->steps, TRUE);
  g_tree_unref (golden->channels);
  g_free (golden);
}

void
golden_add_step (struct golden *golden, const char *text)
{
  g_string_append_printf (golden->steps, "%s\n", text);
}

void
golden_add_exchange (struct golden *golden, const char *channel,
                     const char *text, gboolean is_counted)
{
  GTree *texts = g_tree_lookup (golden->channels, channel);
  guint n;

  if (texts == NULL)
    {
      texts = g_tree_new_full (compare_texts, NULL, g_free, NULL);
      g_tree_insert (golden->channels, g_strdup (channel), texts);
    }
  n = GPOINTER_TO_UINT (g_tree_lookup (texts, text));
  n = is_counted ? n + 1 : 1;
  g_tree_insert (texts, g_strdup (text), GUINT_TO_POINTER (n));
}

static gboolean
is_hidden (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (hidden_headers); i++)
    if (g_ascii_strcasecmp (name, hidden_headers[i]) == 0)
      return TRUE;
  return FALSE;
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return strcmp (*(const char *const *)a, *(const char *const *)b);
}

static void
append_headers (GString *text, const char *prefix, SoupMessageHeaders *headers)
{
  g_autoptr (GPtrArray) lines = g_ptr_array_new_with_free_func (g_free);
  SoupMessageHeadersIter iter;
  const char *name;
  const char *value;

  soup_message_headers_iter_init (&iter, headers);
  while (soup_message_headers_iter_next (&iter, &name, &value))
    if (!is_hidden (name))
      g_ptr_array_add (lines, g_strdup_printf ("%s: %s", name, value));
  g_ptr_array_sort (lines, compare_names);
  for (guint i = 0; i < lines->len; i++)
    g_string_append_printf (text, "%s %s\n", prefix,
                            (const char *)g_ptr_array_index (lines, i));
}

char *
golden_format_message (const char *prefix, const char *start,
                       SoupMessageHeaders *headers, const char *body)
{
  GString *text = g_string_new (NULL);

  g_string_append_printf (text, "%s %s\n", prefix, start);
  if (headers != NULL)
    append_headers (text, prefix, headers);
  if (body != NULL && body[0] != '\0')
    {
      g_auto (GStrv) lines = g_strsplit (body, "\n", -1);

      g_string_append_printf (text, "%s\n", prefix);
      for (char **line = lines; *line != NULL; line++)
        if ((*line)[0] != '\0')
          g_string_append_printf (text, "%s %s\n", prefix, *line);
    }
  return g_string_free (text, FALSE);
}

/* State of the replacement of one pattern.  */
struct numbering
{
  const char *word;
  gboolean is_numbered;
  GHashTable *numbers; /* match -> number */
};

static gboolean
replace_match (const GMatchInfo *match, GString *result, gpointer data)
{
  struct numbering *numbering = data;
  char *found = g_match_info_fetch (match, 0);
  guint n = GPOINTER_TO_UINT (g_hash_table_lookup (numbering->numbers, found));

  if (n == 0)
    {
      n = g_hash_table_size (numbering->numbers) + 1;
      g_hash_table_insert (numbering->numbers, g_strdup (found),
                           GUINT_TO_POINTER (n));
    }
  g_string_append (result, numbering->word);
  if (numbering->is_numbered)
    g_string_append_printf (result, "-%u", n);
  g_free (found);
  return FALSE;
}

static char *
normalise (const char *text)
{
  char *result = g_strdup (text);

  for (gsize i = 0; i < G_N_ELEMENTS (replacements); i++)
    {
      g_autoptr (GRegex) regex
          = g_regex_new (replacements[i].pattern, 0, 0, NULL);
      struct numbering numbering
          = { replacements[i].word, replacements[i].is_numbered,
              g_hash_table_new_full (g_str_hash, g_str_equal, g_free, NULL) };
      char *replaced = g_regex_replace_eval (regex, result, -1, 0, 0,
                                             replace_match, &numbering, NULL);

      g_hash_table_unref (numbering.numbers);
      g_free (result);
      result = replaced;
    }
  return result;
}

static gboolean
append_exchange (gpointer key, gpointer value, gpointer data)
{
  guint n = GPOINTER_TO_UINT (value);

  if (n > 1)
    g_string_append_printf (data, "(%u times)\n", n);
  g_string_append_printf (data, "%s\n", (const char *)key);
  return FALSE;
}

static gboolean
append_channel (gpointer key, gpointer value, gpointer data)
{
  g_string_append_printf (data, "==== %s\n\n", (const char *)key);
  g_tree_foreach (value, append_exchange, data);
  return FALSE;
}

static void
show_difference (const char *expected_path, const char *actual)
{
  g_autofree char *actual_path = NULL;
  g_autofree char *difference = NULL;
  g_autoptr (GSubprocess) child = NULL;
  int fd = g_file_open_tmp ("golden-XXXXXX", &actual_path, NULL);

  g_assert_cmpint (fd, >=, 0);
  g_close (fd, NULL);
  g_file_set_contents (actual_path, actual, -1, NULL);
  child = g_subprocess_new (G_SUBPROCESS_FLAGS_STDOUT_PIPE, NULL, "diff", "-u",
                            expected_path, actual_path, NULL);
  g_subprocess_communicate_utf8 (child, NULL, NULL, &difference, NULL, NULL);
  g_printerr ("%s", difference);
  g_unlink (actual_path);
}

void
golden_check (struct golden *golden, const char *name)
{
  g_autofree char *path = g_strdup_printf ("t/golden/%s.txt", name);
  g_autoptr (GString) text = g_string_new (golden->steps->str);
  g_autofree char *actual = NULL;
  g_autofree char *expected = NULL;
  g_autoptr (GError) error = NULL;

  g_tree_foreach (golden->channels, append_channel, text);
  actual = normalise (text->str);
  if (g_getenv ("GOLDEN_UPDATE") != NULL)
    {
      g_file_set_contents (path, actual, -1, &error);
      g_assert_no_error (error);
      return;
    }
  g_file_get_contents (path, &expected, NULL, &error);
  g_assert_no_error (error);
  if (g_str_equal (expected, actual))
    return;
  show_difference (path, actual);
  g_error ("the session differs from %s; if that is meant, run "
           "'make golden-update'",
           path);
}
