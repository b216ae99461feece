/*
 * Every decoder on its corpus and on seeded mutations of it: a bounded run
 * that is the same each time.
 */
#include "t/fuzz/targets.h"

#include <string.h>

#define CORPUS "t/fuzz/corpus"
#define MUTATIONS_PER_SEED 2000
#define MAX_EDITS 8
#define MAX_INPUT_BYTES 65536

/* Pieces that decoders treat apart.  */
static const char *const pieces[]
    = { "{",  "}",    "[",       "]",    "\"",   ":",
        ",",  "//",   "/*",      "*/",   "-1",   "1e999",
        "0",  "null", "\\u0000", "true", "\xff", "18446744073709551616",
        "\n", "." };

static void
insert_piece (GByteArray *input, GRand *random)
{
  const char *piece
      = pieces[g_rand_int_range (random, 0, G_N_ELEMENTS (pieces))];
  guint at = (guint)g_rand_int_range (random, 0, (gint32)input->len + 1);
  g_autoptr (GByteArray) tail = g_byte_array_new ();

  g_byte_array_append (tail, input->data + at, input->len - at);
  g_byte_array_set_size (input, at);
  g_byte_array_append (input, (const guint8 *)piece, (guint)strlen (piece));
  g_byte_array_append (input, tail->data, tail->len);
}

static void
remove_range (GByteArray *input, GRand *random)
{
  guint at = (guint)g_rand_int_range (random, 0, (gint32)input->len);
  guint n = (guint)g_rand_int_range (random, 1,
                                     (gint32)MIN (input->len - at, 16) + 1);

  g_byte_array_remove_range (input, at, n);
}

/* Appends a copy of a part of the input to it.  */
static void
repeat_range (GByteArray *input, GRand *random)
{
  guint at = (guint)g_rand_int_range (random, 0, (gint32)input->len);
  guint n = input->len - at;
  g_autofree guint8 *copy = g_memdup2 (input->data + at, n);

  if (input->len + n <= MAX_INPUT_BYTES)
    g_byte_array_append (input, copy, n);
}

static void
edit (GByteArray *input, GRand *random)
{
  guint at;

  if (input->len == 0)
    {
      insert_piece (input, random);
      return;
    }
  at = (guint)g_rand_int_range (random, 0, (gint32)input->len);
  switch (g_rand_int_range (random, 0, 6))
    {
    case 0:
      input->data[at] ^= (guint8)(1 << g_rand_int_range (random, 0, 8));
      break;
    case 1:
      input->data[at] = (guint8)g_rand_int_range (random, 0, 256);
      break;
    case 2:
      remove_range (input, random);
      break;
    case 3:
      repeat_range (input, random);
      break;
    case 4:
      g_byte_array_set_size (input, at);
      break;
    default:
      insert_piece (input, random);
      break;
    }
}

/* Hands over an exact copy, so that ASan sees a read past the end.  */
static void
run_once (const struct fuzz_target *target, const GByteArray *input)
{
  guint8 *copy = g_malloc (MAX (input->len, 1));

  if (input->len > 0)
    memcpy (copy, input->data, input->len);
  target->run (copy, input->len);
  g_free (copy);
}

static void
run_mutations (const struct fuzz_target *target, const char *seed,
               gsize length, GRand *random)
{
  for (guint i = 0; i < MUTATIONS_PER_SEED; i++)
    {
      g_autoptr (GByteArray) input = g_byte_array_new ();
      gint32 n_edits = g_rand_int_range (random, 1, MAX_EDITS + 1);

      g_byte_array_append (input, (const guint8 *)seed, (guint)length);
      while (n_edits-- > 0)
        edit (input, random);
      run_once (target, input);
    }
}

static void
run_seed (const struct fuzz_target *target, const char *path, GRand *random)
{
  g_autoptr (GByteArray) input = g_byte_array_new ();
  g_autoptr (GError) error = NULL;
  g_autofree char *text = NULL;
  gsize length = 0;

  g_file_get_contents (path, &text, &length, &error);
  g_assert_no_error (error);
  g_byte_array_append (input, (const guint8 *)text, (guint)length);
  run_once (target, input);
  run_mutations (target, text, length, random);
}

static int
compare_names (gconstpointer a, gconstpointer b)
{
  return g_strcmp0 (*(const char *const *)a, *(const char *const *)b);
}

/* The names in DIRECTORY, sorted, so that each run draws alike.  */
static GPtrArray *
list_names (const char *directory)
{
  GPtrArray *names = g_ptr_array_new_with_free_func (g_free);
  g_autoptr (GError) error = NULL;
  g_autoptr (GDir) dir = g_dir_open (directory, 0, &error);
  const char *name;

  g_assert_no_error (error);
  while ((name = g_dir_read_name (dir)) != NULL)
    g_ptr_array_add (names, g_strdup (name));
  g_ptr_array_sort (names, compare_names);
  return names;
}

static void
test_target (gconstpointer data)
{
  const struct fuzz_target *target = data;
  g_autofree char *directory = g_build_filename (CORPUS, target->name, NULL);
  g_autoptr (GPtrArray) names = list_names (directory);
  GRand *random = g_rand_new_with_seed (1);

  g_assert_cmpuint (names->len, >, 0);
  for (guint i = 0; i < names->len; i++)
    {
      g_autofree char *path
          = g_build_filename (directory, g_ptr_array_index (names, i), NULL);

      run_seed (target, path, random);
    }
  g_rand_free (random);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  for (const struct fuzz_target *t = fuzz_targets (); t->name != NULL; t++)
    {
      g_autofree char *path = g_strconcat ("/fuzz/", t->name, NULL);

      g_test_add_data_func (path, t, test_target);
    }
  return g_test_run ();
}
