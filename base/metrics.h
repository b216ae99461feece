/*
 * The process's own metrics.
 *
 * All cells are static: counting allocates nothing and costs one addition.
 * base/metrics.def lists the metrics; docs/operating/metrics.md explains them,
 * and a test compares the two.
 */
#ifndef BASE_METRICS_H
#define BASE_METRICS_H

#include "base/histogram.h"

#include <glib.h>

enum metric
{
#define METRIC(id, type, name, label, help) METRIC_##id,
#include "base/metrics.def"
#undef METRIC
  METRIC_COUNT
};

enum metric_type
{
  METRIC_TYPE_COUNTER,   /* only grows */
  METRIC_TYPE_GAUGE,     /* set to the current value */
  METRIC_TYPE_HISTOGRAM, /* of times in microseconds, shown in seconds */
};

/* What tells the cells of one metric apart.  */
enum metric_label
{
  METRIC_LABEL_NONE,
  METRIC_LABEL_ERROR_KIND, /* enum error_kind */
  METRIC_LABEL_LOG_LEVEL,  /* enum log_level */
  METRIC_LABEL_MESSAGE,    /* enum upstream_message */
};

/* The requests that an upstream gets.  */
enum upstream_message
{
  UPSTREAM_MESSAGE_START,
  UPSTREAM_MESSAGE_RENEW,
  UPSTREAM_MESSAGE_STOP,
  UPSTREAM_MESSAGE_COUNT
};

/* Adds one to a counter without labels.  */
void metrics_count (enum metric metric);

/* Adds one to the cell of a counter that LABEL names.  */
void metrics_count_label (enum metric metric, guint label);

/* The cell of a counter or gauge; LABEL is 0 for one without labels.  */
guint64 metrics_get (enum metric metric, guint label);

/* Sets a gauge without labels.  */
void metrics_set (enum metric metric, guint64 value);

/* Records a time, in microseconds, in a histogram.  */
void metrics_record (enum metric metric, gint64 value_us);

/* The times recorded in a histogram.  */
const struct histogram *metrics_get_histogram (enum metric metric);

/* The name of METRIC, as in "radishchute_jobs_active".  Static.  */
const char *metrics_name (enum metric metric);

/* Appends every metric in the text exposition format, version 0.0.4.  */
void metrics_format (GString *text);

#endif
