/* The event catalogue and its page agree.  */
#include "base/event_log.h"

#include <string.h>

static char *
read_page (void)
{
  g_autoptr (GError) error = NULL;
  char *text = NULL;

  g_file_get_contents ("docs/EVENTS.md", &text, NULL, &error);
  g_assert_no_error (error);
  return text;
}

static void
test_every_event_is_on_the_page (void)
{
  g_autofree char *page = read_page ();

  for (const struct event_info *e = event_catalogue (); e->number != 0; e++)
    {
      g_autofree char *row = g_strdup_printf (
          "\n| %u | %s | %s |", e->number, e->name, log_level_name (e->level));

      if (strstr (page, row) == NULL)
        g_error ("docs/EVENTS.md lacks the row '%s'", row + 1);
    }
}

static gboolean
is_known (guint64 number)
{
  for (const struct event_info *e = event_catalogue (); e->number != 0; e++)
    if (e->number == number)
      return TRUE;
  return FALSE;
}

static void
test_page_names_no_other_event (void)
{
  g_autofree char *page = read_page ();
  g_auto (GStrv) lines = g_strsplit (page, "\n", -1);

  for (char **line = lines; *line != NULL; line++)
    {
      guint64 number = 0;

      if (g_str_has_prefix (*line, "| "))
        number = g_ascii_strtoull (*line + 2, NULL, 10);
      if (number != 0 && !is_known (number))
        g_error ("docs/EVENTS.md explains event %" G_GUINT64_FORMAT
                 ", which does not exist",
                 number);
    }
}

static void
test_numbers_are_unique (void)
{
  for (const struct event_info *e = event_catalogue (); e->number != 0; e++)
    for (const struct event_info *f = e + 1; f->number != 0; f++)
      g_assert_cmpuint (e->number, !=, f->number);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/events/on-the-page", test_every_event_is_on_the_page);
  g_test_add_func ("/events/no-other", test_page_names_no_other_event);
  g_test_add_func ("/events/unique", test_numbers_are_unique);
  return g_test_run ();
}
