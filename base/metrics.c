#include "base/metrics.h"

#include "base/clock.h"
#include "base/error.h"
#include "base/log_level.h"
#include "base/log_output.h"

#define N_STORE_CELLS ((guint)STORE_CALL_COUNT * STORE_OUTCOME_COUNT)

/* Maximum number of cells of one metric.  */
#define MAX_CELLS MAX ((guint)ERROR_KIND_COUNT, N_STORE_CELLS)

/* Upper bounds of the exposed buckets: N_BOUNDS from 1 ms on, each twice the
   one before.  */
#define FIRST_BOUND_US USEC_PER_MSEC
#define N_BOUNDS 17

struct metric_info
{
  const char *name;
  const char *help;
  enum metric_type type;
  enum metric_label label;
};

struct label_info
{
  const char *key;
  guint n_cells;
  const char *(*name) (guint cell); /* NULL if names is set */
  const char *const *names;
  const char *second_key; /* key of a second label; NULL for none */
  const char *const *second_names;
  guint n_second;
};

static const struct metric_info metrics[METRIC_COUNT] = {
#define METRIC(id, type, name, label, help)                                   \
  { (name), (help), METRIC_TYPE_##type, METRIC_LABEL_##label },
#include "base/metrics.def"
#undef METRIC
};

static const char *const type_names[] = { "counter", "gauge", "histogram" };

/* The values of the labels.  Operators' tools match them, so some differ from
   the names in the enums.  */
static const char *const message_names[UPSTREAM_MESSAGE_COUNT]
    = { "start", "renew", "stop" };

static const char *const class_names[LOG_CLASS_COUNT]
    = { "debug", "info", "failure" };

static const char *const outcome_names[JOB_OUTCOME_COUNT]
    = { "done", "failed", "turned-away", "too-late", "lost", "caller-gone" };

static const char *const refusal_names[REFUSAL_COUNT]
    = { "other", "wait-too-long", "no-owner", "over-share" };

static const char *const limit_names[CLIENT_LIMIT_COUNT]
    = { "connections", "memory", "descriptors", "header", "body", "time" };

static const char *const order_names[UPSTREAM_ORDER_COUNT]
    = { "start", "stop", "ask" };

static const char *const store_call_names[STORE_CALL_COUNT]
    = { "read", "newest", "join", "members", "leave" };

static const char *const store_outcome_names[STORE_OUTCOME_COUNT]
    = { "done", "refused", "silent" };

static guint64 cells[METRIC_COUNT][MAX_CELLS];
static struct histogram histograms[METRIC_COUNT - METRIC_JOB_SECONDS];

static const char *
name_error_kind (guint cell)
{
  return error_kind_name ((enum error_kind)cell);
}

static const char *
name_log_level (guint cell)
{
  return log_level_name ((enum log_level)cell);
}

static const struct label_info labels[] = {
  [METRIC_LABEL_NONE] = { NULL, 1 },
  [METRIC_LABEL_ERROR_KIND] = { "kind", ERROR_KIND_COUNT, name_error_kind },
  [METRIC_LABEL_LOG_LEVEL] = { "level", LOG_LEVEL_COUNT, name_log_level },
  [METRIC_LABEL_MESSAGE]
  = { "message", UPSTREAM_MESSAGE_COUNT, .names = message_names },
  [METRIC_LABEL_LOG_CLASS]
  = { "class", LOG_CLASS_COUNT, .names = class_names },
  [METRIC_LABEL_OUTCOME]
  = { "outcome", JOB_OUTCOME_COUNT, .names = outcome_names },
  [METRIC_LABEL_ORDER]
  = { "order", UPSTREAM_ORDER_COUNT, .names = order_names },
  [METRIC_LABEL_STORE_CALL]
  = { "call", N_STORE_CELLS, .names = store_call_names,
      .second_key = "outcome", .second_names = store_outcome_names,
      .n_second = STORE_OUTCOME_COUNT },
  [METRIC_LABEL_REFUSAL] = { "cause", REFUSAL_COUNT, .names = refusal_names },
  [METRIC_LABEL_CLIENT_LIMIT]
  = { "limit", CLIENT_LIMIT_COUNT, .names = limit_names },
};

const char *
refusal_cause_name (enum refusal_cause cause)
{
  return refusal_names[cause];
}

const char *
client_limit_name (enum client_limit limit)
{
  return limit_names[limit];
}

void
metrics_count (enum metric metric)
{
  cells[metric][0]++;
}

void
metrics_count_label (enum metric metric, guint label)
{
  cells[metric][label]++;
}

void
metrics_add (enum metric metric, guint label, guint64 n)
{
  cells[metric][label] += n;
}

void
metrics_count_store_call (enum store_call call, enum store_outcome outcome)
{
  metrics_count_label (METRIC_STORE_CALLS,
                       (guint)call * STORE_OUTCOME_COUNT + outcome);
}

guint64
metrics_get (enum metric metric, guint label)
{
  return cells[metric][label];
}

void
metrics_set (enum metric metric, guint64 value)
{
  cells[metric][0] = value;
}

void
metrics_record (enum metric metric, gint64 value_us)
{
  histogram_record (&histograms[metric - METRIC_JOB_SECONDS], value_us);
}

const struct histogram *
metrics_get_histogram (enum metric metric)
{
  return &histograms[metric - METRIC_JOB_SECONDS];
}

const char *
metrics_name (enum metric metric)
{
  return metrics[metric].name;
}

/* Appends the labels of CELL, as in 'kind="unknown"'.  */
static void
append_labels (GString *text, const struct label_info *label, guint cell)
{
  guint first = label->n_second > 0 ? cell / label->n_second : cell;

  g_string_append_printf (text, "%s=\"%s\"", label->key,
                          label->names != NULL ? label->names[first]
                                               : label->name (first));
  if (label->n_second > 0)
    g_string_append_printf (text, ",%s=\"%s\"", label->second_key,
                            label->second_names[cell % label->n_second]);
}

static void
format_cells (GString *text, enum metric metric)
{
  const struct metric_info *info = &metrics[metric];
  const struct label_info *label = &labels[info->label];

  if (label->key == NULL)
    {
      g_string_append_printf (text, "%s %" G_GUINT64_FORMAT "\n", info->name,
                              cells[metric][0]);
      return;
    }
  for (guint i = 0; i < label->n_cells; i++)
    {
      g_string_append_printf (text, "%s{", info->name);
      append_labels (text, label, i);
      g_string_append_printf (text, "} %" G_GUINT64_FORMAT "\n",
                              cells[metric][i]);
    }
}

/* Appends a time as seconds, independent of the locale.  */
static void
append_seconds (GString *text, guint64 value_us)
{
  g_string_append_printf (text, "%" G_GUINT64_FORMAT ".%06" G_GUINT64_FORMAT,
                          value_us / (guint64)USEC_PER_SEC,
                          value_us % (guint64)USEC_PER_SEC);
}

static void
format_histogram (GString *text, enum metric metric)
{
  const struct histogram *h = metrics_get_histogram (metric);
  const char *name = metrics[metric].name;
  guint64 bound_us = FIRST_BOUND_US;

  for (guint i = 0; i < N_BOUNDS; i++, bound_us *= 2)
    {
      g_string_append_printf (text, "%s_bucket{le=\"", name);
      append_seconds (text, bound_us);
      g_string_append_printf (text, "\"} %" G_GUINT64_FORMAT "\n",
                              histogram_count_up_to (h, (gint64)bound_us));
    }
  g_string_append_printf (
      text, "%s_bucket{le=\"+Inf\"} %" G_GUINT64_FORMAT "\n%s_sum ", name,
      h->count, name);
  append_seconds (text, h->sum);
  g_string_append_printf (text, "\n%s_count %" G_GUINT64_FORMAT "\n", name,
                          h->count);
}

void
metrics_format (GString *text)
{
  for (int i = 0; i < METRIC_COUNT; i++)
    {
      const struct metric_info *info = &metrics[i];

      g_string_append_printf (text, "# HELP %s %s\n# TYPE %s %s\n", info->name,
                              info->help, info->name, type_names[info->type]);
      if (info->type == METRIC_TYPE_HISTOGRAM)
        format_histogram (text, (enum metric)i);
      else
        format_cells (text, (enum metric)i);
    }
}
