#include "t/support/crowd_matrix.h"

#include "base/clock.h"

#include <string.h>

/* Descriptors of a machine that crowds with large requests meet, and of one
   that crowds of very many connections meet.  */
#define MANY_DESCRIPTORS 1024
#define FEW_DESCRIPTORS 192

/* What must stay unused of the descriptors.  */
#define SPARE_DESCRIPTORS 16

#define N_CONNECTIONS 250

/* Clients that send ahead; each has requests of its own.  */
#define MAX_AHEAD 100

/* A crowd has ended its work after this time without a byte sent.  */
#define QUIET_US (300 * USEC_PER_MSEC)
#define SEND_TIMEOUT_US (15 * USEC_PER_SEC)
#define SAMPLE_INTERVAL_US (20 * USEC_PER_MSEC)
#define PAUSE_US 5000

/* The sanitizers' own memory is a multiple of what the process uses.  */
#ifdef __SANITIZE_ADDRESS__
#define MEMORY_FACTOR 4
#else
#define MEMORY_FACTOR 1
#endif

struct crowd_case
{
  struct crowd_host *host;
  enum crowd_kind kind;
  guint target;
};

static gboolean
is_of_connections (enum crowd_kind kind)
{
  return kind == CROWD_DRIP || kind == CROWD_SILENT || kind == CROWD_HELLO
         || kind == CROWD_SIP;
}

static guint
get_n_clients (const struct crowd_host *host, enum crowd_kind kind)
{
  if (is_of_connections (kind))
    return N_CONNECTIONS;
  return kind == CROWD_AHEAD ? MIN (host->n_clients, MAX_AHEAD)
                             : host->n_clients;
}

static void
stop (struct crowd_host *host)
{
  if (host->max_descriptors != 0)
    host->ops->stop (host);
  host->max_descriptors = 0;
}

static void
start (struct crowd_host *host, guint max_descriptors)
{
  if (host->max_descriptors == max_descriptors)
    return;
  stop (host);
  host->ops->start (host, max_descriptors,
                    host->machine_bytes * MEMORY_FACTOR);
  host->max_descriptors = max_descriptors;
}

static void
run_crowd (struct crowd *crowd, enum crowd_kind kind,
           struct crowd_usage *usage)
{
  gint64 begin_us = clock_now_us ();
  gint64 sent_us = begin_us;
  gint64 now_us = begin_us;
  gint64 sample_us = begin_us;

  while (now_us - sent_us < QUIET_US && now_us - begin_us < SEND_TIMEOUT_US)
    {
      gboolean has_sent = crowd_send (crowd);

      if (!has_sent || kind == CROWD_DRIP)
        g_usleep (PAUSE_US);
      now_us = clock_now_us ();
      if (has_sent)
        sent_us = now_us;
      if (now_us >= sample_us)
        {
          crowd_usage_sample (usage);
          sample_us = now_us + SAMPLE_INTERVAL_US;
        }
    }
}

static void
check_targets (const struct crowd_host *host, struct crowd *crowd)
{
  for (guint i = 0; i < host->n_targets && !g_test_failed (); i++)
    if (host->targets[i].is_answered
        && !crowd_request_until_served (&host->targets[i], crowd))
      g_test_fail_printf ("an ordinary request to %s is not answered with 200",
                          host->targets[i].name);
}

static void
check_usage (const struct crowd_host *host, const struct crowd_usage *usage)
{
  gsize max_bytes = host->machine_bytes * MEMORY_FACTOR;

  g_test_message ("%" G_GSIZE_FORMAT " KiB, %u descriptors",
                  usage->peak_bytes / 1024, usage->peak_descriptors);
  if (!usage->is_running)
    g_test_fail_printf ("the process has ended");
  if (usage->peak_bytes > max_bytes)
    g_test_fail_printf ("%" G_GSIZE_FORMAT
                        " KiB on a machine of %" G_GSIZE_FORMAT " KiB",
                        usage->peak_bytes / 1024, max_bytes / 1024);
  if (usage->peak_descriptors > host->max_descriptors - SPARE_DESCRIPTORS)
    g_test_fail_printf ("%u of %u descriptors", usage->peak_descriptors,
                        host->max_descriptors);
}

static void
test_crowd (gconstpointer data)
{
  const struct crowd_case *test = data;
  struct crowd_host *host = test->host;
  struct crowd_usage usage;
  struct crowd *crowd;

  start (host,
         is_of_connections (test->kind) ? FEW_DESCRIPTORS : MANY_DESCRIPTORS);
  crowd_usage_begin (&usage, host->ops->get_pid (host), host->ports);
  crowd = crowd_new (&host->targets[test->target], test->kind,
                     get_n_clients (host, test->kind), host->body_bytes);
  run_crowd (crowd, test->kind, &usage);
  check_targets (host, crowd);
  crowd_usage_sample (&usage);
  check_usage (host, &usage);
  crowd_free (crowd);
  if (g_test_failed ())
    stop (host);
}

/* Without a crowd, requests up to the limits are served.  */
static void
test_calm (gconstpointer data)
{
  struct crowd_host *host = (struct crowd_host *)data;
  const struct crowd_target *target = &host->targets[0];
  gsize padding = host->body_bytes - strlen (target->body);

  start (host, MANY_DESCRIPTORS);
  check_targets (host, NULL);
  g_assert_cmpuint (crowd_request (target, padding, 0), ==, 200);
  g_assert_cmpuint (crowd_request (target, padding, 2), ==, 200);
  g_assert_cmpuint (crowd_request (target, padding, 65536), ==, 200);
}

static void
add_case (struct crowd_host *host, enum crowd_kind kind, guint target)
{
  struct crowd_case *test = g_new0 (struct crowd_case, 1);
  g_autofree char *path
      = g_strdup_printf ("/crowd/%s/%s/%s", host->name, crowd_kind_name (kind),
                         host->targets[target].name);

  test->host = host;
  test->kind = kind;
  test->target = target;
  g_test_add_data_func_full (path, test, test_crowd, g_free);
}

static void
add_tests (struct crowd_host *host)
{
  g_autofree char *calm = g_strdup_printf ("/crowd/%s/calm", host->name);

  g_test_add_data_func (calm, host, test_calm);
  for (int kind = 0; kind < CROWD_N_KINDS; kind++)
    for (guint target = 0; target < host->n_targets; target++)
      add_case (host, (enum crowd_kind)kind, target);
}

int
crowd_matrix_run (struct crowd_host *host, int argc, char **argv)
{
  g_autoptr (GPtrArray) arguments = g_ptr_array_new ();
  char **values;
  int status;

  for (int i = 0; i < argc; i++)
    g_ptr_array_add (arguments, argv[i]);
  g_ptr_array_add (arguments, (char[]){ "--keep-going" });
  g_ptr_array_add (arguments, NULL);
  values = (char **)arguments->pdata;
  argc++;
  g_setenv ("ASAN_OPTIONS", "quarantine_size_mb=8", FALSE);
  g_test_init (&argc, &values, NULL);
  add_tests (host);
  status = g_test_run ();
  stop (host);
  return status;
}
