/*
 * A short soak of a fixed seed: real processes under faults, judged by what
 * callers and workers see.
 */
#include "t/support/process.h"

#define SEED "7"
#define SECONDS "6"

static void
test_kept (void)
{
  struct process *soak = process_start ("fleet-soak", "--seed", SEED,
                                        "--seconds", SECONDS, NULL);
  g_autoptr (GDataInputStream) output = g_data_input_stream_new (
      g_subprocess_get_stdout_pipe (soak->subprocess));
  char *line;

  while ((line = g_data_input_stream_read_line (output, NULL, NULL, NULL))
         != NULL)
    {
      g_test_message ("%s", line);
      g_free (line);
    }
  g_assert_cmpint (process_wait_exit (soak), ==, 0);
  process_free (soak);
}

int
main (int argc, char **argv)
{
  g_test_init (&argc, &argv, NULL);
  g_test_add_func ("/soak/kept", test_kept);
  return g_test_run ();
}
