#include "t/standin/program.h"

#include <glib-unix.h>
#include <stdio.h>
#include <stdlib.h>
#include <sys/resource.h>
#include <unistd.h>

static gboolean exit_on_eof;

static const GOptionEntry common_entries[]
    = { { "exit-on-eof", 0, 0, G_OPTION_ARG_NONE, &exit_on_eof,
          "Exit at the end of standard input", NULL },
        { NULL } };

void
program_parse (int argc, char **argv, const GOptionEntry *entries)
{
  g_autoptr (GOptionContext) context = g_option_context_new (NULL);
  g_autoptr (GError) error = NULL;

  g_option_context_add_main_entries (context, entries, NULL);
  g_option_context_add_main_entries (context, common_entries, NULL);
  if (!g_option_context_parse (context, &argc, &argv, &error))
    {
      fprintf (stderr, "standin: %s\n", error->message);
      exit (2);
    }
}

void
program_fail (const GError *error)
{
  fprintf (stderr, "standin: %s\n", error->message);
  exit (1);
}

static gboolean
on_signal (gpointer data)
{
  g_main_loop_quit (data);
  return G_SOURCE_CONTINUE;
}

static gboolean
on_input (int fd, GIOCondition condition, gpointer data)
{
  char buf[256];

  if (read (fd, buf, sizeof buf) > 0)
    return G_SOURCE_CONTINUE;
  g_main_loop_quit (data);
  return G_SOURCE_REMOVE;
}

static void
print_ready (const guint16 *ports, gsize n_ports)
{
  printf ("{\"ready\":true,\"ports\":[");
  for (gsize i = 0; i < n_ports; i++)
    printf ("%s%u", i == 0 ? "" : ",", ports[i]);
  printf ("]}\n");
  fflush (stdout);
}

static void
raise_descriptor_limit (void)
{
  struct rlimit limit;

  if (getrlimit (RLIMIT_NOFILE, &limit) != 0)
    return;
  limit.rlim_cur = limit.rlim_max;
  setrlimit (RLIMIT_NOFILE, &limit);
}

int
program_run (const guint16 *ports, gsize n_ports)
{
  GMainLoop *loop = g_main_loop_new (NULL, FALSE);

  raise_descriptor_limit ();
  g_unix_signal_add (SIGTERM, on_signal, loop);
  if (exit_on_eof)
    g_unix_fd_add (STDIN_FILENO, G_IO_IN | G_IO_HUP, on_input, loop);
  print_ready (ports, n_ports);
  g_main_loop_run (loop);
  g_main_loop_unref (loop);
  return 0;
}
