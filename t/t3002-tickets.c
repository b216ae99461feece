/*
 * The window of used tickets.
 */
#include "coordination/ticket_window.h"

#define START_MS G_GINT64_CONSTANT (1700000000000)
#define LIFE_MS (10 * 60 * 1000)
#define N_TICKETS 5000000

static guint64
issue (struct ticket_window *window, gint64 now_ms)
{
  gint64 deadline_ms = now_ms + LIFE_MS;

  return ticket_window_issue (window, &deadline_ms);
}

static void
test_states (void)
{
  struct ticket_window *window = ticket_window_new ();
  gint64 deadline_ms = START_MS + LIFE_MS;
  guint64 used = issue (window, START_MS);
  guint64 unused = issue (window, START_MS);

  g_assert_cmpuint (used, ==, 1);
  g_assert_cmpint (
      ticket_window_get_state (window, used, deadline_ms, START_MS), ==,
      TICKET_USABLE);
  ticket_window_mark_used (window, used);
  g_assert_cmpint (
      ticket_window_get_state (window, used, deadline_ms, START_MS), ==,
      TICKET_USED);
  g_assert_cmpint (
      ticket_window_get_state (window, unused, deadline_ms, START_MS), ==,
      TICKET_USABLE);
  g_assert_cmpint (
      ticket_window_get_state (window, unused, deadline_ms, deadline_ms + 1),
      ==, TICKET_EXPIRED);
  g_assert_cmpint (
      ticket_window_get_state (window, used, deadline_ms, deadline_ms + 1), ==,
      TICKET_USED);
  g_assert_cmpint (
      ticket_window_get_state (window, unused + 1, deadline_ms, START_MS), ==,
      TICKET_NOT_ISSUED);
  g_assert_cmpint (ticket_window_get_state (window, 0, deadline_ms, START_MS),
                   ==, TICKET_NOT_ISSUED);
  ticket_window_free (window);
}

/* What is dropped is said to be forgotten, never to be unused.  */
static void
test_forgetting (void)
{
  struct ticket_window *window = ticket_window_new ();
  gint64 deadline_ms = START_MS + LIFE_MS;
  gint64 past_ms = deadline_ms + TICKET_RETENTION_MS + 1;
  guint64 ticket = issue (window, START_MS);

  ticket_window_advance (window, past_ms - 1);
  g_assert_cmpint (
      ticket_window_get_state (window, ticket, deadline_ms, past_ms), ==,
      TICKET_EXPIRED);
  ticket_window_advance (window, past_ms);
  g_assert_cmpint (
      ticket_window_get_state (window, ticket, deadline_ms, past_ms), ==,
      TICKET_FORGOTTEN);
  ticket = issue (window, past_ms);
  g_assert_cmpuint (ticket, ==, 2);
  ticket_window_mark_used (window, ticket);
  g_assert_cmpint (
      ticket_window_get_state (window, 2, past_ms + LIFE_MS, past_ms), ==,
      TICKET_USED);
  ticket_window_free (window);
}

/* A clock that is set back does not make deadlines fall.  */
static void
test_clock_set_back (void)
{
  struct ticket_window *window = ticket_window_new ();
  gint64 first_ms = START_MS + LIFE_MS;
  gint64 second_ms = START_MS;

  ticket_window_issue (window, &first_ms);
  ticket_window_issue (window, &second_ms);
  g_assert_cmpint (second_ms, ==, first_ms);
  ticket_window_free (window);
}

static void
test_five_million (void)
{
  struct ticket_window *window = ticket_window_new ();

  for (guint i = 0; i < N_TICKETS; i++)
    {
      guint64 sequence = issue (window, START_MS + i / 10);

      if (sequence % 3 == 0)
        ticket_window_mark_used (window, sequence);
    }
  for (guint64 i = 1; i <= N_TICKETS; i++)
    g_assert_cmpint (
        ticket_window_get_state (window, i, START_MS + LIFE_MS, START_MS), ==,
        i % 3 == 0 ? TICKET_USED : TICKET_USABLE);
  g_assert_cmpuint (ticket_window_bytes (window), <, 1024 * 1024);
  g_test_message ("5 million tickets: %" G_GSIZE_FORMAT " bytes",
                  ticket_window_bytes (window));
  ticket_window_advance (window, START_MS + 10 * LIFE_MS);
  g_assert_cmpuint (ticket_window_bytes (window), <, 1024);
  ticket_window_free (window);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/tickets/states", test_states);
  g_test_add_func ("/tickets/forgetting", test_forgetting);
  g_test_add_func ("/tickets/clock-set-back", test_clock_set_back);
  g_test_add_func ("/tickets/five-million", test_five_million);
  return g_test_run ();
}
