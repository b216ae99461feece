#include "commands/bench_shape.h"

#include "base/clock.h"

#include <math.h>

#define JOB_DEADLINE_MS 60000 /* of every job that is sent */

static const struct bench_profile profiles[] = {
  { "hjolavinir",
    { .min_tasks = 1,
      .max_tasks = 16,
      .min_run_ms = 50,
      .max_run_ms = 400,
      .long_percent = 1,
      .min_long_ms = 2000,
      .max_long_ms = 4000,
      .declared_factor = 3,
      .is_idempotent = TRUE },
    BENCH_POISSON,
    1 },
  { "valdivieso",
    { .min_tasks = 8,
      .max_tasks = 130,
      .min_run_ms = 50,
      .max_run_ms = 1000,
      .long_percent = 2,
      .min_long_ms = 2000,
      .max_long_ms = 6000,
      .declared_factor = 5,
      .is_idempotent = FALSE },
    BENCH_BURSTY,
    8 },
};

const struct bench_profile *
bench_profile_find (const char *name)
{
  for (gsize i = 0; i < G_N_ELEMENTS (profiles); i++)
    if (g_str_equal (profiles[i].name, name))
      return &profiles[i];
  return NULL;
}

gboolean
bench_parse_range (const char *text, guint *min, guint *max)
{
  g_auto (GStrv) parts = g_strsplit (text, "-", 2);
  guint64 low = 0;
  guint64 high = 0;

  if (parts[0] == NULL
      || !g_ascii_string_to_unsigned (parts[0], 10, 0, G_MAXINT, &low, NULL))
    return FALSE;
  high = low;
  if (parts[1] != NULL
      && !g_ascii_string_to_unsigned (parts[1], 10, low, G_MAXINT, &high,
                                      NULL))
    return FALSE;
  *min = (guint)low;
  *max = (guint)high;
  return TRUE;
}

static gdouble
get_mean (guint min, guint max)
{
  return ((gdouble)min + max) / 2;
}

gdouble
bench_shape_mean_work_ms (const struct bench_shape *shape)
{
  gdouble usual_ms = get_mean (shape->min_run_ms, shape->max_run_ms);
  gdouble long_ms = get_mean (shape->min_long_ms, shape->max_long_ms);
  gdouble long_share = shape->long_percent / 100.0;

  return get_mean (shape->min_tasks, shape->max_tasks)
         * (usual_ms * (1 - long_share) + long_ms * long_share);
}

static guint
draw_uniform (GRand *random, guint min, guint max)
{
  return (guint)g_rand_int_range (random, (gint32)min, (gint32)max + 1);
}

static guint
draw_run_ms (const struct bench_shape *shape, GRand *random)
{
  if (shape->long_percent > 0
      && g_rand_int_range (random, 0, 100) < (gint32)shape->long_percent)
    return draw_uniform (random, shape->min_long_ms, shape->max_long_ms);
  return draw_uniform (random, shape->min_run_ms, shape->max_run_ms);
}

/* Returns a declared run time that deviates from RUN_MS by a random factor,
   uniformly distributed on a logarithmic scale.  */
static guint
draw_declared_ms (const struct bench_shape *shape, GRand *random, guint run_ms)
{
  gdouble max_log_error = log (MAX (shape->declared_factor, 1));
  gdouble log_error
      = max_log_error > 0
            ? g_rand_double_range (random, -max_log_error, max_log_error)
            : 0;

  return (guint)(run_ms * exp (log_error));
}

void
bench_shape_draw_job (const struct bench_shape *shape, GRand *random,
                      const char *team, const char *service,
                      struct bench_job *job)
{
  GString *body = g_string_new (NULL);

  job->n_tasks = draw_uniform (random, shape->min_tasks, shape->max_tasks);
  job->ideal_ms = 0;
  g_string_append_printf (body,
                          "{\"team\":\"%s\",\"service\":\"%s\","
                          "\"deadline_ms\":%d,\"idempotent\":%s,\"tasks\":[",
                          team, service, JOB_DEADLINE_MS,
                          shape->is_idempotent ? "true" : "false");
  for (guint i = 0; i < job->n_tasks; i++)
    {
      guint run_ms = draw_run_ms (shape, random);

      job->ideal_ms = MAX (job->ideal_ms, run_ms);
      g_string_append_printf (
          body, "%s{\"input\":{\"run_ms\":%u},\"run_time_ms\":%u}",
          i > 0 ? "," : "", run_ms, draw_declared_ms (shape, random, run_ms));
    }
  g_string_append (body, "]}");
  job->body = g_string_free (body, FALSE);
}

gint64
bench_draw_interarrival_us (GRand *random, gdouble rate)
{
  gdouble uniform = 1 - g_rand_double (random);

  return (gint64)(-log (uniform) / rate * (gdouble)USEC_PER_SEC);
}

guint
bench_draw_burst_size (GRand *random, guint mean)
{
  gdouble uniform = 1 - g_rand_double (random);

  if (mean <= 1)
    return 1;
  return 1 + (guint)(log (uniform) / log (1 - 1.0 / mean));
}
